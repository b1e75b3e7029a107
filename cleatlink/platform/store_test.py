"""Calls to a store that comes back from copies: each answer belongs to one era."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.address import parse_address
from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.platform import PlatformStore
from cleatlink.relay.following.source import HistoryGoneError
from standins.relay import RawCall, Store, Worker


class RestoringStore(Store):
    """A store that comes back from a copy after so many calls."""

    def __init__(self, calls: int) -> None:
        super().__init__()
        self.era = 1
        self.left = calls

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer a call, of the next era once it is time."""
        if self.left == 0:
            self.restore(self.copy())
        self.left -= 1
        return await super().serve(call, stream)


@asynccontextmanager
async def client_of(store: Store) -> AsyncIterator[PlatformStore]:
    """Open a store with three workers, and a client of it."""
    async with trio.open_nursery() as nursery:
        await store.start(nursery)
        for number in range(3):
            worker = Worker("plain")
            worker.address = f"127.0.0.1:{number + 1}"
            store.put(f"servers/i-{number}", worker.registration())
        client = PlatformStore(parse_address(store.address))
        try:
            yield client
        finally:
            client.close()
            store.close()
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("calls", [1, 2, 3])
async def test_list_whose_answers_are_of_two_eras_begins_anew(calls: int) -> None:
    store = RestoringStore(calls)
    store.page_items = 1
    async with client_of(store) as client:
        with pytest.raises(HistoryGoneError):
            await client.read()
        change = await client.read()
        assert change.revision.era == 2
        assert {record.revision.era for record in change.records} == {2}
        assert len(change.records) == 3


async def test_watch_from_a_number_given_out_again_is_found_out() -> None:
    store = Store()
    store.era = 1
    async with client_of(store) as client:
        change = await client.read()
        copy = store.copy()
        store.restore(copy)
        store.put("servers/i-9", Worker("plain").registration())
        with pytest.raises(HistoryGoneError):
            await client.watch(change.revision, 1.0)


async def test_answer_of_an_older_era_changes_nothing() -> None:
    store = Store()
    store.era = 3
    async with client_of(store) as client:
        await client.read()
        store.era = 2
        with pytest.raises(PlatformError, match="an answer of era 2 after one of era 3"):
            await client.read()
        # Nor one that is older than what peers told.
        store.era = 4
        with pytest.raises(PlatformError, match="an answer of era 4 after one of era 5"):
            await client.watch(StoreRevision(5, 1), 0.1)


async def test_era_of_a_failure_counts() -> None:
    store = Store()
    store.era = 1
    async with client_of(store) as client:
        change = await client.read()
        assert change.table is None
        store.era = 2
        # The configuration is not found, and says of which era that is.
        with pytest.raises(HistoryGoneError):
            await client.watch(change.revision, 0.1)
        assert (await client.read()).revision.era == 2


@pytest.mark.parametrize("era", [None, "", "x", "-1", "1.5", "9" * 40])
async def test_store_that_tells_no_era_is_one_of_the_earlier_platform(era: str | None) -> None:
    store = Store()
    store.era = era  # type: ignore[assignment]
    async with client_of(store) as client:
        change = await client.read()
        assert change.revision == StoreRevision(0, store.revision)
        assert not (await client.watch(change.revision, 0.05)).whole
