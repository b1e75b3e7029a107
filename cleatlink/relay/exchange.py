"""One request of a caller and its answer."""

from abc import ABC, abstractmethod
from typing import NamedTuple

import h11

from cleatlink.core.routes import Headers

__all__ = ["AnswerStream", "Exchange", "RawRequest"]


class RawRequest(NamedTuple):
    """A request as received from the caller.

    Attributes:
        method: Method as received.
        target: Path and query as received.
        headers: Headers as received.
        body: The body; empty if it was not kept.
        is_body_complete: Whether ``body`` is the complete body that the caller sent.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    is_body_complete: bool = True


class AnswerStream(ABC):
    """The connection to which an answer is written."""

    @abstractmethod
    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""

    @abstractmethod
    async def send_event(self, event: h11.Event) -> None:
        """Send a part of the body, or the end of the answer."""


class Exchange:
    """One request, and the methods through which a handler answers it."""

    def __init__(self, stream: AnswerStream, request: RawRequest) -> None:
        self._stream = stream
        self.request = request
        self.started = False
        self.ended = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        self.started = True
        await self._stream.send_head(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._stream.send_event(h11.Data(data=data))

    async def end(self) -> None:
        """End the answer; an answer that is not ended makes the server close the connection."""
        await self._stream.send_event(h11.EndOfMessage())
        self.ended = True

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        length = (b"Content-Length", b"%d" % len(body))
        if self.request.method != b"HEAD" and not _has_no_body(status):
            headers = (*headers, length)
        await self.start(status, headers)
        if body and self.request.method != b"HEAD" and not _has_no_body(status):
            await self.send(body)
        await self.end()


def _has_no_body(status: int) -> bool:
    return status in (204, 304)
