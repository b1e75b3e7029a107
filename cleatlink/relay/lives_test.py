"""An endpoint that starts again under its name is another one: nothing of its former life counts.

An engine crashed behind a cut and came back under the same name, empty. The streams of its
former life hung on, and their reservations filled the new one: of four new streams two were
served within 2 s, and the others waited for memory that had been free all along.
"""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.relay.instance import RelayInstance
from standins.relay import Fault, Worker
from standins.relay.client import Caller, Reply
from standins.relay.example import STREAM, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

BORN = 1_700_000_000_000
# What is known to be over ends within this; the shortest silence that counts is as long.
AT_ONCE_S = 0.5


def born(worker: Worker) -> Worker:
    """Give a worker that says when it was born."""
    worker.born = BORN
    return worker


def lives(instance: RelayInstance) -> dict[str, int]:
    """Give which life of each registration an instance knows."""
    endpoints = instance.capacity.endpoints.values()
    return {endpoint.answers_to: endpoint.born for endpoint in endpoints}


async def return_as(fleet: Fleet, worker: Worker, later: Worker) -> Worker:
    """Have another life of a worker begin, at another address."""
    later.name, later.born = worker.name, worker.born + 1000
    await fleet.add_worker(later)
    await fleet.until(lambda: all(lives(i)[later.name] == later.born for i in fleet.instances), 2.0)
    return later


async def stream(caller: Caller, path: str = "/stream/x") -> Reply:
    """Ask for a stream."""
    return await caller.ask(path, "POST", body=b"p", headers=STREAM)


async def test_streams_of_a_former_life_take_no_memory_of_the_new_one() -> None:
    async with open_fleet() as fleet:
        engine = born(Worker("model", "decode"))
        engine.silent_from = 2
        await start(fleet, engine)
        fleet.configure({"slots": 4})
        fleet.start_instance()
        await fleet.ready()
        await fleet.until(lambda: all(item._peers.alive == 2 for item in fleet.instances))
        patient = {**STREAM, "Deadline-Milliseconds": "9000"}
        for number in range(4):
            hanging = fleet.caller(number % 2)
            await hanging.send("/stream/x", "POST", body=b"%d" % number, headers=patient)
        # The engine takes as many as fit, and both instances know of them.
        await trio.sleep(0.4)
        for instance in fleet.instances:
            usage = instance.capacity.usage(_name(engine), Role.DECODE)
            assert usage.running == len(engine.runs) == 4
        await return_as(fleet, engine, Worker("model", "decode"))
        replies: list[Reply] = []

        async def ask(instance: int) -> None:
            replies.append(await stream(fleet.caller(instance)))

        with trio.move_on_after(1.0):
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(ask, number % 2)
        assert [(reply.status, reply.whole) for reply in replies] == [(200, True)] * 4


async def test_new_life_is_not_avoided_for_the_failures_of_the_one_before() -> None:
    async with open_fleet() as fleet:
        worker, other = born(Worker("plain")), Worker("other")
        await start(fleet, worker, other)
        worker.faults = [Fault.RESET_AFTER] * 3
        for _ in range(3):
            assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 502
        later = await return_as(fleet, worker, Worker("plain"))
        capacity = fleet.instances[0].capacity
        reached = capacity.reached("plain", Role.PLAIN, trio.current_time())
        assert [endpoint.born for endpoint in reached] == [later.born]
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 200
        assert len(later.runs) == 1


async def test_call_that_failed_at_one_life_may_go_on_at_the_next() -> None:
    async with open_fleet() as fleet:
        worker = born(Worker("plain"))
        await start(fleet, worker)
        worker.crashes_on, worker.crash_after_s = b"safe", 0.01
        fleet.keep_restarting(worker, 0.1)
        caller = fleet.caller()
        await caller.send("/safe/x")
        await worker.crashed.wait()
        # The next life, and those after it, are of another mind.
        await fleet.until(lambda: len(fleet.workers) == 2)
        fleet.workers[1].crashes_on = None
        await caller.receive()
        await fleet.until(lambda: lives(fleet.instances[0])[worker.name] == BORN + 1)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(fleet.workers[1].runs) == 1


async def test_prompt_that_a_former_life_computed_is_not_fetched() -> None:
    async with open_fleet() as fleet:
        prefill, decode = born(Worker("model", "prefill")), Worker("model", "decode")
        decode.offers_holds = False
        await start(fleet, prefill, decode)
        fleet.add_route("/once/", "streaming", "model", attempts=1)
        version = fleet.configure()
        await fleet.until(lambda: fleet.instances[0].records.table_revision == version)
        # The decode has no room at first; meanwhile the prefill begins a new life.
        decode.faults = [Fault.FULL]
        caller = fleet.caller()
        await caller.send("/once/x", "POST", body=b"p", headers=STREAM)
        await fleet.until(lambda: len(decode.arrivals) == 1)
        later = Worker("model", "prefill")
        later.name, later.born = prefill.name, prefill.born + 1000
        await fleet.add_worker(later)
        reply = await caller.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert decode.arrivals[0].headers.get("cache-source", "").startswith(prefill.address)
        assert "cache-source" not in decode.arrivals[-1].headers
        assert later.freed == []


