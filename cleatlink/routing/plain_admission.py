"""Decides which plain calls a service takes when it can't serve all in time.

The load that it answers: calls on a service exceed what its endpoints bear, as in a burst or
once some of them are gone. Endpoints queue what they get, so that all who are served are late.
Here as many go out as are borne, the most urgent first; the rest is refused early, while the
caller can still be served in time at another try. All instances go by the same totals, and
each lets the same share of its own callers pass: none has to ask another one.
"""

import math
from bisect import insort
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.plain_load import EndpointLoad

__all__ = [
    "AdmissionQueue",
    "Bearing",
    "Ticket",
    "bears",
    "find_bearing",
    "rank_of",
    "retry_after_s",
    "shares",
]

# Below this share of the places no call is refused.
_FREE_SHARE = 0.5
# A queue is short while a call waits in it for no longer than it takes itself.
_SHORT_QUEUE_FILL = 2.0
# An endpoint with a longer queue gets less than it serves until the queue is gone, but at least
# this share of it: a queue that is measured may be gone already.
_LEAST_DRAIN = 0.6
# Of each rank this share passes, so that nobody starves and a wrong estimate is found out.
_LEAST_SHARE = 0.05
# A call waits for at most this share of its target: refused later than that, its caller could
# hardly be served in time at another try.
WAIT_SHARE = 0.25
# Bounds what calls that wait hold, whatever their rate.
_MOST_WAITING = 64
# Unused shares add up to this many calls.
_MOST_CREDIT = 2.0
# Shares are summed up with errors below this.
_ROUNDING = 1e-9
# Priorities that are told apart; the rest counts as the least urgent of these.
_PRIORITIES = 8
# Callers come back no sooner than a queue takes to go, in seconds.
_MIN_RETRY_S = 0.25
# Where a caller names no deadline: longer than most loads of this kind last, in seconds.
_MOST_RETRY_S = 3.0


class Bearing(NamedTuple):
    """How a service stands.

    Attributes:
        per_s: Calls a second that its endpoints bear; infinite if that is not known.
        fill: Calls in progress and in endpoints' queues, as a share of all places.
    """

    per_s: float
    fill: float

    @property
    def is_free(self) -> bool:
        """Whether so many places are free that nothing may be refused."""
        return self.fill < _FREE_SHARE or not math.isfinite(self.per_s)


def rank_of(priority: int, *, has_waited: bool = False, repeats: bool = False) -> int:
    """Give the rank of a call; smaller goes first.

    Args:
        priority: From 0, the most urgent.
        has_waited: Whether it was refused before and is back at the time that it was given.
        repeats: Whether it was sent before, or is back before its time; it yields to others.
    """
    priority = min(max(priority, 0), _PRIORITIES - 1)
    if repeats:
        return 2 * (_PRIORITIES + priority)
    return 2 * priority + (not has_waited)


def bears(endpoint: RoutedEndpoint, load: EndpointLoad, usual_s: float) -> float:
    """Give the calls a second that an endpoint bears without a queue.

    A full one bears what it serves. Of others, what they serve tells how long a call takes. One
    that refuses calls bears no more than it serves, but is tried now and then.

    Args:
        endpoint: The endpoint.
        load: What it had to do lately.
        usual_s: Seconds that a call takes there as a rule; 0 if that is not known.

    Returns:
        The rate; infinite if nothing is known.
    """
    slots = max(1, endpoint.slots)
    fill = load.running / slots
    if load.refused:
        usual = _LEAST_SHARE * slots / usual_s if usual_s else 0.0
        return max(load.ended_per_s * _LEAST_DRAIN, usual, _LEAST_SHARE)
    if load.is_known and fill > 0:
        rate = load.ended_per_s / min(1.0, fill)
        return rate * max(_LEAST_DRAIN, min(1.0, _SHORT_QUEUE_FILL / fill))
    return slots / usual_s if usual_s else math.inf


