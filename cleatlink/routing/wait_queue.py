"""The wait queue of an instance, ordered by urgency without starvation.

Requests that can still be in time go before requests that will be late anyway. Within each of
these two groups, every point of urgency gives a head start of fixed length, so the order is set
on arrival: an urgent request overtakes requests that arrived shortly before it, but no request
that has waited for long.
"""

import math
from bisect import insort
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from cleatlink.routing.shared_wait_queues import WaitingGroup, compute_effective_arrival

__all__ = ["DEFAULT_HEAD_START_S", "RequestTraits", "WaitingRequest", "WaitQueue"]

# Head start for each point of urgency in a fleet of few instances, in seconds.
DEFAULT_HEAD_START_S = 0.1
# Failed attempts to place requests of one class after which its other requests wait for the next
# change. Classes are counted separately, since what one lacks, such as a free prefill endpoint,
# another may not need.
_MAX_FAILED_ATTEMPTS = 4


class RequestTraits(NamedTuple):
    """What an instance reports to other instances about a waiting request.

    Attributes:
        urgency: Urgency of the request; larger values go first.
        arrived_at: Time at which the request arrived.
        tokens: Memory that the request holds when it ends, in tokens.
        late_at: Time from which the request will be late even if it is placed at once.
    """

    urgency: int
    arrived_at: float
    tokens: int = 0
    late_at: float = math.inf


class WaitingRequest(NamedTuple):
    """One waiting request; requests sort in the order in which they are served.

    Attributes:
        effective_arrival: Arrival time less the head start.
        sequence_number: Number of the request in the order of arrival; breaks ties.
        request_class: Class of the request.
        attempt: Function that tries to place the request; its wait ends when this returns True.
        is_late: Function that checks whether the request will be late even if it is placed now.
        traits: What other instances need to know of the request.
    """

    effective_arrival: float
    sequence_number: int
    request_class: str
    attempt: Callable[[], bool]
    is_late: Callable[[], bool]
    traits: RequestTraits


def _never_late() -> bool:
    return False


class WaitQueue:
    """All requests of one instance that wait for capacity."""

    def __init__(self) -> None:
        self.head_start_s = DEFAULT_HEAD_START_S
        self._requests: list[WaitingRequest] = []
        self._last_sequence_number = 0

    def __len__(self) -> int:
        return len(self._requests)

    def must_wait(self, request_class: str, urgency: int, arrived_at: float) -> bool:
        """Check whether a request of the same class that can be in time is queued ahead.

        Args:
            request_class: Class of the arriving request.
            urgency: Urgency of the arriving request; larger values go first.
            arrived_at: Time at which it arrived.
        """
        effective_arrival = compute_effective_arrival(arrived_at, urgency, self.head_start_s)
        return any(
            request.effective_arrival <= effective_arrival
            and request.request_class == request_class
            and not request.is_late()
            for request in self._requests
        )

    def count_ahead(self, urgency: int, arrived_at: float, *, is_late: bool) -> int:
        """Return the number of waiting requests that are queued ahead of a request.

        Args:
            urgency: Urgency of the request; larger values go first.
            arrived_at: Time at which the request arrived.
            is_late: Whether the request will be late.
        """
        effective_arrival = compute_effective_arrival(arrived_at, urgency, self.head_start_s)
        return sum(
            (request.effective_arrival <= effective_arrival and request.is_late() == is_late)
            or (is_late and not request.is_late())
            for request in self._requests
        )

    def add(
        self,
        request_class: str,
        urgency: int,
        arrived_at: float,
        attempt: Callable[[], bool],
        is_late: Callable[[], bool] = _never_late,
        *,
        tokens: int = 0,
        late_at: float = math.inf,
    ) -> WaitingRequest:
        """Add a request to the queue.

        Args:
            request_class: Class of the request.
            urgency: Urgency of the request; larger values go first.
            arrived_at: Time at which the request arrived.
            attempt: Function that tries to place the request and returns whether its wait ends.
            is_late: Function that checks whether the request will be late even if it is placed now.
            tokens: Memory that the request holds when it ends, in tokens.
            late_at: Time from which the request will be late even if it is placed at once.
        """
        self._last_sequence_number += 1
        effective_arrival = compute_effective_arrival(arrived_at, urgency, self.head_start_s)
        traits = RequestTraits(urgency, arrived_at, tokens, late_at)
        request = WaitingRequest(
            effective_arrival, self._last_sequence_number, request_class, attempt, is_late, traits
        )
        insort(self._requests, request)
        return request

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request from the queue; do nothing if it is not in the queue."""
        if request in self._requests:
            self._requests.remove(request)

    def groups(self, now: float) -> list[WaitingGroup]:
        """Return the waiting requests grouped by lateness, urgency and class, most urgent first."""
        traits_by_group: dict[tuple[bool, int, str], list[RequestTraits]] = {}
        for request in self._requests:
            key = (request.is_late(), -request.traits.urgency, request.request_class)
            traits_by_group.setdefault(key, []).append(request.traits)
        return [
            WaitingGroup(
                request_class,
                -negative_urgency,
                is_late,
                len(waiting),
                sum(item.tokens for item in waiting),
                now - min(item.arrived_at for item in waiting),
                max(item.late_at for item in waiting) - now,
            )
            for (is_late, negative_urgency, request_class), waiting in sorted(
                traits_by_group.items()
            )
        ]

    def place_waiting(self) -> None:
        """Try to place the waiting requests in order, after a change of capacity."""
        failures: Counter[str] = Counter()
        late = []
        for request in list(self._requests):
            if failures[request.request_class] >= _MAX_FAILED_ATTEMPTS:
                continue
            if request.is_late():
                late.append(request)
            else:
                self._attempt(request, failures)
        for request in late:
            if failures[request.request_class] < _MAX_FAILED_ATTEMPTS:
                self._attempt(request, failures)

    def _attempt(self, request: WaitingRequest, failures: Counter[str]) -> None:
        """Try to place a request; on failure, count it for the class of the request."""
        if request.attempt():
            self.remove(request)
        else:
            failures[request.request_class] += 1
