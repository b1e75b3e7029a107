"""Calls to a store that is restored from backups: each response belongs to one era."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.address import parse_address
from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.platform import PlatformStore
from cleatlink.relay.following.source import HistoryUnavailableError, SourceChange
from standins.relay import RawCall, Store, Worker


class RestoringStore(Store):
    """A store that is restored from a backup after a number of calls."""

    def __init__(self, calls: int) -> None:
        super().__init__()
        self.era = 1
        self.calls_left = calls

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer a call; restore the store first if its calls are used up."""
        if self.calls_left == 0:
            self.restore(self.copy())
        self.calls_left -= 1
        return await super().serve(call, stream)


class LossyStore(Store):
    """A store that drops some of its responses.

    Attributes:
        targets: Targets of all calls.
    """

    def __init__(self, is_lost: Callable[[int], bool]) -> None:
        super().__init__()
        self.era = 1
        self.max_page_items = 1
        self.targets: list[str] = []
        self._is_lost = is_lost

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer a call, or close its connection without a response."""
        self.targets.append(call.target)
        if self._is_lost(len(self.targets)):
            return False
        return await super().serve(call, stream)


async def read_with_retries(client: PlatformStore, tries: int) -> SourceChange:
    """Read the store, and retry after each failure."""
    for _ in range(tries - 1):
        try:
            return await client.read()
        except PlatformError:
            continue
    return await client.read()


@asynccontextmanager
async def open_client(store: Store) -> AsyncIterator[PlatformStore]:
    """Start a store with three registered workers and open a client for it."""
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
async def test_list_with_pages_of_two_eras_is_read_again(calls: int) -> None:
    store = RestoringStore(calls)
    store.max_page_items = 1
    async with open_client(store) as client:
        with pytest.raises(HistoryUnavailableError):
            await client.read()
        change = await client.read()
        assert change.revision.era == 2
        assert {record.revision.era for record in change.records} == {2}
        assert len(change.records) == 3


async def test_watch_detects_a_reused_revision() -> None:
    store = Store()
    store.era = 1
    async with open_client(store) as client:
        change = await client.read()
        backup = store.copy()
        store.restore(backup)
        store.put("servers/i-9", Worker("plain").registration())
        with pytest.raises(HistoryUnavailableError):
            await client.watch(change.revision, 1.0)


async def test_answer_of_an_older_era_is_rejected() -> None:
    store = Store()
    store.era = 3
    async with open_client(store) as client:
        await client.read()
        store.era = 2
        with pytest.raises(PlatformError, match="an answer of era 2 after one of era 3"):
            await client.read()
        # An answer of an era older than the one that peers reported is rejected, too.
        store.era = 4
        with pytest.raises(PlatformError, match="an answer of era 4 after one of era 5"):
            await client.watch(StoreRevision(5, 1), 0.1)


async def test_era_of_a_not_found_response_is_checked() -> None:
    store = Store()
    store.era = 1
    async with open_client(store) as client:
        change = await client.read()
        assert change.table is None
        store.era = 2
        # The response that the configuration is not found carries the era, too.
        with pytest.raises(HistoryUnavailableError):
            await client.watch(change.revision, 0.1)
        assert (await client.read()).revision.era == 2


@pytest.mark.parametrize("era", [None, "", "x", "-1", "1.5", "9" * 40])
async def test_store_without_a_valid_era_header_has_era_zero(era: str | None) -> None:
    store = Store()
    store.era = era  # type: ignore[assignment]
    async with open_client(store) as client:
        change = await client.read()
        assert change.revision == StoreRevision(0, store.revision)
        assert not (await client.watch(change.revision, 0.05)).is_full


@pytest.mark.virtual_time
async def test_list_is_read_when_every_third_response_is_lost() -> None:
    """Guards against restarting at the first of three pages each time, which never completed."""
    store = LossyStore(lambda number: number % 3 == 0)
    async with open_client(store) as client:
        change = await read_with_retries(client, tries=10)
        assert [record.name for record in change.records] == ["i-0", "i-1", "i-2"]
        assert len(store.targets) == 5


@pytest.mark.virtual_time
async def test_lost_table_response_does_not_repeat_the_list() -> None:
    """Guards against reading all pages again for each lost response to the table."""
    store = LossyStore(lambda number: number in (4, 5))
    async with open_client(store) as client:
        change = await read_with_retries(client, tries=3)
        assert len(change.records) == 3
        assert [target.partition("?")[0] for target in store.targets] == [
            *3 * ["/kv-range"],
            *3 * ["/kv-key"],
        ]


@pytest.mark.virtual_time
async def test_watch_returns_changes_made_during_an_interrupted_read() -> None:
    store = LossyStore(lambda number: number == 2)
    async with open_client(store) as client:
        with pytest.raises(PlatformError):
            await client.read()
        store.delete("servers/i-0")
        worker = Worker("plain")
        worker.address = "127.0.0.1:9"
        store.put("servers/h-9", worker.registration())
        change = await client.read()
        assert [record.name for record in change.records] == ["i-0", "i-1", "i-2"]
        update = await client.watch(change.revision, 0.1)
        assert [(record.name, record.endpoint is None) for record in update.records] == [
            ("i-0", True),
            ("h-9", False),
        ]


@pytest.mark.virtual_time
async def test_read_after_a_complete_one_starts_with_the_first_page() -> None:
    store = LossyStore(lambda number: number == 2)
    async with open_client(store) as client:
        await read_with_retries(client, tries=2)
        store.delete("servers/i-0")
        assert [record.name for record in (await client.read()).records] == ["i-1", "i-2"]


@pytest.mark.virtual_time
@pytest.mark.parametrize("lost_call", [2, 3, 4])
async def test_pages_of_an_earlier_era_are_discarded(lost_call: int) -> None:
    store = LossyStore(lambda number: number == lost_call)
    async with open_client(store) as client:
        backup = store.copy()
        store.delete("servers/i-0")
        store.put("servers/i-3", Worker("plain").registration())
        with pytest.raises(PlatformError):
            await client.read()
        store.restore(backup)
        with pytest.raises(HistoryUnavailableError):
            await client.read()
        change = await client.read()
        assert [record.name for record in change.records] == ["i-0", "i-1", "i-2"]
        assert {record.revision.era for record in change.records} == {2}


@pytest.mark.virtual_time
async def test_pages_are_discarded_when_revisions_decrease_in_a_store_without_eras() -> None:
    store = LossyStore(lambda number: number == 2)
    store.era = None
    async with open_client(store) as client:
        backup = store.copy()
        store.put("servers/i-00", Worker("plain").registration())
        with pytest.raises(PlatformError):
            await client.read()
        store.restore(backup)
        with pytest.raises(HistoryUnavailableError):
            await client.read()
        change = await client.read()
        assert [record.name for record in change.records] == ["i-0", "i-1", "i-2"]
