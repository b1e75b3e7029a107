"""A caller on a raw connection: sees each byte of an answer and how it ends."""

import itertools
from typing import NamedTuple

import trio

__all__ = ["Caller", "Reply"]

_IDS = itertools.count(1)
_READ_BYTES = 65_536


class Reply(NamedTuple):
    """An answer as received; ``whole`` tells whether it ended properly."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class Caller:
    """One connection to an instance."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._stream: trio.SocketStream | None = None
        self._buffer = b""

    async def open(self) -> None:
        """Connect if there is no connection."""
        if self._stream is None:
            host, _, port = self._address.rpartition(":")
            self._stream = await trio.open_tcp_stream(host, int(port))
            self._buffer = b""

    @property
    def unread(self) -> bytes:
        """What arrived after the last answer and was read with it."""
        return self._buffer

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
        """Send a request; gives its id.

        Args:
            path: Path and query.
            method: Method.
            host: Host that is named.
            body: Body; none is sent for an empty one, but with POST.
            headers: Headers beside the usual ones.
            more: Header lines as they are, also such as double others.
        """
        await self.open()
        assert self._stream is not None
        name = f"r{next(_IDS)}"
        fields = {"Host": host, "Attempt-Id": name, "Deadline-Milliseconds": "3000"}
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
        """Send a request and receive its answer."""
        await self.send(path, method, host, body, headers, more=more)
        return await self.receive()

    async def receive(self) -> Reply:
        """Receive one answer; status 0 stands for none."""
        if not await self._fill_until(b"\r\n\r\n"):
            self.close()
            return Reply(0, {}, self._buffer, False)
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        if headers.get("transfer-encoding") == "chunked":
            body, whole = await self._chunks()
        else:
            body, whole = await self._counted(int(headers.get("content-length", "0")))
        if not whole or headers.get("connection") == "close":
            self.close()
        return Reply(int(first.split(" ")[1]), headers, body, whole)

    async def _chunks(self) -> tuple[bytes, bool]:
        body = b""
        while await self._fill_until(b"\r\n"):
            size, _, self._buffer = self._buffer.partition(b"\r\n")
            data, whole = await self._counted(int(size, 16) + 2)
            if not whole:
                return body + data, False
            body += data[:-2]
            if size == b"0":
                return body, True
        return body, False

    async def _counted(self, size: int) -> tuple[bytes, bool]:
        while len(self._buffer) < size:
            if not await self._fill():
                break
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data, len(data) == size

    async def _fill_until(self, mark: bytes) -> bool:
        while mark not in self._buffer:
            if not await self._fill():
                return False
        return True

    async def _fill(self) -> bool:
        assert self._stream is not None
        try:
            data = await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self._buffer += data
        return bool(data)
