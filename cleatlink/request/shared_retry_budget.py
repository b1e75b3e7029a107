"""A retry budget shared by all instances, each of which uses its own part.

In any time window, the budget of a service allows a number of extra sends over all
instances: a share of the service's requests plus a fixed allowance. Each instance
uses the share of its own requests and an equal part of the allowance. The part belongs
to the instance, not to its process: a process that replaces another one must not use
what its predecessor used within the window.
"""

import math
from collections import deque

__all__ = ["SharedRetryBudget"]

# Share of the limit that is used. The rest is a reserve for sends that arrive late,
# because the limit applies to any sliding window over the sends of all instances.
_USABLE_SHARE = 0.8


class SharedRetryBudget:
    """One instance's part of the retry budget of one service."""

    def __init__(
        self, ratio: float, allowance: float, window_s: float, started_at: float = -math.inf
    ) -> None:
        """Start without retries; what a predecessor used is unknown.

        Args:
            ratio: Extra sends allowed as a share of requests.
            allowance: Extra sends allowed in addition, over all instances.
            window_s: Length of the window in seconds.
            started_at: When the process started; by default, longer ago than the window.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._started_at = started_at
        self._requests: deque[float] = deque()
        self._extra_sends: deque[float] = deque()
        # What earlier processes used of the allowance shortly before the start; None if unknown.
        self._inherited_use: float | None = None

    @property
    def spent(self) -> int:
        """Number of extra sends in the last window, as of the last call."""
        return len(self._extra_sends)

    def set_limits(self, ratio: float, allowance: float, window_s: float) -> None:
        """Change the limits; requests and extra sends counted so far still count."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def inherit(self, used_allowance: float) -> None:
        """Record what earlier processes of this instance used of the allowance.

        Of several reports, the highest applies.
        """
        self._inherited_use = max(used_allowance, self._inherited_use or 0.0)

    def count_request(self, now: float) -> None:
        """Count a request of a caller for the service."""
        self._requests.append(now)

    def available(self, instance_count: int, now: float) -> float:
        """Return the number of extra sends that are still allowed now.

        Args:
            instance_count: Number of instances that share the allowance, including this one.
            now: The current time.
        """
        own_share = _USABLE_SHARE * self._allowance / max(1, instance_count)
        unused = max(0.0, own_share - self._inherited(own_share, now))
        earned = self._earned(now)
        return earned + unused - len(self._extra_sends)

    def try_spend(self, instance_count: int, now: float) -> bool:
        """Count one extra send if the budget allows it; return whether it does."""
        if self.available(instance_count, now) < 1.0:
            return False
        self._extra_sends.append(now)
        return True

    def used_allowance(self, instance_count: int, now: float) -> float:
        """Return what this process and earlier ones used of the allowance in the last window.

        Extra sends that the instance's own requests allow don't use the allowance.

        Args:
            instance_count: Number of instances that share the allowance, including this one.
            now: The current time.
        """
        own_share = _USABLE_SHARE * self._allowance / max(1, instance_count)
        earned = self._earned(now)
        own_use = max(0.0, len(self._extra_sends) - earned)
        return self._inherited(own_share, now) + own_use

    def _earned(self, now: float) -> float:
        """Return the number of extra sends that this process's own requests allow."""
        self._remove_expired(now)
        return _USABLE_SHARE * self._ratio * len(self._requests)

    def _inherited(self, own_share: float, now: float) -> float:
        """Return the use by earlier processes that still counts; all of it if it is unknown."""
        if now >= self._started_at + self._window_s:
            return 0.0
        return own_share if self._inherited_use is None else self._inherited_use

    def _remove_expired(self, now: float) -> None:
        for times in (self._requests, self._extra_sends):
            while times and times[0] <= now - self._window_s:
                times.popleft()
