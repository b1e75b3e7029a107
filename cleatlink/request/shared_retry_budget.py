"""A retry budget shared by all instances without an exchange of counts.

In any time window, the budget of a service allows a number of extra sends over all
instances: a share of the service's requests plus a fixed allowance. Each instance
uses the share of its own requests and an equal part of the allowance.
"""

from collections import deque

__all__ = ["SharedRetryBudget"]

# Share of the limit that is used. The rest is a reserve for sends that arrive late,
# because the limit applies to any sliding window over the sends of all instances.
_USABLE_SHARE = 0.8


class SharedRetryBudget:
    """One instance's part of the retry budget of one service."""

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._extra_sends: deque[float] = deque()

    @property
    def spent(self) -> int:
        """Number of extra sends in the last window, as of the last call."""
        return len(self._extra_sends)

    def set_limits(self, ratio: float, allowance: float, window_s: float) -> None:
        """Change the limits; requests and extra sends counted so far still count."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def count_request(self, now: float) -> None:
        """Count a request of a caller for the service."""
        self._requests.append(now)

    def available(self, instance_count: int, now: float) -> float:
        """Return the number of extra sends that are still allowed now.

        Args:
            instance_count: Number of instances that share the allowance, including this one.
            now: The current time.
        """
        self._remove_expired(now)
        limit = self._ratio * len(self._requests) + self._allowance / max(1, instance_count)
        return _USABLE_SHARE * limit - len(self._extra_sends)

    def try_spend(self, instance_count: int, now: float) -> bool:
        """Count one extra send if the budget allows it; return whether it does."""
        if self.available(instance_count, now) < 1.0:
            return False
        self._extra_sends.append(now)
        return True

    def _remove_expired(self, now: float) -> None:
        for times in (self._requests, self._extra_sends):
            while times and times[0] <= now - self._window_s:
                times.popleft()
