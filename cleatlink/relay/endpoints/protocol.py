"""Header names and paths of the endpoint protocol, and the requests and responses that use them.

``HeaderNames`` and ``EndpointPaths`` default to the project's own names. An adapter for another
platform passes different names; nothing else has to change.
"""

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec

from cleatlink.core.data import Role
from cleatlink.core.errors import NOT_RUN_STATUSES, ErrorKind, RequestError
from cleatlink.core.notices import (
    EMPTY_NOTICE,
    EndpointNotice,
    parse_backoff_s,
    parse_rate_limit_per_s,
)
from cleatlink.core.routes import Headers, InboundRequest, KvLocation, RoutedEndpoint

__all__ = [
    "MISDIRECTED_REQUEST",
    "REJECTION_STATUSES",
    "EndpointPaths",
    "HeaderNames",
    "NamedRequest",
    "OutgoingRequest",
    "Protocol",
    "ReservationFields",
    "ResponseHead",
    "RoleChangeFields",
]

# Hop-by-hop headers, and headers that message framing sets anew on each connection.
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
_MS_PER_S = 1000.0
# "Misdirected Request": another endpoint now answers at the address, so the response says
# nothing about the endpoint that was called.
MISDIRECTED_REQUEST = 421
# Statuses with which an endpoint rejects work; the response may say when to retry.
REJECTION_STATUSES = frozenset({429, 503})
_LOWEST_ERROR_STATUS = 400
_LOWEST_SERVER_ERROR_STATUS = 500
# "Too Early": the endpoint had not received the request in time.
_TOO_EARLY = 425


class NamedRequest(StrEnum):
    """Which request a response names; the value is used in logs and metrics."""

    THIS_REQUEST = "this request"
    OTHER_REQUEST = "another request"
    NONE = "no request"


class HeaderNames(NamedTuple):
    """Names of the headers that the relay reads and writes, in lower case."""

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    token_counts: bytes = b"x-tokens"
    prompt_parts: bytes = b"x-prompt-parts"
    output_hint: bytes = b"x-output-hint"
    last_event_id: bytes = b"last-event-id"
    resumes: bytes = b"x-resumes"
    signature: bytes = b"x-endpoint-signature"
    expected_endpoint: bytes = b"x-expected-endpoint"
    not_executed: bytes = b"x-not-run"
    endpoint: bytes = b"x-endpoint"
    leaving: bytes = b"x-endpoint-leaving"
    retry_after_s: bytes = b"retry-after"
    rate_per_s: bytes = b"x-endpoint-rate"
    stage: bytes = b"x-stage"
    kv_source: bytes = b"x-kv-source"
    reservation_id: bytes = b"x-hold"
    priority: bytes = b"x-priority"
    organisation: bytes = b"x-organisation"
    credentials: bytes = b"authorization"
    # Headers that callers may not set, and headers that are always forwarded to the endpoint.
    reserved: frozenset[bytes] = frozenset()
    always_forwarded: frozenset[bytes] = frozenset()

    @property
    def response_headers(self) -> frozenset[bytes]:
        """Names of the response headers that the relay reads."""
        return frozenset(
            {
                self.request_id,
                self.signature,
                self.not_executed,
                self.endpoint,
                self.leaving,
                self.retry_after_s,
                self.rate_per_s,
            }
        )


class RoleChangeFields(NamedTuple):
    """Field names in the body of a request that changes an endpoint's role."""

    kind: str = "kind"
    role_change_kind: str = "role"
    role: str = "role"
    holder: str = "holder"
    fence: str = "fence"


class ReservationFields(NamedTuple):
    """Field names in the body of a reservation request, and in the response to it."""

    tokens: str = "tokens"
    lifetime_ms: str = "lifetime_ms"
    reservation_id: str = "hold"


class EndpointPaths(NamedTuple):
    """Paths of the requests that the relay itself makes to endpoints."""

    kv_handle: str = "/kv/{}"
    role_change: str = "/order"
    prefill_handle_field: str = "handle"
    role_change_fields: RoleChangeFields = RoleChangeFields()
    create_reservation: str = "/holds"
    delete_reservation: str = "/holds/{}"
    reservation_fields: ReservationFields = ReservationFields()


