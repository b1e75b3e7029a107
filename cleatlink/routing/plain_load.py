"""What plain services have to do, by the calls of all instances.

Each instance counts its own calls exactly and tells its totals; what a peer's totals grew by
since it told before counts as of now. A lost message is made up for by the next one, and one
that comes twice or late changes nothing.
"""

import math
from collections.abc import Mapping, Set
from enum import Enum, auto
from typing import NamedTuple

from cleatlink.routing.windows import RecentSums

__all__ = ["CallEnd", "CallTotals", "Demand", "EndpointLoad", "EndpointTotals", "PlainLoad"]

# Some tens of calls that endpoints of a few places serve: older ones tell of a queue that is gone.
_WINDOW_S = 0.5
# Totals of a peer that started so lately began at zero within the window; of others, only what
# they grow by is known to be new.
_YOUNG_S = 1.5
# What a peer told before a silence of so long is no base for what it tells after it.
_SILENCE_S = 4.0
# After signs of a full endpoint, calls are told of more often for so long.
_BUSY_S = 2.0
# Peers that have been silent for so long are forgotten.
_FORGET_S = 60.0
# Totals at an endpoint that is gone are kept for so long: it may only have been out of sight, and
# what peers know of them never falls.
_KEPT_S = 600.0
# Fewer calls that came to their end tell too little of an endpoint's pace.
_FEW_CALLS = 8


class CallEnd(Enum):
    """What a call that was sent to an endpoint came to there."""

    # It was served, or failed by the endpoint.
    RAN = auto()
    # The endpoint did not run it.
    REFUSED = auto()
    # No answer was waited for, or came.
    LOST = auto()


class Demand(NamedTuple):
    """Calls of one rank on a service.

    Attributes:
        service: The service.
        rank: Smaller is served first.
    """

    service: str
    rank: int


class EndpointTotals(NamedTuple):
    """What an instance had at an endpoint since the instance's start.

    Attributes:
        ended: Calls that came to their end.
        busy_s: Seconds of calls in progress, summed over the calls.
        refused: Calls that it did not run.
    """

    ended: int = 0
    busy_s: float = 0.0
    refused: int = 0


class CallTotals(NamedTuple):
    """What a peer told of its plain calls.

    Attributes:
        name: The peer.
        incarnation: Grows with each start of it.
        age_s: Seconds since its start.
        arrived: Calls that it got, by service and rank; all, or those that changed.
        endpoints: What it had at endpoints, by life; all, or those that changed.
    """

    name: str
    incarnation: int
    age_s: float
    arrived: Mapping[Demand, int]
    endpoints: Mapping[str, EndpointTotals]


class EndpointLoad(NamedTuple):
    """What one endpoint had to do lately, for all instances.

    Attributes:
        running: Calls in progress, on the average; those that it queues count.
        ended_per_s: Calls that came to their end, a second.
        refused: Whether it refused any.
        is_known: Whether enough calls ended to tell its pace.
    """

    running: float
    ended_per_s: float
    refused: bool
    is_known: bool


class _OwnCalls:
    """This instance's calls at one endpoint."""

    __slots__ = ("busy_s", "ended", "refused", "running", "since")

    def __init__(self, now: float) -> None:
        self.running = 0
        self.since = now
        self.ended = 0
        self.busy_s = 0.0
        self.refused = 0

    def totals(self) -> EndpointTotals:
        """Give the totals as of the last step."""
        return EndpointTotals(self.ended, self.busy_s, self.refused)


class _Peer:
    """The newest totals of one peer."""

    __slots__ = ("arrived", "endpoints", "heard_at", "incarnation", "is_whole")

    def __init__(self, incarnation: int, now: float, *, is_whole: bool) -> None:
        self.incarnation = incarnation
        self.heard_at = now
        # Whether what it did not tell yet is zero.
        self.is_whole = is_whole
        self.arrived: dict[Demand, int] = {}
        self.endpoints: dict[str, EndpointTotals] = {}


