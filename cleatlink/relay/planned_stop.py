"""The planned stop of an instance: when it began, and when the process has to be gone."""

import math

__all__ = ["PlannedStop"]


class PlannedStop:
    """The time that a stopping instance has; endless before the stop begins."""

    def __init__(self) -> None:
        self._began_at = math.inf
        self._ends_at = math.inf
        self._is_over = False

    @property
    def has_begun(self) -> bool:
        """Whether the instance stops."""
        return math.isfinite(self._began_at)

    @property
    def is_over(self) -> bool:
        """Whether what is still in progress is being cut off."""
        return self._is_over

    @property
    def ends_at(self) -> float:
        """When what is still in progress is cut off."""
        return self._ends_at

    def begin(self, now: float, lasts_s: float) -> None:
        """Begin the stop.

        Args:
            now: The time.
            lasts_s: Seconds until what is in progress is cut off.
        """
        self._began_at = now
        self._ends_at = now + lasts_s

    def end(self) -> None:
        """End the stop: from now on requests in progress are cut off."""
        self._is_over = True

    def age_s(self, now: float) -> float:
        """Give the seconds since the stop began; negative before."""
        return now - self._began_at
