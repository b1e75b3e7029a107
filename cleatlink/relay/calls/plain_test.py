"""Tests of plain calls through complete relay instances, over real connections."""

from typing import Any

import eliot
import pytest
import trio

from standins.relay import Fault, Worker
from standins.relay.example_fleet import runs, start, start_with_measured_service_times
from standins.relay.fleet import open_fleet
from standins.relay.raw_client import Reply

pytestmark = pytest.mark.virtual_time


async def test_call_and_answer_are_forwarded_unchanged() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        reply = await caller.ask("/safe/a%2Fb/?", "pUT", body=b"x\r\n", headers={"X-Own": "Yes"})
        assert (reply.status, reply.body, reply.is_complete) == (200, b"served", True)
        assert reply.headers["server-stamp"] == f"stamp.{worker.name}"
        call = worker.arrivals[0]
        assert (call.method, call.target, call.body) == ("pUT", "/safe/a%2Fb/?", b"x\r\n")
        assert call.headers["x-own"] == "Yes"
        assert call.headers["expected-instance"] == worker.name
        assert 0 < int(call.headers["deadline-milliseconds"]) <= 2000
        assert not {"user-agent", "accept-encoding", "connection"} & call.headers.keys()


async def test_relay_headers_from_callers_are_removed() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        forged = {"Stage": "prefill", "Cache-Source": "1.2.3.4:5/x", "Hold": "h"}
        reply = await fleet.caller().ask("/safe/x", headers=forged)
        assert reply.status == 200
        assert not {"stage", "cache-source", "hold"} & worker.arrivals[0].headers.keys()


async def test_connection_header_does_not_remove_the_headers_that_identify_the_request() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        reply = await fleet.caller().ask(
            "/safe/x",
            headers={"Connection": "attempt-id, model, x-hop", "X-Hop": "1", "Model": "m"},
        )
        assert reply.status == 200
        headers = worker.arrivals[0].headers
        assert headers["model"] == "m"
        assert "x-hop" not in headers


async def test_unknown_route_is_404_and_missing_route_table_is_503() -> None:
    async with open_fleet() as fleet:
        fleet.start_instance()
        caller = fleet.caller()
        await trio.sleep(0.3)
        reply = await caller.ask("/safe/x")
        assert (reply.status, "retry-after" in reply.headers) == (503, True)
        assert (await fleet.readiness_client().ask("/")).status == 503
        fleet.add_route("/safe/", "safe", "plain")
        fleet.configure()
        await fleet.wait_ready()
        assert (await caller.ask("/nowhere/x")).status == 404
        assert (await caller.ask("/safe/x", host="other.example")).status == 404
        assert (await fleet.readiness_client().ask("/")).status == 200


@pytest.mark.parametrize(
    "fault",
    [
        Fault.ERROR,
        Fault.FULL,
        Fault.RESET_BEFORE,
        Fault.RESET_AFTER,
        Fault.NO_RESPONSE,
        Fault.GARBAGE,
        Fault.WRONG_REQUEST_ID,
        Fault.UNSIGNED,
        Fault.TRUNCATED,
    ],
)
async def test_safe_call_is_retried_at_another_worker_after_a_fault(fault: Fault) -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        for _ in range(4):
            first.faults, second.faults = [fault], []
            first.runs.clear()
            reply = await fleet.caller().ask("/safe/x")
            assert (reply.status, reply.body) == (200, b"served")


@pytest.mark.parametrize(
    ("fault", "status"),
    [
        (Fault.RESET_AFTER, 502),
        (Fault.GARBAGE, 502),
        (Fault.WRONG_REQUEST_ID, 502),
        (Fault.UNSIGNED, 502),
        (Fault.TRUNCATED, 502),
        (Fault.NO_RESPONSE, 504),
        (Fault.ERROR, 500),
    ],
)
async def test_unsafe_call_runs_once_and_is_never_called_not_run(fault: Fault, status: int) -> None:
    async with open_fleet() as fleet:
        workers = Worker("plain"), Worker("plain")
        await start(fleet, *workers)
        for worker in workers:
            worker.faults = [fault]
        caller = fleet.caller()
        request = await caller.send("/unsafe2/x", "POST", body=b"b")
        reply = await caller.receive()
        assert reply.status == status or (fault is Fault.NO_RESPONSE and reply.status == 502)
        assert runs(fleet, request) == 1
        assert "retry-after" not in reply.headers or reply.status in (502, 504)


