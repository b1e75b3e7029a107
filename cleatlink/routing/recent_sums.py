"""Sums over a sliding window of time, by key."""

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["RecentSums"]

Key = TypeVar("Key", bound=Hashable)

# Number of parts of a window; values expire one part at a time.
_PARTS = 4


class _Part(Generic[Key]):
    """Sums of the amounts that were added in one part of the window, by key."""

    __slots__ = ("number", "sums")

    def __init__(self, number: int) -> None:
        self.number = number
        self.sums: dict[Key, float] = {}


class RecentSums(Generic[Key]):
    """Sums of recent amounts; methods take the current time as an argument."""

    def __init__(self, window_s: float, now: float) -> None:
        """Start without amounts.

        Args:
            window_s: Length of the window, in seconds.
            now: The current time.
        """
        self._part_s = window_s / _PARTS
        self._started_at = now
        self._parts: deque[_Part[Key]] = deque()
        self._sums: dict[Key, float] = {}

    def add(self, key: Key, amount: float, now: float) -> None:
        """Add an amount to the sum of a key."""
        number = self._part_number(now)
        if not self._parts or self._parts[-1].number < number:
            # Old parts only need to be removed when a new part begins.
            self._expire(now)
            self._parts.append(_Part(number))
        sums = self._parts[-1].sums
        sums[key] = sums.get(key, 0.0) + amount
        self._sums[key] = self._sums.get(key, 0.0) + amount

    def sum(self, key: Key, now: float) -> float:
        """Return the sum of a key over the window."""
        self._expire(now)
        return self._sums.get(key, 0.0)

    def rate(self, key: Key, now: float) -> float:
        """Return the mean amount of a key per second over the window."""
        return self.sum(key, now) / self._covered_s(now)

    def rates(self, now: float) -> dict[Key, float]:
        """Return the mean amount of each key per second over the window."""
        self._expire(now)
        covered_s = self._covered_s(now)
        return {key: amount / covered_s for key, amount in self._sums.items()}

    def _covered_s(self, now: float) -> float:
        """Return the seconds that the window covers now; at least the length of one part."""
        oldest_at = (self._part_number(now) - _PARTS + 1) * self._part_s
        return max(self._part_s, now - max(oldest_at, self._started_at))

    def _part_number(self, now: float) -> int:
        return int(now // self._part_s)

    def _expire(self, now: float) -> int:
        """Remove parts that are older than the window and return the current part's number."""
        number = self._part_number(now)
        while self._parts and self._parts[0].number <= number - _PARTS:
            for key, amount in self._parts.popleft().sums.items():
                remaining = self._sums[key] - amount
                if any(key in part.sums for part in self._parts):
                    self._sums[key] = remaining
                else:
                    del self._sums[key]
        return number
