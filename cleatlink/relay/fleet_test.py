"""Instances of the relay among each other, with their store, and when they stop."""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.routing.reservation import Reservation
from standins.relay import StoreMode, Worker
from standins.relay.example import STREAM, engines, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time


async def test_new_configuration_is_in_force_at_once_and_an_older_never() -> None:
    async with open_fleet() as fleet:
        plain, other = Worker("plain"), Worker("other")
        await start(fleet, plain, other)
        caller = fleet.caller()
        assert (await caller.ask("/safe/x")).status == 200
        fleet.routes = [{**route, "service": "other"} for route in fleet.routes]
        fleet.configure()
        await fleet.until(lambda: fleet.instances[0].records.table_revision == 7, 1.0)
        await caller.ask("/safe/x")
        assert (len(plain.runs), len(other.runs)) == (1, 1)
        fleet.store.put(
            "op/config",
            {"version": 6, "routes": [], "services": [], "limits": fleet.limits},
        )
        await trio.sleep(0.2)
        assert (await caller.ask("/safe/x")).status == 200


async def test_draining_worker_gets_nothing_new() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        fleet.register(first, "draining")
        await trio.sleep(0.2)
        for _ in range(6):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert (len(first.runs), len(second.runs)) == (0, 6)
        fleet.unregister(first)
        await fleet.until(lambda: first.name not in fleet.instances[0].capacity.endpoints)


async def test_history_that_is_gone_is_read_anew_with_what_left() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        # A wait that is refused would make the source lost, and the removal one in doubt.
        await fleet.until(lambda: fleet.store.watching)
        fleet.store.mode = StoreMode.BUSY
        await trio.sleep(0.1)
        fleet.unregister(first)
        fleet.configure()
        fleet.store.forget_history()
        fleet.store.mode = StoreMode.UP
        records = fleet.instances[0].records
        await fleet.until(lambda: records.table_revision == 7)
        assert set(fleet.instances[0].capacity.endpoints) == {second.name}


@pytest.mark.parametrize("mode", [StoreMode.BUSY, StoreMode.SILENT, StoreMode.RESET])
async def test_instance_that_the_store_turns_away_learns_from_its_peers(mode: StoreMode) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        fleet.store.mode = mode
        fleet.start_instance()
        await fleet.until(lambda: fleet.instances[1].ready)
        assert (await fleet.caller(1).ask("/safe/x")).status == 200


async def test_planned_stop_finishes_what_it_took() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        first.event_s = second.event_s = 0.2
        await start(fleet, prefill, first, second, Worker("plain"))
        kept, streaming = fleet.caller(), fleet.caller()
        assert (await kept.ask("/safe/x")).status == 200
        await streaming.send("/stream/x", "POST", body=b"p", headers=STREAM)
        await trio.sleep(0.1)
        fleet.stops[0].set()
        await trio.sleep(0.1)
        assert (await fleet.prober().ask("/")).status == 503
        last = await kept.ask("/safe/x")
        assert (last.status, last.headers["connection"]) == (200, "close")
        late = await fleet.caller().ask("/unsafe/x", "POST", body=b"b")
        assert late.status == 200
        reply = await streaming.receive()
        assert reply.whole
        with trio.fail_after(4):
            await fleet.ended[0].wait()


async def test_store_that_was_silent_is_found_again_at_once() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        records = fleet.instances[0].records
        fleet.store.mode = StoreMode.SILENT
        await trio.sleep(4.8)
        fleet.store.mode = StoreMode.UP
        version = fleet.configure()
        await fleet.until(lambda: records.table_revision == version, 1.5)


async def test_peer_tells_of_a_new_table_before_the_store_does() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.ready()
        first, second = (item.records for item in fleet.instances)
        await trio.sleep(1.2)
        version = fleet.configure()
        fleet.store.mode = StoreMode.SILENT
        assert first.table_revision < version
        table = first.table
        assert table is not None
        fleet.instances[0].take_table(table._replace(revision=version), "test")
        await fleet.until(lambda: second.table_revision == version, 0.7)


