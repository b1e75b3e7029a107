"""A store that comes back from an older copy: what it lost is written again, by whom it is true of.

Revisions go back and are given out again. An instance that compared bare numbers took the copy's
entries for old news, asked for changes after a number that the store did not have, and read
everything again at once, without a pause: 6,762 calls in 6 s of two instances.
"""

import pytest
import trio

from cleatlink.relay.instance import RelayInstance
from standins.relay import StoreMode, Worker
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.store import StoreCopy

pytestmark = pytest.mark.virtual_time

AWAY_S = 0.3
# Calls of two instances in the 6 s after a restore, by the stated aim.
MOST_CALLS = 20
IN_USE_S = 2.0


async def start_two(fleet: Fleet, *workers: Worker) -> None:
    """Start two instances before a store that tells its era."""
    fleet.store.era = 1
    await start(fleet, *workers)
    fleet.start_instance()
    await fleet.ready()
    await fleet.until(lambda: all(item._peers.alive == 2 for item in fleet.instances))


def write_on(fleet: Fleet, count: int = 40) -> None:
    """Write what is of no use to anybody: revisions go on."""
    for number in range(count):
        fleet.store.put("elsewhere/x", {"n": number})


async def restore(fleet: Fleet, copy: StoreCopy, *, writes: int = 0) -> None:
    """Have the store away for a moment, and back from a copy, with some writes since."""
    fleet.store.mode = StoreMode.RESET
    fleet.store.forget_watches()
    await trio.sleep(AWAY_S)
    fleet.store.restore(copy)
    write_on(fleet, writes)
    fleet.store.mode = StoreMode.UP


def known(instance: RelayInstance) -> set[str]:
    """Give the registrations that an instance knows."""
    return {endpoint.answers_to for endpoint in instance.capacity.endpoints.values()}


async def all_are_served(fleet: Fleet, seconds: float) -> None:
    """See that callers of both instances are served for a while."""
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        for number in range(2):
            assert (await fleet.caller(number).ask("/safe/x")).status == 200
        await trio.sleep(0.1)


# Revisions after the restore: still below those known before, or past them again.
WRITES = pytest.mark.parametrize("writes", [0, 60], ids=["below", "past"])


