"""Cuts a stream into whole events and keeps its order over several endpoints."""

from typing import NamedTuple

__all__ = ["EventCutter", "StreamEvent"]

_END = b"\n\n"
# Far above the longest event; more is no event stream.
_MOST_EVENT_BYTES = 1_048_576


class StreamEvent(NamedTuple):
    """One event as it came, with its id if it has one."""

    data: bytes
    number: int | None


class EventCutter:
    """Gives whole events, each number once and in rising order."""

    def __init__(self, last: int | None) -> None:
        self._buffer = b""
        self.last = last

    @property
    def partial(self) -> bool:
        """Whether the stream stands within an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; give the whole events that are new.

        Raises:
            ValueError: An event is too long to be one, or a number is missing.
        """
        *blocks, self._buffer = (self._buffer + data).split(_END)
        if len(self._buffer) > _MOST_EVENT_BYTES:
            raise ValueError("an event is too long")
        events = []
        for block in blocks:
            event = StreamEvent(block + _END, _number(block))
            if self._is_new(event):
                events.append(event)
        return events

    def restart(self) -> None:
        """Drop what another endpoint left unfinished."""
        self._buffer = b""

    def _is_new(self, event: StreamEvent) -> bool:
        if event.number is None:
            return True
        if self.last is not None:
            if event.number <= self.last:
                return False
            if event.number > self.last + 1:
                raise ValueError(f"event {event.number} follows {self.last}")
        self.last = event.number
        return True


def _number(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
