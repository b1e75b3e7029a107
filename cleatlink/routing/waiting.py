"""Requests that wait for room, in an order that favours priority but starves nobody.

Those that can still be in time go before those that will be late anyway. Among them
each point of priority is worth a head start of a fixed time, so the order is fixed at
arrival: an urgent request overtakes what came shortly before, never what has waited
for long.
"""

from bisect import insort
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["PRIORITY_S", "Ticket", "WaitingRoom"]

# Seconds of head start for each point of priority.
PRIORITY_S = 0.1
# After so many in vain, the rest of a class waits for the next change. Classes are
# counted apart: what one lacks, such as a free prefill, another may not need.
_TRIES = 4


class Ticket(NamedTuple):
    """One waiting request; tickets sort in the order in which they are served.

    Attributes:
        due: Arrival less the head start.
        number: Breaks ties in the order of arrival.
        request_class: Class of the request.
        attempt: Tries to place the request; true ends its wait.
        is_late: Tells whether the request will be late even if it is placed now.
    """

    due: float
    number: int
    request_class: str
    attempt: Callable[[], bool]
    is_late: Callable[[], bool]


def _never_late() -> bool:
    return False


class WaitingRoom:
    """All requests of one instance that wait for room."""

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def must_wait(self, request_class: str, priority: int, now: float) -> bool:
        """Tell whether a request that arrives now stands behind one of its class."""
        due = now - priority * PRIORITY_S
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
        due = now - priority * PRIORITY_S
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
    ) -> Ticket:
        """Let a request wait."""
        self._count += 1
        ticket = Ticket(now - priority * PRIORITY_S, self._count, request_class, attempt, is_late)
        insort(self._tickets, ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Let a request wait no more; safe if it waits no more already."""
        if ticket in self._tickets:
            self._tickets.remove(ticket)

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