class PlainLoad:
    """The plain calls of all instances; every method takes the time as an argument."""

    def __init__(self, now: float) -> None:
        """Start without any."""
        self._begun_at = now
        self._arrived: RecentSums[Demand] = RecentSums(_WINDOW_S, now)
        self._own_arrived: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._ended: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._busy: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._own_busy: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._refused: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._totals: dict[Demand, int] = {}
        self._own: dict[str, _OwnCalls] = {}
        self._peers: dict[str, _Peer] = {}
        self._busy_until = -math.inf
        self._heard_at = -math.inf

    def note_busy(self, now: float) -> None:
        """Note a sign that a service is nearly full."""
        self._busy_until = now + _BUSY_S

    def is_busy(self, now: float) -> bool:
        """Tell whether there was a sign of a full service just now."""
        return now < self._busy_until

    def heard_ago_s(self, now: float) -> float | None:
        """Give the age of the newest word of a peer; None before the first."""
        return now - self._heard_at if math.isfinite(self._heard_at) else None

    def note_arrival(self, service: str, rank: int, now: float) -> None:
        """Count a call of a caller."""
        key = Demand(service, rank)
        self._totals[key] = self._totals.get(key, 0) + 1
        self._arrived.add(key, 1.0, now)
        self._own_arrived.add(service, 1.0, now)

    def begin(self, life: str, now: float) -> None:
        """Count a call that is sent to an endpoint."""
        own = self._own.setdefault(life, _OwnCalls(now))
        self._accrue(life, own, now)
        own.running += 1

    def end(self, life: str, outcome: CallEnd, now: float) -> None:
        """Count the end of a call that was sent to an endpoint."""
        own = self._own.setdefault(life, _OwnCalls(now))
        self._accrue(life, own, now)
        own.running = max(0, own.running - 1)
        if outcome is CallEnd.REFUSED:
            own.refused += 1
            self._refused.add(life, 1.0, now)
            self.note_busy(now)
        elif outcome is CallEnd.RAN:
            own.ended += 1
            self._ended.add(life, 1.0, now)

    def _accrue(self, life: str, own: _OwnCalls, now: float) -> None:
        """Count the time of calls in progress up to now."""
        busy_s = own.running * max(0.0, now - own.since)
        own.since = now
        if busy_s:
            own.busy_s += busy_s
            recent_s = min(busy_s, own.running * _WINDOW_S)
            self._busy.add(life, recent_s, now)
            self._own_busy.add(life, recent_s, now)

    def totals(self, now: float) -> dict[str, EndpointTotals]:
        """Give what this instance had at endpoints since its start."""
        for life, own in self._own.items():
            if own.running:
                self._accrue(life, own, now)
        return {life: own.totals() for life, own in self._own.items()}

    @property
    def arrivals(self) -> dict[Demand, int]:
        """Calls that this instance got since its start."""
        return self._totals

    def age_s(self, now: float) -> float:
        """Give the seconds since this instance's start."""
        return now - self._begun_at

    def take(self, told: CallTotals, now: float) -> None:
        """Take the totals of a peer."""
        peer = self._peers.get(told.name)
        if peer is None or peer.incarnation < told.incarnation:
            is_whole = told.age_s <= _YOUNG_S
            peer = self._peers[told.name] = _Peer(told.incarnation, now, is_whole=is_whole)
        if peer.incarnation > told.incarnation:
            return
        self._heard_at = now
        is_news = now - peer.heard_at <= _SILENCE_S
        peer.heard_at = now
        for key, count in told.arrived.items():
            known = peer.arrived.get(key, 0 if peer.is_whole else count)
            peer.arrived[key] = max(known, count)
            if is_news and count > known:
                self._arrived.add(key, count - known, now)
        for life, totals in told.endpoints.items():
            self._take_endpoint(peer, life, totals, now if is_news else None)

    def _take_endpoint(
        self, peer: _Peer, life: str, totals: EndpointTotals, now: float | None
    ) -> None:
        """Take a peer's totals at one endpoint; without a time, only as a base for later ones."""
        known = peer.endpoints.get(life, EndpointTotals() if peer.is_whole else totals)
        if totals.ended < known.ended or totals.busy_s < known.busy_s:
            return
        peer.endpoints[life] = totals
        if now is None:
            return
        self._ended.add(life, totals.ended - known.ended, now)
        self._busy.add(life, totals.busy_s - known.busy_s, now)
        if totals.refused > known.refused:
            self._refused.add(life, totals.refused - known.refused, now)

    def endpoint(self, life: str, now: float) -> EndpointLoad:
        """Give what an endpoint had to do lately."""
        own = self._own.get(life)
        if own is not None and own.running:
            self._accrue(life, own, now)
        return EndpointLoad(
            self._busy.rate(life, now),
            self._ended.rate(life, now),
            self._refused.sum(life, now) > 0,
            self._ended.sum(life, now) >= _FEW_CALLS,
        )

    def others_running(self, life: str, now: float) -> float:
        """Give the calls that peers had in progress at an endpoint lately, on the average."""
        return max(0.0, self._busy.rate(life, now) - self._own_busy.rate(life, now))

    def demand(self, service: str, now: float) -> dict[int, float]:
        """Give the calls on a service a second, by rank, from all instances."""
        rates = self._arrived.rates(now)
        return {key.rank: rate for key, rate in rates.items() if key.service == service}

    def own_rate(self, service: str, now: float) -> float:
        """Give the calls on a service a second that this instance gets."""
        return self._own_arrived.rate(service, now)

    def forget(self, lives: Set[str], now: float) -> None:
        """Forget endpoints that are gone, and peers that have been silent for long.

        Args:
            lives: Lives that are registered.
            now: The time.
        """
        gone = [
            life
            for life, own in self._own.items()
            if life not in lives and not own.running and now - own.since > _KEPT_S
        ]
        for life in gone:
            del self._own[life]
        silent = [name for name, peer in self._peers.items() if now - peer.heard_at > _FORGET_S]
        for name in silent:
            del self._peers[name]
        for peer in self._peers.values():
            if not peer.endpoints.keys() <= lives:
                peer.endpoints = {
                    life: totals for life, totals in peer.endpoints.items() if life in lives
                }
