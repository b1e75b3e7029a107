"""Decides when a stream leaves free capacity to streams that wait at other instances.

Each instance has its own wait queue. With few instances, the first stream to see free
capacity may take it. With many instances, a stream that has just arrived at one of them would
take the capacity for which more urgent or older streams wait at others. So instances report
their wait queues to each other, and each counts the streams queued ahead of its own. All use
the same order: streams that can still be in time come first, and then streams are sorted by
their arrival time, less a head start for their urgency.

The weight of a report falls with its age, and reports expire after a short time, so that an
instance that has stopped or is disconnected delays no stream. The head start is bounded, and
a random share of the less urgent streams gets the highest urgency, so that the most urgent
streams never take all of the capacity.
"""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cleatlink.routing.fleet_sizes import MAX_DIRECT_PEERS

__all__ = [
    "HEAD_START_PER_POINT_S",
    "NONE_AHEAD",
    "QueuedAhead",
    "QueuedStream",
    "YieldLimit",
    "SharedWaitQueues",
    "WaitingGroup",
    "WaitQueueReport",
    "compute_effective_arrival",
    "urgency_of",
]

# Head start for each point of urgency, in seconds.
HEAD_START_PER_POINT_S = 0.1
# Points of urgency for each priority level. Urgent streams that wait for less than this head
# start can still be in time, and other streams wait at most about twice as long.
_POINTS_PER_PRIORITY = 20
# Points for each priority level of a route, and the least urgent level that counts. They order
# streams of organisations with equal priority, so their product stays below the points for one
# priority level of an organisation.
_POINTS_PER_ROUTE_PRIORITY = 9
_MAX_ROUTE_PRIORITY = 2
# Age up to which a report counts in full, in seconds; instances repeat their reports sooner.
_FULL_WEIGHT_AGE_S = 0.6
# Age from which a report no longer counts, in seconds; its weight falls linearly until then.
_MAX_REPORT_AGE_S = 1.0
# Longest time that a stream leaves free capacity to streams queued ahead, in seconds. If they
# have not taken it by then, they do not want it. A large part of this time passes before other
# instances learn of the free capacity.
_MAX_YIELD_S = 0.4
# Largest share of the less urgent streams that gets the highest urgency at random.
_PROMOTED_SHARE = 0.25
# Urgency of the most urgent priority level.
_MAX_URGENCY = 0


class WaitingGroup(NamedTuple):
    """Streams of one service and urgency that wait at one instance.

    Attributes:
        service: The service.
        urgency: Urgency of each stream; larger values go first.
        is_late: Whether they will be late even if they are placed now.
        streams: Number of waiting streams.
        tokens: Total memory that they hold when they end, in tokens.
        oldest_s: Seconds since the oldest of them arrived.
        slack_s: Longest time that any of them can still wait and be in time, in seconds.
    """

    service: str
    urgency: int
    is_late: bool
    streams: int
    tokens: int
    oldest_s: float
    slack_s: float = math.inf


class WaitQueueReport(NamedTuple):
    """The wait queue of one instance.

    Attributes:
        name: Name of the instance.
        incarnation: Number that grows with each start of the instance.
        number: Number that grows with each report of one incarnation.
        data_centre: Data centre in which the instance runs.
        groups: The waiting streams, in groups; empty if none wait.
    """

    name: str
    incarnation: int
    number: int
    data_centre: str
    groups: tuple[WaitingGroup, ...]


class QueuedStream(NamedTuple):
    """A stream that asks for capacity now.

    Attributes:
        service: The service.
        effective_arrival: Arrival time less the head start; smaller values go first.
        is_late: Whether the stream will be late even if it is placed now.
    """

    service: str
    effective_arrival: float
    is_late: bool


class QueuedAhead(NamedTuple):
    """The streams that are queued ahead of a stream.

    Attributes:
        streams: Number of streams.
        tokens: Mean memory that one of them holds when it ends, in tokens.
    """

    streams: int
    tokens: int

    def fits_in(self, capacity: int) -> bool:
        """Check whether there is capacity for all of them.

        Args:
            capacity: Number of streams of their size that can be placed.
        """
        return self.streams <= capacity


