"""An endpoint's own word, that it leaves or wants a rest, is taken from its answers.

An endpoint said in an answer that it leaves, while the configuration service was away. The
instance that passed this answer on sent it two more calls, 2.4 s and 2.9 s later, and took each
one's "is answered" for a good sign: leaving was known from registrations alone. Another endpoint
turned every call away with 503 and asked for 3 s of rest. Eight instances sent it 35 calls in 5 s,
each with a line "was not run", status 503: the time that it named was not read, and one without
room was tried again after 0.15 s to 1.2 s.
"""

import pytest
import trio

from cleatlink.core.data import Role
from standins.relay import StoreMode, Worker
from standins.relay.example import STREAM, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

# An endpoint that leaves gets nothing that a caller sent later than this after its word.
LEAVING_S = 2.0
# Calls that are on their way arrive within this of an endpoint's word.
ON_THE_WAY_S = 0.5
# So many may arrive within a rest.
MOST_IN_A_REST = 2
REST_S = 4.0
CALL_S = 0.05
# A caller that surely can't be served is not kept: a fraction of the time that it would wait.
AT_ONCE_S = 0.3


async def call_for(fleet: Fleet, seconds: float, path: str, **request: object) -> list[int]:
    """Ask at a steady rate; gives the statuses."""
    statuses: list[int] = []

    async def ask() -> None:
        reply = await fleet.caller().ask(path, **request)  # type: ignore[arg-type]
        statuses.append(reply.status)

    async with trio.open_nursery() as nursery:
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            nursery.start_soon(ask)
            await trio.sleep(CALL_S)
    return statuses


def arrivals_after(worker: Worker, seconds: float) -> int:
    """Count calls that arrived at a worker later than so long after the first of them."""
    return sum(at - worker.arrived_at[0] > seconds for at in worker.arrived_at)


def most_in_a_rest(worker: Worker, rest_s: float) -> int:
    """Give the most calls that arrived within one of the rests that a worker asked for."""
    times = worker.arrived_at
    return max(sum(ON_THE_WAY_S < at - asked_at < rest_s for at in times) for asked_at in times)


async def test_endpoint_that_says_in_answers_that_it_leaves_gets_nothing_new() -> None:
    async with open_fleet() as fleet:
        leaving, other = Worker("plain"), Worker("plain")
        await start(fleet, leaving, other)
        leaving.says_leaving = True
        fleet.store.mode = StoreMode.SILENT
        statuses = await call_for(fleet, LEAVING_S + 1.0, "/safe/x")
        assert set(statuses) == {200}
        assert arrivals_after(leaving, LEAVING_S) == 0
        assert other.runs


async def test_endpoint_that_asks_for_a_rest_has_it() -> None:
    async with open_fleet() as fleet:
        resting = Worker("plain")
        await start(fleet, resting, Worker("plain"), Worker("plain"))
        resting.sheds, resting.asks_rest_s = True, REST_S
        statuses = await call_for(fleet, REST_S, "/safe/x")
        assert set(statuses) == {200}
        assert most_in_a_rest(resting, REST_S) <= MOST_IN_A_REST


async def test_engine_that_asks_for_a_rest_has_it() -> None:
    async with open_fleet() as fleet:
        resting = Worker("model", "decode")
        resting.offers_holds = False
        await start(fleet, resting, Worker("model", "decode"), Worker("model", "prefill"))
        resting.sheds, resting.asks_rest_s = True, REST_S
        statuses = await call_for(fleet, REST_S, "/stream/x", headers=STREAM)
        assert set(statuses) == {200}
        assert most_in_a_rest(resting, REST_S) <= MOST_IN_A_REST


async def test_no_call_at_all_follows_the_word_that_an_endpoint_leaves() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start(fleet, leaving, Worker("plain"))
        leaving.says_leaving = True
        for _ in range(30):
            assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 200
        assert len(leaving.arrivals) == 1


