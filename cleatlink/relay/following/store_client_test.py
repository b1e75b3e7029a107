"""Calls to a store whose answers are slow, silent or endless."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.address import parse_address
from cleatlink.core.errors import PlatformError
from cleatlink.relay.following.store_client import StoreClient
from standins.relay import RawCall, RawServer
from standins.relay.http import answer

pytestmark = pytest.mark.virtual_time

BODY = b"x" * 240
TIMEOUT_S = 1.0


class SlowStore(RawServer):
    """A store whose answers come in parts, with pauses.

    Attributes:
        head_s: Seconds until the head of an answer.
        parts: Parts of a body.
        pause_s: Seconds before each part.
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
async def client_of(store: SlowStore) -> AsyncIterator[StoreClient]:
    """Open a client of a store."""
    async with trio.open_nursery() as nursery:
        await store.start(nursery)
        client = StoreClient(parse_address(store.address), b"era")
        try:
            yield client
        finally:
            client.close()
            store.close()
            nursery.cancel_scope.cancel()


async def test_answer_whose_body_takes_longer_than_the_timeout_is_read() -> None:
    """Behind a narrow link a large table was given up after a second, each time."""
    async with client_of(SlowStore(0.5, parts=12, pause_s=0.25)) as client:
        found = await client.get("/", TIMEOUT_S)
        assert found.body == BODY


async def test_connection_is_used_again_after_a_slow_body() -> None:
    store = SlowStore(0.5, parts=12, pause_s=0.25)
    async with client_of(store) as client:
        await client.get("/", TIMEOUT_S)
        await client.get("/", TIMEOUT_S)
        assert store.connections == 1


@pytest.mark.parametrize(
    ("store", "within_s"),
    [
        pytest.param(SlowStore(5.0, parts=1, pause_s=0.0), 1.1, id="no head"),
        pytest.param(SlowStore(0.5, parts=2, pause_s=5.0), 2.0, id="silent body"),
        pytest.param(SlowStore(0.5, parts=240, pause_s=0.25), 15.0, id="endless body"),
    ],
)
async def test_store_that_does_not_get_on_is_given_up(store: SlowStore, within_s: float) -> None:
    async with client_of(store) as client:
        with trio.fail_after(within_s), pytest.raises(PlatformError):
            await client.get("/", TIMEOUT_S)
        store.head_s, store.pause_s = 0.0, 0.0
        assert (await client.get("/", TIMEOUT_S)).body == BODY
