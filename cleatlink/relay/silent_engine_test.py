"""Test streams whose engine is silent for a while and then continues.

Guards against this failure: a stopping instance broke off a resumable stream six seconds before
its deadline, although the engine was working. After a pause the instance first gave up the
engine and closed the connection, and only then looked for another engine; all were full:

    {"error":"TooSlowError()","message_type":"relay: endpoint failed the request"}
    {"waiting":0,"message_type":"relay: request refused: no decode endpoint has capacity"}
    {"message_type":"relay: cuts its answer off"}

The stop was not the cause: any pause had this effect while the other engines were full.
"""

import pytest
import trio

from standins.relay import Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Caller, Reply

pytestmark = pytest.mark.virtual_time

# Silence timeout that follows from the route's longest pause of 100 ms.
_SILENCE_TIMEOUT_S = 0.5
# Deadline longer than any stream in these tests.
_HEADERS = {**STREAM, "Deadline-Milliseconds": "9000"}


async def _start(fleet: Fleet, *workers: Worker) -> None:
    """Start an instance with a resumable route that has a short silence timeout."""
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
    await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)


async def _ask(fleet: Fleet) -> Reply:
    return await fleet.caller().ask("/quick/x", "POST", body=b"prompt", headers=_HEADERS)


async def _start_stream(fleet: Fleet, *decodes: Worker) -> Caller:
    """Request a stream, and return its caller once a decode endpoint runs it."""
    caller = fleet.caller()
    await caller.send("/quick/x", "POST", body=b"prompt", headers=_HEADERS)
    await fleet.wait_until(lambda: any(decode.runs for decode in decodes))
    return caller


def _event_ids(reply: Reply) -> list[bytes]:
    return [line for line in reply.body.split(b"\n") if line.startswith(b"id: ")]


_ALL_EVENT_IDS = [b"id: %d" % number for number in range(1, 6)]


async def test_silent_engine_keeps_stream_without_alternative() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.silent_from_event, decode.silent_s = 3, 1.2
        await _start(fleet, prefill, decode)
        reply = await _ask(fleet)
        assert (reply.status, reply.is_complete) == (200, True)
        assert _event_ids(reply) == _ALL_EVENT_IDS
        assert len(decode.runs) == 1


async def test_engine_that_resumes_before_replacement_is_ready_keeps_stream() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await _start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.silent_from_event, decode.silent_s = 3, 1.0
        caller = await _start_stream(fleet, first, second)
        # The first engine continues before the prefill for the other engine is done.
        prefill.run_duration_s = 3.0
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert _event_ids(reply) == _ALL_EVENT_IDS
        assert len(first.runs) + len(second.runs) == 1
        # Reservations made for the other engine are released.
        await fleet.wait_until(lambda: fleet.instances[0].capacity.own_reservations == {})
        assert sorted(first.reservations) + sorted(second.reservations) == []


async def test_stream_moves_only_after_prefill_for_replacement() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await _start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.silent_from_event = 3
        caller = await _start_stream(fleet, first, second)
        prefill.run_duration_s = 0.4
        for decode in (first, second):
            if not decode.runs:
                decode.silent_from_event = None
        silent = first if first.runs else second
        other = second if silent is first else first
        await trio.sleep(_SILENCE_TIMEOUT_S + 0.2)
        assert silent.runs[0].ended_at is None
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert _event_ids(reply) == _ALL_EVENT_IDS
        assert other.runs[0].call.headers["last-event-id"] == "2"
        assert "cache-source" in other.runs[0].call.headers
        await fleet.wait_until(lambda: fleet.instances[0].capacity.own_reservations == {})


async def test_caller_disconnect_during_search_frees_both_reservations() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await _start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.silent_from_event = 3
        caller = await _start_stream(fleet, first, second)
        prefill.run_duration_s = 3.0
        instance = fleet.instances[0]
        await fleet.wait_until(lambda: len(instance.capacity.own_reservations) == 3, within_s=1.5)
        caller.close()
        await fleet.wait_until(lambda: instance.capacity.own_reservations == {}, within_s=0.5)
        assert len(first.runs) + len(second.runs) == 1


async def test_stream_without_retry_budget_stays_at_silent_engine() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await _start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.silent_from_event, decode.silent_s = 3, 1.2
        budget = fleet.instances[0]._budgets.get_budget("model")
        budget.set_limits(0.0, 0.0, 10.0)
        reply = await _ask(fleet)
        assert (reply.status, reply.is_complete) == (200, True)
        assert len(first.runs) + len(second.runs) == 1


async def test_plain_call_waits_for_slow_endpoint_without_alternative() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        # Many times the duration of the calls so far, but well within the call's deadline.
        worker.run_duration_s = 0.9
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(worker.runs) == 6


async def test_plain_call_without_retry_budget_waits_for_slow_endpoint() -> None:
    async with open_fleet() as fleet:
        workers = Worker("plain"), Worker("plain")
        await start(fleet, *workers)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        fleet.instances[0]._budgets.get_budget("plain").set_limits(0.0, 0.0, 10.0)
        for worker in workers:
            worker.run_duration_s = 0.9
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert sum(len(worker.runs) for worker in workers) == 6
