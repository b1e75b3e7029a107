"""Handling of signals before a daemon installs its own handlers, and after it has finished.

A platform may send signals at any time: a reload to all processes while some are still starting, or
a second stop signal to a process that has almost ended.
"""

import os
import signal
from types import FrameType

__all__ = ["handle_early_signals", "ignore_late_signals"]


def handle_early_signals() -> None:
    """Ignore reload signals, and exit with 0 at a stop signal.

    By default, either signal would kill the process. These handlers are active until a daemon
    installs its own, and again after it has finished. An ignored reload loses no change, because a
    daemon reads its settings after it has installed its handlers.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)


def ignore_late_signals() -> None:
    """Ignore stop signals while the process exits.

    The interpreter removes the Python handlers before the process ends; the default action would
    then kill it.
    """
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def _exit(number: int, frame: FrameType | None) -> None:
    """Exit at once: no request was accepted yet, or all are finished and all output is written."""
    os._exit(0)
