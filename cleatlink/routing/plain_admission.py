"""Admission control for plain calls when a service cannot serve all of them in time.

Overload arises when the rate of calls exceeds what the endpoints of a service can sustain, as in
a burst or after the loss of some endpoints. Endpoints queue the calls that they accept, so that
without admission control every served call is late. Here the instances send only as many calls as
the endpoints can sustain, the most urgent first, and refuse the rest early, while a retry can
still be served in time. All instances use the same totals, and each admits the same share of its
own callers' calls, so no instance has to ask another.
"""

import math
from bisect import insort
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.plain_load import PlainEndpointLoad

__all__ = [
    "AdmissionQueue",
    "ServiceLoad",
    "Ticket",
    "sustainable_rate",
    "measure_service_load",
    "admission_rank",
    "retry_after_s",
    "admitted_shares",
]

# Share of the slots in use below which no call is refused.
_NO_REFUSAL_FILL = 0.5
# Calls at an endpoint, relative to its slots, up to which its queue counts as short: a call waits
# no longer than its own service takes.
_MAX_SHORT_QUEUE_FILL = 2.0
# An endpoint with a longer queue gets less than its service rate until the queue is empty, but at
# least this share of it, because the measured queue may already be empty.
_MIN_DRAIN_SHARE = 0.6
# Smallest admitted share of each rank: prevents starvation, and reveals a wrong estimate.
_MIN_ADMITTED_SHARE = 0.05
# Longest wait of a call for admission, as a share of its target latency: after a later refusal, a
# retry could hardly be served in time.
MAX_WAIT_SHARE = 0.25
# Longest admission queue of a service, in calls: bounds the memory of waiting calls at any rate.
_MAX_QUEUE_LENGTH = 64
# Upper limit of the admission credit that may accumulate, in calls.
_MAX_CREDIT = 2.0
# Upper bound of the rounding error of a sum of shares.
_ROUNDING_ERROR = 1e-9
# Number of distinct priorities; a less urgent call gets the least urgent of these.
_PRIORITY_COUNT = 8
# Shortest retry delay, in seconds: the time that a queue takes to empty.
_MIN_RETRY_S = 0.25
# Longest retry delay, also for callers without a deadline, in seconds: longer than most overloads
# of this kind last.
_MAX_RETRY_S = 3.0


class ServiceLoad(NamedTuple):
    """Load of a service and the call rate that it can sustain.

    Attributes:
        sustainable_per_s: Calls per second that its endpoints can sustain; infinite if unknown.
        fill: Calls in progress and in the endpoints' queues, relative to all slots.
    """

    sustainable_per_s: float
    fill: float

    @property
    def has_free_capacity(self) -> bool:
        """Whether enough slots are free that no call may be refused."""
        return self.fill < _NO_REFUSAL_FILL or not math.isfinite(self.sustainable_per_s)


def admission_rank(priority: int, *, retried_in_time: bool = False, repeated: bool = False) -> int:
    """Return the admission rank of a call; calls of a smaller rank are admitted first.

    Args:
        priority: Priority of the call; 0 is the most urgent.
        retried_in_time: Whether the call was refused before and is retried at the time that the
            refusal named.
        repeated: Whether the call was sent to an endpoint before, or is retried too early; such
            a call ranks behind all others.
    """
    priority = min(max(priority, 0), _PRIORITY_COUNT - 1)
    if repeated:
        return 2 * (_PRIORITY_COUNT + priority)
    return 2 * priority + (not retried_in_time)


def sustainable_rate(endpoint: RoutedEndpoint, load: PlainEndpointLoad, typical_s: float) -> float:
    """Return the calls per second that an endpoint can sustain without a queue.

    A full endpoint sustains the rate at which it completes calls. For an endpoint with free
    slots, that rate is divided by the share of the slots in use. An endpoint that refuses calls
    sustains no more than it completes, but still gets a few calls to test it.

    Args:
        endpoint: The endpoint.
        load: Its recent load.
        typical_s: Typical duration of a call there, in seconds; 0 if unknown.

    Returns:
        The rate; infinite if unknown.
    """
    slots = max(1, endpoint.slots)
    fill = load.running / slots
    if load.refused:
        test_rate = _MIN_ADMITTED_SHARE * slots / typical_s if typical_s else 0.0
        return max(load.ended_per_s * _MIN_DRAIN_SHARE, test_rate, _MIN_ADMITTED_SHARE)
    if load.rate_is_known and fill > 0:
        rate = load.ended_per_s / min(1.0, fill)
        return rate * max(_MIN_DRAIN_SHARE, min(1.0, _MAX_SHORT_QUEUE_FILL / fill))
    return slots / typical_s if typical_s else math.inf


