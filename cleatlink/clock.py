"""The only source of time in the program: a monotonic clock that includes suspensions.

A machine can be suspended for seconds, which the usual monotonic clock does not count. With that
clock, an instance would treat everything with a limited lifetime (leases, heartbeats, limits,
handles, deadlines) as younger than the rest of the fleet does.
"""

import time

import trio.abc

__all__ = ["SuspendAwareClock", "unix_ms", "unix_s"]

_MS = 1000


class SuspendAwareClock(trio.abc.Clock):
    """A clock for trio that advances while the machine is suspended.

    trio measures timeouts with the clock that it is given: at the first scheduler step after the
    machine resumes, timeouts that passed during the suspension expire before any task runs.
    """

    def start_clock(self) -> None:
        """Do nothing: the system clock is already running."""

    def current_time(self) -> float:
        """Return the seconds since the machine booted, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self.current_time()


def unix_s() -> float:
    """Return the Unix time in seconds; it may jump, so no timeout is measured with it."""
    return time.time()


def unix_ms() -> int:
    """Return the Unix time in milliseconds; it orders process starts and leadership terms."""
    return int(unix_s() * _MS)
