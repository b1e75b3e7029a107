"""The ``cleatlink`` command: signals first, then all that takes time to import."""

import sys

from cleatlink.scripts.exits import leave_process
from cleatlink.scripts.imports import lasting_imports
from cleatlink.scripts.signals import handle_early_signals, ignore_late_signals

__all__ = ["main"]

# The command that serves until it is stopped.
_DAEMON = "entry"


def main() -> None:
    """Run the command."""
    is_daemon = sys.argv[1:2] == [_DAEMON]
    if is_daemon:
        # Imports take most of a start, and a reload that met them ended the process.
        handle_early_signals()
    with lasting_imports():
        from cleatlink.scripts.commands import main as run_command  # noqa: PLC0415

    try:
        run_command()
    except SystemExit as end:
        if is_daemon:
            leave_process(end.code)
        raise
    finally:
        ignore_late_signals()


if __name__ == "__main__":
    main()
