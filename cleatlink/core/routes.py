"""Vocabulary of the relay: route tables, routed endpoints and calls on their way.

A route table says which service serves a host and path, how often a call may
be sent and how long it may take. Like the rest of the vocabulary these are
immutable; durations end in ``_s`` and are seconds, sizes in tokens or bytes.
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
    "EngineTraits",
    "Headers",
    "Inbound",
    "KvSource",
    "Route",
    "RouteKind",
    "RouteTable",
    "RoutedEndpoint",
    "RoutedService",
    "ServiceShare",
]

Headers = tuple[tuple[bytes, bytes], ...]

# A request that is made to match a given one takes 2 ** 63 tries in the mean.
_IDENTITY_BYTES = 8


class RouteKind(StrEnum):
    """How often a call of a route may run, and how it is answered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """The share of a route's calls that a service gets."""

    service: str
    weight: int


class Route(NamedTuple):
    """One route of a table.

    Attributes:
        name: Its name.
        host: Host that callers name.
        path_prefix: Beginning of the paths it serves; begins and ends with ``/``.
        kind: How often a call may run.
        timeout_s: Longest time from arrival to the end of the answer.
        target_s: Time within which an answer (a stream's first event) is in time.
        priority: From 0, the most urgent.
        shares: Services that serve it, with their weights.
        max_attempts: Most endpoints that one call may be sent to.
        resumable: Whether a stream may be continued at another endpoint.
        event_gap_s: Longest pause between events that is in time.
        patience_s: Silence after which callers leave a stream, also before its first event.
        heeded_share: Share of the time that is left to a caller up to which it heeds a
            time to come back.
        public: Whether callers need no key, also where there are organisations.
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
    event_gap_s: float = math.inf
    patience_s: float = math.inf
    heeded_share: float = 1.0
    public: bool = False


class EngineTraits(NamedTuple):
    """What the model engines of a service have in common.

    Attributes:
        slots: Requests that run at once.
        memory_tokens: Tokens of KV cache.
        handle_lifetime_s: Seconds for which a prefill's result is kept.
        role_switch_s: Seconds that a change of role takes.
        hold_s: Longest time for which room can be held for a stream; 0 if it can't.
        event_tokens: Tokens of the answer that one event of a stream carries.
    """

    slots: int
    memory_tokens: int
    handle_lifetime_s: float
    role_switch_s: float
    hold_s: float = 0.0
    event_tokens: int = 1


class RoutedService(NamedTuple):
    """A service that routes name; ``engine`` is None for a plain one."""

    name: str
    connection_limit: int
    engine: EngineTraits | None = None


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """One revision of all routes.

    Attributes:
        revision: Orders tables; may have gaps.
        routes: The routes.
        services: Services by name.
        limits: Bounds on what callers may send.
        organisations: Whose calls are served; None where everybody's are.
    """

    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, RoutedService]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None


class RoutedEndpoint(NamedTuple):
    """An endpoint as its registration describes it.

    Attributes:
        name: Name of this life; used nowhere else, so that nothing known of one life is taken
            for another one's.
        address: IP number and port.
        data_centre: Where it runs.
        service: Service that it serves.
        role: Prefill or decode for engines, plain otherwise.
        slots: Requests it works on at once.
        leaving: Whether it takes no new work.
        registration: Name that it registers under and answers to, in all its lives; empty where
            it is the name of this life.
        born: When this life began, in milliseconds of the endpoint's own clock; 0 if it does
            not say.
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

    @property
    def answers_to(self) -> str:
        """The name that requests to it carry."""
        return self.registration or self.name


class KvSource(NamedTuple):
    """Where a prefill's result waits: the engine's address and its handle."""

    address: str
    handle: str


class Inbound(NamedTuple):
    """A caller's request as received.

    Attributes:
        request_id: The caller's name for this attempt.
        method: As sent.
        target: Path and query as sent.
        host: Host named by the caller, without its port.
        headers: Headers to pass on, as sent.
        body: The whole body.
        arrived_at: When its head was read.
        deadline: When the caller stops waiting.
        prompt_tokens: Tokens of the prompt; 0 for plain calls.
        max_output_tokens: Most tokens of the answer.
        output_hint: The caller's estimate of the answer's tokens; 0 for none.
        last_event: Last event that the caller has of a stream; None for none.
        organisation: Name of the organisation that asks; empty for none.
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
    output_hint: int = 0
    last_event: int | None = None
    organisation: str = ""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def identity(self) -> bytes:
        """Who asks for what, as a digest: each try of one request has the same one.

        Headers are left out, since they change from try to try. The hash is a cryptographic one:
        nobody can make a request that is taken for another one.
        """
        parts = (self.organisation.encode(), self.host.encode(), self.method, self.target)
        digest = hashlib.blake2b(digest_size=_IDENTITY_BYTES)
        for part in parts:
            digest.update(b"%d:" % len(part))
            digest.update(part)
        digest.update(self.body)
        return digest.digest()
