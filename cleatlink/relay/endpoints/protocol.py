"""How calls are named on the wire: header names and paths, and what is read from them.

``HeaderNames`` and ``EndpointPaths`` hold the project's own names by default.
An adapter for another platform gives its own; nothing else has to change.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from cleatlink.core.data import Role
from cleatlink.core.notices import (
    NO_NOTICE,
    EndpointNotice,
    read_rate_per_s,
    read_rest_s,
)
from cleatlink.core.routes import Headers, Inbound, KvSource, RoutedEndpoint

__all__ = [
    "OTHER_ENDPOINT",
    "TURNED_AWAY",
    "EndpointPaths",
    "HeaderNames",
    "HoldFields",
    "OrderFields",
    "OutgoingRequest",
    "Protocol",
    "ReplyHead",
]

# Headers of one connection only, and those that framing rewrites.
_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"http2-settings",
    }
)
_MS = 1000.0
# The address has another endpoint than the one that was asked: nothing of its answer is the
# asked one's word.
OTHER_ENDPOINT = 421
# Statuses with which an endpoint turns work away and may say for how long.
TURNED_AWAY = frozenset({429, 503})


class HeaderNames(NamedTuple):
    """Names of the headers that carry what the relay has to know; lower case."""

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    token_counts: bytes = b"x-tokens"
    output_hint: bytes = b"x-output-hint"
    last_event: bytes = b"last-event-id"
    signature: bytes = b"x-endpoint-signature"
    expected_endpoint: bytes = b"x-expected-endpoint"
    not_run: bytes = b"x-not-run"
    endpoint: bytes = b"x-endpoint"
    leaving: bytes = b"x-endpoint-leaving"
    rest_s: bytes = b"retry-after"
    rate_per_s: bytes = b"x-endpoint-rate"
    stage: bytes = b"x-stage"
    kv_source: bytes = b"x-kv-source"
    hold: bytes = b"x-hold"
    priority: bytes = b"x-priority"
    organisation: bytes = b"x-organisation"
    credentials: bytes = b"authorization"
    # Headers that callers may not set, and those that always reach the endpoint.
    reserved: frozenset[bytes] = frozenset()
    kept: frozenset[bytes] = frozenset()

    @property
    def answer_fields(self) -> frozenset[bytes]:
        """Fields that endpoints' answers carry and that are read."""
        return frozenset(
            {
                self.request_id,
                self.signature,
                self.not_run,
                self.endpoint,
                self.leaving,
                self.rest_s,
                self.rate_per_s,
            }
        )


class OrderFields(NamedTuple):
    """Names in the body of an order to take another role."""

    kind: str = "kind"
    role_kind: str = "role"
    role: str = "role"
    holder: str = "holder"
    fence: str = "fence"


class HoldFields(NamedTuple):
    """Names in the body of a call that holds room, and in its answer."""

    tokens: str = "tokens"
    lifetime_ms: str = "lifetime_ms"
    hold: str = "hold"


class EndpointPaths(NamedTuple):
    """Paths of the calls that the relay makes to engines on its own behalf."""

    handle: str = "/kv/{}"
    order: str = "/order"
    prefill_handle_field: str = "handle"
    order_fields: OrderFields = OrderFields()
    take_hold: str = "/holds"
    drop_hold: str = "/holds/{}"
    hold_fields: HoldFields = HoldFields()


class ReplyHead(NamedTuple):
    """Status and headers of an endpoint's answer, names in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Give a header's value."""
        return next(iter(self.get_all(name)), None)

    def get_all(self, name: bytes) -> list[bytes]:
        """Give the values of all headers of a name."""
        return [value.strip() for key, value in self.headers if key.lower() == name]


