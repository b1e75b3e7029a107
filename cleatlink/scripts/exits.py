"""The end of a daemon's process, in a time that depends on nothing that it holds."""

import os
import sys

__all__ = ["leave_process"]


def leave_process(code: str | int | None) -> None:
    """End the process at once, without the interpreter's release of all that it holds.

    A stopped daemon has to be gone by the end of its grace. Threads, exit functions and objects
    are left to the kernel; what is written is flushed.

    Args:
        code: The exit code as ``SystemExit`` holds it. Returns where it is a text, which the
            interpreter prints.
    """
    if isinstance(code, str):
        return
    for stream in (sys.stdout, sys.stderr):
        try:
            stream.flush()
        except OSError:
            # Nobody reads it any more, and no log line could reach anybody.
            continue
    os._exit(code or 0)
