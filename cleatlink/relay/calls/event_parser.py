"""Splits a stream into events, and keeps them in order when another endpoint continues it."""

from typing import NamedTuple

from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind

__all__ = ["EventParser", "StreamEvent"]

_EVENT_END = b"\n\n"
# Maximum size of an event; real events are far smaller.
_MAX_EVENT_BYTES = 1_048_576
# An incomplete event up to this size is kept whatever memory is left.
_SMALL_EVENT_BYTES = 65_536
# An id with more digits is not a number.
_MAX_NUMBER_DIGITS = 15


class StreamEvent(NamedTuple):
    """One event as received, with its number if its id is a number."""

    data: bytes
    number: int | None


class EventParser:
    """Parses complete events, and returns each event number once and in ascending order."""

    def __init__(self, last_number: int | None, memory: BufferedBytes) -> None:
        """Create a parser that has received nothing.

        Args:
            last_number: Number of the last event that the caller has; None if it has none.
            memory: Counts the bytes of an incomplete event.
        """
        self._buffer = b""
        self._memory = memory
        self.last_number = last_number

    @property
    def has_partial_event(self) -> bool:
        """Whether the received data ends within an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received data and return the complete events that are new.

        Raises:
            ValueError: An event is too long or finds no memory, or an event number was skipped.
        """
        *blocks, rest = (self._buffer + data).split(_EVENT_END)
        self._keep(rest)
        events = []
        for block in blocks:
            event = StreamEvent(block + _EVENT_END, _read_number(block))
            if self._is_new(event):
                events.append(event)
        return events

    def _keep(self, rest: bytes) -> None:
        """Keep an incomplete event.

        Raises:
            ValueError: It is too long, or there is no memory for it.
        """
        if len(rest) > _MAX_EVENT_BYTES:
            raise ValueError("an event exceeds the maximum length")
        added = len(rest) - len(self._buffer)
        is_small = len(rest) <= _SMALL_EVENT_BYTES
        if not is_small and not self._memory.may_read_answer(len(self._buffer), added):
            raise ValueError("no memory for the rest of an event")
        self._memory.add(BufferKind.INCOMPLETE_ANSWERS, added)
        self._buffer = rest

    def restart(self) -> None:
        """Drop an incomplete event, before another endpoint continues the stream."""
        self._keep(b"")

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
