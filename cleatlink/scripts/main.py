"""The ``cleatlink`` command; installs signal handlers before the imports that take time."""

import sys

from cleatlink.scripts.imports import imports_without_gc
from cleatlink.scripts.process_exit import exit_without_cleanup
from cleatlink.scripts.signals import handle_early_signals, ignore_late_signals

__all__ = ["main"]

# The command that runs until it is stopped.
_DAEMON_COMMAND = "entry"


def main() -> None:
    """Run the command."""
    is_daemon = sys.argv[1:2] == [_DAEMON_COMMAND]
    if is_daemon:
        # Imports take most of the start time. Without a handler, a reload signal during the imports
        # would end the process.
        handle_early_signals()
    with imports_without_gc():
        from cleatlink.scripts.commands import main as run_command  # noqa: PLC0415

    try:
        run_command()
    except SystemExit as error:
        if is_daemon:
            exit_without_cleanup(error.code)
        raise
    finally:
        ignore_late_signals()


if __name__ == "__main__":
    main()
