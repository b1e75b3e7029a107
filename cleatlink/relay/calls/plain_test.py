"""Plain calls through whole instances of the relay, over real connections."""

from typing import Any

import eliot
import pytest
import trio

from standins.relay import Fault, Worker
from standins.relay.client import Reply
from standins.relay.example import runs, start, start_with_known_pace
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time


async def test_a_call_passes_as_it_came() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        reply = await caller.ask("/safe/a%2Fb/?", "pUT", body=b"x\r\n", headers={"X-Own": "Yes"})
        assert (reply.status, reply.body, reply.whole) == (200, b"served", True)
        assert reply.headers["server-stamp"] == f"stamp.{worker.name}"
        call = worker.arrivals[0]
        assert (call.method, call.target, call.body) == ("pUT", "/safe/a%2Fb/?", b"x\r\n")
        assert call.headers["x-own"] == "Yes"
        assert call.headers["expected-instance"] == worker.name
        assert 0 < int(call.headers["deadline-milliseconds"]) <= 2000
        assert not {"user-agent", "accept-encoding", "connection"} & call.headers.keys()


async def test_callers_cannot_set_the_relays_own_headers() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        forged = {"Stage": "prefill", "Cache-Source": "1.2.3.4:5/x", "Hold": "h"}
        reply = await fleet.caller().ask("/safe/x", headers=forged)
        assert reply.status == 200
        assert not {"stage", "cache-source", "hold"} & worker.arrivals[0].headers.keys()


async def test_connection_header_does_not_take_away_what_names_the_request() -> None:
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


async def test_unknown_route_is_404_and_no_table_is_503() -> None:
    async with open_fleet() as fleet:
        fleet.start_instance()
        caller = fleet.caller()
        await trio.sleep(0.3)
        before = await caller.ask("/safe/x")
        assert (before.status, "retry-after" in before.headers) == (503, True)
        assert (await fleet.prober().ask("/")).status == 503
        fleet.add_route("/safe/", "safe", "plain")
        fleet.configure()
        await fleet.ready()
        assert (await caller.ask("/nowhere/x")).status == 404
        assert (await caller.ask("/safe/x", host="other.example")).status == 404
        assert (await fleet.prober().ask("/")).status == 200


@pytest.mark.parametrize(
    "fault",
    [
        Fault.ERROR,
        Fault.FULL,
        Fault.RESET_BEFORE,
        Fault.RESET_AFTER,
        Fault.MUTE,
        Fault.GARBAGE,
        Fault.FOREIGN,
        Fault.UNSIGNED,
        Fault.CUT,
    ],
)
async def test_safe_call_is_served_by_another_worker(fault: Fault) -> None:
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
        (Fault.FOREIGN, 502),
        (Fault.UNSIGNED, 502),
        (Fault.CUT, 502),
        (Fault.MUTE, 504),
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
        assert reply.status == status or (fault is Fault.MUTE and reply.status == 502)
        assert runs(fleet, request) == 1
        assert "retry-after" not in reply.headers or reply.status in (502, 504)


async def test_unsafe_call_that_was_not_run_goes_elsewhere_only_if_its_route_allows() -> None:
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


async def test_extra_answer_goes_to_nobody() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        for _ in range(5):
            worker.faults = [Fault.EXTRA]
            assert (await caller.ask("/safe/x")).body == b"served"
            assert (await caller.ask("/unsafe/x", "POST", body=b"b")).body == b"served"


async def test_caller_that_leaves_ends_the_work() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.work_s = 1.5
        await start(fleet, worker)
        caller = fleet.caller()
        await caller.send("/unsafe/x", "POST", body=b"b")
        await fleet.until(lambda: bool(worker.runs))
        left_at = trio.current_time()
        caller.close()
        await fleet.until(lambda: worker.runs[0].dropped)
        assert trio.current_time() - left_at < 0.4


async def test_route_timeout_ends_a_call_in_time() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.work_s = 5.0
        await fleet.add_worker(worker)
        fleet.add_route("/slow/", "unsafe", "plain", timeout_ms=300)
        fleet.configure()
        fleet.start_instance()
        await fleet.ready()
        began_at = trio.current_time()
        reply = await fleet.caller().ask("/slow/x", "POST", body=b"b")
        assert reply.status in (502, 504)
        assert 0.25 < trio.current_time() - began_at < 0.6


async def test_address_that_changed_hands_is_no_attempt() -> None:
    async with open_fleet() as fleet:
        near, far = Worker("plain", zone="a"), Worker("plain", zone="b")
        await start(fleet, near, far)
        near.name = "another"
        reply = await fleet.caller().ask("/unsafe/x", "POST", body=b"b")
        assert reply.status == 200
        assert (len(near.arrivals), len(near.runs), len(far.runs)) == (1, 0, 1)


