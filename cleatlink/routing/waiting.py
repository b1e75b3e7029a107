"""Requests that wait for room, in an order that favours priority but starves nobody.

Those that can still be in time go before those that will be late anyway. Among them
each point of priority is worth a head start of a fixed time, so the order is fixed at
arrival: an urgent request overtakes what came shortly before, never what has waited
for long.
"""

import math
from bisect import insort
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from cleatlink.routing.shared_waiting import WaitingGroup, due_at

__all__ = ["PRIORITY_S", "Ticket", "WaitingRoom", "WaitingTraits"]

# Seconds of head start for each point of priority, among few instances.
PRIORITY_S = 0.1
# After so many in vain, the rest of a class waits for the next change. Classes are
# counted apart: what one lacks, such as a free prefill, another may not need.
_TRIES = 4


class WaitingTraits(NamedTuple):
    """What others need to know of a request that waits.

    Attributes:
        urgency: Its priority; larger goes first.
        since: When it came.
        tokens: Memory that it holds at its end.
        late_at: When it will be late even if it is placed then.
    """

    urgency: int
    since: float
    tokens: int = 0
    late_at: float = math.inf


class Ticket(NamedTuple):
    """One waiting request; tickets sort in the order in which they are served.

    Attributes:
        due: Arrival less the head start.
        number: Breaks ties in the order of arrival.
        request_class: Class of the request.
        attempt: Tries to place the request; true ends its wait.
        is_late: Tells whether the request will be late even if it is placed now.
        traits: What others need to know of it.
    """

    due: float
    number: int
    request_class: str
    attempt: Callable[[], bool]
    is_late: Callable[[], bool]
    traits: WaitingTraits


def _never_late() -> bool:
    return False


class WaitingRoom:
    """All requests of one instance that wait for room."""

    def __init__(self) -> None:
        self.head_start_s = PRIORITY_S
        self._tickets: list[Ticket] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def must_wait(self, request_class: str, priority: int, now: float) -> bool:
        """Tell whether a request that arrives now stands behind one of its class."""
        due = due_at(now, priority, self.head_start_s)
        return any(
            ticket.due <= due and ticket.request_class == request_class and not ticket.is_late()
            for ticket in self._tickets
        )

    def count_ahead(self, priority: int, now: float, *, is_late: bool) -> int:
        """Give how many of those who wait go before a request.

        Args:
            priority: Its priority.
            now: When it came.
            is_late: Whether it will be late.
        """
        due = due_at(now, priority, self.head_start_s)
        return sum(
            (ticket.due <= due and ticket.is_late() == is_late)
            or (is_late and not ticket.is_late())
            for ticket in self._tickets
        )

    def add(
        self,
        request_class: str,
        priority: int,
        now: float,
        attempt: Callable[[], bool],
        is_late: Callable[[], bool] = _never_late,
        *,
        tokens: int = 0,
        late_at: float = math.inf,
    ) -> Ticket:
        """Let a request wait."""
        self._count += 1
        due = due_at(now, priority, self.head_start_s)
        traits = WaitingTraits(priority, now, tokens, late_at)
        ticket = Ticket(due, self._count, request_class, attempt, is_late, traits)
        insort(self._tickets, ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Let a request wait no more; safe if it waits no more already."""
        if ticket in self._tickets:
            self._tickets.remove(ticket)

    def groups(self, now: float) -> list[WaitingGroup]:
        """Give what waits, by class, urgency and whether it will be late; most urgent first."""
        found: dict[tuple[bool, int, str], list[WaitingTraits]] = {}
        for ticket in self._tickets:
            key = (ticket.is_late(), -ticket.traits.urgency, ticket.request_class)
            found.setdefault(key, []).append(ticket.traits)
        return [
            WaitingGroup(
                request_class,
                -priority,
                is_late,
                len(waiting),
                sum(item.tokens for item in waiting),
                now - min(item.since for item in waiting),
                max(item.late_at for item in waiting) - now,
            )
            for (is_late, priority, request_class), waiting in sorted(found.items())
        ]

    def offer(self) -> None:
        """Let those who wait try, in order, after something has changed."""
        failures: Counter[str] = Counter()
        late = []
        for ticket in list(self._tickets):
            if failures[ticket.request_class] >= _TRIES:
                continue
            if ticket.is_late():
                late.append(ticket)
            else:
                self._attempt(ticket, failures)
        for ticket in late:
            if failures[ticket.request_class] < _TRIES:
                self._attempt(ticket, failures)

    def _attempt(self, ticket: Ticket, failures: Counter[str]) -> None:
        """Let one try; counts a failure of its class."""
        if ticket.attempt():
            self.remove(ticket)
        else:
            failures[ticket.request_class] += 1
