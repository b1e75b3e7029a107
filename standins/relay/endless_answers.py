"""Answers without end, which last until the caller closes the connection."""

import math
from enum import StrEnum
from itertools import cycle

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


class EndlessAnswer:
    """Record of one answer without end."""

    def __init__(self, began_at: float) -> None:
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
        # Beginnings of the paths of the relay's own calls that are answered without end.
        self.paths: tuple[str, ...] = ()
        self.records: list[EndlessAnswer] = []

    async def send(
        self,
        stream: trio.SocketStream,
        part: EndlessPart,
        headers: dict[str, str],
        whole: bytes = b"",
    ) -> None:
        """Send bytes until the connection breaks.

        Args:
            stream: The connection.
            part: The part of the answer that has no end.
            headers: Headers of the answer.
            whole: The whole answer, after which ``EndlessPart.AFTER`` goes on.
        """
        first, data = _beginning_and_rest(part, headers, whole)
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        record = EndlessAnswer(trio.current_time())
        self.records.append(record)
        # Sends of less than a packet each would take most of the machine.
        items = _units(data, part) if self.byte_interval_s else [data * _repetitions(data)]
        try:
            await stream.send_all(first)
            for item in cycle(items):
                await stream.send_all(item)
                record.sent_bytes += len(item)
                await trio.sleep(self.byte_interval_s)
        finally:
            record.ended_at = trio.current_time()


def _beginning_and_rest(
    part: EndlessPart, headers: dict[str, str], whole: bytes
) -> tuple[bytes, bytes]:
    """Return the beginning of an answer, and what follows it again and again."""
    lines = ["HTTP/1.1 200 X", *(f"{name}: {value}" for name, value in headers.items())]
    head = ("\r\n".join(lines) + "\r\n").encode()
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        EndlessPart.HEAD: (head + b"X-Filler: ", _FILLER),
        EndlessPart.BODY: (chunked, chunk(_FILLER)),
        EndlessPart.UNFRAMED_BODY: (head + b"\r\n", _FILLER),
        EndlessPart.EVENTS: (chunked, chunk(b"data: more\n\n")),
        EndlessPart.OLD_EVENTS: (chunked, chunk(b"id: 1\ndata: more\n\n")),
        EndlessPart.INTERIM: (b"", _INTERIM),
        EndlessPart.GARBAGE: (b"", _FILLER),
        EndlessPart.AFTER: (whole, _FILLER),
        EndlessPart.WITHIN_EVENT: (b"%x\r\n" % _ENDLESS_CHUNK_BYTES, _FILLER),
    }[part]


def _repetitions(data: bytes) -> int:
    return max(1, _PART_BYTES // len(data))


def _units(data: bytes, part: EndlessPart) -> list[bytes]:
    """Split data into the pieces that are sent slowly: chunks, or single bytes."""
    if part is EndlessPart.BODY:
        return [chunk(b"x")]
    if part in (EndlessPart.EVENTS, EndlessPart.OLD_EVENTS):
        return [data]
    return [data[index : index + 1] for index in range(len(data))]
