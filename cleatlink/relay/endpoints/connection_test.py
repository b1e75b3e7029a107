"""Tests of one connection to an endpoint: the bytes it sends and the responses it accepts."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.errors import (
    EndpointTimeoutError,
    EndpointUnreachableError,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest
from standins.relay import RawCall, RawServer
from standins.relay.fleet import free_address
from standins.relay.raw_server import answer

BODY = b"x" * 8_000_000
HOST = (b"Host", b"h.example")
REQUEST = OutgoingRequest(b"POST", b"/a?", (HOST, (b"Content-Length", b"2")), b"hi")


class ScriptedServer:
    """A server that accepts one connection and answers it with given bytes."""

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
        nursery.start_soon(self._accept_one, listeners[0])

    async def _accept_one(self, listener: trio.SocketListener) -> None:
        try:
            stream = await listener.accept()
        finally:
            listener.socket.close()
        try:
            await self._respond(stream)
        finally:
            stream.socket.close()
            self.done.set()

    async def _respond(self, stream: trio.SocketStream) -> None:
        while b"\r\n\r\n" not in self.received:
            self.received += await stream.receive_some(1000)
        await stream.send_all(self._answer)
        if self._closes:
            return
        # An endpoint that rejects a long body early may still read the rest of it later.
        await trio.sleep(0.1)
        try:
            while data := await stream.receive_some(65_536):
                self.received += data
        except trio.BrokenResourceError:
            return


async def exchange(server: ScriptedServer, request: OutgoingRequest) -> EndpointConnection:
    connection = await EndpointConnection.open(server.address, 1.0, 1.0)
    try:
        await connection.exchange(request)
    except BaseException:
        connection.close()
        raise
    return connection


async def test_early_response_leaves_only_bytes_of_the_body_on_the_connection() -> None:
    answer = b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n"
    async with trio.open_nursery() as nursery:
        server = ScriptedServer(answer, closes=False)
        await server.start(nursery)
        length = (b"Content-Length", b"%d" % len(BODY))
        with trio.fail_after(5):
            connection = await exchange(
                server, OutgoingRequest(b"POST", b"/", (HOST, length), BODY)
            )
            assert await connection.read_chunk() is None
            assert not connection.end_exchange(trio.current_time())
            connection.close()
            await server.done.wait()
        body = server.received.partition(b"\r\n\r\n")[2]
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
async def test_invalid_response_raises_outcome_unknown(answer: bytes) -> None:
    async with trio.open_nursery() as nursery:
        server = ScriptedServer(answer)
        await server.start(nursery)
        connection = await EndpointConnection.open(server.address, 1.0, 1.0)
        with pytest.raises(OutcomeUnknownError):
            await connection.exchange(REQUEST)
        connection.close()
        assert server.received.startswith(b"POST /a? HTTP/1.1\r\n")
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nsh",
    ],
)
async def test_truncated_body_raises_stream_broken(answer: bytes) -> None:
    async with trio.open_nursery() as nursery:
        server = ScriptedServer(answer)
        await server.start(nursery)
        connection = await exchange(server, REQUEST)
        with pytest.raises(StreamBrokenError):
            await connection.read_body(1000)
        connection.close()
        nursery.cancel_scope.cancel()


async def test_connection_with_extra_bytes_after_a_response_is_not_reused() -> None:
    response = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
    async with trio.open_nursery() as nursery:
        server = ScriptedServer(response + response, closes=False)
        await server.start(nursery)
        connection = await exchange(server, REQUEST)
        assert await connection.read_body(1000) == b"ok"
        assert not connection.end_exchange(trio.current_time())
        connection.close()
        nursery.cancel_scope.cancel()


async def test_failed_connect_raises_endpoint_unreachable() -> None:
    with pytest.raises(EndpointUnreachableError):
        await EndpointConnection.open(str(free_address()), 1.0, 1.0)


class PausingServer(RawServer):
    """Sends a body of two bytes, with a pause between them."""

    def __init__(self, pause_s: float) -> None:
        super().__init__()
        self._pause_s = pause_s

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Send the response with a pause before its last byte."""
        data = answer(200, {}, b"ok")
        await stream.send_all(data[:-1])
        await trio.sleep(self._pause_s)
        await stream.send_all(data[-1:])
        return True


@asynccontextmanager
async def pausing_connection(pause_s: float) -> AsyncIterator[EndpointConnection]:
    """Open a connection on which the response body pauses before its last byte."""
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
async def test_pause_longer_than_the_silence_timeout_raises_endpoint_timeout() -> None:
    async with pausing_connection(0.6) as connection:
        with pytest.raises(EndpointTimeoutError):
            await connection.read_body(1000, silence_timeout_s=0.5)


@pytest.mark.virtual_time
async def test_pause_shorter_than_the_silence_timeout_is_accepted() -> None:
    async with pausing_connection(0.4) as connection:
        assert await connection.read_body(1000, silence_timeout_s=0.5) == b"ok"