async def test_entry_that_lapses_and_returns_takes_nothing_back() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start(fleet, leaving, Worker("plain"))
        leaving.says_leaving = True
        while not leaving.arrivals:
            await fleet.caller().ask("/safe/x")
        fleet.unregister(leaving)
        endpoints = fleet.instances[0].capacity.endpoints
        await fleet.until(lambda: leaving.name not in endpoints)
        fleet.register(leaving)
        await fleet.until(lambda: leaving.name in endpoints)
        for _ in range(20):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(leaving.arrivals) == 1


async def test_nothing_is_kept_open_to_an_endpoint_that_leaves() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start(fleet, leaving)
        for _ in range(3):
            await fleet.caller().ask("/safe/x")
        assert leaving.open_connections == 1
        leaving.says_leaving = True
        await fleet.caller().ask("/safe/x")
        await fleet.until(lambda: leaving.open_connections == 0, 1.0)


async def test_stream_under_way_goes_on_at_an_endpoint_that_leaves() -> None:
    async with open_fleet() as fleet:
        engine, other = Worker("model", "decode"), Worker("plain")
        engine.events, engine.event_s = 20, 0.03
        await start(fleet, engine, other)
        caller = fleet.caller()
        await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
        await fleet.until(lambda: engine.runs)
        engine.says_leaving = True
        # Another stream's answer says so.
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).whole
        reply = await caller.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert len(engine.runs) == 2
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).status == 503


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
async def test_where_all_rest_callers_are_refused_at_once_until_the_end(path: str) -> None:
    async with open_fleet() as fleet:
        workers = [Worker("plain"), Worker("plain")]
        await start(fleet, *workers)
        for worker in workers:
            worker.sheds, worker.asks_rest_s = True, 3.0
        while not all(worker.arrivals for worker in workers):
            await fleet.caller().ask(path)
        began_at = trio.current_time()
        reply = await fleet.caller().ask(path)
        assert trio.current_time() - began_at < AT_ONCE_S
        assert reply.status == 503
        assert 2.0 < float(reply.headers["retry-after"]) <= 3.0


async def test_where_all_leave_callers_are_refused_at_once() -> None:
    async with open_fleet() as fleet:
        worker, engine = Worker("plain"), Worker("model", "decode")
        await start(fleet, worker, engine)
        worker.says_leaving = engine.says_leaving = True
        for path, headers in (("/safe/x", {}), ("/stream/x", STREAM)):
            assert (await fleet.caller().ask(path, headers=headers)).status == 200
            began_at = trio.current_time()
            assert (await fleet.caller().ask(path, headers=headers)).status == 503
            assert trio.current_time() - began_at < AT_ONCE_S


async def test_where_all_engines_rest_for_long_streams_are_refused_at_once() -> None:
    async with open_fleet() as fleet:
        engine = Worker("model", "decode")
        await start(fleet, engine)
        engine.sheds, engine.asks_rest_s = True, 20.0
        await fleet.caller().ask("/stream/x", headers=STREAM)
        assert engine.refused_holds + len(engine.arrivals) >= 1
        arrived = engine.refused_holds + len(engine.arrivals)
        began_at = trio.current_time()
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).status == 503
        assert trio.current_time() - began_at < AT_ONCE_S
        assert engine.refused_holds + len(engine.arrivals) == arrived


async def test_after_a_rest_an_endpoint_is_found_again() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        worker.sheds, worker.asks_rest_s = True, 0.5
        assert (await fleet.caller().ask("/safe/x")).status == 503
        worker.sheds = False
        await trio.sleep(0.55)
        statuses = await call_for(fleet, 0.5, "/safe/x")
        assert set(statuses) == {200}


async def test_engine_that_took_another_role_is_used_in_it() -> None:
    async with open_fleet() as fleet:
        engine, prefill = Worker("model", "decode"), Worker("model", "prefill")
        engine.offers_holds = False
        await start(fleet, engine, prefill)
        # It has taken another role, and its entry does not say so yet.
        name, engine.name = engine.name, "another"
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).status == 503
        engine.name, engine.stage = name, "prefill"
        prefill.stage = "decode"
        prefill.offers_holds = False
        fleet.register(engine)
        fleet.register(prefill)
        endpoints = fleet.instances[0].capacity.endpoints
        await fleet.until(lambda: endpoints[prefill.name].role is Role.DECODE)
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).status == 200
        assert len(engine.handles) == 1