class ResponseHead(NamedTuple):
    """Status and headers of an endpoint's response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None if it is absent."""
        return next(iter(self.get_all(name)), None)

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of all headers with this name."""
        return [value.strip() for key, value in self.headers if key.lower() == name]


class OutgoingRequest(NamedTuple):
    """A request to an endpoint.

    Attributes:
        method: Method as sent.
        target: Path and query as sent.
        headers: Headers as sent.
        body: The complete body.
        request_id: ID of the caller's request; None for requests of the relay itself.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: str | None = None


# Largest number in a caller's header. All integers up to it are exact as floats.
_MAX_HEADER_NUMBER = 1e15
# The largest priority value, for the least urgent requests, that endpoints support.
_LOWEST_PRIORITY = 9


class Protocol:
    """Parses callers' requests and builds requests to endpoints, with a given set of names."""

    def __init__(self, names: HeaderNames, paths: EndpointPaths) -> None:
        self.names = names
        self.paths = paths
        # Headers that this process sets itself are never copied from a caller's request.
        self._never_forwarded = _HOP_HEADERS | names.reserved
        self._never_forwarded |= {names.deadline_ms, names.last_event_id, names.organisation}
        self._always_forwarded = names.always_forwarded | {
            b"host",
            names.request_id,
            names.token_counts,
        }

    def read_host(self, headers: Headers) -> str:
        """Return the value of the Host header without its port."""
        values = {name.lower(): value for name, value in headers}
        return _strip_port(values.get(b"host", b"").decode("latin-1"))

    def read_credentials(self, headers: Headers) -> list[bytes]:
        """Return the values of all headers that carry an API key."""
        return [value for name, value in headers if name.lower() == self.names.credentials]

    def parse_inbound(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        now: float,
        *,
        removes_api_key: bool = False,
    ) -> InboundRequest:
        """Parse a caller's request.

        Args:
            method: Method as sent.
            target: Path and query as sent.
            headers: Headers as sent.
            body: The complete body.
            now: Time at which the request's head was read.
            removes_api_key: Whether this process checks the caller's API key itself, so that the
                key is not forwarded to the endpoint.

        Raises:
            RequestError: A header has a number that is not finite or too large.
        """
        values = {name.lower(): value for name, value in headers}
        host = values.get(b"host", b"").decode("latin-1")
        names = self.names

        def read_number(name: bytes, default: float = 0.0) -> float:
            return _parse_number(name, values.get(name), default)

        deadline_s = read_number(names.deadline_ms, math.inf) / _MS_PER_S
        prompt, _, max_output = values.get(names.token_counts, b"").partition(b",")
        last_event = None
        if names.last_event_id in values:
            last_event = int(read_number(names.last_event_id))
        return InboundRequest(
            request_id=values.get(self.names.request_id, b"").decode("latin-1"),
            method=method,
            target=target,
            host=_strip_port(host),
            headers=self._filter_request_headers(headers, removes_api_key),
            body=body,
            arrived_at=now,
            deadline=now + deadline_s,
            prompt_tokens=int(_parse_number(names.token_counts, prompt, 0)),
            max_output_tokens=int(_parse_number(names.token_counts, max_output, 0)),
            estimated_output_tokens=int(read_number(names.output_hint)),
            last_event=last_event,
            resumes=values.get(self.names.resumes, b"").strip().decode("latin-1"),
            prompt_parts=_parse_shared_parts(values.get(self.names.prompt_parts, b"")),
        )

    def _filter_request_headers(self, headers: Headers, removes_api_key: bool) -> Headers:
        """Drop hop-by-hop headers, those listed in Connection, and those that the relay sets."""
        dropped = set(self._never_forwarded)
        if removes_api_key:
            dropped.add(self.names.credentials)
        for name, value in headers:
            if name.lower() == b"connection":
                dropped |= {token.strip().lower() for token in value.split(b",")}
        dropped -= self._always_forwarded
        return tuple((name, value) for name, value in headers if name.lower() not in dropped)

    def make_forwarded_request(
        self,
        inbound: InboundRequest,
        endpoint: RoutedEndpoint,
        remaining_s: float,
        *,
        prefill: bool = False,
        kv_source: KvLocation | None = None,
        reservation_id: str = "",
        last_event: int | None = None,
        priority: int | None = None,
    ) -> OutgoingRequest:
        """Build the request that forwards a caller's request to an endpoint.

        Args:
            inbound: The caller's request.
            endpoint: The endpoint that the request is sent to.
            remaining_s: Seconds until the caller's deadline.
            prefill: Whether the endpoint computes only the prompt.
            kv_source: Location of the prompt's key-value cache.
            reservation_id: Identifier of the reservation for the request; empty for none.
            last_event: Number of the last event that was forwarded to the caller.
            priority: Priority for endpoints that admit urgent requests first; 0 is the most
                urgent, and None sends no priority.
        """
        names = self.names
        headers = list(inbound.headers)
        headers.append((names.expected_endpoint, endpoint.registered_name.encode()))
        if inbound.organisation:
            headers.append((names.organisation, inbound.organisation.encode()))
        if remaining_s < math.inf:
            headers.append((names.deadline_ms, b"%d" % max(1, int(remaining_s * _MS_PER_S))))
        if priority is not None:
            headers.append((names.priority, b"%d" % min(_LOWEST_PRIORITY, max(0, priority))))
        if prefill:
            headers.append((names.stage, b"prefill"))
        if kv_source is not None:
            source = f"{kv_source.address}/{kv_source.handle}"
            headers.append((names.kv_source, source.encode()))
        if reservation_id:
            headers.append((names.reservation_id, reservation_id.encode()))
        if last_event is not None:
            headers.append((names.last_event_id, b"%d" % last_event))
        if inbound.body or inbound.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers.append((b"Content-Length", b"%d" % len(inbound.body)))
        return OutgoingRequest(
            inbound.method, inbound.target, tuple(headers), inbound.body, inbound.request_id
        )

    def make_relay_request(
        self, method: bytes, path: str, endpoint: RoutedEndpoint
    ) -> OutgoingRequest:
        """Build a request of the relay itself, without a body."""
        headers = (
            (b"Host", endpoint.address.encode()),
            (self.names.expected_endpoint, endpoint.registered_name.encode()),
        )
        return OutgoingRequest(method, path.encode(), headers, b"")

    def make_reservation_request(
        self, endpoint: RoutedEndpoint, tokens: int, lifetime_s: float
    ) -> OutgoingRequest:
        """Build a request that reserves a slot and memory at an endpoint."""
        fields = self.paths.reservation_fields
        value = {fields.tokens: tokens, fields.lifetime_ms: int(lifetime_s * _MS_PER_S)}
        return self._make_json_post(endpoint, self.paths.create_reservation, value)

    def make_role_change_request(
        self, endpoint: RoutedEndpoint, role: Role, holder: str, fence: int
    ) -> OutgoingRequest:
        """Build a request that changes an endpoint's role."""
        fields = self.paths.role_change_fields
        value = {
            fields.kind: fields.role_change_kind,
            fields.role: role.value,
            fields.holder: holder,
            fields.fence: fence,
        }
        return self._make_json_post(endpoint, self.paths.role_change, value)

    def _make_json_post(
        self, endpoint: RoutedEndpoint, path: str, value: Mapping[str, str | int]
    ) -> OutgoingRequest:
        """Build a request of the relay itself, with a JSON body."""
        body = msgspec.json.encode(value)
        headers = (
            (b"Host", endpoint.address.encode()),
            (self.names.expected_endpoint, endpoint.registered_name.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        )
        return OutgoingRequest(b"POST", path.encode(), headers, body)

    def filter_response_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of an endpoint's response that are forwarded to the caller."""
        dropped = set(_HOP_HEADERS)
        connection = head.get(b"connection")
        if connection is not None:
            dropped |= {token.strip().lower() for token in connection.split(b",")}
        return tuple((name, value) for name, value in head.headers if name.lower() not in dropped)

    def read_named_id(self, head: ResponseHead) -> str | None:
        """Return the ID of the caller's request that a response names, or None if it names none."""
        named_id = head.get(self.names.request_id)
        return None if named_id is None else named_id.decode("latin-1")

    def is_marked_not_executed(self, head: ResponseHead) -> bool:
        """Check whether a response has the mark of a rejection."""
        return head.get(self.names.not_executed) is not None

    def reports_not_executed(self, head: ResponseHead) -> bool:
        """Check whether a response states that the endpoint did not run its request.

        A misdirected request needs no mark: the response names the endpoint that now answers at the
        address. An endpoint signs only responses to requests that it ran.
        """
        if self.is_marked_not_executed(head):
            return head.status >= _LOWEST_ERROR_STATUS
        return (
            head.status == MISDIRECTED_REQUEST
            and head.get(self.names.endpoint) is not None
            and not self.has_signature(head)
        )

    def rejects_as_invalid(self, head: ResponseHead) -> bool:
        """Check whether a rejection says that its request is invalid, wherever it is sent."""
        is_client_error = _LOWEST_ERROR_STATUS <= head.status < _LOWEST_SERVER_ERROR_STATUS
        return (
            is_client_error
            and head.status not in NOT_RUN_STATUSES
            and self.reports_not_executed(head)
        )

    def is_misdirected(self, head: ResponseHead, endpoint: RoutedEndpoint) -> bool:
        """Check whether a response says that its request belongs elsewhere.

        Another endpoint has the address, or the endpoint has another role now. A plain service that
        names itself has neither: it rejects this request only.
        """
        if head.status != MISDIRECTED_REQUEST:
            return False
        named_endpoint = (head.get(self.names.endpoint) or b"").decode("latin-1")
        return endpoint.role is not Role.PLAIN or named_endpoint != endpoint.registered_name

    def is_failure(self, head: ResponseHead) -> bool:
        """Check whether a response that is no rejection says that its endpoint failed the request.

        Another endpoint may succeed, unlike with a request that is wrong itself.
        """
        return head.status >= _LOWEST_SERVER_ERROR_STATUS or head.status in NOT_RUN_STATUSES | {
            _TOO_EARLY
        }

    def accepts_work(self, head: ResponseHead) -> bool:
        """Check whether a response shows that its endpoint accepts work."""
        return head.status not in REJECTION_STATUSES and head.status != MISDIRECTED_REQUEST

    def read_notice(self, head: ResponseHead, request_id: str | None = None) -> EndpointNotice:
        """Read an endpoint's notice from a response head; malformed values are ignored.

        Only a rejection asks for a back-off.

        Args:
            head: The head of the response.
            request_id: ID of the caller's request that was sent; None for a request of the relay
                itself, whose rejections have no mark.
        """
        if head.status == MISDIRECTED_REQUEST:
            return EMPTY_NOTICE
        names = self.names
        leaving = b"1" in head.get_all(names.leaving)
        backoff_s = 0.0
        is_rejection = request_id is None or self.is_marked_not_executed(head)
        if is_rejection and head.status in REJECTION_STATUSES:
            backoff_s = parse_backoff_s(head.get_all(names.retry_after_s))
        rates = head.get_all(names.rate_per_s)
        return EndpointNotice(leaving, backoff_s, parse_rate_limit_per_s(rates), bool(rates))

    def has_signature(self, head: ResponseHead) -> bool:
        """Check whether a response carries the endpoint's signature."""
        return head.get(self.names.signature) is not None


def _parse_number(name: bytes, value: bytes | None, default: float) -> float:
    """Return the number in a caller's header, or the default if it contains no number.

    Raises:
        RequestError: The number is not finite, or larger than any that has a meaning.
    """
    try:
        number = float(value) if value else default
    except ValueError:
        return default
    if value and not abs(number) <= _MAX_HEADER_NUMBER:
        detail = f"{name.decode('latin-1')} is not a number up to {_MAX_HEADER_NUMBER:.0e}"
        raise RequestError(ErrorKind.BAD_REQUEST, detail)
    return max(0.0, number)


def _parse_shared_parts(value: bytes) -> tuple[str, ...]:
    """Return the names of a prompt's parts, without the last one; malformed items are left out.

    Args:
        value: The parts in their order, each a name in hexadecimal, a colon and its tokens,
            separated by commas.
    """
    items = value.decode("latin-1").lower().split(",")[:-1]
    names = (item.partition(":")[0].strip() for item in items)
    return tuple(name for name in names if name)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
