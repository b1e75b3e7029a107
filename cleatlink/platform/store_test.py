"""Calls to a store that comes back from copies: each answer belongs to one era."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.address import parse_address
from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.platform import PlatformStore
from cleatlink.relay.following.source import HistoryGoneError, SourceChange
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


class LossyStore(Store):
    """A store some of whose answers are lost.

    Attributes:
        asked: Targets of all calls.
    """

    def __init__(self, is_lost: Callable[[int], bool]) -> None:
        super().__init__()
        self.era = 1
        self.page_items = 1
        self.asked: list[str] = []
        self._is_lost = is_lost

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer a call, or close its connection."""
        self.asked.append(call.target)
        if self._is_lost(len(self.asked)):
            return False
        return await super().serve(call, stream)


async def read_until_whole(client: PlatformStore, tries: int) -> SourceChange:
    """Read, again after each failure."""
    for _ in range(tries - 1):
        try:
            return await client.read()
        except PlatformError:
            continue
    return await client.read()


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


@pytest.mark.virtual_time
async def test_list_is_read_though_each_third_answer_is_lost() -> None:
    """It began anew with the first of its three pages each time, and never came to an end."""
    store = LossyStore(lambda number: number % 3 == 0)
    async with client_of(store) as client:
        change = await read_until_whole(client, tries=10)
        assert [record.name for record in change.records] == ["i-0", "i-1", "i-2"]
        assert len(store.asked) == 5


@pytest.mark.virtual_time
async def test_table_that_is_lost_does_not_cost_the_list_again() -> None:
    """Each lost answer to the table had all pages of the list read once more."""
    store = LossyStore(lambda number: number in (4, 5))
    async with client_of(store) as client:
        change = await read_until_whole(client, tries=3)
        assert len(change.records) == 3
        assert [target.partition("?")[0] for target in store.asked] == [
            *3 * ["/kv-range"],
            *3 * ["/kv-key"],
        ]


@pytest.mark.virtual_time
async def test_what_changes_while_a_read_is_interrupted_is_told_by_the_watch() -> None:
    store = LossyStore(lambda number: number == 2)
    async with client_of(store) as client:
        with pytest.raises(PlatformError):
            await client.read()
        store.delete("servers/i-0")
        worker = Worker("plain")
        worker.address = "127.0.0.1:9"
        store.put("servers/h-9", worker.registration())
        change = await client.read()
        assert [record.name for record in change.records] == ["i-0", "i-1", "i-2"]
        told = await client.watch(change.revision, 0.1)
        assert [(record.name, record.endpoint is None) for record in told.records] == [
            ("i-0", True),
            ("h-9", False),
        ]


@pytest.mark.virtual_time
async def test_next_read_after_a_whole_one_begins_with_the_first_page() -> None:
    store = LossyStore(lambda number: number == 2)
    async with client_of(store) as client:
        await read_until_whole(client, tries=2)
        store.delete("servers/i-0")
        assert [record.name for record in (await client.read()).records] == ["i-1", "i-2"]


@pytest.mark.virtual_time
@pytest.mark.parametrize("lost", [2, 3, 4])
async def test_pages_of_an_era_that_is_over_are_not_kept(lost: int) -> None:
    store = LossyStore(lambda number: number == lost)
    async with client_of(store) as client:
        copy = store.copy()
        store.delete("servers/i-0")
        store.put("servers/i-3", Worker("plain").registration())
        with pytest.raises(PlatformError):
            await client.read()
        store.restore(copy)
        with pytest.raises(HistoryGoneError):
            await client.read()
        change = await client.read()
        assert [record.name for record in change.records] == ["i-0", "i-1", "i-2"]
        assert {record.revision.era for record in change.records} == {2}


@pytest.mark.virtual_time
async def test_pages_are_not_kept_when_revisions_go_back_in_a_store_without_eras() -> None:
    store = LossyStore(lambda number: number == 2)
    store.era = None
    async with client_of(store) as client:
        copy = store.copy()
        store.put("servers/i-00", Worker("plain").registration())
        with pytest.raises(PlatformError):
            await client.read()
        store.restore(copy)
        with pytest.raises(HistoryGoneError):
            await client.read()
        change = await client.read()
        assert [record.name for record in change.records] == ["i-0", "i-1", "i-2"]
