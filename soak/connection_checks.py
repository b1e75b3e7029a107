"""Checks that an instance that gets most new connections serves as before."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from soak.records import History, Request, SkewedConnections
from soak.violations import Violation

__all__ = ["check_skewed_connections"]

# The check applies from this time after most new connections go to one instance.
_SETTLED_S = 3.0
# Time before that with which it compares.
_BEFORE_S = 6.0
_MIN_SHARE_RATIO = 0.75
_MIN_REQUESTS = 20
# Latency target of the routes, in seconds.
_TARGET_S = 0.4


class _Comparison(NamedTuple):
    """Requests during a skew, and others that must not be served much better.

    Attributes:
        skewed: The requests during the skew.
        reference: The others.
        reference_name: What the others are, for the report.
    """

    skewed: list[Request]
    reference: list[Request]
    reference_name: str


def check_skewed_connections(history: History) -> Iterator[Violation]:
    """Check that requests are served nearly as often, and as soon, at the preferred instance."""
    for skew in history.skewed_connections:
        comparison = _compare(history, skew)
        if comparison is None:
            continue
        if min(len(comparison.skewed), len(comparison.reference)) < _MIN_REQUESTS:
            continue
        yield from _find_violations(skew, comparison)


def _compare(history: History, skew: SkewedConnections) -> _Comparison | None:
    """Choose what to compare with; None if the preferred instance itself was disturbed.

    While other components are disturbed, requests at the other instances are the reference.
    """
    disturbed = _disturbed_components(history, skew)
    if f"instance {skew.instance}" in disturbed:
        return None
    read = _read_requests(history)
    during = [item for item in read if skew.began_at + _SETTLED_S <= item.sent_at <= skew.ended_at]
    if disturbed:
        return _Comparison(
            [item for item in during if item.instance == skew.instance],
            [item for item in during if item.instance != skew.instance],
            "at the others",
        )
    before = [item for item in read if skew.began_at - _BEFORE_S <= item.sent_at < skew.began_at]
    return _Comparison(during, before, "before")


def _find_violations(skew: SkewedConnections, comparison: _Comparison) -> Iterator[Violation]:
    skewed, reference, reference_name = comparison
    for what, is_good in (("served", _is_served), ("served in time", _is_in_time)):
        share, usual_share = _share(skewed, is_good), _share(reference, is_good)
        if share < _MIN_SHARE_RATIO * usual_share:
            yield Violation(
                "",
                f"{share:.2f} of {len(skewed)} requests {what} while instance {skew.instance} had "
                f"most new connections, {usual_share:.2f} of {len(reference)} {reference_name}",
                tuple(item.request_id for item in skewed if not is_good(item)),
            )


def _disturbed_components(history: History, skew: SkewedConnections) -> set[str]:
    """Return what else was disturbed around the time of a skew."""
    return {
        item.component
        for item in history.disturbances
        if item.began_at < skew.ended_at and item.ended_at > skew.began_at - _BEFORE_S
    }


def _read_requests(history: History) -> list[Request]:
    """Return the requests that an instance has read, and whose callers waited for the answer."""
    return [item for item in history.requests if item.status and not item.caller_left]


def _is_served(request: Request) -> bool:
    return request.status == 200 and request.is_complete


def _is_in_time(request: Request) -> bool:
    return _is_served(request) and request.ended_at - request.sent_at <= _TARGET_S


def _share(requests: list[Request], is_good: Callable[[Request], bool]) -> float:
    return sum(is_good(item) for item in requests) / len(requests)