class OutgoingRequest(NamedTuple):
    """A request to an endpoint."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


# Endpoints know priorities up to this.
_LEAST_PRIORITY = 9


class Protocol:
    """Reads callers' requests and writes endpoints' ones by a set of names."""

    def __init__(self, names: HeaderNames, paths: EndpointPaths) -> None:
        self.names = names
        self.paths = paths
        # What this process sets itself is never taken over from a caller.
        self._own = _HOP_HEADERS | names.reserved
        self._own |= {names.deadline_ms, names.last_event, names.organisation}
        self._kept = names.kept | {b"host", names.request_id, names.token_counts}

    def read_host(self, headers: Headers) -> str:
        """Give the host that a caller names, without its port."""
        found = {name.lower(): value for name, value in headers}
        return _without_port(found.get(b"host", b"").decode("latin-1"))

    def read_credentials(self, headers: Headers) -> list[bytes]:
        """Give the values of all headers that carry a key."""
        return [value for name, value in headers if name.lower() == self.names.credentials]

    def read_inbound(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        now: float,
        *,
        withholds_key: bool = False,
    ) -> Inbound:
        """Read a caller's request.

        Args:
            method: As sent.
            target: Path and query as sent.
            headers: As sent.
            body: The whole body.
            now: When the request's head was read.
            withholds_key: Whether the caller's key is this process's to judge, and not passed on.
        """
        found = {name.lower(): value for name, value in headers}
        host = found.get(b"host", b"").decode("latin-1")
        deadline_s = _number(found.get(self.names.deadline_ms), math.inf) / _MS
        prompt, _, most = found.get(self.names.token_counts, b"").partition(b",")
        last_event = found.get(self.names.last_event)
        return Inbound(
            request_id=found.get(self.names.request_id, b"").decode("latin-1"),
            method=method,
            target=target,
            host=_without_port(host),
            headers=self._passed_on(headers, withholds_key),
            body=body,
            arrived_at=now,
            deadline=now + deadline_s,
            prompt_tokens=int(_number(prompt, 0)),
            max_output_tokens=int(_number(most, 0)),
            output_hint=int(_number(found.get(self.names.output_hint), 0)),
            last_event=None if last_event is None else int(_number(last_event, 0)),
        )

    def _passed_on(self, headers: Headers, withholds_key: bool) -> Headers:
        """Drop hop headers, those the caller's Connection names, and the relay's own."""
        dropped = set(self._own)
        if withholds_key:
            dropped.add(self.names.credentials)
        for name, value in headers:
            if name.lower() == b"connection":
                dropped |= {token.strip().lower() for token in value.split(b",")}
        dropped -= self._kept
        return tuple((name, value) for name, value in headers if name.lower() not in dropped)

    def forward(
        self,
        inbound: Inbound,
        endpoint: RoutedEndpoint,
        left_s: float,
        *,
        prefill: bool = False,
        kv_source: KvSource | None = None,
        hold: str = "",
        last_event: int | None = None,
        priority: int | None = None,
    ) -> OutgoingRequest:
        """Write a caller's request for an endpoint.

        Args:
            inbound: The caller's request.
            endpoint: The endpoint that may run it.
            left_s: Seconds that the caller still waits.
            prefill: Whether only the prompt is to be computed.
            kv_source: Where the prompt's result waits.
            hold: Name of the room that is held for the request; empty for none.
            last_event: Last event that has been passed on.
            priority: From 0, the most urgent, for endpoints that let such requests in first;
                None tells none.
        """
        names = self.names
        headers = list(inbound.headers)
        headers.append((names.expected_endpoint, endpoint.answers_to.encode()))
        if inbound.organisation:
            headers.append((names.organisation, inbound.organisation.encode()))
        if left_s < math.inf:
            headers.append((names.deadline_ms, b"%d" % max(1, int(left_s * _MS))))
        if priority is not None:
            headers.append((names.priority, b"%d" % min(_LEAST_PRIORITY, max(0, priority))))
        if prefill:
            headers.append((names.stage, b"prefill"))
        if kv_source is not None:
            source = f"{kv_source.address}/{kv_source.handle}"
            headers.append((names.kv_source, source.encode()))
        if hold:
            headers.append((names.hold, hold.encode()))
        if last_event is not None:
            headers.append((names.last_event, b"%d" % last_event))
        if inbound.body or inbound.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers.append((b"Content-Length", b"%d" % len(inbound.body)))
        return OutgoingRequest(inbound.method, inbound.target, tuple(headers), inbound.body)

    def own_call(self, method: bytes, path: str, endpoint: RoutedEndpoint) -> OutgoingRequest:
        """Write a call of the relay's own without a body."""
        headers = (
            (b"Host", endpoint.address.encode()),
            (self.names.expected_endpoint, endpoint.answers_to.encode()),
        )
        return OutgoingRequest(method, path.encode(), headers, b"")

    def take_hold(
        self, endpoint: RoutedEndpoint, tokens: int, lifetime_s: float
    ) -> OutgoingRequest:
        """Write a call that holds a slot and memory at an endpoint."""
        fields = self.paths.hold_fields
        value = {fields.tokens: tokens, fields.lifetime_ms: int(lifetime_s * _MS)}
        return self._own_post(endpoint, self.paths.take_hold, value)

    def role_order(
        self, endpoint: RoutedEndpoint, role: Role, holder: str, fence: int
    ) -> OutgoingRequest:
        """Write an order to take another role."""
        fields = self.paths.order_fields
        value = {
            fields.kind: fields.role_kind,
            fields.role: role.value,
            fields.holder: holder,
            fields.fence: fence,
        }
        return self._own_post(endpoint, self.paths.order, value)

    def _own_post(
        self, endpoint: RoutedEndpoint, path: str, value: Mapping[str, str | int]
    ) -> OutgoingRequest:
        """Write a call of the relay's own with a JSON body."""
        body = msgspec.json.encode(value)
        headers = (
            (b"Host", endpoint.address.encode()),
            (self.names.expected_endpoint, endpoint.answers_to.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        )
        return OutgoingRequest(b"POST", path.encode(), headers, body)

    def passed_back(self, head: ReplyHead) -> Headers:
        """Give the headers of an endpoint's answer that a caller gets."""
        dropped = set(_HOP_HEADERS)
        connection = head.get(b"connection")
        if connection is not None:
            dropped |= {token.strip().lower() for token in connection.split(b",")}
        return tuple((name, value) for name, value in head.headers if name.lower() not in dropped)

    def not_run(self, head: ReplyHead) -> bool:
        """Tell whether an endpoint says that it did not run the request."""
        return head.status == OTHER_ENDPOINT or head.get(self.names.not_run) is not None

    def takes_work(self, head: ReplyHead) -> bool:
        """Tell whether an answer shows that its endpoint takes work."""
        return head.status not in TURNED_AWAY and head.status != OTHER_ENDPOINT

    def answers_caller(self, head: ReplyHead) -> bool:
        """Tell whether an answer is one to a caller's request, and not to a call of our own."""
        return head.get(self.names.request_id) is not None

    def read_notice(self, head: ReplyHead) -> EndpointNotice:
        """Read what an endpoint says of itself; what can't be read says nothing."""
        if head.status == OTHER_ENDPOINT:
            return NO_NOTICE
        names = self.names
        leaving = b"1" in head.get_all(names.leaving)
        rest_s = 0.0
        if head.status in TURNED_AWAY:
            rest_s = read_rest_s(head.get_all(names.rest_s))
        rates = head.get_all(names.rate_per_s)
        return EndpointNotice(leaving, rest_s, read_rate_per_s(rates), bool(rates))

    def belongs(self, head: ReplyHead, inbound: Inbound) -> bool:
        """Tell whether an answer is the one to this request."""
        name = head.get(self.names.request_id)
        return name is not None and name.decode("latin-1") == inbound.request_id

    def signed(self, head: ReplyHead) -> bool:
        """Tell whether an answer carries the endpoint's signature."""
        return head.get(self.names.signature) is not None


def _number(value: bytes | None, default: float) -> float:
    try:
        return max(0.0, float(value)) if value else default
    except ValueError:
        return default


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
