"""Header names, paths and field names of the platform's HTTP protocol."""

from cleatlink.relay.endpoints.protocol import (
    EndpointPaths,
    HeaderNames,
    HoldFields,
    OrderFields,
    Protocol,
)

__all__ = ["PROTOCOL"]

_HEADERS = HeaderNames(
    request_id=b"attempt-id",
    deadline_ms=b"deadline-milliseconds",
    token_counts=b"token-counts",
    output_hint=b"length-hint",
    last_event=b"last-event-id",
    signature=b"server-stamp",
    expected_endpoint=b"expected-instance",
    not_run=b"not-executed",
    endpoint=b"instance-id",
    leaving=b"server-leaving",
    rate_per_s=b"server-limit",
    stage=b"stage",
    kv_source=b"cache-source",
    hold=b"hold",
    priority=b"request-priority",
    organisation=b"tenant",
    reserved=frozenset(
        {
            b"expected-instance",
            b"expected-version",
            b"stage",
            b"cache-source",
            b"cache-backup",
            b"hold",
            b"kv-fetch",
            b"pin-milliseconds",
            b"request-priority",
        }
    ),
    kept=frozenset({b"model", b"prompt-prefix", b"length-hint"}),
)

_PATHS = EndpointPaths(
    handle="/kv-handle/{}",
    order="/order",
    prefill_handle_field="prefill_handle",
    order_fields=OrderFields("operation", "stage", "stage", "holder", "fencing_token"),
    take_hold="/hold-take",
    drop_hold="/hold-drop/{}",
    hold_fields=HoldFields("tokens", "ttl_ms", "hold"),
)

PROTOCOL = Protocol(_HEADERS, _PATHS)
