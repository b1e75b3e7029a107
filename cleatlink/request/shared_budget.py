"""A retry budget that many instances share without counting for each other.

The budget of a service allows, in any window, extra sends up to a share of its
requests plus a fixed allowance, over all instances together. Each instance
spends its share of its own requests and an equal part of the allowance.
"""

from collections import deque

__all__ = ["SharedRetryBudget"]

# Windows slide over all instances' sends; a part is left for what arrives late.
_SAFETY = 0.8


class SharedRetryBudget:
    """One instance's part of the budget of one service."""

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._extras: deque[float] = deque()

    def change(self, ratio: float, allowance: float, window_s: float) -> None:
        """Use other bounds; what was counted stays counted."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def count_request(self, now: float) -> None:
        """Count a caller's request for the service."""
        self._requests.append(now)

    def available(self, members: int, now: float) -> float:
        """Give how many extra sends may still be made now.

        Args:
            members: Instances that may share the allowance, this one included.
            now: The time.
        """
        self._forget(now)
        limit = self._ratio * len(self._requests) + self._allowance / max(1, members)
        return _SAFETY * limit - len(self._extras)

    def take(self, members: int, now: float) -> bool:
        """Spend one extra send if the budget has it."""
        if self.available(members, now) < 1.0:
            return False
        self._extras.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._extras):
            while times and times[0] <= now - self._window_s:
                times.popleft()