async def test_late_word_of_a_former_life_changes_nothing() -> None:
    async with open_fleet() as fleet:
        worker = born(Worker("plain"))
        await start(fleet, worker)
        later = await return_as(fleet, worker, Worker("plain"))
        fleet.register(worker, "draining")
        marker = await fleet.add_worker(Worker("plain"))
        await fleet.until(lambda: marker.name in lives(fleet.instances[0]))
        assert lives(fleet.instances[0])[worker.name] == later.born
        fleet.start_instance()
        await fleet.until(lambda: fleet.instances[1].ready)
        fleet.unregister(marker)
        await fleet.until(lambda: marker.name not in lives(fleet.instances[0]))
        assert (await fleet.caller().ask("/safe/x")).status == 200


async def test_two_lives_in_one_answer_of_the_store() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        first = born(Worker("plain"))
        second, third = Worker("plain"), Worker("plain")
        for number, worker in enumerate((second, third), 1):
            worker.name, worker.born = first.name, BORN + number
        for worker in (first, third, second):
            await fleet.add_worker(worker)
        await fleet.until(lambda: lives(fleet.instances[0]).get(first.name) == BORN + 2)
        await trio.sleep(0.1)
        assert lives(fleet.instances[0])[first.name] == BORN + 2


@pytest.mark.parametrize(("service", "stage"), [("other", ""), ("model", "prefill")])
async def test_return_as_another_service_or_role(service: str, stage: str) -> None:
    async with open_fleet() as fleet:
        worker, staying = born(Worker("plain")), Worker("plain")
        await start(fleet, worker, staying)
        later = await return_as(fleet, worker, Worker(service, stage))
        for _ in range(4):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert (len(later.runs), len(worker.runs), len(staying.runs)) == (0, 0, 4)


async def test_planned_stop_and_return() -> None:
    async with open_fleet() as fleet:
        worker, staying = born(Worker("plain")), Worker("plain")
        await start(fleet, worker, staying)
        fleet.register(worker, "draining")
        await fleet.until(lambda: not fleet.instances[0].capacity.takes_work(_name(worker)))
        later = await return_as(fleet, worker, Worker("plain"))
        for _ in range(12):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert later.runs
        assert not worker.runs


async def test_connections_of_a_former_life_are_closed() -> None:
    async with open_fleet() as fleet:
        worker = born(Worker("plain"))
        await start(fleet, worker)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        instance = fleet.instances[0]
        assert _name(worker) in instance._pool._idle
        await return_as(fleet, worker, Worker("plain"))
        assert _name(worker) not in instance._pool._idle


def _name(worker: Worker) -> str:
    """Give the name of a worker's life."""
    return f"{worker.name}@{worker.born}"


async def hang(fleet: Fleet, path: str) -> tuple[Worker, Caller]:
    """Have a stream hang at an engine, as behind a cut."""
    engine = born(Worker("model", "decode"))
    engine.silent_from = 2
    await start(fleet, engine)
    caller = fleet.caller()
    await caller.send(path, "POST", body=b"p", headers=STREAM)
    await fleet.until(lambda: engine.runs)
    await trio.sleep(0.1)
    return engine, caller


async def test_stream_that_hangs_in_a_former_life_ends_at_once() -> None:
    async with open_fleet() as fleet:
        engine, caller = await hang(fleet, "/stream/x")
        await return_as(fleet, engine, Worker("model", "decode"))
        began_at = trio.current_time()
        reply = await caller.receive()
        assert not reply.whole
        assert trio.current_time() - began_at < AT_ONCE_S


async def test_stream_that_may_be_resumed_goes_on_in_the_next_life_at_once() -> None:
    async with open_fleet() as fleet:
        engine, caller = await hang(fleet, "/resume/x")
        later = await return_as(fleet, engine, Worker("model", "decode"))
        began_at = trio.current_time()
        reply = await caller.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body.count(b"id: ") == engine.events
        assert trio.current_time() - began_at < 2 * AT_ONCE_S
        assert len(later.runs) == 1


async def test_call_of_a_former_life_ends_at_once() -> None:
    async with open_fleet() as fleet:
        worker = born(Worker("plain"))
        await start(fleet, worker)
        worker.work_s = 30.0
        caller = fleet.caller()
        await caller.send("/unsafe/x", "POST", body=b"x")
        await fleet.until(lambda: worker.runs)
        await return_as(fleet, worker, Worker("plain"))
        with trio.fail_after(AT_ONCE_S):
            assert (await caller.receive()).status == 502
