"""Measures how busy and how late the event loop is."""

import math
from typing import NamedTuple

import trio

__all__ = ["LoopLoad", "LoopMonitor"]

# Shortest time over which a load is measured, in seconds.
_MIN_PERIOD_S = 0.1


class LoopLoad(NamedTuple):
    """Load of the event loop in a period that has just ended.

    Attributes:
        period_s: Length of the period, in seconds.
        busy_share: Share of the period in which tasks ran.
        mean_wait_s: Mean time for which data that arrives at a random moment waits until the loop
            looks for it, in seconds.
        longest_s: Longest time for which the loop ran tasks without looking for data, in seconds.
    """

    period_s: float
    busy_share: float
    mean_wait_s: float
    longest_s: float


_IDLE = LoopLoad(math.inf, 0.0, 0.0, 0.0)


class LoopMonitor(trio.abc.Instrument):
    """Measures the event loop that it is added to as an instrument."""

    def __init__(self) -> None:
        """Start without a measurement."""
        self._load = _IDLE
        self._period_began_at = self._tasks_began_at = trio.current_time()
        self._busy_s = 0.0
        self._wait_sum = 0.0
        self._longest_s = 0.0

    @property
    def load(self) -> LoopLoad:
        """Load in the last period."""
        return self._load

    def start(self) -> None:
        """Start to measure the current event loop."""
        trio.lowlevel.add_instrument(self)

    def close(self) -> None:
        """End the measurement."""
        trio.lowlevel.remove_instrument(self)

    def after_io_wait(self, timeout: float) -> None:
        """Record that tasks run from now on."""
        self._tasks_began_at = trio.current_time()

    def before_io_wait(self, timeout: float) -> None:
        """Record that the loop looks for data; end the period once it is long enough."""
        now = trio.current_time()
        ran_s = now - self._tasks_began_at
        self._busy_s += ran_s
        self._wait_sum += ran_s * ran_s / 2
        self._longest_s = max(self._longest_s, ran_s)
        period_s = now - self._period_began_at
        if period_s >= _MIN_PERIOD_S:
            busy_share = min(1.0, self._busy_s / period_s)
            self._load = LoopLoad(period_s, busy_share, self._wait_sum / period_s, self._longest_s)
            self._period_began_at = now
            self._busy_s = self._wait_sum = self._longest_s = 0.0
