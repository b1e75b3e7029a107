"""Logs eliot messages, each prefixed with the name of the component that wrote it."""

import sys

import eliot

__all__ = ["Log", "write_logs"]


class Log:
    """The log of one component."""

    def __init__(self, component: str) -> None:
        self._component = component

    def log_message(self, message: str, **fields: object) -> None:
        """Log a message with additional fields.

        Args:
            message: Text of the message, without the prefix.
            **fields: Fields of the log line, by name.
        """
        eliot.log_message(message_type=f"{self._component}: {message}", **fields)


def write_logs() -> None:
    """Write logs to standard error, one JSON object per line."""
    eliot.to_file(sys.stderr)