NONE_AHEAD = QueuedAhead(0, 0)


class YieldLimit:
    """Limits how long one stream leaves free capacity to others that do not take it."""

    def __init__(self) -> None:
        self._yielding_since: float | None = None
        self._last_seen_at = 0.0
        self._yield_count = 0

    @property
    def yield_count(self) -> int:
        """The number of times that the stream left free capacity to others."""
        return self._yield_count

    def may_take(self, ahead: QueuedAhead, capacity: int, now: float) -> bool:
        """Check whether the stream may take the capacity that is free now.

        Args:
            ahead: The streams queued ahead of it.
            capacity: Number of those streams that can be placed in addition to this one.
            now: The current time.
        """
        if ahead.fits_in(capacity):
            return True
        if self._yielding_since is None or now - self._last_seen_at > _MAX_YIELD_S:
            # The last check is too long ago: the capacity may have been taken and freed since.
            self._yielding_since = now
            self._yield_count += 1
        self._last_seen_at = now
        return now - self._yielding_since >= _MAX_YIELD_S

    def note_no_capacity(self) -> None:
        """Note that no capacity is free: other streams took it."""
        self._yielding_since = None


class _ReceivedReport(NamedTuple):
    """A report and the time at which it was received."""

    report: WaitQueueReport
    received_at: float


def urgency_of(priority: int, route_priority: int = 0) -> int:
    """Return the urgency of a stream in a fleet of many instances; larger values go first.

    Args:
        priority: Priority of the stream's organisation, or of its route if the organisation
            has none; 0 is the most urgent.
        route_priority: Priority of the stream's route if its organisation has a priority too.
            It orders only streams whose organisations have equal priority.
    """
    route_points = _POINTS_PER_ROUTE_PRIORITY * min(_MAX_ROUTE_PRIORITY, route_priority)
    return -(_POINTS_PER_PRIORITY * priority + route_points)


def compute_effective_arrival(
    arrived_at: float, urgency: int, head_start_s: float = HEAD_START_PER_POINT_S
) -> float:
    """Return the arrival time less the head start; streams with smaller values go first.

    Args:
        arrived_at: Time at which the stream arrived.
        urgency: Urgency of the stream.
        head_start_s: Head start for each point of urgency, in seconds.
    """
    return arrived_at - urgency * head_start_s


