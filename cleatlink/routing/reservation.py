"""Work placed on endpoints: what it takes, until when, and the memory that it holds in between."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from cleatlink.core.data import Role

__all__ = ["MemoryProfile", "Reservation", "Usage", "peak_memory"]

# Work that is overdue goes on for about this share of the time that it took so far: half of
# the lengths that are spread like callers' estimates (by a half of the logarithm) and
# passed a time end within three tenths of it.
_OVERDUE_SHARE = 0.3


class Reservation(NamedTuple):
    """Work placed on an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        role: Prefill, decode or plain.
        tokens: Prompt tokens of a prefill; memory of a decode at its end.
        ends_at: When it is expected to be over.
        duration_s: How long it is expected to take.
        grows: Tokens of its memory that come in the course of it.
        suspicion: At how many crashes of endpoints its request was in progress.
    """

    endpoint: str
    role: Role
    tokens: int
    ends_at: float
    duration_s: float = 0.0
    grows: int = 0
    suspicion: int = 0

    def expected_end(self, now: float) -> float:
        """Give when it should be over, as seen now: what is overdue takes longer."""
        if self.ends_at > now:
            return self.ends_at
        return now + _OVERDUE_SHARE * (now - self.ends_at + self.duration_s)

    def memory_at(self, time: float) -> float:
        """Give the memory that it holds at a time, in tokens."""
        return self.tokens - self._share_left(time) * self.grows

    def open_growth(self, now: float) -> float:
        """Give the part of its growth whose size is not known yet, in tokens."""
        return self.grows * max(_OVERDUE_SHARE, self._share_left(now))

    def _share_left(self, time: float) -> float:
        if not self.duration_s or time >= self.ends_at:
            return 0.0
        share = (self.ends_at - time) / self.duration_s
        return share if share < 1.0 else 1.0


def peak_memory(work: Sequence[Reservation], now: float, spread: float = 0.0) -> float:
    """Give the most memory that some work on one endpoint will hold at a time, in tokens.

    Streams grow until they end, each at its own time, so that their final
    sizes never stand together: the most is held just before one of the ends.

    Args:
        work: The work.
        now: The time.
        spread: How far answers' lengths deviate from their estimates, as a share of
            them; room is kept for that.
    """
    if not work:
        return 0.0
    ends = [(item.expected_end(now), item) for item in work]
    peak = max(sum(item.memory_at(time) for end, item in ends if end >= time) for time, _ in ends)
    return peak + spread * math.hypot(*(item.open_growth(now) for item in work))


class MemoryProfile:
    """The memory that work on one endpoint holds, computed once for all streams that seek room.

    It gives what ``peak_memory`` gives for the work and a stream more, in a time that grows with
    the number of streams there and not with its square.
    """

    def __init__(self, work: Sequence[Reservation], now: float) -> None:
        """Look at some work.

        Args:
            work: The work.
            now: The time.
        """
        self._made_at = now
        self._ends = [(item.expected_end(now), item) for item in work]
        self._peaks = [(time, self._held_at(time)) for time, _ in self._ends]
        self._open_growth = sum(item.open_growth(now) ** 2 for item in work)

    @property
    def made_at(self) -> float:
        """When the work was looked at."""
        return self._made_at

    def peak_with(self, added: Sequence[Reservation], now: float, spread: float) -> float:
        """Give the most memory that will be held at a time if some work is added, in tokens.

        Args:
            added: The work that is added.
            now: The time.
            spread: How far answers' lengths deviate from their estimates, as a share of them.
        """
        ends = [(item.expected_end(now), item) for item in added]
        peak = 0.0
        for time, held in self._peaks:
            peak = max(peak, held + _held_at(ends, time))
        for time, _ in ends:
            peak = max(peak, self._held_at(time) + _held_at(ends, time))
        if not spread:
            return peak
        growth = self._open_growth + sum(item.open_growth(now) ** 2 for item in added)
        return peak + spread * math.sqrt(growth)

    def _held_at(self, time: float) -> float:
        return _held_at(self._ends, time)


def _held_at(ends: Sequence[tuple[float, Reservation]], time: float) -> float:
    """Give the memory that work which has not ended by a time holds then."""
    held = 0.0
    for end, item in ends:
        if end >= time:
            held += item.memory_at(time)
    return held


class Usage(NamedTuple):
    """How much work is placed on an endpoint."""

    running: int = 0
    tokens: int = 0
