"""Writes the relay's logs, eliot messages, to standard output without blocking.

Lines wait in a bounded queue and are written in blocks that the pipe can accept without blocking.
Messages that arrive while the queue is full are dropped and counted.
"""

import os
import select
from collections import deque
from typing import Any

import eliot
import msgspec

__all__ = ["LogRateLimit", "LogWriter", "install_log_writer"]

# About a megabyte, or some seconds of log lines under load.
_MAX_QUEUED_LINES = 4_000
# A pipe that poll() reports as writable accepts this many bytes without blocking.
_BLOCK_BYTES = 4_096


class LogRateLimit:
    """Limits the number of log lines of a kind in each time window."""

    def __init__(self, max_lines: int, window_s: float) -> None:
        """Initialise with no lines counted.

        Args:
            max_lines: Most lines in one window.
            window_s: Length of the window in seconds.
        """
        self._max_lines = max_lines
        self._window_s = window_s
        self._window_start = 0.0
        self._line_count = 0

    def allow(self, now: float) -> bool:
        """Count one line; return whether the limit allows it."""
        if now - self._window_start >= self._window_s:
            self._window_start, self._line_count = now, 0
        self._line_count += 1
        return self._line_count <= self._max_lines


class LogWriter:
    """Writes JSON lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int, max_lines: int = _MAX_QUEUED_LINES) -> None:
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._pending = b""
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped_lines = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message; this makes the writer an eliot destination."""
        if len(self._lines) >= self._max_lines:
            self.dropped_lines += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        self._lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")

    def flush(self) -> bool:
        """Write as much as possible without blocking; return whether the queue is empty."""
        while self._pending or self._lines:
            if not self._is_writable():
                return False
            self._fill_pending()
            block, remaining = self._pending[:_BLOCK_BYTES], self._pending[_BLOCK_BYTES:]
            try:
                written = os.write(self._descriptor, block)
            except OSError:
                return False
            self._pending = block[written:] + remaining
        return True

    def _fill_pending(self) -> None:
        parts = [self._pending]
        size = len(self._pending)
        while self._lines and size < _BLOCK_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        self._pending = b"".join(parts)

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


def install_log_writer(descriptor: int = 1) -> LogWriter:
    """Send all logs of this process to a file descriptor."""
    writer = LogWriter(descriptor)
    eliot.add_destinations(writer)
    return writer
