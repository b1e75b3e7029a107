"""Checks of what workers say of themselves in answers: that they leave, rest, take few calls."""

from collections import defaultdict
from collections.abc import Iterator

from soak.records import Arrival, History, NamedLimit, Request
from soak.violations import DRAIN_S, SLACK_S, Violation

__all__ = ["MOST_IN_A_REST", "limits_of_workers_hold", "rests_are_kept", "words_are_heard"]

# Calls that are on their way when a worker asks for a rest arrive within this; so many more may.
_ON_THE_WAY_S = 0.5
MOST_IN_A_REST = 2
# A limit that a worker names holds so long after it named it first, in each span of this length:
# half as many more calls, and some on top, from instances that passed on an answer with it.
_KNOWN_S = 2.0
_SPAN_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_MORE = 5


def words_are_heard(history: History) -> Iterator[Violation]:
    """A worker that said in an answer that it leaves gets nothing more from who passed it on."""
    said_at = {word.worker: word.at for word in history.words}
    requests = {request.name: request for request in history.requests}
    heard: dict[tuple[str, int, int], float] = {}
    for run in history.runs:
        request = requests.get(run.request)
        at = said_at.get(run.worker)
        if request is None or at is None or run.began_at <= at or not request.whole:
            continue
        key = (run.worker, request.instance, request.life)
        heard[key] = min(request.ended_at, heard.get(key, request.ended_at))
    for arrival in history.arrivals:
        request = requests.get(arrival.request)
        if request is None:
            continue
        at = heard.get((arrival.worker, request.instance, request.life))
        if at is None or request.sent_at <= at + DRAIN_S + SLACK_S:
            continue
        if history.is_calm(f"instance {request.instance}", at, arrival.at):
            late_s = request.sent_at - at
            detail = f"{arrival.worker} got work {late_s:.2f} s after its answer was passed on"
            yield Violation("", detail, (arrival.request,))


def rests_are_kept(history: History) -> Iterator[Violation]:
    """Few calls of an instance reach a worker within a rest that it asked that instance for."""
    requests = {request.name: request for request in history.requests}
    for rest in history.rests:
        by_sender: dict[tuple[int, int], list[Arrival]] = defaultdict(list)
        for arrival in history.arrivals:
            request = requests.get(arrival.request)
            if request is not None and arrival.worker == rest.worker:
                by_sender[request.instance, request.life].append(arrival)
        for (instance, _), arrivals in by_sender.items():
            for asked in arrivals:
                if not rest.began_at < asked.at < rest.ended_at:
                    continue
                since, until = asked.at + _ON_THE_WAY_S, asked.at + rest.rest_s
                late = [item for item in arrivals if since < item.at < until]
                calm = history.is_calm(f"instance {instance}", asked.at, until)
                if calm and len(late) > MOST_IN_A_REST:
                    detail = (
                        f"{rest.worker} got {len(late)} calls within {rest.rest_s:.1f} s of rest"
                    )
                    yield Violation("", detail, tuple(item.request for item in late))
                    break


def limits_of_workers_hold(history: History) -> Iterator[Violation]:
    """A worker gets no more calls than it says it takes, of all instances that it told."""
    requests = {request.name: request for request in history.requests}
    for limit in history.named_limits:
        told_at = _told_at(history, limit, requests)
        arrivals = _bound_arrivals(history, limit, requests, told_at)
        bound = _LIMIT_FACTOR * limit.rate * _SPAN_S + _LIMIT_MORE
        for first in arrivals:
            within = [item for item in arrivals if 0 <= item.at - first.at < _SPAN_S]
            if len(within) > bound:
                detail = (
                    f"{limit.worker} takes {limit.rate:g} a second and got {len(within)} in 4 s"
                )
                yield Violation("", detail, tuple(item.request for item in within))
                break


def _told_at(
    history: History, limit: NamedLimit, requests: dict[str, Request]
) -> dict[tuple[int, int], float]:
    """Give when each life of an instance passed on the first answer that named a limit."""
    told_at: dict[tuple[int, int], float] = {}
    for run in history.runs:
        request = requests.get(run.request)
        if request is None or run.worker != limit.worker or not request.whole:
            continue
        if limit.began_at <= run.began_at and run.ended_at <= limit.ended_at:
            life = (request.instance, request.life)
            told_at[life] = min(request.ended_at, told_at.get(life, request.ended_at))
    return told_at


def _bound_arrivals(
    history: History,
    limit: NamedLimit,
    requests: dict[str, Request],
    told_at: dict[tuple[int, int], float],
) -> list[Arrival]:
    """Give what a worker got while its limit held, of instances that knew and were undisturbed."""
    found = []
    for arrival in sorted(history.arrivals, key=lambda item: item.at):
        request = requests.get(arrival.request)
        if request is None or arrival.worker != limit.worker:
            continue
        if not limit.began_at + _KNOWN_S <= arrival.at < limit.ended_at:
            continue
        at = told_at.get((request.instance, request.life))
        if at is None or arrival.at < at + _ON_THE_WAY_S:
            continue
        since = arrival.at - _SPAN_S - SLACK_S
        if history.is_calm(f"instance {request.instance}", since, arrival.at):
            found.append(arrival)
    return found
