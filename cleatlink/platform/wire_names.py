"""Header names, paths and field names of the platform's HTTP protocol."""

from cleatlink.relay.endpoints.protocol import (
    EndpointPaths,
    HeaderNames,
    Protocol,
    ReservationFields,
    RoleChangeFields,
)

__all__ = ["PROTOCOL"]

_HEADERS = HeaderNames(
    request_id=b"attempt-id",
    deadline_ms=b"deadline-milliseconds",
    token_counts=b"token-counts",
    prompt_parts=b"prompt-prefix",
    output_hint=b"length-hint",
    resumes=b"resumes",
    signature=b"server-stamp",
    expected_endpoint=b"expected-instance",
    not_executed=b"not-executed",
    endpoint=b"instance-id",
    leaving=b"server-leaving",
    rate_per_s=b"server-limit",
    stage=b"stage",
    kv_source=b"cache-source",
    reservation_id=b"hold",
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
    always_forwarded=frozenset({b"model", b"prompt-prefix", b"length-hint"}),
)

_PATHS = EndpointPaths(
    kv_handle="/kv-handle/{}",
    role_change="/order",
    prefill_handle_field="prefill_handle",
    role_change_fields=RoleChangeFields("operation", "stage", "stage", "holder", "fencing_token"),
    create_reservation="/hold-take",
    delete_reservation="/hold-drop/{}",
    reservation_fields=ReservationFields("tokens", "ttl_ms", "hold"),
)

PROTOCOL = Protocol(_HEADERS, _PATHS)
