"""Ends a daemon's process in a time that does not depend on the size of its state."""

import os
import sys

__all__ = ["exit_without_cleanup"]


def exit_without_cleanup(code: str | int | None) -> None:
    """End the process at once, without the interpreter's cleanup.

    A stopped daemon has to exit within its grace time. Standard output and standard error are
    flushed. Threads are not joined, exit handlers do not run, and the kernel frees the memory.

    Args:
        code: The code of a ``SystemExit``. If it is a string, this function returns instead, so
            that the interpreter prints it.
    """
    if isinstance(code, str):
        return
    for stream in (sys.stdout, sys.stderr):
        try:
            stream.flush()
        except OSError:
            # The reader of the stream is gone, so the error can't be logged either.
            continue
    os._exit(code or 0)