async def test_wait_that_the_store_forgot_is_begun_anew_on_a_peers_word() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.ready()
        await trio.sleep(1.2)
        fleet.store.forget_watches()
        version = fleet.configure()
        first, second = fleet.instances
        await trio.sleep(0.05)
        assert first.records.table_revision < version
        table = first.records.table
        assert table is not None
        first.take_table(table._replace(revision=version), "test")
        await fleet.until(lambda: second.records.table_revision == version, 0.6)
        assert b'kind="snapshot"' not in second.render_metrics()


async def test_instance_that_stops_gives_no_orders() -> None:
    async with open_fleet() as fleet:
        prefill, decode = Worker("model", "prefill"), Worker("model", "decode")
        await start(fleet, prefill, decode)
        for _ in range(2):
            fleet.start_instance()
        await fleet.ready()
        await fleet.until(lambda: fleet.instances[0].leads, 10.0)
        fleet.stops[0].set()
        await trio.sleep(0.4)
        fleet.unregister(decode)
        await fleet.ended[0].wait()
        assert prefill.orders == []


async def test_engine_that_changes_its_role_ends_its_work_before() -> None:
    async with open_fleet() as fleet:
        prefill, decode = Worker("model", "prefill"), Worker("model", "decode")
        await start(fleet, prefill, decode)
        instance = fleet.instances[0]
        await fleet.until(lambda: instance.leads, 10.0)
        now = trio.current_time()
        work = Reservation(prefill.name, Role.PREFILL, 100, now + 6.0, 6.0)
        instance.capacity.reserve("long", work)
        fleet.unregister(decode)
        await fleet.until(lambda: bool(prefill.orders))
        await trio.sleep(0.1)
        left_s = instance.capacity.switching(trio.current_time())[prefill.name]
        assert left_s > 6.0


async def test_planned_stop_ends_in_time_whatever_is_in_progress() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.work_s = 30.0
        await fleet.add_worker(worker)
        fleet.add_route("/slow/", "unsafe", "plain", timeout_ms=20000)
        fleet.configure()
        fleet.start_instance()
        await fleet.ready()
        caller = fleet.caller()
        await caller.send("/slow/x", "POST", body=b"b")
        await fleet.until(lambda: bool(worker.runs))
        stopped_at = trio.current_time()
        fleet.stops[0].set()
        await fleet.ended[0].wait()
        assert 2.0 < trio.current_time() - stopped_at < 2.9


async def test_removal_right_after_an_outage_is_in_doubt_but_not_for_long() -> None:
    async with open_fleet() as fleet:
        lapsed, gone, leaving = Worker("plain"), Worker("plain"), Worker("plain")
        await start(fleet, lapsed, gone, leaving)
        capacity = fleet.instances[0].capacity
        fleet.register(leaving, "draining")
        await fleet.until(lambda: capacity.endpoints[leaving.name].leaving)
        fleet.store.mode = StoreMode.BUSY
        await trio.sleep(2.5)
        for worker in (lapsed, gone, leaving):
            fleet.unregister(worker)
        fleet.store.mode = StoreMode.UP
        await fleet.until(lambda: leaving.name not in capacity.endpoints)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        fleet.register(lapsed)
        # An endpoint that left gets nothing after 2 s.
        await fleet.until(lambda: gone.name not in capacity.endpoints, 1.8)
        assert set(capacity.endpoints) == {lapsed.name}


async def test_removal_seen_while_the_store_is_there_holds_at_once() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        capacity = fleet.instances[0].capacity
        fleet.store.mode = StoreMode.BUSY
        await trio.sleep(2.5)
        fleet.store.mode = StoreMode.UP
        version = fleet.configure()
        await fleet.until(lambda: fleet.instances[0].records.table_revision == version)
        await trio.sleep(0.7)
        fleet.unregister(first)
        await fleet.until(lambda: first.name not in capacity.endpoints, 0.5)
