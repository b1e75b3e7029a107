"""Answers without end, which last until the caller closes the connection."""

from enum import StrEnum
from itertools import repeat

import trio

from standins.relay.raw_server import chunk

__all__ = ["EndlessPart", "send_without_end"]

_PART_BYTES = 16_384
_FILLER = b"x" * _PART_BYTES
_INTERIM = b"HTTP/1.1 103 X\r\nX-Filler: y\r\n\r\n"


class EndlessPart(StrEnum):
    """The part of an answer that has no end."""

    HEAD = "a head without end"
    BODY = "a body without end"
    UNFRAMED_BODY = "a body without length and without end"
    EVENTS = "events without end"
    INTERIM = "interim responses without end"
    GARBAGE = "bytes that are no answer, without end"


async def send_without_end(
    stream: trio.SocketStream, part: EndlessPart, headers: dict[str, str]
) -> None:
    """Send bytes until the connection breaks.

    Args:
        stream: The connection.
        part: The part of the answer that has no end.
        headers: Headers of the answer.
    """
    lines = ["HTTP/1.1 200 X", *(f"{name}: {value}" for name, value in headers.items())]
    head = ("\r\n".join(lines) + "\r\n").encode()
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    first, data = {
        EndlessPart.HEAD: (head + b"X-Filler: ", _FILLER),
        EndlessPart.BODY: (chunked, chunk(_FILLER)),
        EndlessPart.UNFRAMED_BODY: (head + b"\r\n", _FILLER),
        EndlessPart.EVENTS: (chunked, chunk(b"data: more\n\n")),
        EndlessPart.INTERIM: (b"", _INTERIM),
        EndlessPart.GARBAGE: (b"", _FILLER),
    }[part]
    await stream.send_all(first)
    for item in repeat(data):
        await stream.send_all(item)
