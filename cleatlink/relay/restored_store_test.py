"""Test a store that is restored from an older copy.

Workers that are still running write their lost entries again. Revision numbers go back and are
used a second time. Guards against comparing revision numbers alone: an instance took the copy's
entries for outdated updates, requested changes after a revision that the store did not have, and
reread the whole store without a pause: 6,762 calls in 6 s from two instances.
"""

import pytest
import trio

from cleatlink.relay.instance import RelayInstance
from standins.relay import StoreMode, Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.store import StoreCopy

pytestmark = pytest.mark.virtual_time

# Outage of the store during a restore.
OUTAGE_S = 0.3
# Limit on store calls of two instances in the 6 s after a restore.
MAX_STORE_CALLS = 20
# Time within which instances must use new entries.
PROPAGATION_S = 2.0


async def start_two(fleet: Fleet, *workers: Worker) -> None:
    """Start two instances with a store that reports its era."""
    fleet.store.era = 1
    await start(fleet, *workers)
    fleet.start_instance()
    await fleet.wait_ready()
    await fleet.wait_until(lambda: all(item._peers.live_instances == 2 for item in fleet.instances))


def advance_revision(fleet: Fleet, count: int = 40) -> None:
    """Write unrelated entries, which only advance the revision."""
    for number in range(count):
        fleet.store.put("elsewhere/x", {"n": number})


async def restore(fleet: Fleet, copy: StoreCopy, *, writes: int = 0) -> None:
    """Stop the store briefly, then restore it from a copy and write some unrelated entries."""
    fleet.store.mode = StoreMode.RESET
    fleet.store.abandon_watches()
    await trio.sleep(OUTAGE_S)
    fleet.store.restore(copy)
    advance_revision(fleet, writes)
    fleet.store.mode = StoreMode.UP


def known_names(instance: RelayInstance) -> set[str]:
    """Return the names of the registrations that an instance knows."""
    return {endpoint.registered_name for endpoint in instance.capacity.endpoints.values()}


async def check_all_callers_are_served(fleet: Fleet, seconds: float) -> None:
    """Check that callers of both instances are served for this many seconds."""
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        for number in range(2):
            assert (await fleet.caller(number).ask("/safe/x")).status == 200
        await trio.sleep(0.1)


# Writes after the restore: the revision stays below the last known one, or passes it.
WRITES = pytest.mark.parametrize("writes", [0, 60], ids=["below", "past"])


