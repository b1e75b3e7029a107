"""Reservations of endpoints: their size, their expected end and the memory that they hold."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from cleatlink.core.data import Role

__all__ = ["MemoryProfile", "Reservation", "Usage", "peak_memory"]

# Expected remaining time of overdue work, as a share of the time that it took so far. Lengths
# deviate from callers' estimates by a half of the logarithm; half of the streams that exceed a
# given time end within another three tenths of it.
_OVERDUE_SHARE = 0.3


class Reservation(NamedTuple):
    """Capacity of an endpoint that is reserved for a call.

    Attributes:
        endpoint: Name of the endpoint.
        role: Prefill, decode or plain.
        tokens: Prompt tokens of a prefill; memory that a decode holds at its end, in tokens.
        ends_at: Time at which it is expected to end.
        duration_s: Expected duration.
        growth_tokens: Part of the memory that is filled during the call, in tokens.
        suspicion: Number of endpoint crashes at which its request was in progress.
    """

    endpoint: str
    role: Role
    tokens: int
    ends_at: float
    duration_s: float = 0.0
    growth_tokens: int = 0
    suspicion: int = 0

    def expected_end(self, now: float) -> float:
        """Return the expected end; for overdue work it moves on with the current time."""
        if self.ends_at > now:
            return self.ends_at
        return now + _OVERDUE_SHARE * (now - self.ends_at + self.duration_s)

    def memory_at(self, time: float) -> float:
        """Return the memory that it holds at a time, in tokens."""
        return self.tokens - self._remaining_share(time) * self.growth_tokens

    def uncertain_growth(self, now: float) -> float:
        """Return the part of its growth that is still an estimate, in tokens."""
        return self.growth_tokens * max(_OVERDUE_SHARE, self._remaining_share(now))

    def _remaining_share(self, time: float) -> float:
        if not self.duration_s or time >= self.ends_at:
            return 0.0
        share = (self.ends_at - time) / self.duration_s
        return share if share < 1.0 else 1.0


def peak_memory(work: Sequence[Reservation], now: float, spread: float = 0.0) -> float:
    """Return the peak memory that reservations on one endpoint will hold together, in tokens.

    Streams grow until they end, each at its own time, so their final sizes do not add up: the
    peak occurs just before one of the ends.

    Args:
        work: The reservations.
        now: The current time, in seconds.
        spread: Deviation of answers' lengths from their estimates, as a share of the estimates;
            memory is kept free for it.
    """
    if not work:
        return 0.0
    ends = [(item.expected_end(now), item) for item in work]
    peak = max(sum(item.memory_at(time) for end, item in ends if end >= time) for time, _ in ends)
    return peak + spread * math.hypot(*(item.uncertain_growth(now) for item in work))


class MemoryProfile:
    """Memory held by the reservations on one endpoint, computed once for many streams.

    ``peak_with_added`` returns what ``peak_memory`` returns for the reservations and an added
    stream, in linear instead of quadratic time in the number of reservations.
    """

    def __init__(self, work: Sequence[Reservation], now: float) -> None:
        """Compute the memory held at the end of each reservation.

        Args:
            work: The reservations.
            now: The current time, in seconds.
        """
        self._computed_at = now
        self._ends = [(item.expected_end(now), item) for item in work]
        self._peaks = [(time, self._held_at(time)) for time, _ in self._ends]
        self._squared_growth = sum(item.uncertain_growth(now) ** 2 for item in work)

    @property
    def computed_at(self) -> float:
        """Time at which the profile was computed."""
        return self._computed_at

    def peak_with_added(self, added: Sequence[Reservation], now: float, spread: float) -> float:
        """Return the peak memory with some reservations added, in tokens.

        Args:
            added: The reservations that are added.
            now: The current time, in seconds.
            spread: Deviation of answers' lengths from their estimates, as a share of the
                estimates.
        """
        ends = [(item.expected_end(now), item) for item in added]
        peak = 0.0
        for time, held in self._peaks:
            peak = max(peak, held + _held_at(ends, time))
        for time, _ in ends:
            peak = max(peak, self._held_at(time) + _held_at(ends, time))
        if not spread:
            return peak
        growth = self._squared_growth + sum(item.uncertain_growth(now) ** 2 for item in added)
        return peak + spread * math.sqrt(growth)

    def _held_at(self, time: float) -> float:
        return _held_at(self._ends, time)


def _held_at(ends: Sequence[tuple[float, Reservation]], time: float) -> float:
    """Return the memory held at a time by the reservations that have not ended by then."""
    held = 0.0
    for end, item in ends:
        if end >= time:
            held += item.memory_at(time)
    return held


class Usage(NamedTuple):
    """Number of reservations on an endpoint, and the sum of their tokens."""

    running: int = 0
    tokens: int = 0
