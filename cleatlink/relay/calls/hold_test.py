"""Room that a decode endpoint holds for a stream before its prompt is computed."""

import pytest
import trio

from cleatlink.routing.mechanisms import Mechanism
from standins.relay import Fault, Worker
from standins.relay.example import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

HOLDS = {"hold_ms": 2000}


async def begin(fleet: Fleet, *workers: Worker) -> None:
    await start(fleet, *workers)
    version = fleet.configure(HOLDS)
    records = fleet.instances[0].records
    await fleet.until(lambda: records.table_revision == version)


async def ask(fleet: Fleet, path: str = "/stream/x") -> int:
    return (await fleet.caller().ask(path, "POST", body=b"p", headers=STREAM)).status


async def test_room_is_held_and_used() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await begin(fleet, prefill, first, second)
        assert await ask(fleet) == 200
        chosen = first if first.runs else second
        # The prompt, and half of the answer at most.
        assert chosen.held == [125]
        assert "hold" in chosen.runs[0].call.headers
        assert not chosen.holds
        assert not chosen.dropped_holds
        assert not prefill.held


async def test_prompt_is_not_computed_for_a_decode_that_has_no_room() -> None:
    async with open_fleet() as fleet:
        prefill, full, free = engines()
        full.room = 0
        # What others placed there is not known here.
        full.faults = [Fault.FULL] * 9
        await begin(fleet, prefill, full, free)
        for _ in range(6):
            assert await ask(fleet) == 200
        assert len(free.runs) == 6
        assert full.arrivals == []
        assert len(prefill.arrivals) == 6


async def test_stream_that_no_decode_has_room_for_is_refused_before_its_prompt() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        first.room = second.room = 0
        await begin(fleet, prefill, first, second)
        began_at = trio.current_time()
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"p", headers=STREAM)
        assert (reply.status, "retry-after" in reply.headers) == (503, True)
        # After few vain calls: an endpoint without room is left alone for longer each time.
        assert trio.current_time() - began_at < 1.5
        assert prefill.arrivals == []
        assert 2 <= first.refused_holds + second.refused_holds <= 8


async def test_room_is_given_back_when_the_caller_leaves() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        prefill.work_s = 0.5
        await begin(fleet, prefill, first, second)
        caller = fleet.caller()
        await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
        await fleet.until(lambda: bool(first.holds or second.holds))
        caller.close()
        await fleet.until(lambda: not first.holds and not second.holds, 0.4)


async def test_engine_that_holds_no_room_serves_all_the_same() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        first.offers_holds = second.offers_holds = False
        await begin(fleet, prefill, first, second)
        assert await ask(fleet) == 200
        assert all("hold" not in run.call.headers for run in first.runs + second.runs)


async def test_address_that_changed_hands_is_seen_before_the_prompt_is_computed() -> None:
    async with open_fleet() as fleet:
        prefill, gone, other = engines()
        await begin(fleet, prefill, gone, other)
        gone.name = "i-successor"
        for _ in range(4):
            assert await ask(fleet) == 200
        assert len(prefill.arrivals) == 4
        assert gone.runs == []


async def test_without_holds_no_room_is_asked_for() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await begin(fleet, prefill, first, second)
        fleet.start_instance("a", Mechanism.HOLDS)
        await fleet.ready()
        reply = await fleet.caller(1).ask("/stream/x", "POST", body=b"p", headers=STREAM)
        assert (reply.status, first.held, second.held) == (200, [], [])