async def test_fault_of_the_program_ends_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))

        def fail(*_: object) -> None:
            raise ValueError("a fault")

        with monkeypatch.context() as patch:
            patch.setattr("cleatlink.relay.calls.plain.place_plain", fail)
            assert (await fleet.caller().ask("/safe/x")).status == 500
        assert (await fleet.caller().ask("/safe/x")).status == 200


async def test_slow_service_is_not_asked_twice() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        first.work_s = second.work_s = 0.3
        await start(fleet, first, second)
        caller = fleet.caller()
        # The first safe call leaves a worker after 0.24 s; later ones know better.
        for _ in range(8):
            assert (await caller.ask("/safe/x")).status == 200
        assert len(first.runs) + len(second.runs) <= 10


@pytest.mark.parametrize("target_ms", [400, 5000])
async def test_silent_worker_is_left_before_any_pace_is_known(target_ms: int) -> None:
    """The first call of a service met a silent worker and waited out its whole time (504).

    How long calls take was not known yet, and what the route promises was not asked.
    """
    async with open_fleet() as fleet:
        workers = Worker("plain"), Worker("plain")
        await start(fleet, *workers)
        fleet.add_route("/new/", "safe", "plain", target_latency_ms=target_ms)
        version = fleet.configure()
        await fleet.until(lambda: fleet.instances[0].records.table_revision == version)
        for worker in workers:
            worker.faults = [Fault.MUTE]
        replies: list[Reply] = []

        async def ask() -> None:
            replies.append(await fleet.caller().ask("/new/x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await fleet.until(lambda: any(worker.arrivals for worker in workers))
            for worker in workers:
                worker.faults = []
        assert [reply.status for reply in replies] == [200]
        assert [len(worker.arrivals) for worker in workers] == [1, 1]


async def test_silent_worker_is_still_left_where_calls_are_quick() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        caller = fleet.caller()
        for _ in range(5):
            await caller.ask("/safe/x")
        first.faults, second.faults = [Fault.MUTE], []
        first.work_s = second.work_s = 0.01
        for _ in range(4):
            began_at = trio.current_time()
            assert (await caller.ask("/safe/x")).status == 200
            assert trio.current_time() - began_at < 0.35


async def test_silence_is_logged_from_when_the_worker_was_asked() -> None:
    """The line `hears nothing` told a silence of hours for a call without a body."""
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        async with open_fleet() as fleet:
            first, second = Worker("plain"), Worker("plain")
            caller = await start_with_known_pace(fleet, first, second)
            first.faults = [Fault.MUTE]
            while first.faults:
                assert (await caller.ask("/safe/x")).status == 200
    finally:
        eliot.remove_destination(lines.append)
    silent = [line for line in lines if line["message_type"] == "relay: hears nothing"]
    assert [100 <= line["silent_ms"] <= 400 for line in silent] == [True]


async def test_answer_whose_bytes_keep_coming_is_not_asked_for_again() -> None:
    """A large answer over a narrow link was left halfway, and asked for at another worker."""
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        caller = await start_with_known_pace(fleet, first, second)
        for worker in (first, second):
            worker.body = b"x" * 10_000
            worker.answer_parts, worker.part_pause_s = 10, 0.1
        reply = await caller.ask("/safe/x")
        assert (reply.status, reply.body) == (200, first.body)
        assert len(first.arrivals) + len(second.arrivals) == 1


async def test_first_answer_of_a_service_whose_bytes_keep_coming_is_not_asked_for_again() -> None:
    """Where no pace was known yet, it was left at the route's target (0.4 s)."""
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        for worker in (first, second):
            worker.answer_parts, worker.part_pause_s = 10, 0.1
        await start(fleet, first, second)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(first.arrivals) + len(second.arrivals) == 1


async def test_worker_that_goes_silent_within_its_answer_is_left() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        caller = await start_with_known_pace(fleet, first, second)
        for worker in (first, second):
            worker.answer_parts, worker.part_pause_s = 2, 10.0
        asked_at = trio.current_time()
        replies: list[Reply] = []

        async def ask() -> None:
            replies.append(await caller.ask("/safe/x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await fleet.until(lambda: bool(first.arrivals or second.arrivals))
            silent, other = (first, second) if first.arrivals else (second, first)
            other.answer_parts = 1
        assert [reply.status for reply in replies] == [200]
        assert trio.current_time() - asked_at < 0.35
        assert (len(silent.arrivals), len(other.arrivals)) == (1, 1)