@WRITES
async def test_calls_to_the_store_stay_few(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        write_on(fleet)
        await trio.sleep(0.1)
        await restore(fleet, copy, writes=writes)
        calls = fleet.store.calls
        await trio.sleep(6.0)
        assert fleet.store.calls - calls < MOST_CALLS


@WRITES
async def test_entry_that_is_gone_with_the_copy_is_gone(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        write_on(fleet)
        lost = await fleet.add_worker(Worker("plain"))
        await fleet.ready()
        await restore(fleet, copy, writes=writes)
        # It serves on until those that live have had the time to write themselves again.
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert all(lost.name in known(item) for item in fleet.instances)
        await fleet.until(lambda: all(lost.name not in known(i) for i in fleet.instances), 6.0)


@WRITES
async def test_worker_that_writes_itself_again_is_used_throughout(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet)
        copy = fleet.store.copy()
        write_on(fleet)
        worker = await fleet.add_worker(Worker("plain"))
        await fleet.ready()
        await restore(fleet, copy, writes=writes)
        fleet.store.put(f"servers/{worker.name}", worker.registration())
        await all_are_served(fleet, 4.0)


@WRITES
async def test_worker_that_leaves_is_not_used_on_the_word_of_a_copy(writes: int) -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start_two(fleet, leaving, Worker("plain"))
        copy = fleet.store.copy()
        write_on(fleet)
        fleet.register(leaving, "draining")
        life = leaving.name
        await fleet.until(
            lambda: not any(item.capacity.takes_work(life) for item in fleet.instances)
        )
        arrived = len(leaving.arrivals)
        await restore(fleet, copy, writes=writes)
        await all_are_served(fleet, 4.0)
        assert len(leaving.arrivals) == arrived


@WRITES
async def test_worker_that_the_copy_brings_back_from_the_dead_is_not_used(writes: int) -> None:
    async with open_fleet() as fleet:
        dead = Worker("plain")
        await start_two(fleet, dead, Worker("plain"))
        copy = fleet.store.copy()
        write_on(fleet)
        fleet.unregister(dead)
        await fleet.until(lambda: not any(dead.name in known(item) for item in fleet.instances))
        arrived = len(dead.arrivals)
        await restore(fleet, copy, writes=writes)
        await all_are_served(fleet, 2.0)
        assert len(dead.arrivals) == arrived
        # It writes itself again: that is its own word.
        fleet.register(dead)
        await fleet.until(
            lambda: all(dead.name in known(item) for item in fleet.instances), IN_USE_S
        )


@WRITES
async def test_new_configuration_and_new_workers_are_in_use_soon(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        write_on(fleet)
        await trio.sleep(0.1)
        await restore(fleet, copy, writes=writes)
        fleet.add_route("/late/", "safe", "other")
        version = fleet.configure()
        worker = await fleet.add_worker(Worker("other"))
        await fleet.until(
            lambda: all(
                item.records.table_revision == version and worker.name in known(item)
                for item in fleet.instances
            ),
            IN_USE_S,
        )
        assert (await fleet.caller(1).ask("/late/x")).status == 200


@WRITES
async def test_older_configuration_of_a_copy_replaces_nothing(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"), Worker("other"))
        copy = fleet.store.copy()
        write_on(fleet)
        fleet.add_route("/late/", "safe", "other")
        version = fleet.configure()
        await fleet.until(lambda: all(i.records.table_revision == version for i in fleet.instances))
        await restore(fleet, copy, writes=writes)
        for _ in range(10):
            assert (await fleet.caller(1).ask("/late/x")).status == 200
            await trio.sleep(0.1)
        assert all(item.records.table_revision == version for item in fleet.instances)


async def test_restore_that_no_watch_is_told_of_is_found_by_its_era() -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        write_on(fleet)
        lost = await fleet.add_worker(Worker("plain"))
        await fleet.ready()
        # No call fails, and every number that is known has been given out again.
        fleet.store.restore(copy)
        write_on(fleet, 60)
        fleet.store.put("elsewhere/x", {})
        await fleet.until(lambda: all(lost.name not in known(i) for i in fleet.instances), 8.0)


async def test_instance_that_is_turned_away_learns_of_it_from_a_peer() -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        write_on(fleet)
        lost = await fleet.add_worker(Worker("plain"))
        await fleet.ready()
        cut_off = fleet.instances[1]
        fleet.turn_away(1)
        await restore(fleet, copy)
        await fleet.until(lambda: lost.name not in known(fleet.instances[0]), 6.0)
        await fleet.until(lambda: lost.name not in known(cut_off), 6.0)
        # What the peer that was cut off knew brings nothing back either.
        await trio.sleep(1.5)
        assert not any(lost.name in known(item) for item in fleet.instances)


async def test_history_that_is_gone_each_time_costs_few_calls() -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        calls = fleet.store.calls
        ends_at = trio.current_time() + 3.0
        while trio.current_time() < ends_at:
            write_on(fleet, 1)
            fleet.store.forget_history()
            await trio.sleep(0.01)
        assert fleet.store.calls - calls < 2 * 3 * 8


async def test_eras_in_series_cost_few_calls() -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        calls = fleet.store.calls
        ends_at = trio.current_time() + 3.0
        while trio.current_time() < ends_at:
            fleet.store.restore(copy)
            await trio.sleep(0.05)
        assert fleet.store.calls - calls < 2 * 3 * 8
        await fleet.add_worker(Worker("other"))
        await fleet.until(lambda: all(len(known(i)) == 2 for i in fleet.instances), 3.0)
