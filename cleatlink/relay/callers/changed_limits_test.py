"""Limits of a route table that takes effect after a caller's connection was opened."""

import socket

import pytest
import trio

from cleatlink.core.routes import CallerLimits
from cleatlink.relay.callers.server import Handler, serve_connections
from cleatlink.relay.exchange import Exchange

_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n"
_PAD_BYTES = 24_000


class ChangingLimitsHandler(Handler):
    """Answers every request; its limits can be changed."""

    def __init__(self) -> None:
        self.current_limits = CallerLimits()

    @property
    def limits(self) -> CallerLimits:
        return self.current_limits

    @property
    def asks_to_close(self) -> bool:
        return False

    async def handle(self, exchange: Exchange) -> None:
        await exchange.answer(200, (), b"")

    async def refuse(self, exchange: Exchange, status: int) -> None:
        await exchange.answer(status, (), b"")


async def request_status(stream: trio.SocketStream, *parts: bytes) -> int:
    """Send a request in parts; return the status of its answer."""
    for part in parts:
        await stream.send_all(part)
        await trio.sleep(0.05)
    return int(bytes(await stream.receive_some(4_096)).split(b" ")[1])


@pytest.mark.parametrize("served_before", [False, True])
async def test_limit_on_heads_raised_after_the_connection_opened_applies(
    served_before: bool,
) -> None:
    """A connection that keeps its first limit answers 431 to a head within the new limit."""
    handler = ChangingLimitsHandler()
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.bind(("127.0.0.1", 0))
    sock.listen()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connections, trio.SocketListener(sock), handler)
        async with await trio.open_tcp_stream(*sock.getsockname()) as stream:
            await trio.sleep(0.05)
            if served_before:
                assert await request_status(stream, _REQUEST + b"\r\n") == 200
            handler.current_limits = CallerLimits(header_bytes=2 * _PAD_BYTES)
            pad = b"X-Pad: " + _PAD_BYTES * b"p" + b"\r\n"
            assert await request_status(stream, _REQUEST + pad, b"\r\n") == 200
        nursery.cancel_scope.cancel()
