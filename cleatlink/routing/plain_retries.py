"""Refused plain calls and the times at which their callers may retry.

A call that is retried on time is admitted before new calls; a call that is retried too early is
admitted after them. Both rules apply only while the service is nearly full: with free capacity,
every call is served.
"""

from enum import Enum, auto
from typing import NamedTuple

__all__ = ["ExpectedPlainRetries", "RetryTiming"]

# Time after its due time from which a retry counts as a new call, in seconds: the caller has
# probably gone elsewhere.
_LATE_TOLERANCE_S = 0.5
# Tolerance for retries before they are due, in seconds: callers' clocks and network paths differ.
_EARLY_TOLERANCE_S = 0.02
# Number of early retries of one request that are treated as such: more of them come from several
# callers with the same request rather than from one caller that repeats it.
_MAX_EARLY_RETRIES = 4
# Number of refused calls that are remembered; the oldest are dropped first.
_MAX_REMEMBERED = 1024
# Number of refused calls that wait to be announced to peers; an announcement after the retry is
# useless.
_MAX_UNANNOUNCED = 32


class RetryTiming(Enum):
    """How the arrival of a call relates to an earlier refusal."""

    # No retry was expected, or the call is treated as new.
    NEW_CALL = auto()
    # It was refused before, and its caller waited as asked.
    ON_TIME = auto()
    # It was refused before, and its caller did not wait as asked.
    EARLY = auto()


class _ExpectedRetry(NamedTuple):
    """An expected retry of a refused call.

    Attributes:
        due_at: Time at which the caller may retry.
        early_count: Number of calls with the same request that arrived before that time.
    """

    due_at: float
    early_count: int = 0


class ExpectedPlainRetries:
    """Refused calls that this instance knows of, its own and those that peers announced."""

    def __init__(self) -> None:
        self._expected: dict[bytes, _ExpectedRetry] = {}
        self._unannounced: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._expected)

    def note_own_refusal(self, identity: bytes, due_at: float) -> None:
        """Record a call that this instance refused, to announce it to peers."""
        self.note_refusal(identity, due_at)
        self._unannounced[identity] = due_at
        if len(self._unannounced) > _MAX_UNANNOUNCED:
            del self._unannounced[next(iter(self._unannounced))]

    def note_refusal(self, identity: bytes, due_at: float) -> None:
        """Record a call that this instance or a peer refused."""
        previous = self._expected.pop(identity, None)
        self._expected[identity] = _ExpectedRetry(
            due_at, previous.early_count if previous is not None else 0
        )
        if len(self._expected) > _MAX_REMEMBERED:
            del self._expected[next(iter(self._expected))]

    def match_arrival(self, identity: bytes, now: float) -> RetryTiming:
        """Match an arriving call with an earlier refusal; one refusal matches one retry on time."""
        expected = self._expected.get(identity)
        if expected is None or now > expected.due_at + _LATE_TOLERANCE_S:
            return RetryTiming.NEW_CALL
        if now < expected.due_at - _EARLY_TOLERANCE_S:
            self._expected[identity] = expected._replace(early_count=expected.early_count + 1)
            return (
                RetryTiming.EARLY
                if expected.early_count < _MAX_EARLY_RETRIES
                else RetryTiming.NEW_CALL
            )
        del self._expected[identity]
        return RetryTiming.NEW_CALL if expected.early_count else RetryTiming.ON_TIME

    def take_unannounced(self, max_count: int, now: float) -> list[tuple[bytes, float]]:
        """Remove and return refused calls to announce, with seconds until retries are due."""
        announced = [
            (identity, due_at - now)
            for identity, due_at in self._unannounced.items()
            if due_at > now
        ]
        self._unannounced = dict(list(self._unannounced.items())[max_count:])
        return announced[:max_count]

    def remove_expired(self, now: float) -> None:
        """Remove refused calls that were not retried in time."""
        expired = [
            identity
            for identity, item in self._expected.items()
            if item.due_at + _LATE_TOLERANCE_S < now
        ]
        for identity in expired:
            del self._expected[identity]
