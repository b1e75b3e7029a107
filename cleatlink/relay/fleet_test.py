"""Test relay instances with their peers and their store, and during planned stops."""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.routing.reservation import Reservation
from standins.relay import StoreMode, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time


async def test_new_configuration_takes_effect_and_older_one_is_ignored() -> None:
    async with open_fleet() as fleet:
        plain, other = Worker("plain"), Worker("other")
        await start(fleet, plain, other)
        caller = fleet.caller()
        assert (await caller.ask("/safe/x")).status == 200
        fleet.routes = [{**route, "service": "other"} for route in fleet.routes]
        fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == 7, 1.0)
        await caller.ask("/safe/x")
        assert (len(plain.runs), len(other.runs)) == (1, 1)
        fleet.store.put(
            "op/config",
            {"version": 6, "routes": [], "services": [], "limits": fleet.limits},
        )
        await trio.sleep(0.2)
        assert (await caller.ask("/safe/x")).status == 200


async def test_draining_worker_receives_no_new_calls() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        fleet.register(first, "draining")
        await trio.sleep(0.2)
        for _ in range(6):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert (len(first.runs), len(second.runs)) == (0, 6)
        fleet.unregister(first)
        await fleet.wait_until(lambda: first.name not in fleet.instances[0].capacity.endpoints)


async def test_removal_is_seen_after_store_compacted_its_history() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        # A watch that fails counts as an outage of the store, after which removals are delayed.
        await fleet.wait_until(lambda: fleet.store.open_watches)
        fleet.store.mode = StoreMode.BUSY
        await trio.sleep(0.1)
        fleet.unregister(first)
        fleet.configure()
        fleet.store.drop_history()
        fleet.store.mode = StoreMode.UP
        records = fleet.instances[0].records
        await fleet.wait_until(lambda: records.table_revision == 7)
        assert set(fleet.instances[0].capacity.endpoints) == {second.name}


@pytest.mark.parametrize("mode", [StoreMode.BUSY, StoreMode.SILENT, StoreMode.RESET])
async def test_instance_without_store_access_starts_from_peer_state(mode: StoreMode) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        fleet.store.mode = mode
        fleet.start_instance()
        await fleet.wait_until(lambda: fleet.instances[1].ready)
        assert (await fleet.caller(1).ask("/safe/x")).status == 200


async def test_planned_stop_finishes_accepted_requests() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        first.event_interval_s = second.event_interval_s = 0.2
        await start(fleet, prefill, first, second, Worker("plain"))
        keep_alive, streaming = fleet.caller(), fleet.caller()
        assert (await keep_alive.ask("/safe/x")).status == 200
        await streaming.send("/stream/x", "POST", body=b"p", headers=STREAM)
        await trio.sleep(0.1)
        fleet.stop_events[0].set()
        await trio.sleep(0.1)
        assert (await fleet.readiness_client().ask("/")).status == 503
        last_reply = await keep_alive.ask("/safe/x")
        assert (last_reply.status, last_reply.headers["connection"]) == (200, "close")
        late_reply = await fleet.caller().ask("/unsafe/x", "POST", body=b"b")
        assert late_reply.status == 200
        reply = await streaming.receive()
        assert reply.is_complete
        with trio.fail_after(4):
            await fleet.end_events[0].wait()


async def test_instance_reconnects_soon_after_store_stops_hanging() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        records = fleet.instances[0].records
        fleet.store.mode = StoreMode.SILENT
        await trio.sleep(4.8)
        fleet.store.mode = StoreMode.UP
        version = fleet.configure()
        await fleet.wait_until(lambda: records.table_revision == version, 1.5)


async def test_new_table_arrives_from_peer_during_store_outage() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.wait_ready()
        first, second = (item.records for item in fleet.instances)
        await trio.sleep(1.2)
        version = fleet.configure()
        fleet.store.mode = StoreMode.SILENT
        assert first.table_revision < version
        table = first.table
        assert table is not None
        fleet.instances[0].apply_newer_table(table._replace(revision=version), "test")
        await fleet.wait_until(lambda: second.table_revision == version, 0.7)


