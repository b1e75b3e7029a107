"""Tests of calls to a store whose answers are slow, stall or never end."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.address import parse_address
from cleatlink.core.errors import PlatformError
from cleatlink.relay.following.store_client import StoreClient
from standins.relay import RawCall, RawServer
from standins.relay.raw_server import answer

pytestmark = pytest.mark.virtual_time

BODY = b"x" * 240
TIMEOUT_S = 1.0


class SlowStore(RawServer):
    """A store that sends its answers in parts, with delays between them.

    Attributes:
        head_s: Delay in seconds before the head of an answer.
        parts: Number of parts of a body.
        pause_s: Delay in seconds before each part.
    """

    def __init__(self, head_s: float, parts: int, pause_s: float) -> None:
        super().__init__()
        self.head_s = head_s
        self.parts = parts
        self.pause_s = pause_s

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer in parts."""
        await trio.sleep(self.head_s)
        await stream.send_all(answer(200, {}, BODY)[: -len(BODY)])
        size = len(BODY) // self.parts
        for begin in range(0, len(BODY), size):
            await trio.sleep(self.pause_s)
            await stream.send_all(BODY[begin : begin + size])
        return True


@asynccontextmanager
async def open_client(store: SlowStore) -> AsyncIterator[StoreClient]:
    """Start a store and open a client of it."""
    async with trio.open_nursery() as nursery:
        await store.start(nursery)
        client = StoreClient(parse_address(store.address), b"era")
        try:
            yield client
        finally:
            client.close()
            store.close()
            nursery.cancel_scope.cancel()


class EndlessStore(SlowStore):
    """A store whose answers have a body without end.

    Attributes:
        sent_bytes: Number of bytes that the kernel accepted.
    """

    def __init__(self) -> None:
        super().__init__(0.0, 1, 0.0)
        self.sent_bytes = 0

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Send bytes until the connection breaks."""
        await stream.send_all(b"HTTP/1.1 200 X\r\n\r\n")
        while True:
            await stream.send_all(bytes(65_536))
            self.sent_bytes += 65_536


async def test_body_without_end_takes_most_of_the_memory_of_an_instance() -> None:
    store = EndlessStore()
    async with open_client(store) as client:
        with pytest.raises(PlatformError):
            await client.get("/", 30.0)
    assert store.sent_bytes <= 16_777_216 + 8_388_608


async def test_body_that_takes_longer_than_timeout_is_read() -> None:
    """Guards against a large table that is never read over a link of low bandwidth.

    Each call for it failed after a second.
    """
    async with open_client(SlowStore(0.5, parts=12, pause_s=0.25)) as client:
        store_answer = await client.get("/", TIMEOUT_S)
        assert store_answer.body == BODY


async def test_connection_is_reused_after_slow_body() -> None:
    store = SlowStore(0.5, parts=12, pause_s=0.25)
    async with open_client(store) as client:
        await client.get("/", TIMEOUT_S)
        await client.get("/", TIMEOUT_S)
        assert store.accepted_connections == 1


@pytest.mark.parametrize(
    ("store", "within_s"),
    [
        pytest.param(SlowStore(5.0, parts=1, pause_s=0.0), 1.1, id="no head"),
        pytest.param(SlowStore(0.5, parts=2, pause_s=5.0), 2.0, id="silent body"),
        pytest.param(SlowStore(0.5, parts=240, pause_s=0.25), 15.0, id="endless body"),
    ],
)
async def test_call_to_stalled_or_endless_answer_fails(store: SlowStore, within_s: float) -> None:
    async with open_client(store) as client:
        with trio.fail_after(within_s), pytest.raises(PlatformError):
            await client.get("/", TIMEOUT_S)
        store.head_s, store.pause_s = 0.0, 0.0
        assert (await client.get("/", TIMEOUT_S)).body == BODY
