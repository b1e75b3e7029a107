"""Holds processes to a share of a processor, as a platform does that gives them a quota."""

import contextlib
import os
import signal
import threading
import time
from collections.abc import Mapping

__all__ = ["CpuLimit"]

# Length of the periods in which a process may use its share, in seconds.
_PERIOD_S = 0.05
# Interval between checks of the processor time that the processes used, in seconds.
_CHECK_INTERVAL_S = 0.002


class CpuLimit:
    """Pauses processes that have used their processor time of the current period."""

    def __init__(self, shares: Mapping[int, float]) -> None:
        """Create a limit that is not in force yet.

        Args:
            shares: Largest share of one processor, by process ID.
        """
        self._shares = dict(shares)
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to limit the processes."""
        self._thread.start()

    def close(self) -> None:
        """End the limit; all processes continue."""
        self._closed.set()
        self._thread.join()

    def _run(self) -> None:
        used_s = {process: _cpu_s(process) for process in self._shares}
        while not self._closed.is_set():
            period_ends_at = time.monotonic() + _PERIOD_S
            while time.monotonic() < period_ends_at:
                for process, share in self._shares.items():
                    if _cpu_s(process) - used_s[process] >= share * _PERIOD_S:
                        _send(process, signal.SIGSTOP)
                time.sleep(_CHECK_INTERVAL_S)
            for process, share in self._shares.items():
                # A process that used more than its share has less in the next period.
                used_s[process] = min(_cpu_s(process), used_s[process] + share * _PERIOD_S)
                if _cpu_s(process) - used_s[process] < share * _PERIOD_S:
                    _send(process, signal.SIGCONT)
        for process in self._shares:
            _send(process, signal.SIGCONT)


def _cpu_s(process: int) -> float:
    """Return the processor time of a process in seconds; 0 if it has exited."""
    # The kernel derives the clock of a process from its ID: see clock_getcpuclockid(3).
    clock = (~process << 3) | 2
    try:
        return time.clock_gettime(clock)
    except OSError:
        return 0.0


def _send(process: int, number: signal.Signals) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.kill(process, number)
