"""Counts extra arrivals of requests at workers, over all instances, against the retry budget.

The retry budget of a service limits how many arrivals beyond the first of each request reach its
workers in any time window. A prefill that a worker has begun is not counted, once per request.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

__all__ = ["BudgetLimits", "BudgetUse", "SentRequest", "WorkerArrival", "find_fullest_window"]


class WorkerArrival(NamedTuple):
    """An arrival of a request at a worker.

    Attributes:
        request_id: ID of the request.
        service: Service of the worker.
        at: When it arrived, in seconds.
        has_begun_prefill: Whether it asked for a prefill, and the worker began it.
    """

    request_id: str
    service: str
    at: float
    has_begun_prefill: bool = False


class SentRequest(NamedTuple):
    """A request that a caller sent for a service, at a time in seconds."""

    service: str
    at: float


class BudgetLimits(NamedTuple):
    """Limits of a service's retry budget.

    Attributes:
        ratio: Extra arrivals allowed as a share of the requests.
        allowance: Extra arrivals allowed in addition to that share.
        window_s: Length of the window in seconds.
    """

    ratio: float
    allowance: float
    window_s: float = 10.0


class BudgetUse(NamedTuple):
    """Use of a service's retry budget in one window.

    Attributes:
        ends_at: When the window ends.
        extra_arrivals: Arrivals beyond the first of each request.
        requests: Requests that count for the window.
        allowed: Number of extra arrivals that are allowed.
    """

    ends_at: float
    extra_arrivals: int
    requests: int
    allowed: float

    @property
    def excess(self) -> float:
        """Number of extra arrivals above the allowed number; negative if there are fewer."""
        return self.extra_arrivals - self.allowed


def find_fullest_window(
    service: str,
    arrivals: Iterable[WorkerArrival],
    requests: Iterable[SentRequest],
    limits: BudgetLimits,
) -> BudgetUse | None:
    """Return the window that exceeds the budget most; None without extra arrivals.

    Args:
        service: Name of the service.
        arrivals: Arrivals at workers, of any service.
        requests: Requests of callers, for any service.
        limits: Limits of the budget.
    """
    extra_times = _extra_arrival_times(item for item in arrivals if item.service == service)
    sent_times = [item.at for item in requests if item.service == service]
    windows = [_use_at(at, extra_times, sent_times, limits) for at in extra_times]
    return max(windows, key=lambda use: use.excess, default=None)


def _extra_arrival_times(arrivals: Iterable[WorkerArrival]) -> list[float]:
    """Return the times of the arrivals beyond the first of each request."""
    by_request: dict[str, list[WorkerArrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda item: item.at):
        by_request[arrival.request_id].append(arrival)
    extra_times: list[float] = []
    for items in by_request.values():
        free = next((item for item in items if item.has_begun_prefill), None)
        extra_times += [item.at for item in items if item is not free][1:]
    return sorted(extra_times)


def _use_at(
    ends_at: float, extra_times: Sequence[float], sent_times: Sequence[float], limits: BudgetLimits
) -> BudgetUse:
    """Return the use of the budget in the window that ends at a time.

    Requests are counted in this window, in the one before it or in the one half a window earlier,
    whichever has the most.
    """
    window_s = limits.window_s
    extra = _count_in_window(extra_times, ends_at, window_s)
    starts = (ends_at, ends_at - window_s / 2, ends_at - window_s)
    sent = max(_count_in_window(sent_times, at, window_s) for at in starts)
    return BudgetUse(ends_at, extra, sent, limits.ratio * sent + limits.allowance)


def _count_in_window(times: Sequence[float], ends_at: float, window_s: float) -> int:
    return sum(ends_at - window_s < at <= ends_at for at in times)
