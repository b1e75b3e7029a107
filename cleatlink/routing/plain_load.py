"""Load of plain services, from the calls of all instances.

Each instance counts its own calls exactly and announces its totals to its peers. The increase of
a peer's totals since its previous message counts as load at the time of receipt. After a lost
message, the next one contains the missing calls; a duplicated or delayed message has no effect.
"""

import math
from collections.abc import Mapping, Set
from enum import Enum, auto
from typing import NamedTuple

from cleatlink.routing.recent_sums import RecentSums

__all__ = [
    "CallOutcome",
    "PeerCallTotals",
    "DemandKey",
    "PlainEndpointLoad",
    "EndpointTotals",
    "PlainLoad",
]

# Window of recent calls, in seconds. An endpoint with a few slots serves some tens of calls in this
# time; older calls describe a queue that no longer exists.
_WINDOW_S = 0.5
# Longest uptime, in seconds, at which the first totals of a peer count as recent calls: they began
# at zero shortly before. Of other peers, only later increases are known to be recent.
_NEW_PEER_UPTIME_S = 1.5
# Longest gap between two messages of a peer, in seconds, after which the increase of its totals
# still counts as recent.
_MAX_MESSAGE_GAP_S = 4.0
# Time for which totals are announced more often after a sign of a full endpoint, in seconds.
_NEARLY_FULL_S = 2.0
# Time after the last message of a peer until its totals are removed, in seconds.
_PEER_RETENTION_S = 60.0
# Time for which totals of an unregistered endpoint are kept, in seconds: it may only have been out
# of reach, and peers ignore totals that are smaller than those they know.
_ENDPOINT_RETENTION_S = 600.0
# Number of ended calls below which an endpoint's service rate is unknown.
_MIN_ENDED_CALLS = 8


class CallOutcome(Enum):
    """Outcome of a call that was sent to an endpoint."""

    # The endpoint ran the call, with or without success.
    COMPLETED = auto()
    # The endpoint did not run the call.
    REFUSED = auto()
    # No answer arrived, or the wait for it was abandoned.
    NO_ANSWER = auto()


class DemandKey(NamedTuple):
    """Identifies the calls of one rank on a service.

    Attributes:
        service: Name of the service.
        rank: Admission rank; calls of a smaller rank are admitted first.
    """

    service: str
    rank: int


class EndpointTotals(NamedTuple):
    """Totals of one instance's calls at an endpoint since the start of the instance.

    Attributes:
        ended: Number of calls that the endpoint ran to their end.
        busy_s: Total time of calls in progress, in seconds, summed over the calls; without the
            instance's own delay.
        refused: Number of calls that the endpoint did not run.
    """

    ended: int = 0
    busy_s: float = 0.0
    refused: int = 0


class PeerCallTotals(NamedTuple):
    """Totals of plain calls that a peer announced.

    Attributes:
        name: Name of the peer.
        incarnation: Incarnation number of the peer; increases with each start.
        uptime_s: Seconds since the start of the peer.
        arrived: Number of calls that it received, by service and rank; all totals, or only
            those that changed.
        endpoints: Its totals at endpoints, by name of the endpoint's incarnation; all totals,
            or only those that changed.
    """

    name: str
    incarnation: int
    uptime_s: float
    arrived: Mapping[DemandKey, int]
    endpoints: Mapping[str, EndpointTotals]


class PlainEndpointLoad(NamedTuple):
    """Recent load of one endpoint from all instances.

    Attributes:
        running: Average number of calls in progress, including those that the endpoint queues.
        ended_per_s: Calls that the endpoint ran to their end, per second.
        refused: Whether the endpoint refused any call.
        rate_is_known: Whether enough calls ended to determine its service rate.
    """

    running: float
    ended_per_s: float
    refused: bool
    rate_is_known: bool


class _OwnCalls:
    """This instance's calls at one endpoint since the start of this instance."""

    __slots__ = ("busy_s", "delay_s", "ended", "refused", "running", "told_busy_s", "updated_at")

    def __init__(self, now: float) -> None:
        self.running = 0
        self.updated_at = now
        self.ended = 0
        self.busy_s = 0.0
        # Part of ``busy_s`` that is the instance's own delay.
        self.delay_s = 0.0
        self.told_busy_s = 0.0
        self.refused = 0

    def totals(self) -> EndpointTotals:
        """Return the totals up to the last update; they never decrease."""
        self.told_busy_s = max(self.told_busy_s, self.busy_s - self.delay_s)
        return EndpointTotals(self.ended, self.told_busy_s, self.refused)


