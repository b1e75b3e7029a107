"""Times at which this instance itself did not run.

A frozen or busy machine holds answers unread; measured over such a time, endpoints look slow that
are not. A look that comes much later than it was due tells of it.
"""

import math

__all__ = ["OwnPauses"]

# Timers are late by some ms on a busy machine; what is later by more than this was a pause.
_LATE_S = 0.1


class OwnPauses:
    """When this instance did not run; every method takes the time as an argument."""

    def __init__(self) -> None:
        """Start without a pause."""
        self._due_at = math.inf
        self._ended_at = -math.inf

    def expect_look(self, due_at: float) -> None:
        """Note when the next look is due."""
        self._due_at = due_at

    def look(self, now: float) -> float:
        """Look at the time; gives the seconds of a pause that ends now, or 0."""
        late_s = now - self._due_at
        if late_s <= _LATE_S:
            return 0.0
        self._ended_at = now
        return late_s

    def any_since(self, began_at: float, now: float) -> bool:
        """Tell whether this instance may not have run at some time since then."""
        return self._ended_at >= began_at or now - self._due_at > _LATE_S
