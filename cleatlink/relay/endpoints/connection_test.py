"""One connection to an endpoint: what it sends, and what it takes for an answer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.errors import (
    EndpointSilentError,
    EndpointUnreachableError,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest
from standins.relay import RawCall, RawServer
from standins.relay.fleet import free_address
from standins.relay.http import answer

BODY = b"x" * 8_000_000
HOST = (b"Host", b"h.example")
REQUEST = OutgoingRequest(b"POST", b"/a?", (HOST, (b"Content-Length", b"2")), b"hi")


class Peer:
    """A listener that answers each connection with given bytes."""

    def __init__(self, answer: bytes, *, closes: bool = True) -> None:
        self._answer = answer
        self._closes = closes
        self.received = b""
        self.address = ""
        self.done = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        nursery.start_soon(self._serve_one, listeners[0])

    async def _serve_one(self, listener: trio.SocketListener) -> None:
        try:
            stream = await listener.accept()
        finally:
            listener.socket.close()
        try:
            await self._answer_one(stream)
        finally:
            stream.socket.close()
            self.done.set()

    async def _answer_one(self, stream: trio.SocketStream) -> None:
        while b"\r\n\r\n" not in self.received:
            self.received += await stream.receive_some(1000)
        await stream.send_all(self._answer)
        if self._closes:
            return
        # Reads on later, as one that rejected a long body early may do.
        await trio.sleep(0.1)
        try:
            while data := await stream.receive_some(65_536):
                self.received += data
        except trio.BrokenResourceError:
            return


async def exchange(peer: Peer, request: OutgoingRequest) -> EndpointConnection:
    connection = await EndpointConnection.open(peer.address, 1.0, 1.0)
    try:
        await connection.exchange(request)
    except BaseException:
        connection.close()
        raise
    return connection


async def test_answer_before_the_body_is_in_is_followed_by_no_other_bytes() -> None:
    answer = b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n"
    async with trio.open_nursery() as nursery:
        peer = Peer(answer, closes=False)
        await peer.start(nursery)
        length = (b"Content-Length", b"%d" % len(BODY))
        with trio.fail_after(5):
            connection = await exchange(peer, OutgoingRequest(b"POST", b"/", (HOST, length), BODY))
            assert await connection.read_chunk() is None
            assert not connection.finish(trio.current_time())
            connection.close()
            await peer.done.wait()
        body = peer.received.partition(b"\r\n\r\n")[2]
        assert len(body) < len(BODY)
        assert body == BODY[: len(body)]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"\x00\x01\r\n\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200",
    ],
)
async def test_bytes_that_are_no_answer_leave_the_outcome_unknown(answer: bytes) -> None:
    async with trio.open_nursery() as nursery:
        peer = Peer(answer)
        await peer.start(nursery)
        connection = await EndpointConnection.open(peer.address, 1.0, 1.0)
        with pytest.raises(OutcomeUnknownError):
            await connection.exchange(REQUEST)
        connection.close()
        assert peer.received.startswith(b"POST /a? HTTP/1.1\r\n")
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nsh",
    ],
)
async def test_body_that_ends_early_is_broken(answer: bytes) -> None:
    async with trio.open_nursery() as nursery:
        peer = Peer(answer)
        await peer.start(nursery)
        connection = await exchange(peer, REQUEST)
        with pytest.raises(StreamBrokenError):
            await connection.read_body(1000)
        connection.close()
        nursery.cancel_scope.cancel()


async def test_bytes_after_an_answer_end_the_use_of_a_connection() -> None:
    whole = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
    async with trio.open_nursery() as nursery:
        peer = Peer(whole + whole, closes=False)
        await peer.start(nursery)
        connection = await exchange(peer, REQUEST)
        assert await connection.read_body(1000) == b"ok"
        assert not connection.finish(trio.current_time())
        connection.close()
        nursery.cancel_scope.cancel()


async def test_connection_that_does_not_come_up_sent_nothing() -> None:
    with pytest.raises(EndpointUnreachableError):
        await EndpointConnection.open(str(free_address()), 1.0, 1.0)


class PausingServer(RawServer):
    """Sends a body of two bytes, with a pause before the second."""

    def __init__(self, pause_s: float) -> None:
        super().__init__()
        self._pause_s = pause_s

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer with a pause."""
        data = answer(200, {}, b"ok")
        await stream.send_all(data[:-1])
        await trio.sleep(self._pause_s)
        await stream.send_all(data[-1:])
        return True


@asynccontextmanager
async def pausing_connection(pause_s: float) -> AsyncIterator[EndpointConnection]:
    """Open a connection on which the body of an answer pauses."""
    async with trio.open_nursery() as nursery:
        server = PausingServer(pause_s)
        await server.start(nursery)
        connection = await EndpointConnection.open(server.address, 1.0, 1.0)
        try:
            await connection.exchange(REQUEST)
            yield connection
        finally:
            connection.close()
            server.close()
            nursery.cancel_scope.cancel()


@pytest.mark.virtual_time
async def test_body_that_goes_silent_is_not_waited_for() -> None:
    async with pausing_connection(0.6) as connection:
        with pytest.raises(EndpointSilentError):
            await connection.read_body(1000, silence_s=0.5)


@pytest.mark.virtual_time
async def test_pause_shorter_than_the_limit_on_silence_breaks_no_body() -> None:
    async with pausing_connection(0.4) as connection:
        assert await connection.read_body(1000, silence_s=0.5) == b"ok"
