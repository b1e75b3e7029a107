"""Data types of the relay: route tables, routed endpoints and received requests.

A route table defines which service serves a host and path, to how many endpoints a call
may be sent and how long it may take. The types are immutable. Names of durations end in ``_s``,
for seconds; sizes are in tokens or bytes.
"""

import hashlib
import math
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.organisations import Organisation

__all__ = [
    "CallerLimits",
    "EngineProperties",
    "Headers",
    "InboundRequest",
    "KvLocation",
    "Route",
    "RouteKind",
    "RouteTable",
    "RoutedEndpoint",
    "RoutedService",
    "ServiceShare",
]

Headers = tuple[tuple[bytes, bytes], ...]

# Finding another request with the same identity takes 2 ** 63 attempts on average.
_IDENTITY_BYTES = 8


class RouteKind(StrEnum):
    """Whether a call of a route may run more than once, and whether its answer is a stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """Weight of a service in the distribution of a route's calls."""

    service: str
    weight: int


class Route(NamedTuple):
    """One route of a table.

    Attributes:
        name: Name of the route.
        host: Host in the request that the route matches.
        path_prefix: Prefix of the paths that the route matches; starts and ends with ``/``.
        kind: Whether a call may run more than once, and whether it is a stream.
        timeout_s: Maximum time from arrival to the end of the answer.
        target_s: Latency target for the answer, or for the first event of a stream.
        priority: Priority from 0, the most urgent.
        shares: Services of the route, with their weights.
        max_attempts: Maximum number of endpoints that one call may be sent to.
        resumable: Whether a stream may be continued at another endpoint.
        event_gap_target_s: Latency target for the time between two events.
        abandon_after_s: Time without an event after which callers abandon a stream, also before
            its first event.
        max_retry_after_share: Largest retry time (``Retry-After``) that a caller follows, as a
            fraction of its remaining time.
        public: Whether callers need no key, even if the table has organisations.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    resumable: bool = False
    event_gap_target_s: float = math.inf
    abandon_after_s: float = math.inf
    max_retry_after_share: float = 1.0
    public: bool = False


class EngineProperties(NamedTuple):
    """Properties that all model engines of a service share.

    Attributes:
        slots: Maximum number of concurrent requests.
        memory_tokens: Size of the KV cache, in tokens.
        handle_lifetime_s: Time for which the result of a prefill is kept.
        role_switch_s: Duration of a role change.
        hold_s: Maximum duration of a capacity reservation for a stream; 0 if the engines
            don't support reservations.
        event_tokens: Number of output tokens per stream event.
    """

    slots: int
    memory_tokens: int
    handle_lifetime_s: float
    role_switch_s: float
    hold_s: float = 0.0
    event_tokens: int = 1


class RoutedService(NamedTuple):
    """A service that routes refer to; ``engine`` is None for a plain service."""

    name: str
    connection_limit: int
    engine: EngineProperties | None = None


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's request and on the time to send it."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """All routes at one revision.

    Attributes:
        revision: Revision of the table; a higher one is newer, and numbers may be skipped.
        routes: All routes of the table.
        services: Services by name.
        limits: Limits on requests of callers.
        organisations: Organisations whose calls are served; None if all calls are served.
    """

    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, RoutedService]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None


class RoutedEndpoint(NamedTuple):
    """An endpoint as its registration describes it.

    Attributes:
        name: Name of this incarnation of the endpoint. It is never reused, so that the recorded
            state of one incarnation isn't applied to another.
        address: IP address and port.
        data_centre: Data centre in which the endpoint runs.
        service: Service that the endpoint serves.
        role: Prefill or decode for engines, plain otherwise.
        slots: Maximum number of concurrent requests.
        leaving: Whether the endpoint accepts no new work.
        registration: Name under which the endpoint registers and receives requests, the
            same for all incarnations; empty if it equals ``name``.
        born: Start of this incarnation, in milliseconds of the endpoint's own clock; 0 if
            the endpoint does not report it.
        build: Version of the software that the endpoint runs; empty if it is not known. What two
            builds of a service write can't be combined.
    """

    name: str
    address: str
    data_centre: str
    service: str
    role: Role
    slots: int
    leaving: bool = False
    registration: str = ""
    born: int = 0
    build: str = ""

    @property
    def registered_name(self) -> str:
        """Name of the endpoint in requests to it, the same for all its incarnations."""
        return self.registration or self.name


class KvLocation(NamedTuple):
    """Location of the result of a prefill: the address of the engine and the KV handle."""

    address: str
    handle: str


class InboundRequest(NamedTuple):
    """A request as received from a caller.

    Attributes:
        request_id: Identifier that the caller chose for this attempt.
        method: HTTP method as received.
        target: Path and query as received.
        host: Host from the request, without the port.
        headers: Headers to forward, as received.
        body: The complete body.
        arrived_at: Time at which the request head was read.
        deadline: Time at which the caller stops waiting.
        prompt_tokens: Tokens of the prompt; 0 for plain calls.
        max_output_tokens: Maximum number of tokens of the answer.
        estimated_output_tokens: The caller's estimate of the number of output tokens; 0 for none.
        last_event: Number of the last stream event that the caller received; None for none.
        organisation: Name of the calling organisation; empty for none.
        resumes: Identifier of the attempt that brought the first event of the stream that the
            request takes up; empty for none.
        prompt_parts: Names of the parts of the prompt that other requests may share, in their
            order; the last part of a prompt belongs to the request itself.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    arrived_at: float
    deadline: float = math.inf
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    estimated_output_tokens: int = 0
    last_event: int | None = None
    organisation: str = ""
    resumes: str = ""
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def identity(self) -> bytes:
        """Digest of the caller's organisation and the request, equal for all attempts.

        Headers are excluded because they differ between attempts. The hash is cryptographic,
        so that a caller can't construct a request with the identity of another one.
        """
        parts = (self.organisation.encode(), self.host.encode(), self.method, self.target)
        digest = hashlib.blake2b(digest_size=_IDENTITY_BYTES)
        for part in parts:
            digest.update(b"%d:" % len(part))
            digest.update(part)
        digest.update(self.body)
        return digest.digest()
