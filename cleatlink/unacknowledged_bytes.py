"""Counts the sent bytes of a TCP socket that the other side has not acknowledged."""

import fcntl
import struct
import termios

import eliot

__all__ = ["count_unacknowledged"]

_INT = struct.Struct("i")


class _PlatformSupport:
    """Whether the platform reports unacknowledged bytes.

    A lack of support is logged once, since it applies to all connections.
    """

    def __init__(self) -> None:
        self.is_available = True

    def record_unsupported(self, error: OSError) -> None:
        """Record and log that the platform does not report unacknowledged bytes."""
        self.is_available = False
        eliot.log_message(
            message_type="endpoint: the platform does not report unacknowledged bytes",
            error=repr(error),
            instead="the progress of long bodies is taken from the bytes passed to the kernel",
        )


_platform_support = _PlatformSupport()


def count_unacknowledged(file_descriptor: int) -> int | None:
    """Return how many bytes in a TCP socket's buffer the other side has not acknowledged.

    Args:
        file_descriptor: File descriptor of an open socket.

    Returns:
        The number of bytes; None where the platform does not report it.
    """
    if not _platform_support.is_available:
        return None
    try:
        packed = fcntl.ioctl(file_descriptor, termios.TIOCOUTQ, bytes(_INT.size))
    except OSError as error:
        _platform_support.record_unsupported(error)
        return None
    return int(_INT.unpack(packed)[0])
