"""Tests of removals that an instance reads after it lost its connection to the store."""

import pytest
import trio

from standins.relay import StoreMode, Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

# Time after which a removed endpoint must get no more calls, in seconds.
LEAVE_S = 2.0
# Longest time until an instance whose connection to the store is silent uses another, in seconds:
# the longest wait for changes and the longest delay of its answer.
NOTICE_S = 3.0
MARGIN_S = 0.2
# Time in which live endpoints whose entries have expired register again, in seconds.
RENEWAL_S = 1.0


async def start_and_wait_for_watch(fleet: Fleet) -> list[Worker]:
    workers = [Worker("plain") for _ in range(3)]
    await start(fleet, *workers)
    await fleet.wait_until(lambda: fleet.store.open_watches)
    return workers


async def test_removal_read_after_a_silent_connection_was_delayed_once_more() -> None:
    async with open_fleet() as fleet:
        removed, *others = await start_and_wait_for_watch(fleet)
        capacity = fleet.instances[0].capacity
        fleet.store.silence_connections()
        silent_at = trio.current_time()
        fleet.unregister(removed)
        await fleet.wait_until(lambda: removed.name not in capacity.endpoints)
        assert trio.current_time() - silent_at < NOTICE_S + MARGIN_S
        assert set(capacity.endpoints) == {worker.name for worker in others}


async def test_removal_read_after_a_reset_connection_was_delayed() -> None:
    async with open_fleet() as fleet:
        removed, *_ = await start_and_wait_for_watch(fleet)
        capacity = fleet.instances[0].capacity
        fleet.store.reset_connections()
        fleet.unregister(removed)
        await fleet.wait_until(lambda: removed.name not in capacity.endpoints, MARGIN_S)


async def renew_later(fleet: Fleet, workers: list[Worker]) -> set[str]:
    """Register live endpoints again whose entries have expired.

    Returns:
        The endpoints that the instance knows all the time.
    """
    capacity = fleet.instances[0].capacity
    known = set(capacity.endpoints)
    for _ in range(20):
        await trio.sleep(RENEWAL_S / 20)
        known &= set(capacity.endpoints)
    for worker in workers:
        fleet.register(worker)
    await trio.sleep(LEAVE_S)
    return known & set(capacity.endpoints)


@pytest.mark.parametrize("mode", [StoreMode.BUSY, StoreMode.SILENT, StoreMode.RESET])
async def test_entries_that_expired_in_an_outage_are_kept_until_they_are_renewed(
    mode: StoreMode,
) -> None:
    async with open_fleet() as fleet:
        workers = await start_and_wait_for_watch(fleet)
        fleet.store.mode = mode
        fleet.store.silence_connections()
        await trio.sleep(5.0)
        fleet.unregister(workers[0])
        fleet.store.mode = StoreMode.UP
        known = await renew_later(fleet, workers[:1])
        assert known == {worker.name for worker in workers}


async def test_entries_that_expired_in_an_outage_as_long_as_a_watch_are_kept() -> None:
    async with open_fleet() as fleet:
        workers = await start_and_wait_for_watch(fleet)
        fleet.store.silence_connections()
        for worker in workers:
            fleet.unregister(worker)
        call_count = fleet.store.calls
        await fleet.wait_until(lambda: fleet.store.calls > call_count)
        known = await renew_later(fleet, workers)
        assert known == {worker.name for worker in workers}