class _PeerTotals:
    """The newest totals that one peer announced."""

    __slots__ = ("arrived", "endpoints", "incarnation", "received_at", "starts_at_zero")

    def __init__(self, incarnation: int, now: float, *, starts_at_zero: bool) -> None:
        self.incarnation = incarnation
        self.received_at = now
        # Whether totals that the peer has not announced yet are zero.
        self.starts_at_zero = starts_at_zero
        self.arrived: dict[DemandKey, int] = {}
        self.endpoints: dict[str, EndpointTotals] = {}


class PlainLoad:
    """Plain calls of all instances; methods take the current time as an argument."""

    def __init__(self, now: float) -> None:
        """Create a record without calls."""
        self._started_at = now
        self._arrived: RecentSums[DemandKey] = RecentSums(_WINDOW_S, now)
        self._own_arrived: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._ended: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._busy_s: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._own_busy_s: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._own_delay_s: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._refused: RecentSums[str] = RecentSums(_WINDOW_S, now)
        self._arrival_totals: dict[DemandKey, int] = {}
        self._own_calls: dict[str, _OwnCalls] = {}
        self._peers: dict[str, _PeerTotals] = {}
        self._nearly_full_until = -math.inf
        self._newest_message_at = -math.inf

    def note_nearly_full(self, now: float) -> None:
        """Record a sign that a service is nearly full."""
        self._nearly_full_until = now + _NEARLY_FULL_S

    def is_nearly_full(self, now: float) -> bool:
        """Check whether there was a recent sign of a nearly full service."""
        return now < self._nearly_full_until

    def newest_message_age_s(self, now: float) -> float | None:
        """Return the seconds since the newest message of any peer; None before the first."""
        return now - self._newest_message_at if math.isfinite(self._newest_message_at) else None

    def note_arrival(self, service: str, rank: int, now: float) -> None:
        """Count the arrival of a call from a caller."""
        key = DemandKey(service, rank)
        self._arrival_totals[key] = self._arrival_totals.get(key, 0) + 1
        self._arrived.add(key, 1.0, now)
        self._own_arrived.add(service, 1.0, now)

    def call_started(self, endpoint_name: str, now: float) -> None:
        """Count the start of a call that is sent to an endpoint."""
        own = self._own_calls.setdefault(endpoint_name, _OwnCalls(now))
        self._add_running_time(endpoint_name, own, now)
        own.running += 1

    def call_ended(
        self, endpoint_name: str, outcome: CallOutcome, now: float, delay_s: float = 0.0
    ) -> None:
        """Count the end of a call that was sent to an endpoint.

        Args:
            endpoint_name: Name of the endpoint's incarnation.
            outcome: Outcome of the call.
            now: The current time.
            delay_s: Seconds of the call for which this instance delayed it, and not the endpoint.
        """
        own = self._own_calls.setdefault(endpoint_name, _OwnCalls(now))
        self._add_running_time(endpoint_name, own, now)
        own.running = max(0, own.running - 1)
        if delay_s:
            own.delay_s += delay_s
            self._own_delay_s.add(endpoint_name, delay_s, now)
        if outcome is CallOutcome.REFUSED:
            own.refused += 1
            self._refused.add(endpoint_name, 1.0, now)
            self.note_nearly_full(now)
        elif outcome is CallOutcome.COMPLETED:
            own.ended += 1
            self._ended.add(endpoint_name, 1.0, now)

    def _add_running_time(self, endpoint_name: str, own: _OwnCalls, now: float) -> None:
        """Add the time of calls in progress since the last update."""
        busy_s = own.running * max(0.0, now - own.updated_at)
        own.updated_at = now
        if busy_s:
            own.busy_s += busy_s
            recent_s = min(busy_s, own.running * _WINDOW_S)
            self._busy_s.add(endpoint_name, recent_s, now)
            self._own_busy_s.add(endpoint_name, recent_s, now)

    def endpoint_totals(self, now: float) -> dict[str, EndpointTotals]:
        """Return this instance's totals at endpoints since its start."""
        for endpoint_name, own in self._own_calls.items():
            if own.running:
                self._add_running_time(endpoint_name, own, now)
        return {endpoint_name: own.totals() for endpoint_name, own in self._own_calls.items()}

    @property
    def arrival_totals(self) -> dict[DemandKey, int]:
        """Number of calls that this instance received since its start, by service and rank."""
        return self._arrival_totals

    def uptime_s(self, now: float) -> float:
        """Return the seconds since the start of this instance."""
        return now - self._started_at

    def update_peer(self, announced: PeerCallTotals, now: float) -> None:
        """Update the totals of a peer from its message."""
        peer = self._peers.get(announced.name)
        if peer is None or peer.incarnation < announced.incarnation:
            starts_at_zero = announced.uptime_s <= _NEW_PEER_UPTIME_S
            peer = self._peers[announced.name] = _PeerTotals(
                announced.incarnation, now, starts_at_zero=starts_at_zero
            )
        if peer.incarnation > announced.incarnation:
            return
        self._newest_message_at = now
        is_recent = now - peer.received_at <= _MAX_MESSAGE_GAP_S
        peer.received_at = now
        for key, count in announced.arrived.items():
            previous = peer.arrived.get(key, 0 if peer.starts_at_zero else count)
            peer.arrived[key] = max(previous, count)
            if is_recent and count > previous:
                self._arrived.add(key, count - previous, now)
        for endpoint_name, totals in announced.endpoints.items():
            self._update_endpoint(peer, endpoint_name, totals, now if is_recent else None)

    def _update_endpoint(
        self, peer: _PeerTotals, endpoint_name: str, totals: EndpointTotals, now: float | None
    ) -> None:
        """Update a peer's totals at one endpoint; if ``now`` is None, only as a later baseline."""
        previous = peer.endpoints.get(
            endpoint_name, EndpointTotals() if peer.starts_at_zero else totals
        )
        if totals.ended < previous.ended or totals.busy_s < previous.busy_s:
            return
        peer.endpoints[endpoint_name] = totals
        if now is None:
            return
        self._ended.add(endpoint_name, totals.ended - previous.ended, now)
        self._busy_s.add(endpoint_name, totals.busy_s - previous.busy_s, now)
        if totals.refused > previous.refused:
            self._refused.add(endpoint_name, totals.refused - previous.refused, now)

    def endpoint_load(self, endpoint_name: str, now: float) -> PlainEndpointLoad:
        """Return the recent load of an endpoint."""
        own = self._own_calls.get(endpoint_name)
        if own is not None and own.running:
            self._add_running_time(endpoint_name, own, now)
        delayed = self._own_delay_s.rate(endpoint_name, now)
        return PlainEndpointLoad(
            max(0.0, self._busy_s.rate(endpoint_name, now) - delayed),
            self._ended.rate(endpoint_name, now),
            self._refused.sum(endpoint_name, now) > 0,
            self._ended.sum(endpoint_name, now) >= _MIN_ENDED_CALLS,
        )

    def peers_running(self, endpoint_name: str, now: float) -> float:
        """Return the recent average number of peers' calls in progress at an endpoint."""
        return max(
            0.0, self._busy_s.rate(endpoint_name, now) - self._own_busy_s.rate(endpoint_name, now)
        )

    def arrival_rates(self, service: str, now: float) -> dict[int, float]:
        """Return the recent calls per second on a service from all instances, by rank."""
        rates = self._arrived.rates(now)
        return {key.rank: rate for key, rate in rates.items() if key.service == service}

    def own_arrival_rate(self, service: str, now: float) -> float:
        """Return the recent calls per second on a service at this instance."""
        return self._own_arrived.rate(service, now)

    def remove_stale(self, registered: Set[str], now: float) -> None:
        """Remove totals of endpoints that are gone and of peers that stopped sending.

        Args:
            registered: Names of the registered incarnations of endpoints.
            now: The current time.
        """
        obsolete = [
            endpoint_name
            for endpoint_name, own in self._own_calls.items()
            if endpoint_name not in registered
            and not own.running
            and now - own.updated_at > _ENDPOINT_RETENTION_S
        ]
        for endpoint_name in obsolete:
            del self._own_calls[endpoint_name]
        stopped = [
            name for name, peer in self._peers.items() if now - peer.received_at > _PEER_RETENTION_S
        ]
        for name in stopped:
            del self._peers[name]
        for peer in self._peers.values():
            if not peer.endpoints.keys() <= registered:
                peer.endpoints = {
                    endpoint_name: totals
                    for endpoint_name, totals in peer.endpoints.items()
                    if endpoint_name in registered
                }
