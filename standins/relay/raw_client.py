"""An HTTP/1.1 client on a raw connection; tests see each byte of a response and how it ends."""

import itertools
import math
from typing import NamedTuple

import trio

__all__ = ["Caller", "Reply"]

_REQUEST_NUMBERS = itertools.count(1)
_READ_BYTES = 65_536


class Reply(NamedTuple):
    """A response as received; ``is_complete`` tells whether all of it was received."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class Caller:
    """A client of an instance, with one connection at a time."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._stream: trio.SocketStream | None = None
        self._buffer = b""
        # Pace at which answers are read.
        self.read_bytes_per_s = math.inf

    async def open(self) -> None:
        """Open a connection if none is open."""
        if self._stream is None:
            host, _, port = self._address.rpartition(":")
            self._stream = await trio.open_tcp_stream(host, int(port))
            self._buffer = b""

    @property
    def unread_data(self) -> bytes:
        """Data after the last response that was read together with it."""
        return self._buffer

    async def end_sending(self) -> None:
        """Close the sending direction of the connection."""
        assert self._stream is not None
        await self._stream.send_eof()

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.socket.close()
            self._stream = None

    async def send(
        self,
        path: str,
        method: str = "GET",
        host: str = "h.example",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        more: tuple[str, ...] = (),
    ) -> str:
        """Send a request.

        Args:
            path: Path and query.
            method: HTTP method.
            host: Value of the Host header.
            body: Body; if it is empty, a Content-Length is sent only with POST.
            headers: Headers that are added to the default ones or replace them.
            more: Raw header lines that are appended, even if they duplicate other headers.

        Returns:
            The id of the request.
        """
        await self.open()
        assert self._stream is not None
        request_id = f"r{next(_REQUEST_NUMBERS)}"
        fields = {"Host": host, "Attempt-Id": request_id, "Deadline-Milliseconds": "3000"}
        fields.update(headers or {})
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{key}: {fields[key]}" for key in fields), *more]
        await self._stream.send_all(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        return fields["Attempt-Id"]

    async def ask(
        self,
        path: str,
        method: str = "GET",
        host: str = "h.example",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        more: tuple[str, ...] = (),
    ) -> Reply:
        """Send a request and receive the response."""
        await self.send(path, method, host, body, headers, more=more)
        return await self.receive()

    async def receive(self) -> Reply:
        """Receive one response; status 0 means that the connection ended before a complete head."""
        if not await self._fill_until_delimiter(b"\r\n\r\n"):
            self.close()
            return Reply(0, {}, self._buffer, False)
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        if headers.get("transfer-encoding") == "chunked":
            body, is_complete = await self._read_chunked_body()
        else:
            body, is_complete = await self._read_bytes(int(headers.get("content-length", "0")))
        if not is_complete or headers.get("connection") == "close":
            self.close()
        return Reply(int(status_line.split(" ")[1]), headers, body, is_complete)

    async def receive_events(self, count: int) -> bytes:
        """Receive the first events of a stream; nothing else can be received afterwards."""
        await self._fill_until_delimiter(b"\r\n\r\n")
        self._buffer = self._buffer.partition(b"\r\n\r\n")[2]
        body = b""
        while body.count(b"\n\n") < count and await self._fill_until_delimiter(b"\r\n"):
            size, _, self._buffer = self._buffer.partition(b"\r\n")
            data, _ = await self._read_bytes(int(size, 16) + 2)
            body += data[:-2]
        return body

    async def _read_chunked_body(self) -> tuple[bytes, bool]:
        """Read a chunked body; return what was received and whether it is complete."""
        body = b""
        while await self._fill_until_delimiter(b"\r\n"):
            size, _, self._buffer = self._buffer.partition(b"\r\n")
            data, is_complete = await self._read_bytes(int(size, 16) + 2)
            if not is_complete:
                return body + data, False
            body += data[:-2]
            if size == b"0":
                return body, True
        return body, False

    async def _read_bytes(self, size: int) -> tuple[bytes, bool]:
        """Read a number of bytes; return what was received and whether it is complete."""
        while len(self._buffer) < size:
            if not await self._fill_buffer():
                break
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data, len(data) == size

    async def _fill_until_delimiter(self, delimiter: bytes) -> bool:
        """Read until the buffer contains a delimiter; return whether it does."""
        while delimiter not in self._buffer:
            if not await self._fill_buffer():
                return False
        return True

    async def _fill_buffer(self) -> bool:
        """Read more data into the buffer; return False if the connection ended."""
        assert self._stream is not None
        if math.isfinite(self.read_bytes_per_s):
            await trio.sleep(_READ_BYTES / self.read_bytes_per_s)
        try:
            data = await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self._buffer += data
        return bool(data)
