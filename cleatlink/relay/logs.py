"""The relay's logs: eliot messages on standard output, bounded and never blocking.

Lines wait in a bounded queue. A pipe that can take a whole block without
blocking gets one; what finds the queue full is dropped and counted.
"""

import os
import select
from collections import deque
from typing import Any

import eliot
import msgspec

__all__ = ["LineAllowance", "LineWriter", "write_lines"]

# About a megabyte, and seconds of lines under load.
_MOST_LINES = 4_000
# A pipe that polls as writable takes this many bytes without blocking.
_BLOCK_BYTES = 4_096


class LineAllowance:
    """Allows some lines of a kind in each span of time."""

    def __init__(self, most: int, span_s: float) -> None:
        """Start with all of them allowed.

        Args:
            most: Lines in one span.
            span_s: Its length in seconds.
        """
        self._most = most
        self._span_s = span_s
        self._began_at = 0.0
        self._taken = 0

    def take(self, now: float) -> bool:
        """Take one; tells whether there was one."""
        if now - self._began_at >= self._span_s:
            self._began_at, self._taken = now, 0
        self._taken += 1
        return self._taken <= self._most


class LineWriter:
    """Writes lines of JSON to a descriptor without ever waiting for it."""

    def __init__(self, descriptor: int, most_lines: int = _MOST_LINES) -> None:
        self._descriptor = descriptor
        self._most_lines = most_lines
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message as an eliot destination."""
        if len(self._lines) >= self._most_lines:
            self.dropped += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        self._lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")

    def flush(self) -> bool:
        """Write what can be written at once; tells whether nothing is left."""
        while self._partial or self._lines:
            if not self._writable():
                return False
            self._fill()
            block, rest = self._partial[:_BLOCK_BYTES], self._partial[_BLOCK_BYTES:]
            try:
                written = os.write(self._descriptor, block)
            except OSError:
                return False
            self._partial = block[written:] + rest
        return True

    def _fill(self) -> None:
        parts = [self._partial]
        size = len(self._partial)
        while self._lines and size < _BLOCK_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        self._partial = b"".join(parts)

    def _writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


def write_lines(descriptor: int = 1) -> LineWriter:
    """Send all logs of this process to a descriptor."""
    writer = LineWriter(descriptor)
    eliot.add_destinations(writer)
    return writer