def find_bearing(
    endpoints: Iterable[RoutedEndpoint],
    loads: Mapping[str, EndpointLoad],
    usual_s: Mapping[str, float],
) -> Bearing:
    """Give how a service stands.

    Args:
        endpoints: Its endpoints that are in reach.
        loads: What each of them had to do lately, by name.
        usual_s: Seconds that a call takes there as a rule, by name; 0 if that is not known.
    """
    per_s = running = 0.0
    slots = 0
    for endpoint in endpoints:
        load = loads[endpoint.name]
        per_s += bears(endpoint, load, usual_s[endpoint.name])
        slots += max(1, endpoint.slots)
        # One that refuses calls has no place left, whatever is known of them.
        running += max(load.running, endpoint.slots) if load.refused else load.running
    return Bearing(per_s, running / slots if slots else 0.0)


def shares(demand: Mapping[int, float], per_s: float) -> dict[int, float]:
    """Give the share of each rank's calls that passes: the first ranks' calls before others'.

    Args:
        demand: Calls a second, by rank.
        per_s: Calls a second that the service bears.
    """
    left = per_s
    found = {}
    for rank in sorted(demand):
        rate = demand[rank]
        share = min(1.0, left / rate) if rate > 0 else 1.0
        found[rank] = max(_LEAST_SHARE, share)
        left = max(0.0, left - rate * found[rank])
    return found


def retry_after_s(spare_s: float, draw: float) -> float:
    """Give when a refused caller is to come back: each at another moment, within its time.

    Args:
        spare_s: Seconds for which the caller would wait; may be infinite.
        draw: A number from 0 to 1, drawn anew for each caller.
    """
    latest_s = max(_MIN_RETRY_S, min(spare_s, _MOST_RETRY_S))
    return _MIN_RETRY_S + draw * (latest_s - _MIN_RETRY_S)


class Ticket(NamedTuple):
    """One call that wants to pass; tickets sort in the order in which they pass.

    Attributes:
        rank: Its rank.
        number: Breaks ties in the order of arrival.
    """

    rank: int
    number: int


class AdmissionQueue:
    """The calls of one instance on one service that wait to pass.

    Each call that arrives adds the share of it that may pass; whole ones are given to the
    first in order, who need not be the one that arrived.
    """

    def __init__(self, credit: float) -> None:
        """Start empty.

        Args:
            credit: A number from 0 to 1, another one at each instance: else all instances
                would refuse their first caller, or none of them.
        """
        self._credit = credit
        self._waiting: list[Ticket] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def arrive(self, rank: int, share: float) -> Ticket:
        """Let a call wait, and add the share of it that may pass."""
        self._count += 1
        ticket = Ticket(rank, self._count)
        self._credit = min(_MOST_CREDIT, self._credit + share)
        insort(self._waiting, ticket)
        return ticket

    def pass_next(self) -> Ticket | None:
        """Give the next call that passes now, if one does; it waits no more."""
        if not self._waiting or self._credit < 1.0 - _ROUNDING:
            return None
        self._credit = max(0.0, self._credit - 1.0)
        return self._waiting.pop(0)

    def clear(self) -> list[Ticket]:
        """Let all pass: the service has room."""
        found, self._waiting = self._waiting, []
        return found

    def drop_last(self) -> Ticket | None:
        """Give the last in order if too many wait; it waits no more."""
        if len(self._waiting) <= _MOST_WAITING:
            return None
        return self._waiting.pop()

    def remove(self, ticket: Ticket) -> bool:
        """Let a call wait no more; tells whether it still did."""
        if ticket not in self._waiting:
            return False
        self._waiting.remove(ticket)
        return True

    def may_pass_within(self, ticket: Ticket, expected: float) -> bool:
        """Tell whether a call that waits should pass soon.

        Args:
            ticket: The call.
            expected: Calls that should pass within the time for which it can wait.
        """
        ahead = self._waiting.index(ticket)
        return self._credit + expected >= ahead + 1.0