async def test_lost_watch_is_restarted_after_peer_announces_newer_table() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.wait_ready()
        await trio.sleep(1.2)
        fleet.store.abandon_watches()
        version = fleet.configure()
        first, second = fleet.instances
        await trio.sleep(0.05)
        assert first.records.table_revision < version
        table = first.records.table
        assert table is not None
        first.apply_newer_table(table._replace(revision=version), "test")
        await fleet.wait_until(lambda: second.records.table_revision == version, 0.6)
        assert b'kind="snapshot"' not in second.render_metrics()


async def test_stopping_leader_sends_no_role_changes() -> None:
    async with open_fleet() as fleet:
        prefill, decode = Worker("model", "prefill"), Worker("model", "decode")
        await start(fleet, prefill, decode)
        for _ in range(2):
            fleet.start_instance()
        await fleet.wait_ready()
        await fleet.wait_until(lambda: fleet.instances[0].is_leader, 10.0)
        fleet.stop_events[0].set()
        await trio.sleep(0.4)
        fleet.unregister(decode)
        await fleet.end_events[0].wait()
        assert prefill.role_changes == []


async def test_role_change_waits_for_work_in_progress() -> None:
    async with open_fleet() as fleet:
        prefill, decode = Worker("model", "prefill"), Worker("model", "decode")
        await start(fleet, prefill, decode)
        instance = fleet.instances[0]
        await fleet.wait_until(lambda: instance.is_leader, 10.0)
        now = trio.current_time()
        work = Reservation(prefill.name, Role.PREFILL, 100, now + 6.0, 6.0)
        instance.capacity.reserve("long", work)
        fleet.unregister(decode)
        await fleet.wait_until(lambda: bool(prefill.role_changes))
        await trio.sleep(0.1)
        remaining_s = instance.capacity.role_changes_left_s(trio.current_time())[prefill.name]
        assert remaining_s > 6.0


async def test_planned_stop_ends_on_time_with_slow_call_in_progress() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.run_duration_s = 30.0
        await fleet.add_worker(worker)
        fleet.add_route("/slow/", "unsafe", "plain", timeout_ms=20000)
        fleet.configure()
        fleet.start_instance()
        await fleet.wait_ready()
        caller = fleet.caller()
        await caller.send("/slow/x", "POST", body=b"b")
        await fleet.wait_until(lambda: bool(worker.runs))
        stopped_at = trio.current_time()
        fleet.stop_events[0].set()
        await fleet.end_events[0].wait()
        assert 2.0 < trio.current_time() - stopped_at < 2.9


async def test_removal_right_after_store_outage_is_delayed_only_briefly() -> None:
    async with open_fleet() as fleet:
        expired, removed, leaving = Worker("plain"), Worker("plain"), Worker("plain")
        await start(fleet, expired, removed, leaving)
        capacity = fleet.instances[0].capacity
        fleet.register(leaving, "draining")
        await fleet.wait_until(lambda: capacity.endpoints[leaving.name].leaving)
        fleet.store.mode = StoreMode.BUSY
        await trio.sleep(2.5)
        for worker in (expired, removed, leaving):
            fleet.unregister(worker)
        fleet.store.mode = StoreMode.UP
        await fleet.wait_until(lambda: leaving.name not in capacity.endpoints)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        fleet.register(expired)
        # An endpoint that has left must get no calls after 2 s.
        await fleet.wait_until(lambda: removed.name not in capacity.endpoints, 1.8)
        assert set(capacity.endpoints) == {expired.name}


async def test_removal_seen_with_store_available_takes_effect_at_once() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        capacity = fleet.instances[0].capacity
        fleet.store.mode = StoreMode.BUSY
        await trio.sleep(2.5)
        fleet.store.mode = StoreMode.UP
        version = fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        await trio.sleep(0.7)
        fleet.unregister(first)
        await fleet.wait_until(lambda: first.name not in capacity.endpoints, 0.5)
