"""Request bodies on callers' connections when memory is short."""

import socket

import trio

from cleatlink.core.routes import CallerLimits
from cleatlink.relay.callers.server import Handler, serve_connections
from cleatlink.relay.exchange import Exchange
from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind

BODY = b"b" * 60_000


class BodyLengthHandler(Handler):
    """Answers with the length of the body, and counts the requests."""

    def __init__(self) -> None:
        self.handled_requests = 0

    @property
    def limits(self) -> CallerLimits:
        return CallerLimits()

    @property
    def asks_to_close(self) -> bool:
        return False

    async def handle(self, exchange: Exchange) -> None:
        self.handled_requests += 1
        await exchange.answer(200, (), b"%d" % len(exchange.request.body))

    async def refuse(self, exchange: Exchange, status: int) -> None:
        await exchange.answer(status, (), b"")


async def post(port: int) -> bytes:
    """Send a request; return the status line of its answer."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(BODY)
        await stream.send_all(head + BODY)
        return bytes(await stream.receive_some(4_096)).partition(b"\r\n")[0]


async def test_body_without_free_memory_is_refused_and_not_handled() -> None:
    memory, handler = BufferedBytes(100_000), BodyLengthHandler()
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.bind(("127.0.0.1", 0))
    sock.listen()
    port = sock.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connections, trio.SocketListener(sock), handler, memory)
        memory.add(BufferKind.UNREAD_ANSWERS, 90_000)
        assert await post(port) == b"HTTP/1.1 503 "
        assert handler.handled_requests == 0
        memory.remove(BufferKind.UNREAD_ANSWERS, 90_000)
        assert memory.total == 0
        nursery.cancel_scope.cancel()


async def test_body_waits_until_memory_is_released() -> None:
    memory, handler = BufferedBytes(200_000), BodyLengthHandler()
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.bind(("127.0.0.1", 0))
    sock.listen()
    port = sock.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connections, trio.SocketListener(sock), handler, memory)
        memory.add(BufferKind.UNREAD_ANSWERS, 190_000)

        async def release_memory_later() -> None:
            await trio.sleep(0.2)
            memory.remove(BufferKind.UNREAD_ANSWERS, 190_000)

        nursery.start_soon(release_memory_later)
        assert await post(port) == b"HTTP/1.1 200 "
        await trio.sleep(0.05)
        assert memory.total == 0
        nursery.cancel_scope.cancel()
