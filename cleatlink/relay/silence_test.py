"""Streams whose engine is silent for a while, and then goes on.

A resumable stream was broken off in a stopping instance six seconds before its time was
over, with its engine at work. After a pause the instance gave the engine up first, closed
its connection, and only then looked for another; there was none with room:

    {"error":"TooSlowError()","message_type":"relay: failed at an endpoint"}
    {"waiting":0,"message_type":"relay: has no room"}
    {"message_type":"relay: breaks its answer off"}

It is no matter of stops: any pause did this while the other engines were full.
"""

import pytest
import trio

from standins.relay import Worker
from standins.relay.client import Caller, Reply
from standins.relay.example import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

# The route's longest pause of 100 ms makes half a second of silence too long.
_SILENCE_S = 0.5
# A caller that would wait for any of these answers.
_PATIENT = {**STREAM, "Deadline-Milliseconds": "9000"}


async def _start(fleet: Fleet, *workers: Worker) -> None:
    """Start an instance with a resumable route that is quick to lose patience."""
    await start(fleet, *workers)
    fleet.add_route(
        "/quick/",
        "streaming",
        "model",
        attempts=2,
        resumable=True,
        gap_target_ms=100,
        timeout_ms=9000,
    )
    version = fleet.configure()
    await fleet.until(lambda: fleet.instances[0].records.table_revision == version)


async def _ask(fleet: Fleet) -> Reply:
    return await fleet.caller().ask("/quick/x", "POST", body=b"prompt", headers=_PATIENT)


async def _begin(fleet: Fleet, *decodes: Worker) -> Caller:
    """Ask for a stream, and give its caller once one of the decodes runs it."""
    caller = fleet.caller()
    await caller.send("/quick/x", "POST", body=b"prompt", headers=_PATIENT)
    await fleet.until(lambda: any(decode.runs for decode in decodes))
    return caller


def _numbers(reply: Reply) -> list[bytes]:
    return [line for line in reply.body.split(b"\n") if line.startswith(b"id: ")]


_WHOLE = [b"id: %d" % number for number in range(1, 6)]


async def test_engine_that_pauses_is_kept_while_no_other_can_go_on() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.silent_from, decode.silent_s = 3, 1.2
        await _start(fleet, prefill, decode)
        reply = await _ask(fleet)
        assert (reply.status, reply.whole) == (200, True)
        assert _numbers(reply) == _WHOLE
        assert len(decode.runs) == 1


async def test_engine_that_speaks_before_another_is_ready_keeps_its_stream() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await _start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.silent_from, decode.silent_s = 3, 1.0
        caller = await _begin(fleet, first, second)
        # The prompt of the other one is not computed before the first speaks again.
        prefill.work_s = 3.0
        reply = await caller.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert _numbers(reply) == _WHOLE
        assert len(first.runs) + len(second.runs) == 1
        # What was begun for the other one is given back.
        await fleet.until(lambda: fleet.instances[0].capacity.own == {})
        assert sorted(first.holds) + sorted(second.holds) == []


async def test_engine_is_left_only_when_the_other_has_its_prompt() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await _start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.silent_from = 3
        caller = await _begin(fleet, first, second)
        prefill.work_s = 0.4
        for decode in (first, second):
            if not decode.runs:
                decode.silent_from = None
        silent = first if first.runs else second
        other = second if silent is first else first
        await trio.sleep(_SILENCE_S + 0.2)
        assert silent.runs[0].ended_at is None
        reply = await caller.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert _numbers(reply) == _WHOLE
        assert other.runs[0].call.headers["last-event-id"] == "2"
        assert "cache-source" in other.runs[0].call.headers
        await fleet.until(lambda: fleet.instances[0].capacity.own == {})


async def test_caller_that_leaves_during_the_search_frees_both_places() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await _start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.silent_from = 3
        caller = await _begin(fleet, first, second)
        prefill.work_s = 3.0
        instance = fleet.instances[0]
        await fleet.until(lambda: len(instance.capacity.own) == 3, within_s=1.5)
        caller.close()
        await fleet.until(lambda: instance.capacity.own == {}, within_s=0.5)
        assert len(first.runs) + len(second.runs) == 1


async def test_stream_without_budget_for_another_send_stays_where_it_is() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await _start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.silent_from, decode.silent_s = 3, 1.2
        budget = fleet.instances[0]._budgets.of("model")
        budget.change(0.0, 0.0, 10.0)
        reply = await _ask(fleet)
        assert (reply.status, reply.whole) == (200, True)
        assert len(first.runs) + len(second.runs) == 1


async def test_plain_call_waits_for_a_slow_endpoint_when_there_is_no_other() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        # Many times what calls took so far, and well within the call's time.
        worker.work_s = 0.9
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(worker.runs) == 6


async def test_plain_call_without_budget_waits_for_a_slow_endpoint() -> None:
    async with open_fleet() as fleet:
        workers = Worker("plain"), Worker("plain")
        await start(fleet, *workers)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        fleet.instances[0]._budgets.of("plain").change(0.0, 0.0, 10.0)
        for worker in workers:
            worker.work_s = 0.9
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert sum(len(worker.runs) for worker in workers) == 6
