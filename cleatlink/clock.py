"""The program's one clock: steady, and counting the time for which a machine was suspended.

A machine can be suspended for seconds. The usual steady clock does not count them, so that
everything that is believed for a time (leases, heartbeats, limits, handles, deadlines) would be
taken for younger than it is by the rest of the fleet.
"""

import time

import trio.abc

__all__ = ["SuspensionClock", "unix_ms", "unix_s"]

_MS = 1000


class SuspensionClock(trio.abc.Clock):
    """A clock for trio that goes on while the machine is suspended.

    trio ends waits by the clock it is given: at the first step after a wake, whatever was due
    meanwhile is due, before any task goes on.
    """

    def start_clock(self) -> None:
        """Needs no start."""

    def current_time(self) -> float:
        """Give the seconds since the machine started, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Give the seconds until a deadline."""
        return deadline - self.current_time()


def unix_s() -> float:
    """Give the time of day in seconds; it may jump, and no wait is measured by it."""
    return time.time()


def unix_ms() -> int:
    """Give the time of day in milliseconds; it orders starts of processes and terms of leaders."""
    return int(unix_s() * _MS)
