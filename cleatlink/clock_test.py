"""Time that stands still for a suspended machine has passed for everybody else.

After a wake nothing goes on as if no time had passed: waits that are over end, what is believed
for a time is no longer believed, and who led leads no more until it has heard the others.
"""

import ast
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

import cleatlink
from cleatlink.clock import SuspensionClock, unix_ms
from cleatlink.core.data import Role
from standins.relay import Fault, Worker
from standins.relay.example import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

ROOT = Path(cleatlink.__file__).parent
# Readings of time that are the clock's alone.
READINGS = {"time", "monotonic", "perf_counter", "clock_gettime", "time_ns", "monotonic_ns"}
SUSPENSION_S = 20.0
# A task notices a wake at its next step; idle ones have steps every quarter of a second.
NOTICED_S = 0.5


class JumpingClock(SuspensionClock):
    """The clock of a machine that a test suspends."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def current_time(self) -> float:
        """Give the time with the suspensions so far."""
        return super().current_time() + self.suspended_s


def run(play: Callable[[Fleet, JumpingClock], Awaitable[None]]) -> None:
    """Play with a fleet that lives by a clock that jumps."""
    clock = JumpingClock()

    async def main() -> None:
        async with open_fleet() as fleet:
            await play(fleet, clock)

    trio.run(main, clock=clock)


def test_clock_goes_on_and_counts_suspensions() -> None:
    clock = SuspensionClock()
    first = clock.current_time()
    assert 0 <= clock.current_time() - first < 1
    assert abs(clock.current_time() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 1
    assert 0.9 < clock.deadline_to_sleep_time(clock.current_time() + 1) <= 1
    assert abs(unix_ms() / 1000 - time.time()) < 1


def test_nothing_else_reads_time() -> None:
    faults = []
    for path in sorted(ROOT.rglob("*.py")):
        if path.name.endswith("_test.py") or path == ROOT / "clock.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import) and any(item.name == "time" for item in node.names):
                faults.append(f"{path}:{node.lineno}")
            if isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
                faults.append(f"{path}:{node.lineno}")
            if isinstance(node, ast.Attribute) and node.attr in READINGS - {"time"}:
                faults.append(f"{path}:{node.lineno}")
    assert faults == []


def test_call_in_progress_is_over_at_its_deadline() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        worker = Worker("plain")
        worker.work_s = 300.0
        await start(fleet, worker)
        caller = fleet.caller()
        await caller.send("/unsafe/x", "POST", body=b"x")
        await fleet.until(lambda: worker.runs)
        clock.suspended_s += SUSPENSION_S
        with trio.fail_after(NOTICED_S):
            assert (await caller.receive()).status == 504

    run(play)


def test_call_that_waits_for_room_is_not_sent_after_its_deadline() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        fleet.configure({"slots": 1})
        await fleet.until(lambda: fleet.instances[0].records.table_revision == 7)
        for decode in (first, second):
            decode.silent_from, decode.silent_s = 3, 300.0
        for _ in range(2):
            await fleet.caller().send("/stream/x", "POST", body=b"x", headers=STREAM)
        await fleet.until(lambda: len(first.runs) + len(second.runs) == 2)
        waiting = fleet.caller()
        await waiting.send("/stream/x", "POST", body=b"waits", headers=STREAM)
        await trio.sleep(0.05)
        clock.suspended_s += SUSPENSION_S
        with trio.fail_after(NOTICED_S):
            assert (await waiting.receive()).status in (503, 504)
        assert len(first.runs) + len(second.runs) == 2

    run(play)


def test_leader_leads_no_more_and_gives_no_order_before_it_has_heard_others() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        for _ in range(2):
            fleet.start_instance()
        await fleet.ready()
        await fleet.until(lambda: any(item.leads for item in fleet.instances), 15.0)
        seen: list[bool] = []
        clock.suspended_s += SUSPENSION_S
        # All three were suspended together: none may go by what it heard before.
        with trio.move_on_after(NOTICED_S):
            while True:
                seen.append(any(item.leads for item in fleet.instances))
                await trio.sleep(0.01)
        assert False in seen
        assert all(not worker.orders for worker in (prefill, first, second))
        await fleet.until(lambda: any(item.leads for item in fleet.instances), 15.0)

    run(play)


def test_what_is_believed_for_a_time_is_aged_by_what_passed() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        worker = Worker("plain")
        await start(fleet, worker)
        instance = fleet.instances[0]
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert instance._pool._idle
        instance.capacity.note_switching(worker.name, trio.current_time() + 5.0)
        identity = b"guilty"
        for number in range(3):
            endpoint = instance.capacity.endpoints[worker.name]
            instance._quarantine.note_crash(
                endpoint._replace(name=f"life-{number}"), {identity: 0.001}
            )
            await trio.sleep(0.01)
        assert instance._quarantine.judge(identity).is_held
        clock.suspended_s += 400.0
        now = trio.current_time()
        assert instance.capacity.switching(now) == {}
        assert instance.capacity.candidates("plain", Role.PLAIN, now)
        assert instance._quarantine.judge(identity).needs_trial
        await fleet.until(lambda: not instance._pool._idle, NOTICED_S)

    run(play)


def test_planned_stop_ends_when_the_platform_expects_it() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        worker = Worker("plain")
        worker.work_s = 300.0
        fleet.drain_s = 15.0
        await start(fleet, worker)
        caller = fleet.caller()
        await caller.send(
            "/unsafe/x", "POST", body=b"x", headers={"Deadline-Milliseconds": "90000"}
        )
        await fleet.until(lambda: worker.runs)
        fleet.stops[0].set()
        await trio.sleep(0.1)
        clock.suspended_s += SUSPENSION_S
        with trio.fail_after(NOTICED_S):
            assert (await caller.receive()).status in (502, 504)
            await fleet.ended[0].wait()

    run(play)


def test_call_is_not_retried_after_its_deadline() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        workers = [Worker("plain"), Worker("plain")]
        for worker in workers:
            worker.work_s, worker.faults = 0.3, [Fault.RESET_AFTER]
        await start(fleet, *workers)
        caller = fleet.caller()
        await caller.send("/safe/x")
        await fleet.until(lambda: any(worker.runs for worker in workers))
        clock.suspended_s += SUSPENSION_S
        with trio.fail_after(NOTICED_S):
            assert (await caller.receive()).status == 504
        await trio.sleep(0.5)
        assert sum(len(worker.runs) for worker in workers) == 1

    run(play)


def test_stream_whose_caller_still_waits_goes_on_to_its_end() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        prefill, first, second = engines()
        for decode in (first, second):
            decode.events, decode.event_s = 10, 0.05
        await start(fleet, prefill, first, second)
        for route in fleet.routes:
            route["timeout_ms"] = 90_000
        version = fleet.configure()
        await fleet.until(lambda: fleet.instances[0].records.table_revision == version)
        caller = fleet.caller()
        patient = {**STREAM, "Deadline-Milliseconds": "90000"}
        await caller.send("/stream/x", "POST", body=b"x", headers=patient)
        await fleet.until(lambda: first.runs or second.runs)
        await trio.sleep(0.1)
        clock.suspended_s += SUSPENSION_S
        reply = await caller.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body.count(b"id: ") == 10

    run(play)


def test_rest_is_over_by_the_time_that_passed_and_leaving_is_not() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        resting, leaving = Worker("plain"), Worker("plain")
        await start(fleet, resting, leaving)
        resting.sheds, resting.asks_rest_s, leaving.says_leaving = True, 10.0, True
        while not (resting.arrivals and leaving.arrivals):
            await fleet.caller().ask("/unsafe/x", "POST", body=b"x")
        arrived = len(leaving.arrivals)
        assert (await fleet.caller().ask("/safe/x")).status == 503
        resting.sheds = False
        clock.suspended_s += SUSPENSION_S
        await trio.sleep(NOTICED_S)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(leaving.arrivals) == arrived

    run(play)


def test_endpoint_that_returned_meanwhile_is_used_in_its_new_life() -> None:
    async def play(fleet: Fleet, clock: JumpingClock) -> None:
        worker = Worker("plain")
        worker.born = 1_700_000_000_000
        await start(fleet, worker)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        # It ends and begins anew while the instance stands still: all news comes at the wake.
        clock.suspended_s += SUSPENSION_S
        later = worker.successor()
        worker.close()
        await fleet.add_worker(later)
        instance = fleet.instances[0]
        name = f"{later.name}@{later.born}"
        await fleet.until(lambda: name in instance.capacity.endpoints, 3.0)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(later.runs) == 5

    run(play)