@WRITES
async def test_restore_causes_few_store_calls(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        advance_revision(fleet)
        await trio.sleep(0.1)
        await restore(fleet, copy, writes=writes)
        calls_before = fleet.store.calls
        await trio.sleep(6.0)
        assert fleet.store.calls - calls_before < MAX_STORE_CALLS


@WRITES
async def test_entry_lost_in_restore_is_removed(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        advance_revision(fleet)
        lost = await fleet.add_worker(Worker("plain"))
        await fleet.wait_ready()
        await restore(fleet, copy, writes=writes)
        # The lost worker stays in use until running workers have had time to register again.
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert all(lost.name in known_names(item) for item in fleet.instances)
        await fleet.wait_until(
            lambda: all(lost.name not in known_names(i) for i in fleet.instances), 6.0
        )


@WRITES
async def test_worker_that_registers_again_stays_in_use(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet)
        copy = fleet.store.copy()
        advance_revision(fleet)
        worker = await fleet.add_worker(Worker("plain"))
        await fleet.wait_ready()
        await restore(fleet, copy, writes=writes)
        fleet.store.put(f"servers/{worker.name}", worker.registration())
        await check_all_callers_are_served(fleet, 4.0)


@WRITES
async def test_draining_worker_is_not_used_because_of_older_copy(writes: int) -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start_two(fleet, leaving, Worker("plain"))
        copy = fleet.store.copy()
        advance_revision(fleet)
        fleet.register(leaving, "draining")
        incarnation = leaving.name
        await fleet.wait_until(
            lambda: not any(item.capacity.accepts_work(incarnation) for item in fleet.instances)
        )
        arrivals_before = len(leaving.arrivals)
        await restore(fleet, copy, writes=writes)
        await check_all_callers_are_served(fleet, 4.0)
        assert len(leaving.arrivals) == arrivals_before


@WRITES
async def test_removed_worker_in_copy_is_not_used_until_it_registers(writes: int) -> None:
    async with open_fleet() as fleet:
        removed = Worker("plain")
        await start_two(fleet, removed, Worker("plain"))
        copy = fleet.store.copy()
        advance_revision(fleet)
        fleet.unregister(removed)
        await fleet.wait_until(
            lambda: not any(removed.name in known_names(item) for item in fleet.instances)
        )
        arrivals_before = len(removed.arrivals)
        await restore(fleet, copy, writes=writes)
        await check_all_callers_are_served(fleet, 2.0)
        assert len(removed.arrivals) == arrivals_before
        # A registration by the worker itself brings it back into use.
        fleet.register(removed)
        await fleet.wait_until(
            lambda: all(removed.name in known_names(item) for item in fleet.instances),
            PROPAGATION_S,
        )


@WRITES
async def test_new_configuration_and_workers_are_used_after_restore(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        advance_revision(fleet)
        await trio.sleep(0.1)
        await restore(fleet, copy, writes=writes)
        fleet.add_route("/late/", "safe", "other")
        version = fleet.configure()
        worker = await fleet.add_worker(Worker("other"))
        await fleet.wait_until(
            lambda: all(
                item.records.table_revision == version and worker.name in known_names(item)
                for item in fleet.instances
            ),
            PROPAGATION_S,
        )
        assert (await fleet.caller(1).ask("/late/x")).status == 200


@WRITES
async def test_older_configuration_in_copy_is_ignored(writes: int) -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"), Worker("other"))
        copy = fleet.store.copy()
        advance_revision(fleet)
        fleet.add_route("/late/", "safe", "other")
        version = fleet.configure()
        await fleet.wait_until(
            lambda: all(i.records.table_revision == version for i in fleet.instances)
        )
        await restore(fleet, copy, writes=writes)
        for _ in range(10):
            assert (await fleet.caller(1).ask("/late/x")).status == 200
            await trio.sleep(0.1)
        assert all(item.records.table_revision == version for item in fleet.instances)


async def test_restore_unnoticed_by_watches_is_detected_by_era() -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        advance_revision(fleet)
        lost = await fleet.add_worker(Worker("plain"))
        await fleet.wait_ready()
        # No call fails, and the new revisions cover every revision that instances know.
        fleet.store.restore(copy)
        advance_revision(fleet, 60)
        fleet.store.put("elsewhere/x", {})
        await fleet.wait_until(
            lambda: all(lost.name not in known_names(i) for i in fleet.instances), 8.0
        )


async def test_instance_without_store_access_learns_of_restore_from_peer() -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        advance_revision(fleet)
        lost = await fleet.add_worker(Worker("plain"))
        await fleet.wait_ready()
        disconnected = fleet.instances[1]
        fleet.refuse_store_access(1)
        await restore(fleet, copy)
        await fleet.wait_until(lambda: lost.name not in known_names(fleet.instances[0]), 6.0)
        await fleet.wait_until(lambda: lost.name not in known_names(disconnected), 6.0)
        # The older state of the disconnected peer must not bring the entry back.
        await trio.sleep(1.5)
        assert not any(lost.name in known_names(item) for item in fleet.instances)


async def test_repeated_history_compaction_causes_few_store_calls() -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        calls_before = fleet.store.calls
        ends_at = trio.current_time() + 3.0
        while trio.current_time() < ends_at:
            advance_revision(fleet, 1)
            fleet.store.drop_history()
            await trio.sleep(0.01)
        assert fleet.store.calls - calls_before < 2 * 3 * 8


async def test_repeated_restores_cause_few_store_calls() -> None:
    async with open_fleet() as fleet:
        await start_two(fleet, Worker("plain"))
        copy = fleet.store.copy()
        calls_before = fleet.store.calls
        ends_at = trio.current_time() + 3.0
        while trio.current_time() < ends_at:
            fleet.store.restore(copy)
            await trio.sleep(0.05)
        assert fleet.store.calls - calls_before < 2 * 3 * 8
        await fleet.add_worker(Worker("other"))
        await fleet.wait_until(lambda: all(len(known_names(i)) == 2 for i in fleet.instances), 3.0)
