"""Signals before a daemon handles them, and after it is done.

A platform sends its signals whenever it likes: a reload to all processes of which some are
just being started, a second stop to one that has almost ended.
"""

import os
import signal
from types import FrameType

__all__ = ["handle_early_signals", "ignore_late_signals"]


def handle_early_signals() -> None:
    """Let no reload end the process, and let a stop end it well.

    Holds until a daemon handles signals itself, and again once it has finished. A reload that
    is dropped before loses nothing: the settings are read after a daemon handles signals. The
    kernel would end the process by either signal.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)


def ignore_late_signals() -> None:
    """Let nothing end a process that has finished: as it ends, handlers of ours are gone first."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def _exit(number: int, frame: FrameType | None) -> None:
    """End at once: nothing was taken yet, or everything is finished and written."""
    os._exit(0)