class SharedWaitQueues:
    """The wait queues of other instances; methods take the current time as an argument."""

    def __init__(self, *, is_on: bool = True) -> None:
        """Start without any reports.

        Args:
            is_on: Whether streams leave capacity to streams at other instances at all.
        """
        self._is_on = is_on
        self._received: dict[str, _ReceivedReport] = {}
        self._peer_count = 0
        self._on_change: Callable[[], None] = _ignore
        self._local_source: Callable[[], Sequence[WaitingGroup]] = tuple

    @property
    def is_large_group(self) -> bool:
        """Whether there are so many instances that few have two or more waiting streams."""
        return self._peer_count > MAX_DIRECT_PEERS

    @property
    def is_in_use(self) -> bool:
        """Whether instances report their wait queues to each other."""
        return self._is_on and self.is_large_group

    def set_peer_count(self, peer_count: int) -> None:
        """Set the number of other instances."""
        self._peer_count = peer_count

    def set_change_listener(self, on_change: Callable[[], None]) -> None:
        """Register the function to call when the local wait queue has changed."""
        self._on_change = on_change

    def set_local_source(self, local_source: Callable[[], Sequence[WaitingGroup]]) -> None:
        """Set the function that returns the groups in the local wait queue."""
        self._local_source = local_source

    def notify_change(self) -> None:
        """Note that the local wait queue has changed."""
        if self.is_in_use:
            self._on_change()

    def local_groups(self) -> Sequence[WaitingGroup]:
        """Return the groups in the local wait queue."""
        return self._local_source()

    def add_report(self, report: WaitQueueReport, now: float) -> None:
        """Store an instance's report; ignore one that is not newer than the known one."""
        known = self._received.get(report.name)
        if known is not None and _report_order(report) <= _report_order(known.report):
            return
        self._received[report.name] = _ReceivedReport(report, now)

    def remove_report(self, name: str) -> None:
        """Delete the report of an instance."""
        self._received.pop(name, None)

    def queued_ahead(self, stream: QueuedStream, now: float) -> QueuedAhead:
        """Return the streams at other instances that are queued ahead of a stream."""
        if not self._is_on:
            return NONE_AHEAD
        count = tokens = 0.0
        for received in self._received.values():
            weight = _report_weight(now - received.received_at)
            if not weight:
                continue
            for group in received.report.groups:
                if group.service != stream.service or group.streams <= 0:
                    continue
                share = weight * _share_ahead_of(group, received.received_at, stream, now)
                count += share * group.streams
                tokens += share * group.tokens
        # A weighted count of up to half a stream counts as none.
        stream_count = round(count)
        return QueuedAhead(stream_count, int(tokens / count)) if stream_count else NONE_AHEAD

    def draw_urgency(self, service: str, urgency: int, rng: random.Random, now: float) -> int:
        """Return a stream's urgency; a random share of all streams gets the highest one.

        The share is smaller if few of the waiting streams are more urgent than this one, since
        those leave capacity to the less urgent anyway.

        Args:
            service: The service.
            urgency: Urgency according to the stream's priority.
            rng: Source of random numbers.
            now: The current time.
        """
        if not self.is_in_use or urgency >= _MAX_URGENCY:
            return urgency
        more_urgent = others = 1.0
        for received in self._received.values():
            weight = _report_weight(now - received.received_at)
            for group in received.report.groups:
                if group.service == service and group.urgency > urgency:
                    more_urgent += weight * group.streams
                elif group.service == service:
                    others += weight * group.streams
        share = _PROMOTED_SHARE * min(1.0, more_urgent / others)
        return _MAX_URGENCY if rng.random() < share else urgency

    def count_by_data_centre(self, service: str, now: float) -> dict[str, int]:
        """Return the number of streams that wait for a service, by data centre of the instance.

        Streams that wait at this instance do not count.
        """
        counts: dict[str, float] = {}
        for received in self._received.values():
            waiting = sum(
                item.streams for item in received.report.groups if item.service == service
            )
            weighted = _report_weight(now - received.received_at) * waiting
            data_centre = received.report.data_centre
            counts[data_centre] = counts.get(data_centre, 0.0) + weighted
        return {name: round(count) for name, count in counts.items() if round(count)}


def _ignore() -> None:
    """Do nothing; called on changes until a listener is registered."""


def _report_order(report: WaitQueueReport) -> tuple[int, int]:
    return report.incarnation, report.number


def _report_weight(age_s: float) -> float:
    """Return the weight of a report of the given age, from 0 to 1."""
    if age_s <= _FULL_WEIGHT_AGE_S:
        return 1.0
    return max(0.0, (_MAX_REPORT_AGE_S - age_s) / (_MAX_REPORT_AGE_S - _FULL_WEIGHT_AGE_S))


def _share_ahead_of(
    group: WaitingGroup, received_at: float, stream: QueuedStream, now: float
) -> float:
    """Return the share of a group that is queued ahead of a stream.

    Only the arrival of the oldest stream of a group is known; the others are assumed to have
    arrived at even intervals since.
    """
    is_late = group.is_late or now - received_at > group.slack_s
    if is_late != stream.is_late:
        return 0.0 if is_late else 1.0
    oldest = compute_effective_arrival(received_at - group.oldest_s, group.urgency)
    newest = compute_effective_arrival(received_at, group.urgency)
    if stream.effective_arrival <= oldest:
        return 0.0
    if stream.effective_arrival >= newest or group.streams == 1:
        return 1.0
    before = 1 + (group.streams - 1) * (stream.effective_arrival - oldest) / (newest - oldest)
    return min(1.0, before / group.streams)