async def test_unsafe_call_that_did_not_run_is_retried_only_if_the_route_allows() -> None:
    async with open_fleet() as fleet:
        workers = Worker("plain"), Worker("plain")
        await start(fleet, *workers)
        for worker in workers:
            worker.faults = [Fault.FULL]
        reply = await fleet.caller().ask("/unsafe/x", "POST", body=b"b")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        for worker in workers:
            worker.faults = []
        workers[0].faults = [Fault.FULL]
        await trio.sleep(0.2)
        request = "given"
        reply = await fleet.caller().ask(
            "/unsafe2/x", "POST", body=b"b", headers={"Attempt-Id": request}
        )
        assert reply.status == 200
        assert runs(fleet, request) == 1


async def test_surplus_answer_is_not_delivered_to_the_next_call() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        for _ in range(5):
            worker.faults = [Fault.EXTRA_RESPONSE]
            assert (await caller.ask("/safe/x")).body == b"served"
            assert (await caller.ask("/unsafe/x", "POST", body=b"b")).body == b"served"


async def test_disconnect_of_the_caller_cancels_the_work() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.run_duration_s = 1.5
        await start(fleet, worker)
        caller = fleet.caller()
        await caller.send("/unsafe/x", "POST", body=b"b")
        await fleet.wait_until(lambda: bool(worker.runs))
        disconnected_at = trio.current_time()
        caller.close()
        await fleet.wait_until(lambda: worker.runs[0].connection_closed)
        assert trio.current_time() - disconnected_at < 0.4


async def test_call_ends_at_the_route_timeout() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.run_duration_s = 5.0
        await fleet.add_worker(worker)
        fleet.add_route("/slow/", "unsafe", "plain", timeout_ms=300)
        fleet.configure()
        fleet.start_instance()
        await fleet.wait_ready()
        started_at = trio.current_time()
        reply = await fleet.caller().ask("/slow/x", "POST", body=b"b")
        assert reply.status in (502, 504)
        assert 0.25 < trio.current_time() - started_at < 0.6


async def test_address_reused_by_another_endpoint_does_not_count_as_an_attempt() -> None:
    async with open_fleet() as fleet:
        same_zone, other_zone = Worker("plain", zone="a"), Worker("plain", zone="b")
        await start(fleet, same_zone, other_zone)
        same_zone.name = "another"
        reply = await fleet.caller().ask("/unsafe/x", "POST", body=b"b")
        assert reply.status == 200
        assert (len(same_zone.arrivals), len(same_zone.runs), len(other_zone.runs)) == (1, 0, 1)


async def test_internal_error_fails_only_the_request_that_met_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))

        def raise_error(*_: object) -> None:
            raise ValueError("a fault")

        with monkeypatch.context() as patch:
            patch.setattr("cleatlink.relay.calls.plain.choose_plain", raise_error)
            assert (await fleet.caller().ask("/safe/x")).status == 500
        assert (await fleet.caller().ask("/safe/x")).status == 200


async def test_calls_to_a_slow_service_are_not_sent_twice() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        first.run_duration_s = second.run_duration_s = 0.3
        await start(fleet, first, second)
        caller = fleet.caller()
        # The first safe call abandons a worker after 0.24 s; later calls know the usual duration.
        for _ in range(8):
            assert (await caller.ask("/safe/x")).status == 200
        assert len(first.runs) + len(second.runs) <= 10


