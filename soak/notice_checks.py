"""Checks that instances follow the notices in workers' answers: leaving, backoff, rate limit."""

from collections import defaultdict
from collections.abc import Iterator

from soak.records import AnnouncedWorkerLimit, Arrival, History, Request
from soak.violations import DRAIN_S, SLACK_S, Violation

__all__ = [
    "MAX_CALLS_IN_BACKOFF",
    "check_announced_limits",
    "check_backoffs",
    "check_leaving_notices",
]

# Calls that are in transit when a worker requests a backoff arrive within this time.
_IN_TRANSIT_S = 0.5
# Number of calls that may arrive from one instance during the remaining backoff.
MAX_CALLS_IN_BACKOFF = 2
# An announced limit applies from this time after its first announcement.
_PROPAGATION_S = 2.0
# In each window of this length, all instances that have forwarded an answer with the limit may
# together send half as many calls again as the limit allows, and some extra calls.
_LIMIT_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_EXTRA_CALLS = 5


def check_leaving_notices(history: History) -> Iterator[Violation]:
    """Check that an instance sends nothing to a worker after an answer announced its leaving."""
    announced_at = {notice.worker: notice.at for notice in history.leaving_notices}
    requests_by_id = {request.request_id: request for request in history.requests}
    forwarded_at: dict[tuple[str, int, int], float] = {}
    for run in history.runs:
        request = requests_by_id.get(run.request_id)
        at = announced_at.get(run.worker)
        if request is None or at is None or run.began_at <= at or not request.is_complete:
            continue
        key = (run.worker, request.instance, request.incarnation)
        forwarded_at[key] = min(request.ended_at, forwarded_at.get(key, request.ended_at))
    for arrival in history.arrivals:
        request = requests_by_id.get(arrival.request_id)
        if request is None:
            continue
        at = forwarded_at.get((arrival.worker, request.instance, request.incarnation))
        if at is None or request.sent_at <= at + DRAIN_S + SLACK_S:
            continue
        if history.is_undisturbed(f"instance {request.instance}", at, arrival.at):
            late_s = request.sent_at - at
            detail = f"{arrival.worker} received a request {late_s:.2f} s after its leaving notice"
            yield Violation("", detail, (arrival.request_id,))


def check_backoffs(history: History) -> Iterator[Violation]:
    """Check that an instance sends only few calls to a worker that requested a backoff from it."""
    requests_by_id = {request.request_id: request for request in history.requests}
    for period in history.backoffs:
        by_sender: dict[tuple[int, int], list[Arrival]] = defaultdict(list)
        for arrival in history.arrivals:
            request = requests_by_id.get(arrival.request_id)
            if request is not None and arrival.worker == period.worker:
                by_sender[request.instance, request.incarnation].append(arrival)
        for (instance, _), arrivals in by_sender.items():
            for rejected in arrivals:
                if not period.began_at < rejected.at < period.ended_at:
                    continue
                since, until = rejected.at + _IN_TRANSIT_S, rejected.at + period.backoff_s
                late = [item for item in arrivals if since < item.at < until]
                undisturbed = history.is_undisturbed(f"instance {instance}", rejected.at, until)
                if undisturbed and len(late) > MAX_CALLS_IN_BACKOFF:
                    detail = (
                        f"{period.worker} received {len(late)} calls "
                        f"in a backoff of {period.backoff_s:.1f} s"
                    )
                    yield Violation("", detail, tuple(item.request_id for item in late))
                    break


def check_announced_limits(history: History) -> Iterator[Violation]:
    """Check that all instances that know of a worker's announced limit keep it together."""
    requests_by_id = {request.request_id: request for request in history.requests}
    for limit in history.announced_limits:
        known_at = _find_first_notices(history, limit, requests_by_id)
        arrivals = _find_limited_arrivals(history, limit, requests_by_id, known_at)
        bound = _LIMIT_FACTOR * limit.rate_per_s * _LIMIT_WINDOW_S + _LIMIT_EXTRA_CALLS
        for first in arrivals:
            within = [item for item in arrivals if 0 <= item.at - first.at < _LIMIT_WINDOW_S]
            if len(within) > bound:
                detail = (
                    f"{limit.worker} announced a limit of {limit.rate_per_s:g} calls per second "
                    f"and received {len(within)} in 4 s"
                )
                yield Violation("", detail, tuple(item.request_id for item in within))
                break


def _find_first_notices(
    history: History, limit: AnnouncedWorkerLimit, requests_by_id: dict[str, Request]
) -> dict[tuple[int, int], float]:
    """Return when each process of an instance forwarded the first answer with the limit."""
    known_at: dict[tuple[int, int], float] = {}
    for run in history.runs:
        request = requests_by_id.get(run.request_id)
        if request is None or run.worker != limit.worker or not request.is_complete:
            continue
        if limit.began_at <= run.began_at and run.ended_at <= limit.ended_at:
            process = (request.instance, request.incarnation)
            known_at[process] = min(request.ended_at, known_at.get(process, request.ended_at))
    return known_at


def _find_limited_arrivals(
    history: History,
    limit: AnnouncedWorkerLimit,
    requests_by_id: dict[str, Request],
    known_at: dict[tuple[int, int], float],
) -> list[Arrival]:
    """Return calls to a worker under its limit, from undisturbed instances that know the limit."""
    limited_arrivals = []
    for arrival in sorted(history.arrivals, key=lambda item: item.at):
        request = requests_by_id.get(arrival.request_id)
        if request is None or arrival.worker != limit.worker:
            continue
        if not limit.began_at + _PROPAGATION_S <= arrival.at < limit.ended_at:
            continue
        at = known_at.get((request.instance, request.incarnation))
        if at is None or arrival.at < at + _IN_TRANSIT_S:
            continue
        since = arrival.at - _LIMIT_WINDOW_S - SLACK_S
        if history.is_undisturbed(f"instance {request.instance}", since, arrival.at):
            limited_arrivals.append(arrival)
    return limited_arrivals
