"""Checks that a part of prompts that crashes workers stops, and that other prompts go on."""

import math
from collections import defaultdict
from collections.abc import Iterator

from soak.records import CrashingPart, History, Request, RequestKind
from soak.violations import Violation

__all__ = ["MAX_LATE_RUNS", "check_crashing_parts", "check_sound_prompts"]

# Workers run at most this many requests with a part later than `_KNOWN_S` after this crash.
_CRASHES_BEFORE_BOUND = 5
MAX_LATE_RUNS = 3
_KNOWN_S = 3.0
# From this time after that crash, other streams are answered at least this much as often as in the
# rest of the run, where there are enough of both.
_RECOVERED_S = 6.0
_MIN_SHARE_RATIO = 0.5
_MIN_REQUESTS = 20
_STREAM_KINDS = (RequestKind.STREAM, RequestKind.RESUMABLE)


def check_crashing_parts(history: History) -> Iterator[Violation]:
    """Check that a part that crashed five workers is sent to only few more."""
    outages = _find_outages(history)
    for part, all_times in _crash_times(history).items():
        for times in _split_at(all_times, outages):
            bound = _bounding_crash_at(times) + _KNOWN_S
            late = [at for at in times if at > bound]
            if len(late) > MAX_LATE_RUNS:
                yield Violation(
                    "",
                    f"prompts with the part {part} crashed {len(times)} workers, {len(late)} after "
                    "that was known",
                )


def _find_outages(history: History) -> list[float]:
    """Return the times at which the last instance that was up ended.

    The evidence of crashes is in the memory of the instances alone, so that it is lost then.
    """
    return [
        item.began_at
        for item in history.downtimes
        if len(_instances_down_at(history, item.began_at)) == history.instance_count
    ]


def _instances_down_at(history: History, time: float) -> set[int]:
    return {item.instance for item in history.downtimes if item.began_at <= time < item.ended_at}


def _split_at(times: list[float], borders: list[float]) -> list[list[float]]:
    """Split sorted times at some borders; parts without a time are left out."""
    edges = [-math.inf, *sorted(borders), math.inf]
    parts = (
        [time for time in times if first <= time < last]
        for first, last in zip(edges, edges[1:], strict=False)
    )
    return [part for part in parts if part]


def check_sound_prompts(history: History) -> Iterator[Violation]:
    """Check that streams without the crashing part are answered while it is sent."""
    times = _crash_times(history)
    periods = [
        (_bounding_crash_at(times[item.part]) + _RECOVERED_S, item.ended_at)
        for item in history.crashing_parts
        if item.part in times
    ]
    streams = [
        item for item in history.requests if item.kind in _STREAM_KINDS and not item.caller_left
    ]
    during = [item for item in streams if any(a <= item.sent_at <= b for a, b in periods)]
    rest = [item for item in streams if not _is_sent_during_any(item, history.crashing_parts)]
    if min(len(during), len(rest)) < _MIN_REQUESTS:
        return
    share, usual_share = _begun_share(during), _begun_share(rest)
    if share < _MIN_SHARE_RATIO * usual_share:
        yield Violation(
            "",
            f"{share:.2f} of {len(during)} other streams began while a part crashed workers, "
            f"{usual_share:.2f} of {len(rest)} otherwise",
            tuple(item.request_id for item in during if item.status != 200),
        )


def _crash_times(history: History) -> dict[str, list[float]]:
    """Return the times of the crashes by the part that caused them, in order."""
    times: dict[str, list[float]] = defaultdict(list)
    for run in history.crashes:
        if run.part:
            times[run.part].append(run.at)
    return {part: sorted(values) for part, values in times.items()}


def _bounding_crash_at(times: list[float]) -> float:
    """Return the time of the fifth crash, or of the last one if there are fewer."""
    return times[:_CRASHES_BEFORE_BOUND][-1]


def _is_sent_during_any(request: Request, parts: tuple[CrashingPart, ...]) -> bool:
    return any(part.began_at <= request.sent_at <= part.ended_at for part in parts)


def _begun_share(streams: list[Request]) -> float:
    return sum(item.status == 200 for item in streams) / len(streams)
