"""Checks that an instance that gets most new connections serves as before."""

from collections.abc import Iterator

from soak.records import History, Request, SkewedConnections
from soak.violations import Violation

__all__ = ["check_skewed_connections"]

# The check applies from this time after most new connections go to one instance.
_SETTLED_S = 3.0
# Time before that with which it compares.
_BEFORE_S = 6.0
_MIN_SHARE_RATIO = 0.75
_MIN_REQUESTS = 20


def check_skewed_connections(history: History) -> Iterator[Violation]:
    """Check that requests are served nearly as often while most connections go to one instance."""
    for skew in history.skewed_connections:
        if _is_disturbed(history, skew):
            continue
        since, until = skew.began_at + _SETTLED_S, skew.ended_at
        during = [item for item in _read_requests(history) if since <= item.sent_at <= until]
        before = [
            item
            for item in _read_requests(history)
            if skew.began_at - _BEFORE_S <= item.sent_at < skew.began_at
        ]
        if min(len(during), len(before)) < _MIN_REQUESTS:
            continue
        share, usual_share = _served_share(during), _served_share(before)
        if share < _MIN_SHARE_RATIO * usual_share:
            yield Violation(
                "",
                f"{share:.2f} of {len(during)} requests served while instance {skew.instance} had "
                f"most new connections, {usual_share:.2f} of {len(before)} before",
                tuple(item.request_id for item in during if item.status != 200),
            )


def _is_disturbed(history: History, skew: SkewedConnections) -> bool:
    """Check whether anything but the connections was disturbed around the time of a skew."""
    return any(
        item.began_at < skew.ended_at and item.ended_at > skew.began_at - _BEFORE_S
        for item in history.disturbances
    )


def _read_requests(history: History) -> list[Request]:
    """Return the requests that an instance has read, and whose callers waited for the answer."""
    return [item for item in history.requests if item.status and not item.caller_left]


def _served_share(requests: list[Request]) -> float:
    return sum(item.status == 200 and item.is_complete for item in requests) / len(requests)
