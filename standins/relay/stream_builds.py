"""Marks the events of streams with the builds of the engines that made them."""

from typing import NamedTuple

__all__ = ["MarkedStream", "mark_event", "read_marks"]

_MARK = b": build "
_EVENT_END = b"\n\n"


class MarkedStream(NamedTuple):
    """A stream without its marks, and the build of each of its events."""

    body: bytes
    builds: tuple[str, ...]


def mark_event(event: bytes, build: str) -> bytes:
    """Return an event with a comment line that names the build of its engine."""
    return event[:-1] + _MARK + build.encode() + _EVENT_END


def read_marks(body: bytes) -> MarkedStream:
    """Remove the marks from the body of a stream, which may end within an event."""
    lines = body.split(b"\n")
    marks = [line for line in lines[:-1] if line.startswith(_MARK)]
    rest = b"\n".join(line for line in lines if not line.startswith(_MARK))
    return MarkedStream(rest, tuple(mark.removeprefix(_MARK).decode() for mark in marks))
