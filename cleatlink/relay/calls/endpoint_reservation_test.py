"""Tests of reservations at a decode endpoint before the prompt of a stream is computed."""

import pytest
import trio

from cleatlink.routing.mechanisms import Mechanism
from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

HOLDS = {"hold_ms": 2000}


async def start_with_holds(fleet: Fleet, *workers: Worker) -> None:
    await start(fleet, *workers)
    version = fleet.configure(HOLDS)
    records = fleet.instances[0].records
    await fleet.wait_until(lambda: records.table_revision == version)


async def request_status(fleet: Fleet, path: str = "/stream/x") -> int:
    return (await fleet.caller().ask(path, "POST", body=b"p", headers=STREAM)).status


async def test_reservation_is_made_and_used() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start_with_holds(fleet, prefill, first, second)
        assert await request_status(fleet) == 200
        chosen = first if first.runs else second
        # Tokens of the prompt, and half of those estimated for the answer.
        assert chosen.granted_reservation_tokens == [125]
        assert "hold" in chosen.runs[0].call.headers
        assert not chosen.reservations
        assert not chosen.cancelled_reservations
        assert not prefill.granted_reservation_tokens


async def test_prompt_is_not_computed_for_a_full_decode_endpoint() -> None:
    async with open_fleet() as fleet:
        prefill, full, free = engines()
        full.reservable_tokens = 0
        # The instance does not know of the load from elsewhere that fills this endpoint.
        full.faults = [Fault.FULL] * 9
        await start_with_holds(fleet, prefill, full, free)
        for _ in range(6):
            assert await request_status(fleet) == 200
        assert len(free.runs) == 6
        assert full.arrivals == []
        assert len(prefill.arrivals) == 6


async def test_stream_is_refused_before_its_prompt_if_all_decode_endpoints_are_full() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        first.reservable_tokens = second.reservable_tokens = 0
        await start_with_holds(fleet, prefill, first, second)
        began_at = trio.current_time()
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"p", headers=STREAM)
        assert (reply.status, "retry-after" in reply.headers) == (503, True)
        # Few requests are rejected: the back-off of a full endpoint grows with each rejection.
        assert trio.current_time() - began_at < 1.5
        assert prefill.arrivals == []
        assert 2 <= first.rejected_reservations + second.rejected_reservations <= 8


async def test_reservation_is_cancelled_when_the_caller_disconnects() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        prefill.run_duration_s = 0.5
        await start_with_holds(fleet, prefill, first, second)
        caller = fleet.caller()
        await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
        await fleet.wait_until(lambda: bool(first.reservations or second.reservations))
        caller.close()
        await fleet.wait_until(lambda: not first.reservations and not second.reservations, 0.4)


async def test_engine_without_reservations_serves_streams() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        first.offers_reservations = second.offers_reservations = False
        await start_with_holds(fleet, prefill, first, second)
        assert await request_status(fleet) == 200
        assert all("hold" not in run.call.headers for run in first.runs + second.runs)


async def test_reused_address_is_detected_before_the_prompt_is_computed() -> None:
    async with open_fleet() as fleet:
        prefill, gone, other = engines()
        await start_with_holds(fleet, prefill, gone, other)
        gone.name = "i-successor"
        for _ in range(4):
            assert await request_status(fleet) == 200
        assert len(prefill.arrivals) == 4
        assert gone.runs == []


async def test_no_reservation_is_requested_with_the_mechanism_off() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start_with_holds(fleet, prefill, first, second)
        fleet.start_instance("a", Mechanism.CAPACITY_RESERVATIONS)
        await fleet.wait_ready()
        reply = await fleet.caller(1).ask("/stream/x", "POST", body=b"p", headers=STREAM)
        assert (
            reply.status,
            first.granted_reservation_tokens,
            second.granted_reservation_tokens,
        ) == (200, [], [])