def measure_service_load(
    endpoints: Iterable[RoutedEndpoint],
    loads: Mapping[str, PlainEndpointLoad],
    typical_s: Mapping[str, float],
) -> ServiceLoad:
    """Return the load of a service.

    Args:
        endpoints: Its reachable endpoints.
        loads: Recent load of each endpoint, by endpoint name.
        typical_s: Typical duration of a call, in seconds, by endpoint name; 0 if unknown.
    """
    per_s = running = 0.0
    slots = 0
    for endpoint in endpoints:
        load = loads[endpoint.name]
        per_s += sustainable_rate(endpoint, load, typical_s[endpoint.name])
        slots += max(1, endpoint.slots)
        # An endpoint that refuses calls has no free slot, even if fewer calls are known.
        running += max(load.running, endpoint.slots) if load.refused else load.running
    return ServiceLoad(per_s, running / slots if slots else 0.0)


def admitted_shares(demand: Mapping[int, float], per_s: float) -> dict[int, float]:
    """Return the admitted share of calls by rank; smaller ranks are admitted first.

    Args:
        demand: Calls per second, by rank.
        per_s: Calls per second that the service can sustain.
    """
    remaining_per_s = per_s
    result = {}
    for rank in sorted(demand):
        rate = demand[rank]
        share = min(1.0, remaining_per_s / rate) if rate > 0 else 1.0
        result[rank] = max(_MIN_ADMITTED_SHARE, share)
        remaining_per_s = max(0.0, remaining_per_s - rate * result[rank])
    return result


def retry_after_s(slack_s: float, random_fraction: float) -> float:
    """Return the retry delay of a refused caller, randomised to spread retries over its slack.

    Args:
        slack_s: Seconds for which the caller would wait; may be infinite.
        random_fraction: A random number from 0 to 1, a new one for each caller.
    """
    latest_s = max(_MIN_RETRY_S, min(slack_s, _MAX_RETRY_S))
    return _MIN_RETRY_S + random_fraction * (latest_s - _MIN_RETRY_S)


class Ticket(NamedTuple):
    """A call in an admission queue; tickets sort in the order of admission.

    Attributes:
        rank: Admission rank of the call; see ``admission_rank``.
        number: Sequence number of its arrival; breaks ties.
    """

    rank: int
    number: int


class AdmissionQueue:
    """Calls of one instance on one service that wait for admission.

    Each call that arrives adds its admitted share to a credit. A credit of one call admits the
    first call in order, which need not be the one that arrived.
    """

    def __init__(self, credit: float) -> None:
        """Create an empty queue.

        Args:
            credit: Initial credit, a random number from 0 to 1 that differs between instances:
                otherwise all instances would refuse their first caller, or none would.
        """
        self._credit = credit
        self._waiting: list[Ticket] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, rank: int, share: float) -> Ticket:
        """Add a call to the queue, and its admitted share to the credit."""
        self._arrivals += 1
        ticket = Ticket(rank, self._arrivals)
        self._credit = min(_MAX_CREDIT, self._credit + share)
        insort(self._waiting, ticket)
        return ticket

    def admit_next(self) -> Ticket | None:
        """Remove and return the next call to admit; None if the credit admits none."""
        if not self._waiting or self._credit < 1.0 - _ROUNDING_ERROR:
            return None
        self._credit = max(0.0, self._credit - 1.0)
        return self._waiting.pop(0)

    def admit_all(self) -> list[Ticket]:
        """Remove and return all calls, to admit them when the service has free capacity."""
        admitted, self._waiting = self._waiting, []
        return admitted

    def drop_excess(self) -> Ticket | None:
        """Remove and return the last call if the queue is too long; else return None."""
        if len(self._waiting) <= _MAX_QUEUE_LENGTH:
            return None
        return self._waiting.pop()

    def remove(self, ticket: Ticket) -> bool:
        """Remove a call from the queue; return whether it was still there."""
        if ticket not in self._waiting:
            return False
        self._waiting.remove(ticket)
        return True

    def is_likely_admitted(self, ticket: Ticket, expected: float) -> bool:
        """Check whether a queued call is likely to be admitted in time.

        Args:
            ticket: The call.
            expected: Expected number of admissions within the time for which the call can wait.
        """
        queued_ahead = self._waiting.index(ticket)
        return self._credit + expected >= queued_ahead + 1.0
