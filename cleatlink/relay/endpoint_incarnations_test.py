"""Test endpoints that restart under the same name, as a new incarnation.

State of the earlier incarnation must not apply to the new one. Guards against this failure: an
engine crashed during a network partition and restarted under the same name, with empty memory.
The streams of its earlier incarnation kept hanging, and their reservations filled the new one: of
four new streams two were served within 2 s, and the others waited for memory that was free.
"""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.relay.instance import RelayInstance
from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Caller, Reply

pytestmark = pytest.mark.virtual_time

# Start time of the first incarnation, in milliseconds since the epoch.
STARTED_AT_MS = 1_700_000_000_000
# Longest time to end work of an earlier incarnation; equals the shortest silence timeout.
MAX_END_S = 0.5


def with_start_time(worker: Worker) -> Worker:
    """Return the worker, set up to register with its start time."""
    worker.born = STARTED_AT_MS
    return worker


def known_start_times(instance: RelayInstance) -> dict[str, int]:
    """Return the start time that an instance knows for each registration."""
    endpoints = instance.capacity.endpoints.values()
    return {endpoint.registered_name: endpoint.born for endpoint in endpoints}


async def restart_as(fleet: Fleet, worker: Worker, restarted: Worker) -> Worker:
    """Start another incarnation of a worker, at another address."""
    restarted.name, restarted.born = worker.name, worker.born + 1000
    await fleet.add_worker(restarted)
    await fleet.wait_until(
        lambda: all(
            known_start_times(i)[restarted.name] == restarted.born for i in fleet.instances
        ),
        2.0,
    )
    return restarted


async def stream(caller: Caller, path: str = "/stream/x") -> Reply:
    return await caller.ask(path, "POST", body=b"p", headers=STREAM)


async def test_streams_of_old_incarnation_reserve_no_memory_of_new_one() -> None:
    async with open_fleet() as fleet:
        engine = with_start_time(Worker("model", "decode"))
        engine.silent_from_event = 2
        await start(fleet, engine)
        fleet.configure({"slots": 4})
        fleet.start_instance()
        await fleet.wait_ready()
        await fleet.wait_until(
            lambda: all(item._peers.live_instances == 2 for item in fleet.instances)
        )
        long_deadline = {**STREAM, "Deadline-Milliseconds": "9000"}
        for number in range(4):
            hanging_caller = fleet.caller(number % 2)
            await hanging_caller.send(
                "/stream/x", "POST", body=b"%d" % number, headers=long_deadline
            )
        # All four streams fit into the engine, and both instances know of them.
        await trio.sleep(0.4)
        for instance in fleet.instances:
            usage = instance.capacity.usage(_incarnation_name(engine), Role.DECODE)
            assert usage.running == len(engine.runs) == 4
        await restart_as(fleet, engine, Worker("model", "decode"))
        replies: list[Reply] = []

        async def ask(instance: int) -> None:
            replies.append(await stream(fleet.caller(instance)))

        with trio.move_on_after(1.0):
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(ask, number % 2)
        assert [(reply.status, reply.is_complete) for reply in replies] == [(200, True)] * 4


async def test_new_incarnation_is_not_avoided_for_failures_of_old_one() -> None:
    async with open_fleet() as fleet:
        worker, other = with_start_time(Worker("plain")), Worker("other")
        await start(fleet, worker, other)
        worker.faults = [Fault.RESET_AFTER] * 3
        for _ in range(3):
            assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 502
        restarted = await restart_as(fleet, worker, Worker("plain"))
        capacity = fleet.instances[0].capacity
        reachable = capacity.reachable_endpoints("plain", Role.PLAIN, trio.current_time())
        assert [endpoint.born for endpoint in reachable] == [restarted.born]
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 200
        assert len(restarted.runs) == 1


async def test_new_incarnation_serves_calls_after_crash() -> None:
    async with open_fleet() as fleet:
        worker = with_start_time(Worker("plain"))
        await start(fleet, worker)
        worker.crash_marker, worker.crash_after_s = b"safe", 0.01
        fleet.restart_after_crashes(worker, 0.1)
        caller = fleet.caller()
        await caller.send("/safe/x")
        await worker.crashed.wait()
        # The next incarnation, and those after it, do not crash on this request.
        await fleet.wait_until(lambda: len(fleet.workers) == 2)
        fleet.workers[1].crash_marker = None
        await caller.receive()
        await fleet.wait_until(
            lambda: known_start_times(fleet.instances[0])[worker.name] == STARTED_AT_MS + 1
        )
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(fleet.workers[1].runs) == 1


async def test_prefill_result_of_old_incarnation_is_not_fetched() -> None:
    async with open_fleet() as fleet:
        prefill, decode = with_start_time(Worker("model", "prefill")), Worker("model", "decode")
        decode.offers_reservations = False
        await start(fleet, prefill, decode)
        fleet.add_route("/once/", "streaming", "model", attempts=1)
        version = fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        # The decode endpoint is full at first; meanwhile the prefill endpoint restarts.
        decode.faults = [Fault.FULL]
        caller = fleet.caller()
        await caller.send("/once/x", "POST", body=b"p", headers=STREAM)
        await fleet.wait_until(lambda: len(decode.arrivals) == 1)
        restarted = Worker("model", "prefill")
        restarted.name, restarted.born = prefill.name, prefill.born + 1000
        await fleet.add_worker(restarted)
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert decode.arrivals[0].headers.get("cache-source", "").startswith(prefill.address)
        assert "cache-source" not in decode.arrivals[-1].headers
        assert restarted.deleted_handles == []


