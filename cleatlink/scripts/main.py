"""The ``cleatlink`` command: signals first, then all that takes time to import."""

import sys

from cleatlink.scripts.signals import handle_early_signals, ignore_late_signals

__all__ = ["main"]

# The command that serves until it is stopped.
_DAEMON = "entry"


def main() -> None:
    """Run the command."""
    if sys.argv[1:2] == [_DAEMON]:
        # Imports take most of a start, and a reload that met them ended the process.
        handle_early_signals()
    from cleatlink.scripts.commands import main as run_command  # noqa: PLC0415

    try:
        run_command()
    finally:
        ignore_late_signals()


if __name__ == "__main__":
    main()