@pytest.mark.parametrize("target_ms", [400, 5000])
async def test_silent_worker_is_abandoned_before_the_usual_duration_is_known(
    target_ms: int,
) -> None:
    """Guards against a 504 where the first call of a service is sent to a silent worker.

    The usual duration of a call was not known yet, and the route's latency target was not used in
    its place, so the call waited until its deadline.
    """
    async with open_fleet() as fleet:
        workers = Worker("plain"), Worker("plain")
        await start(fleet, *workers)
        fleet.add_route("/new/", "safe", "plain", target_latency_ms=target_ms)
        version = fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        for worker in workers:
            worker.faults = [Fault.NO_RESPONSE]
        replies: list[Reply] = []

        async def ask() -> None:
            replies.append(await fleet.caller().ask("/new/x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await fleet.wait_until(lambda: any(worker.arrivals for worker in workers))
            for worker in workers:
                worker.faults = []
        assert [reply.status for reply in replies] == [200]
        assert [len(worker.arrivals) for worker in workers] == [1, 1]


async def test_silent_worker_of_a_fast_service_is_abandoned_quickly() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        caller = fleet.caller()
        for _ in range(5):
            await caller.ask("/safe/x")
        first.faults, second.faults = [Fault.NO_RESPONSE], []
        first.run_duration_s = second.run_duration_s = 0.01
        for _ in range(4):
            started_at = trio.current_time()
            assert (await caller.ask("/safe/x")).status == 200
            assert trio.current_time() - started_at < 0.35


async def test_logged_silence_starts_when_the_call_was_sent() -> None:
    """Guards against a log line that reported hours of silence for a call without a body."""
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        async with open_fleet() as fleet:
            first, second = Worker("plain"), Worker("plain")
            caller = await start_with_measured_service_times(fleet, first, second)
            first.faults = [Fault.NO_RESPONSE]
            while first.faults:
                assert (await caller.ask("/safe/x")).status == 200
    finally:
        eliot.remove_destination(lines.append)
    silent = [
        line
        for line in lines
        if line["message_type"] == "relay: endpoint is silent, looking for another"
    ]
    assert [100 <= line["silent_ms"] <= 400 for line in silent] == [True]


async def test_call_is_not_retried_while_bytes_of_the_answer_arrive() -> None:
    """Guards against abandoning a large answer on a slow link and retrying at another worker."""
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        caller = await start_with_measured_service_times(fleet, first, second)
        for worker in (first, second):
            worker.body = b"x" * 10_000
            worker.response_parts, worker.part_pause_s = 10, 0.1
        reply = await caller.ask("/safe/x")
        assert (reply.status, reply.body) == (200, first.body)
        assert len(first.arrivals) + len(second.arrivals) == 1


async def test_first_call_of_a_service_is_not_retried_while_bytes_of_the_answer_arrive() -> None:
    """Guards against abandoning an answer in progress at the route's target (0.4 s)."""
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        for worker in (first, second):
            worker.response_parts, worker.part_pause_s = 10, 0.1
        await start(fleet, first, second)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(first.arrivals) + len(second.arrivals) == 1


async def test_worker_that_goes_silent_within_its_answer_is_abandoned() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        caller = await start_with_measured_service_times(fleet, first, second)
        for worker in (first, second):
            worker.response_parts, worker.part_pause_s = 2, 10.0
        sent_at = trio.current_time()
        replies: list[Reply] = []

        async def ask() -> None:
            replies.append(await caller.ask("/safe/x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await fleet.wait_until(lambda: bool(first.arrivals or second.arrivals))
            silent, other = (first, second) if first.arrivals else (second, first)
            other.response_parts = 1
        assert [reply.status for reply in replies] == [200]
        assert trio.current_time() - sent_at < 0.35
        assert (len(silent.arrivals), len(other.arrivals)) == (1, 1)


async def test_answer_behind_a_second_copy_of_a_rejection_is_delivered() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        for _ in range(5):
            worker.faults = [Fault.REPEATED_REJECTION]
            assert (await caller.ask("/unsafe/x", "POST", body=b"b")).status == 503
            await trio.sleep(0.5)
            reply = await caller.ask("/unsafe/x", "POST", body=b"b")
            assert (reply.status, reply.body) == (200, b"served")
            assert (await caller.ask("/unsafe/x", "POST", body=b"b")).status == 200
        assert worker.rejections.repeated > 2
