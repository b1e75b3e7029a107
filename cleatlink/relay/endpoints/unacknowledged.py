"""Asks the kernel how much of what was sent the other side has not acknowledged."""

import fcntl
import struct
import termios

import eliot

__all__ = ["count_unacknowledged"]

_INT = struct.Struct("i")


class _Support:
    """Whether the platform tells; logged once, since it holds for all connections."""

    def __init__(self) -> None:
        self.is_there = True

    def note_missing(self, error: OSError) -> None:
        """Note that the platform does not tell."""
        self.is_there = False
        eliot.log_message(
            message_type="endpoint: the platform does not tell what is acknowledged",
            error=repr(error),
            instead="long bodies are followed by what was handed to the kernel",
        )


_support = _Support()


def count_unacknowledged(file_number: int) -> int | None:
    """Give the bytes in a TCP socket's buffer that the other side has not acknowledged.

    Args:
        file_number: Of the socket, which is open.

    Returns:
        The bytes; None where the platform does not tell.
    """
    if not _support.is_there:
        return None
    try:
        told = fcntl.ioctl(file_number, termios.TIOCOUTQ, bytes(_INT.size))
    except OSError as error:
        _support.note_missing(error)
        return None
    return int(_INT.unpack(told)[0])
