"""Splits a stream into events, and keeps them in order when another endpoint continues it."""

from typing import NamedTuple

__all__ = ["EventParser", "StreamEvent"]

_EVENT_END = b"\n\n"
# Maximum size of an event; real events are far smaller.
_MAX_EVENT_BYTES = 1_048_576
# An id with more digits is not a number.
_MAX_NUMBER_DIGITS = 15


class StreamEvent(NamedTuple):
    """One event as received, with its number if its id is a number."""

    data: bytes
    number: int | None


class EventParser:
    """Parses complete events, and returns each event number once and in ascending order."""

    def __init__(self, last_number: int | None) -> None:
        self._buffer = b""
        self.last_number = last_number

    @property
    def has_partial_event(self) -> bool:
        """Whether the received data ends within an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received data and return the complete events that are new.

        Raises:
            ValueError: An event is too long, or an event number was skipped.
        """
        *blocks, self._buffer = (self._buffer + data).split(_EVENT_END)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("an event exceeds the maximum length")
        events = []
        for block in blocks:
            event = StreamEvent(block + _EVENT_END, _read_number(block))
            if self._is_new(event):
                events.append(event)
        return events

    def restart(self) -> None:
        """Drop an incomplete event, before another endpoint continues the stream."""
        self._buffer = b""

    def _is_new(self, event: StreamEvent) -> bool:
        if event.number is None:
            return True
        if self.last_number is not None:
            if event.number <= self.last_number:
                return False
            if event.number > self.last_number + 1:
                raise ValueError(f"event {event.number} follows event {self.last_number}")
        self.last_number = event.number
        return True


def _read_number(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            is_number = text.isdigit() and len(text) <= _MAX_NUMBER_DIGITS
            return int(text) if is_number else None
    return None
