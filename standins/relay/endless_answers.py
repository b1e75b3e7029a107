"""Answers without end, which last until the caller closes the connection."""

import math
from collections.abc import Iterable
from enum import StrEnum
from itertools import count, cycle

import trio

from standins.relay.raw_server import chunk

__all__ = ["EndlessAnswer", "EndlessAnswers", "EndlessPart"]

_PART_BYTES = 16_384
_FILLER = b"x" * _PART_BYTES
_INTERIM = b"HTTP/1.1 103 X\r\nX-Filler: y\r\n\r\n"
# Size of the kernel's send buffer, so that few bytes count as sent that the caller did not take.
_SEND_BUFFER_BYTES = 16_384
# Size that a chunk without end announces.
_ENDLESS_CHUNK_BYTES = 1 << 40


class EndlessPart(StrEnum):
    """The part of an answer that has no end."""

    HEAD = "a head without end"
    BODY = "a body without end"
    UNFRAMED_BODY = "a body without length and without end"
    EVENTS = "events without end"
    OLD_EVENTS = "the first event without end"
    INTERIM = "interim responses without end"
    GARBAGE = "bytes that are no answer, without end"
    AFTER = "bytes after a whole answer, without end"
    WITHIN_EVENT = "an event without end, within a stream"


# Parts that consist of small items, each of which is sent by itself where there is a pause.
_ITEMISED_PARTS = (EndlessPart.EVENTS, EndlessPart.OLD_EVENTS, EndlessPart.INTERIM)


class EndlessAnswer:
    """Record of one answer without end."""

    def __init__(self, request: str, part: EndlessPart, began_at: float) -> None:
        # ID of the request that it answers; empty for a request of the relay itself.
        self.request = request
        self.part = part
        self.began_at = began_at
        # Time at which the connection was found closed.
        self.ended_at = math.inf
        # Bytes that the kernel accepted.
        self.sent_bytes = 0

    @property
    def lasted_s(self) -> float:
        """Seconds until the connection was found closed; infinite while it is open."""
        return self.ended_at - self.began_at


class EndlessAnswers:
    """The answers without end of one worker."""

    def __init__(self) -> None:
        # Seconds between two bytes of the part without end; 0 sends them as fast as the caller
        # takes them.
        self.byte_interval_s = 0.0
        # Seconds between two events or interim responses, where bytes have no interval.
        self.item_interval_s = 0.0
        # Bytes after which nothing more is sent, and the connection stays open.
        self.total_bytes = math.inf
        # Beginnings of the paths of the relay's own calls that are answered without end.
        self.paths: tuple[str, ...] = ()
        self.records: list[EndlessAnswer] = []

    async def send(
        self,
        stream: trio.SocketStream,
        part: EndlessPart,
        headers: dict[str, str],
        whole: bytes = b"",
        first_event: int = 1,
    ) -> None:
        """Send bytes until the connection breaks.

        Args:
            stream: The connection.
            part: The part of the answer that has no end.
            headers: Headers of the answer.
            whole: The whole answer, after which ``EndlessPart.AFTER`` goes on.
            first_event: Number of the first event of ``EndlessPart.EVENTS``.
        """
        request = headers.get("Attempt-Id", "")
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        record = EndlessAnswer(request, part, trio.current_time())
        self.records.append(record)
        try:
            await stream.send_all(_beginning(part, headers, whole))
            for item in self._items(part, request, first_event):
                await stream.send_all(item)
                record.sent_bytes += len(item)
                await trio.sleep(self.byte_interval_s or self._pause_s(part))
                if record.sent_bytes >= self.total_bytes:
                    await trio.sleep_forever()
        finally:
            record.ended_at = trio.current_time()

    def _pause_s(self, part: EndlessPart) -> float:
        return self.item_interval_s if part in _ITEMISED_PARTS else 0.0

    def _items(self, part: EndlessPart, request: str, first_event: int) -> Iterable[bytes]:
        """Return what is sent after the beginning, without end."""
        if part is EndlessPart.EVENTS:
            return (_event(number, request) for number in count(first_event))
        data = _repeated_data(part)
        if self.byte_interval_s:
            return cycle(_units(data, part))
        if self._pause_s(part):
            return cycle([data])
        # Sends of less than a packet each would take most of the machine.
        return cycle([data * max(1, _PART_BYTES // len(data))])


def _beginning(part: EndlessPart, headers: dict[str, str], whole: bytes) -> bytes:
    """Return the beginning of an answer."""
    lines = ["HTTP/1.1 200 X", *(f"{name}: {value}" for name, value in headers.items())]
    head = ("\r\n".join(lines) + "\r\n").encode()
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    beginnings = {
        EndlessPart.HEAD: head + b"X-Filler: ",
        EndlessPart.BODY: chunked,
        EndlessPart.UNFRAMED_BODY: head + b"\r\n",
        EndlessPart.EVENTS: chunked,
        EndlessPart.OLD_EVENTS: chunked,
        EndlessPart.AFTER: whole,
        EndlessPart.WITHIN_EVENT: b"%x\r\n" % _ENDLESS_CHUNK_BYTES,
    }
    return beginnings.get(part, b"")


def _repeated_data(part: EndlessPart) -> bytes:
    """Return what follows the beginning again and again."""
    data = {
        EndlessPart.BODY: chunk(_FILLER),
        EndlessPart.OLD_EVENTS: chunk(b"id: 1\ndata: more\n\n"),
        EndlessPart.INTERIM: _INTERIM,
    }
    return data.get(part, _FILLER)


def _event(number: int, request: str) -> bytes:
    return chunk(b"id: %d\ndata: %s %d\n\n" % (number, request.encode(), number))


def _units(data: bytes, part: EndlessPart) -> list[bytes]:
    """Split data into the pieces that are sent slowly: chunks, or single bytes."""
    if part is EndlessPart.BODY:
        return [chunk(b"x")]
    if part is EndlessPart.OLD_EVENTS:
        return [data]
    return [data[index : index + 1] for index in range(len(data))]
