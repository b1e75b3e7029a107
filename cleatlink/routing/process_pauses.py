"""Detects pauses of this process, during which it did not run.

While the machine is frozen or overloaded, responses wait unread, so that times measured across a
pause make endpoints appear slow. A periodic check that runs much later than scheduled shows a
pause.
"""

import math

__all__ = ["ProcessPauses"]

# Delay of a check from which on it shows a pause, in seconds. Without a pause, timers are late by
# only some ms, even on a busy machine.
_MAX_DELAY_S = 0.1


class ProcessPauses:
    """Pauses of this process; every method takes the time as an argument."""

    def __init__(self) -> None:
        """Start without a pause."""
        self._due_at = math.inf
        self._ended_at = -math.inf

    def schedule_check(self, due_at: float) -> None:
        """Record when the next check is scheduled."""
        self._due_at = due_at

    def check(self, now: float) -> float:
        """Run the periodic check; return the seconds of a pause that ends now, or 0."""
        late_s = now - self._due_at
        if late_s <= _MAX_DELAY_S:
            return 0.0
        self._ended_at = now
        return late_s

    def has_paused_since(self, began_at: float, now: float) -> bool:
        """Check whether this process may have paused at some time since ``began_at``."""
        return self._ended_at >= began_at or now - self._due_at > _MAX_DELAY_S
