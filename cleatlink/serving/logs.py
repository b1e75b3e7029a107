"""Logs: eliot messages, short sentences, a fixed prefix for each part."""

import sys

import eliot

__all__ = ["Log", "write_logs"]


class Log:
    """The log of one part of the system."""

    def __init__(self, part: str) -> None:
        self._part = part

    def say(self, sentence: str, **fields: object) -> None:
        """Log one sentence with its fields."""
        eliot.log_message(message_type=f"{self._part}: {sentence}", **fields)


def write_logs() -> None:
    """Write logs to standard error, one JSON object a line."""
    eliot.to_file(sys.stderr)
