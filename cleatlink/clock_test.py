"""An instance whose machine was suspended accounts for the time that passed.

After the machine resumes, timeouts that passed expire, state with a limited lifetime is dropped,
and a leader does not lead again until it has received messages from its peers.
"""

import ast
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

import cleatlink
from cleatlink.clock import SuspendAwareClock, unix_ms
from cleatlink.core.data import Role
from cleatlink.quarantine import NO_PROMPT, Suspect
from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

ROOT = Path(cleatlink.__file__).parent
# Functions of the time module that only the clock module may call.
TIME_FUNCTIONS = {"time", "monotonic", "perf_counter", "clock_gettime", "time_ns", "monotonic_ns"}
SUSPENSION_S = 20.0
# A task detects the suspension at its next step; idle tasks run every quarter of a second.
DETECTION_S = 0.5


class JumpingClock(SuspendAwareClock):
    """A clock that a test advances to simulate a suspended machine."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def current_time(self) -> float:
        """Return the time, including the simulated suspensions."""
        return super().current_time() + self.suspended_s


def run(scenario: Callable[[Fleet, JumpingClock], Awaitable[None]]) -> None:
    """Run a scenario on a fleet that uses a jumping clock."""
    clock = JumpingClock()

    async def main() -> None:
        async with open_fleet() as fleet:
            await scenario(fleet, clock)

    trio.run(main, clock=clock)


def test_clock_advances_and_counts_suspensions() -> None:
    clock = SuspendAwareClock()
    started_at = clock.current_time()
    assert 0 <= clock.current_time() - started_at < 1
    assert abs(clock.current_time() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 1
    assert 0.9 < clock.deadline_to_sleep_time(clock.current_time() + 1) <= 1
    assert abs(unix_ms() / 1000 - time.time()) < 1


def test_only_the_clock_module_reads_the_time() -> None:
    violations = []
    for path in sorted(ROOT.rglob("*.py")):
        if path.name.endswith("_test.py") or path == ROOT / "clock.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import) and any(item.name == "time" for item in node.names):
                violations.append(f"{path}:{node.lineno}")
            if isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
                violations.append(f"{path}:{node.lineno}")
            if isinstance(node, ast.Attribute) and node.attr in TIME_FUNCTIONS - {"time"}:
                violations.append(f"{path}:{node.lineno}")
    assert violations == []


def test_running_call_ends_at_its_deadline() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        worker = Worker("plain")
        worker.run_duration_s = 300.0
        await start(fleet, worker)
        caller = fleet.caller()
        await caller.send("/unsafe/x", "POST", body=b"x")
        await fleet.wait_until(lambda: worker.runs)
        clock.suspended_s += SUSPENSION_S
        with trio.fail_after(DETECTION_S):
            assert (await caller.receive()).status == 504

    run(scenario)


def test_queued_call_is_not_sent_after_its_deadline() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        fleet.configure({"slots": 1})
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == 7)
        for decode in (first, second):
            decode.silent_from_event, decode.silent_s = 3, 300.0
        for _ in range(2):
            await fleet.caller().send("/stream/x", "POST", body=b"x", headers=STREAM)
        await fleet.wait_until(lambda: len(first.runs) + len(second.runs) == 2)
        queued = fleet.caller()
        await queued.send("/stream/x", "POST", body=b"waits", headers=STREAM)
        await trio.sleep(0.05)
        clock.suspended_s += SUSPENSION_S
        with trio.fail_after(DETECTION_S):
            assert (await queued.receive()).status in (503, 504)
        assert len(first.runs) + len(second.runs) == 2

    run(scenario)


def test_leader_steps_down_and_sends_no_orders_before_it_has_received_messages_of_peers() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        for _ in range(2):
            fleet.start_instance()
        await fleet.wait_ready()
        await fleet.wait_until(lambda: any(item.is_leader for item in fleet.instances), 15.0)
        has_leader: list[bool] = []
        clock.suspended_s += SUSPENSION_S
        # All three were suspended together: none may rely on messages received before.
        with trio.move_on_after(DETECTION_S):
            while True:
                has_leader.append(any(item.is_leader for item in fleet.instances))
                await trio.sleep(0.01)
        assert False in has_leader
        assert all(not worker.role_changes for worker in (prefill, first, second))
        await fleet.wait_until(lambda: any(item.is_leader for item in fleet.instances), 15.0)

    run(scenario)


def test_state_with_a_limited_lifetime_ages_during_a_suspension() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        worker = Worker("plain")
        await start(fleet, worker)
        instance = fleet.instances[0]
        assert (await fleet.caller().ask("/safe/x")).status == 200
        assert instance._pool._idle
        instance.capacity.note_role_change(worker.name, trio.current_time() + 5.0)
        identity = b"guilty"
        for number in range(3):
            endpoint = instance.capacity.endpoints[worker.name]
            instance._quarantine.record_crash(
                endpoint._replace(name=f"life-{number}"), [Suspect(identity, NO_PROMPT, 0.001)]
            )
            await trio.sleep(0.01)
        assert instance._quarantine.decide(identity).is_quarantined
        clock.suspended_s += 400.0
        now = trio.current_time()
        assert instance.capacity.role_changes_left_s(now) == {}
        assert instance.capacity.candidates("plain", Role.PLAIN, now)
        assert instance._quarantine.decide(identity).needs_trial
        await fleet.wait_until(lambda: not instance._pool._idle, DETECTION_S)

    run(scenario)


def test_planned_stop_ends_in_time_after_a_suspension() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        worker = Worker("plain")
        worker.run_duration_s = 300.0
        fleet.drain_s = 15.0
        await start(fleet, worker)
        caller = fleet.caller()
        await caller.send(
            "/unsafe/x", "POST", body=b"x", headers={"Deadline-Milliseconds": "90000"}
        )
        await fleet.wait_until(lambda: worker.runs)
        fleet.stop_events[0].set()
        await trio.sleep(0.1)
        clock.suspended_s += SUSPENSION_S
        with trio.fail_after(DETECTION_S):
            assert (await caller.receive()).status in (502, 504)
            await fleet.end_events[0].wait()

    run(scenario)


def test_call_is_not_retried_after_its_deadline() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        workers = [Worker("plain"), Worker("plain")]
        for worker in workers:
            worker.run_duration_s, worker.faults = 0.3, [Fault.RESET_AFTER]
        await start(fleet, *workers)
        caller = fleet.caller()
        await caller.send("/safe/x")
        await fleet.wait_until(lambda: any(worker.runs for worker in workers))
        clock.suspended_s += SUSPENSION_S
        with trio.fail_after(DETECTION_S):
            assert (await caller.receive()).status == 504
        await trio.sleep(0.5)
        assert sum(len(worker.runs) for worker in workers) == 1

    run(scenario)


def test_stream_completes_if_its_deadline_has_not_passed() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        prefill, first, second = engines()
        for decode in (first, second):
            decode.events, decode.event_interval_s = 10, 0.05
        await start(fleet, prefill, first, second)
        for route in fleet.routes:
            route["timeout_ms"] = 90_000
        version = fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        caller = fleet.caller()
        headers_with_deadline = {**STREAM, "Deadline-Milliseconds": "90000"}
        await caller.send("/stream/x", "POST", body=b"x", headers=headers_with_deadline)
        await fleet.wait_until(lambda: first.runs or second.runs)
        await trio.sleep(0.1)
        clock.suspended_s += SUSPENSION_S
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body.count(b"id: ") == 10

    run(scenario)


def test_suspension_ends_a_back_off_but_not_a_leaving_state() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        backing_off, leaving = Worker("plain"), Worker("plain")
        await start(fleet, backing_off, leaving)
        backing_off.rejects_work, backing_off.requested_backoff_s, leaving.announces_leaving = (
            True,
            10.0,
            True,
        )
        while not (backing_off.arrivals and leaving.arrivals):
            await fleet.caller().ask("/unsafe/x", "POST", body=b"x")
        arrived = len(leaving.arrivals)
        assert (await fleet.caller().ask("/safe/x")).status == 503
        backing_off.rejects_work = False
        clock.suspended_s += SUSPENSION_S
        await trio.sleep(DETECTION_S)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(leaving.arrivals) == arrived

    run(scenario)


def test_endpoint_restarted_during_a_suspension_is_used_in_its_new_incarnation() -> None:
    async def scenario(fleet: Fleet, clock: JumpingClock) -> None:
        worker = Worker("plain")
        worker.born = 1_700_000_000_000
        await start(fleet, worker)
        assert (await fleet.caller().ask("/safe/x")).status == 200
        # The endpoint restarts during the suspension: the instance receives all changes on resume.
        clock.suspended_s += SUSPENSION_S
        restarted = worker.successor()
        worker.close()
        await fleet.add_worker(restarted)
        instance = fleet.instances[0]
        name = f"{restarted.name}@{restarted.born}"
        await fleet.wait_until(lambda: name in instance.capacity.endpoints, 3.0)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(restarted.runs) == 5

    run(scenario)
