"""The bytes of a tunnel, sent and received as chunks of an HTTP/1.1 exchange."""

import h11
import trio

from cleatlink.core.routes import Headers
from cleatlink.relay.endpoints.streams import SocketStream
from cleatlink.relay.tunnels.messages import TUNNEL_METHOD, TUNNEL_PATH

__all__ = ["TunnelChannel"]

# Bytes to read at a time; a peer holds at most this much for each direction of a tunnel.
_READ_BYTES = 16_384
# Far above the head of a tunnel request or response.
_MAX_HEAD_BYTES = 8_192


class TunnelChannel:
    """One side of a tunnel between two instances."""

    def __init__(self, stream: trio.SocketStream, role: type[h11.CLIENT | h11.SERVER]) -> None:
        """Create one side of a tunnel over an open connection.

        Args:
            stream: The connection between the instances.
            role: ``h11.CLIENT`` at the instance that asks, ``h11.SERVER`` at its peer.
        """
        self._stream = SocketStream(stream, _READ_BYTES)
        self._http = h11.Connection(role, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._received = b""
        self._has_ended = False

    @property
    def is_open_without_input(self) -> bool:
        """Whether the tunnel is open, with neither data nor its end waiting to be read."""
        if self._received or self._has_ended or self._http.trailing_data[0]:
            return False
        return self._stream.is_open_without_input

    async def send_request(self, headers: Headers) -> None:
        """Send the head of the request that opens the tunnel.

        Raises:
            trio.BrokenResourceError: The connection failed, or a name can't be sent in a header.
        """
        try:
            request = h11.Request(method=TUNNEL_METHOD, target=TUNNEL_PATH, headers=list(headers))
        except h11.LocalProtocolError as error:
            raise trio.BrokenResourceError(repr(error)) from error
        await self._send(request)

    async def send_status(self, status: int) -> None:
        """Send the head of the response."""
        headers = [(b"Transfer-Encoding", b"chunked")]
        await self._send(h11.Response(status_code=status, headers=headers))

    async def send_all(self, data: bytes) -> None:
        """Send data through the tunnel.

        Raises:
            trio.BrokenResourceError: The connection between the instances failed.
        """
        await self._send(h11.Data(data=data))

    async def send_end(self) -> None:
        """Send the regular end of the endpoint's connection."""
        await self._send(h11.EndOfMessage())

    async def receive_request(self) -> h11.Request:
        """Receive the head of a request.

        Raises:
            trio.BrokenResourceError: What came is not a request.
        """
        event = await self._receive_head()
        if not isinstance(event, h11.Request):
            raise trio.BrokenResourceError("no request")
        return event

    async def receive_status(self) -> int:
        """Receive the head of the response and return its status.

        Raises:
            trio.BrokenResourceError: What came is not a response.
        """
        event = await self._receive_head()
        if not isinstance(event, h11.Response):
            raise trio.BrokenResourceError("no response")
        return event.status_code

    async def receive_some(self) -> bytes:
        """Receive data; empty at the regular end, after the other instance had taken all data.

        Raises:
            trio.BrokenResourceError: The tunnel ended in any other way.
        """
        self._read_events()
        while not self._received and not self._has_ended:
            await self._receive_more()
            self._read_events()
        if not self._received and self._stream.count_unacknowledged():
            raise trio.BrokenResourceError("the tunnel ended before all data was taken")
        data, self._received = self._received, b""
        return data

    async def wait_readable(self) -> None:
        """Wait until data or the end can be read, or until this side closes the tunnel."""
        if self._received or self._has_ended:
            return
        await self._stream.wait_readable()

    def count_unacknowledged(self) -> int | None:
        """Return how many sent bytes the other instance has not acknowledged; None if unknown."""
        return self._stream.count_unacknowledged()

    def close(self) -> None:
        """Close the connection between the instances immediately."""
        self._stream.close()

    async def _send(self, event: h11.Event) -> None:
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as error:
            raise trio.BrokenResourceError(repr(error)) from error
        if data:
            await self._stream.send_all(data)

    async def _receive_head(self) -> object:
        while (event := self._next_event()) is h11.NEED_DATA:
            await self._receive_more()
        return event

    async def _receive_more(self) -> None:
        data = await self._stream.receive_some()
        if not data:
            raise trio.BrokenResourceError("the peer closed the tunnel")
        self._http.receive_data(data)

    def _read_events(self) -> None:
        """Take all complete chunks that were received."""
        parts = [self._received]
        while not self._has_ended and (event := self._next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._has_ended = True
            else:
                raise trio.BrokenResourceError("not a tunnel")
        self._received = b"".join(parts)

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise trio.BrokenResourceError(repr(error)) from error