async def test_late_registration_of_old_incarnation_is_ignored() -> None:
    async with open_fleet() as fleet:
        worker = with_start_time(Worker("plain"))
        await start(fleet, worker)
        restarted = await restart_as(fleet, worker, Worker("plain"))
        fleet.register(worker, "draining")
        marker = await fleet.add_worker(Worker("plain"))
        await fleet.wait_until(lambda: marker.name in known_start_times(fleet.instances[0]))
        assert known_start_times(fleet.instances[0])[worker.name] == restarted.born
        fleet.start_instance()
        await fleet.wait_until(lambda: fleet.instances[1].ready)
        fleet.unregister(marker)
        await fleet.wait_until(lambda: marker.name not in known_start_times(fleet.instances[0]))
        assert (await fleet.caller().ask("/safe/x")).status == 200


async def test_newest_of_several_incarnations_in_store_answer_is_used() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        first = with_start_time(Worker("plain"))
        second, third = Worker("plain"), Worker("plain")
        for number, worker in enumerate((second, third), 1):
            worker.name, worker.born = first.name, STARTED_AT_MS + number
        for worker in (first, third, second):
            await fleet.add_worker(worker)
        await fleet.wait_until(
            lambda: known_start_times(fleet.instances[0]).get(first.name) == STARTED_AT_MS + 2
        )
        await trio.sleep(0.1)
        assert known_start_times(fleet.instances[0])[first.name] == STARTED_AT_MS + 2


@pytest.mark.parametrize(("service", "stage"), [("other", ""), ("model", "prefill")])
async def test_restart_with_other_service_or_role(service: str, stage: str) -> None:
    async with open_fleet() as fleet:
        worker, other = with_start_time(Worker("plain")), Worker("plain")
        await start(fleet, worker, other)
        restarted = await restart_as(fleet, worker, Worker(service, stage))
        for _ in range(4):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert (len(restarted.runs), len(worker.runs), len(other.runs)) == (0, 0, 4)


async def test_restart_after_draining() -> None:
    async with open_fleet() as fleet:
        worker, other = with_start_time(Worker("plain")), Worker("plain")
        await start(fleet, worker, other)
        fleet.register(worker, "draining")
        await fleet.wait_until(
            lambda: not fleet.instances[0].capacity.accepts_work(_incarnation_name(worker))
        )
        restarted = await restart_as(fleet, worker, Worker("plain"))
        for _ in range(12):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert restarted.runs
        assert not worker.runs


async def test_connections_of_old_incarnation_are_closed() -> None:
    async with open_fleet() as fleet:
        worker = with_start_time(Worker("plain"))
        await start(fleet, worker)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        instance = fleet.instances[0]
        assert _incarnation_name(worker) in instance._pool._idle
        await restart_as(fleet, worker, Worker("plain"))
        assert _incarnation_name(worker) not in instance._pool._idle


def _incarnation_name(worker: Worker) -> str:
    """Return the name of a worker's incarnation."""
    return f"{worker.name}@{worker.born}"


async def start_hanging_stream(fleet: Fleet, path: str) -> tuple[Worker, Caller]:
    """Start a stream that hangs at its engine, as during a network partition."""
    engine = with_start_time(Worker("model", "decode"))
    engine.silent_from_event = 2
    await start(fleet, engine)
    caller = fleet.caller()
    await caller.send(path, "POST", body=b"p", headers=STREAM)
    await fleet.wait_until(lambda: engine.runs)
    await trio.sleep(0.1)
    return engine, caller


async def test_hanging_stream_of_old_incarnation_ends_at_once() -> None:
    async with open_fleet() as fleet:
        engine, caller = await start_hanging_stream(fleet, "/stream/x")
        await restart_as(fleet, engine, Worker("model", "decode"))
        started_at = trio.current_time()
        reply = await caller.receive()
        assert not reply.is_complete
        assert trio.current_time() - started_at < MAX_END_S


async def test_resumable_stream_continues_at_new_incarnation() -> None:
    async with open_fleet() as fleet:
        engine, caller = await start_hanging_stream(fleet, "/resume/x")
        restarted = await restart_as(fleet, engine, Worker("model", "decode"))
        started_at = trio.current_time()
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body.count(b"id: ") == engine.events
        assert trio.current_time() - started_at < 2 * MAX_END_S
        assert len(restarted.runs) == 1


async def test_call_at_old_incarnation_ends_at_once() -> None:
    async with open_fleet() as fleet:
        worker = with_start_time(Worker("plain"))
        await start(fleet, worker)
        worker.run_duration_s = 30.0
        caller = fleet.caller()
        await caller.send("/unsafe/x", "POST", body=b"x")
        await fleet.wait_until(lambda: worker.runs)
        await restart_as(fleet, worker, Worker("plain"))
        with trio.fail_after(MAX_END_S):
            assert (await caller.receive()).status == 502
