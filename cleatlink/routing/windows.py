"""Sums over the last moments, by key."""

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["RecentSums"]

Key = TypeVar("Key", bound=Hashable)

# Parts of a window that are forgotten at a time.
_PARTS = 4


class _Part(Generic[Key]):
    """What was added in one part of the window, by key."""

    __slots__ = ("number", "sums")

    def __init__(self, number: int) -> None:
        self.number = number
        self.sums: dict[Key, float] = {}


class RecentSums(Generic[Key]):
    """What was added lately; every method takes the time as an argument."""

    def __init__(self, window_s: float, now: float) -> None:
        """Start empty.

        Args:
            window_s: Seconds for which something counts.
            now: The time.
        """
        self._part_s = window_s / _PARTS
        self._begun_at = now
        self._parts: deque[_Part[Key]] = deque()
        self._sums: dict[Key, float] = {}

    def add(self, key: Key, amount: float, now: float) -> None:
        """Count an amount."""
        number = self._number(now)
        if not self._parts or self._parts[-1].number < number:
            # What is too old was forgotten when the part that runs began.
            self._expire(now)
            self._parts.append(_Part(number))
        sums = self._parts[-1].sums
        sums[key] = sums.get(key, 0.0) + amount
        self._sums[key] = self._sums.get(key, 0.0) + amount

    def sum(self, key: Key, now: float) -> float:
        """Give the sum of a key over the window."""
        self._expire(now)
        return self._sums.get(key, 0.0)

    def rate(self, key: Key, now: float) -> float:
        """Give the mean of a key over the window, a second."""
        return self.sum(key, now) / self._covered_s(now)

    def rates(self, now: float) -> dict[Key, float]:
        """Give the mean of each key over the window, a second."""
        self._expire(now)
        covered_s = self._covered_s(now)
        return {key: amount / covered_s for key, amount in self._sums.items()}

    def _covered_s(self, now: float) -> float:
        """Give the seconds that the window covers now; right after the start, one part."""
        oldest = (self._number(now) - _PARTS + 1) * self._part_s
        return max(self._part_s, now - max(oldest, self._begun_at))

    def _number(self, now: float) -> int:
        return int(now // self._part_s)

    def _expire(self, now: float) -> int:
        """Forget what is older than the window; gives the number of the part that runs."""
        number = self._number(now)
        while self._parts and self._parts[0].number <= number - _PARTS:
            for key, amount in self._parts.popleft().sums.items():
                left = self._sums[key] - amount
                if any(key in part.sums for part in self._parts):
                    self._sums[key] = left
                else:
                    del self._sums[key]
        return number
