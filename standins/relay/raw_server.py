"""A raw HTTP/1.1 server whose subclasses control each byte that they send."""

import math
import socket
import struct
from abc import ABC, abstractmethod
from typing import NamedTuple

import trio

from standins.relay.late_copies import LateCopies

__all__ = ["RawCall", "RawServer", "answer", "chunk", "close_connections", "reset"]

_READ_BYTES = 65_536
# Maximum number of body bytes per read; a simulated slow link pauses after each read.
_BODY_READ_BYTES = 16_384
LAST_CHUNK = b"0\r\n\r\n"


class RawCall(NamedTuple):
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]

    def query(self, name: str) -> str:
        """Return the value of a query parameter; empty if it is missing."""
        for pair in self.target.partition("?")[2].split("&"):
            key, _, value = pair.partition("=")
            if key == name:
                return value.replace("%2F", "/")
        return ""


class RawServer(ABC):
    """A server on loopback; subclasses write their responses to the connection themselves."""

    def __init__(self) -> None:
        self.address = ""
        # Number of connections that were accepted so far.
        self.accepted_connections = 0
        # Whether it serves new connections; if not, it closes each at once, like a server that
        # has reached its connection limit.
        self.accepts_connections = True
        # Whether its end resets connections also where all data was read. Otherwise the end of a
        # connection looks like that of a response without a length.
        self.resets_on_close = False
        # Rate at which bodies are read, to simulate a slow link.
        self.link_bytes_per_s = math.inf
        # Size of the kernel's receive buffer, set before the start; None keeps the default size.
        self.receive_buffer_bytes: int | None = None
        # Number of body bytes after which a call is answered; the rest is read after the response.
        self.body_bytes_before_response = math.inf
        # Parts of bodies that were read after the response.
        self.late_body_parts: list[bytes] = []
        # Chooses the answers that are sent a second time; None for none.
        self.late_copies: LateCopies | None = None
        # Number of requests whose head was read, including those whose body was incomplete.
        self.heads_read = 0
        self._listener: trio.SocketListener | None = None
        self._streams: set[trio.SocketStream] = set()

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""
        return len(self._streams)

    async def start(self, nursery: trio.Nursery, port: int = 0) -> None:
        """Start accepting connections; port 0 chooses a free port."""
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        self._listener = listeners[0]
        if self.receive_buffer_bytes is not None:
            sock = self._listener.socket
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        self.address = f"127.0.0.1:{self._listener.socket.getsockname()[1]}"
        nursery.start_soon(self._accept)

    def close(self) -> None:
        """Stop listening and reset every connection, as a crash does."""
        if self._listener is not None:
            self._listener.socket.close()
        for stream in list(self._streams):
            if self.resets_on_close:
                reset(stream)
            stream.socket.close()

    @abstractmethod
    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Respond to one call; return whether the connection stays open."""

    async def send(self, stream: trio.SocketStream, data: bytes) -> None:
        """Send a part of an answer."""
        if self.late_copies is not None:
            self.late_copies.record(stream, data)
        await stream.send_all(data)

    async def _accept(self) -> None:
        assert self._listener is not None
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    stream = await self._listener.accept()
                except (trio.ClosedResourceError, OSError):
                    return
                if not self.accepts_connections:
                    stream.socket.close()
                    continue
                self.accepted_connections += 1
                nursery.start_soon(self._serve_connection, stream)

    async def _read_call(
        self, stream: trio.SocketStream, buffer: bytes
    ) -> tuple[RawCall, bytes] | None:
        """Read a request; return None if the client closed the connection before its end."""
        while b"\r\n\r\n" not in buffer:
            data = await stream.receive_some(_READ_BYTES)
            if not data:
                return None
            buffer += data
        self.heads_read += 1
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        request_line, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = request_line.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        needed = int(min(length, self.body_bytes_before_response))
        buffer = await self._read_until_length(stream, buffer, needed)
        if len(buffer) < needed:
            return None
        return RawCall(method, target, headers, buffer[:length]), buffer[length:]

    async def _read_until_length(
        self, stream: trio.SocketStream, buffer: bytes, length: int
    ) -> bytes:
        """Read until the buffer has a given length or the client closes the connection."""
        while len(buffer) < length:
            data = await stream.receive_some(_BODY_READ_BYTES)
            if not data:
                break
            buffer += data
            if math.isfinite(self.link_bytes_per_s):
                await trio.sleep(len(data) / self.link_bytes_per_s)
        return buffer

    async def _read_rest(self, stream: trio.SocketStream, call: RawCall) -> None:
        """Read the rest of a body after the response was sent."""
        missing = int(call.headers.get("content-length", "0")) - len(call.body)
        if missing > 0:
            self.late_body_parts.append(await self._read_until_length(stream, b"", missing))

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        try:
            buffer = b""
            while True:
                result = await self._read_call(stream, buffer)
                if result is None:
                    return
                call, buffer = result
                if self.late_copies is not None:
                    await self.late_copies.send_due(stream)
                if not await self.serve(call, stream):
                    return
                if self.late_copies is not None:
                    self.late_copies.end_answer(stream, call.path)
                await self._read_rest(stream, call)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self._streams.discard(stream)
            stream.socket.close()


def reset(stream: trio.SocketStream) -> None:
    """Reset a connection."""
    if stream.socket.fileno() != -1:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.socket.close()


async def close_connections(port: int) -> None:
    """Accept connections at a port and close each at once, like a proxy without a backend."""
    (listener,) = await trio.open_tcp_listeners(port, host="127.0.0.1")
    async with listener:
        while True:
            stream = await listener.accept()
            stream.socket.close()


def answer(
    status: int, headers: dict[str, str], body: bytes = b"", *, has_length: bool = True
) -> bytes:
    """Build a complete response.

    Args:
        status: Status of the response.
        headers: Headers of the response.
        body: Body of the response.
        has_length: Whether it has a Content-Length header; without one, its end is that of the
            connection.
    """
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"Content-Length: {len(body)}"] if has_length else []
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data: bytes) -> bytes:
    """Encode a chunk of a chunked body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"
