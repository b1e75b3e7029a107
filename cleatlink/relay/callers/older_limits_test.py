"""Limits of a route table that came after a caller's connection was opened."""

import socket

import pytest
import trio

from cleatlink.core.routes import CallerLimits
from cleatlink.relay.callers.server import Handler, serve_connections
from cleatlink.relay.exchange import Exchange

_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n"
_PAD_BYTES = 24_000


class ChangingLimits(Handler):
    """Answers every request; its limits change."""

    def __init__(self) -> None:
        self.limits_now = CallerLimits()

    @property
    def limits(self) -> CallerLimits:
        return self.limits_now

    @property
    def closing(self) -> bool:
        return False

    async def handle(self, exchange: Exchange) -> None:
        await exchange.answer(200, (), b"")

    async def refuse(self, exchange: Exchange, status: int) -> None:
        await exchange.answer(status, (), b"")


async def status_of(stream: trio.SocketStream, *parts: bytes) -> int:
    """Send a request in parts; gives the status of its answer."""
    for part in parts:
        await stream.send_all(part)
        await trio.sleep(0.05)
    return int(bytes(await stream.receive_some(4_096)).split(b" ")[1])


@pytest.mark.parametrize("served_before", [False, True])
async def test_head_within_limits_raised_since_the_connection_opened_is_read(
    served_before: bool,
) -> None:
    """A connection kept the largest head of the table under which it was opened: 431."""
    handler = ChangingLimits()
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.bind(("127.0.0.1", 0))
    sock.listen()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connections, trio.SocketListener(sock), handler)
        async with await trio.open_tcp_stream(*sock.getsockname()) as stream:
            await trio.sleep(0.05)
            if served_before:
                assert await status_of(stream, _REQUEST + b"\r\n") == 200
            handler.limits_now = CallerLimits(header_bytes=2 * _PAD_BYTES)
            pad = b"X-Pad: " + _PAD_BYTES * b"p" + b"\r\n"
            assert await status_of(stream, _REQUEST + pad, b"\r\n") == 200
        nursery.cancel_scope.cancel()
