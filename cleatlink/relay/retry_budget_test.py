"""Test that all instances together stay within the retry budget of a service."""

import pytest
import trio

from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.extra_arrivals import (
    BudgetLimits,
    BudgetUse,
    SentRequest,
    WorkerArrival,
    find_fullest_window,
)
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

LIMITS = BudgetLimits(0.2, 20.0)
INSTANCE_COUNT = 4
MANY = 10_000


class FailingFleet:
    """A fleet whose plain workers answer each call with an error, which instances retry."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.sent: list[SentRequest] = []

    async def start(self) -> None:
        """Start the instances, and wait until they know each other."""
        self.fleet.retry_allowance = LIMITS.allowance
        workers = [Worker("plain", slots=100) for _ in range(3)]
        for worker in workers:
            worker.faults = [Fault.ERROR] * MANY
        await start(self.fleet, *workers)
        for number in range(1, INSTANCE_COUNT):
            self.fleet.start_instance("abc"[number % 3])
        await self.wait_connected()
        # An instance has its whole share one window after its start.
        await trio.sleep(LIMITS.window_s)

    async def wait_connected(self) -> None:
        """Wait until all instances are ready and know each other."""
        await self.fleet.wait_ready()
        await self.fleet.wait_until(
            lambda: all(
                item.status()["instances"] == INSTANCE_COUNT for item in self.fleet.instances
            )
        )

    async def send(self, count: int) -> None:
        """Send a number of requests to each instance."""
        for index in range(INSTANCE_COUNT):
            caller = self.fleet.caller(index)
            for _ in range(count):
                self.sent.append(SentRequest("plain", trio.current_time()))
                assert (await caller.ask("/safe/x")).status == 500
            caller.close()

    async def kill(self, *indices: int) -> None:
        """Kill instances at the same moment and start them again."""
        for index in indices:
            self.fleet.kill_instance(index)
        await trio.sleep(0.3)
        for index in indices:
            await self.fleet.restart_instance(index)
        await self.wait_connected()

    def fullest_window(self) -> BudgetUse:
        """Return the window in which the budget was used most."""
        use = find_fullest_window("plain", self.fleet.arrival_records(), self.sent, LIMITS)
        assert use is not None
        return use

    def count_extra_arrivals(self) -> int:
        """Return the number of arrivals beyond the first of each request so far."""
        return len(self.fleet.arrival_records()) - len(self.sent)


async def test_killed_instances_spend_the_retry_budget_again() -> None:
    async with open_fleet() as fleet:
        failing = FailingFleet(fleet)
        await failing.start()
        for _ in range(3):
            await failing.send(6)
            await failing.kill(1, 2, 3)
        await failing.send(6)
        assert failing.fullest_window().excess <= 0


async def test_instances_killed_together_forget_what_they_spent() -> None:
    async with open_fleet() as fleet:
        failing = FailingFleet(fleet)
        await failing.start()
        for _ in range(3):
            await failing.send(6)
            await failing.kill(0, 1, 2, 3)
        await failing.send(6)
        assert failing.fullest_window().excess <= 0
        await trio.sleep(LIMITS.window_s)
        before = failing.count_extra_arrivals()
        await failing.send(6)
        assert failing.count_extra_arrivals() - before >= INSTANCE_COUNT


async def test_restarted_instance_has_no_retry_although_none_was_spent() -> None:
    async with open_fleet() as fleet:
        failing = FailingFleet(fleet)
        await failing.start()
        await failing.kill(1)
        await trio.sleep(0.1)
        before = failing.count_extra_arrivals()
        await failing.send(1)
        assert failing.count_extra_arrivals() - before == INSTANCE_COUNT


async def test_instance_killed_twice_spends_again_what_its_first_process_spent() -> None:
    async with open_fleet() as fleet:
        failing = FailingFleet(fleet)
        await failing.start()
        await failing.send(6)
        for _ in range(2):
            await failing.kill(1)
            await trio.sleep(0.1)
        before = failing.count_extra_arrivals()
        caller = fleet.caller(1)
        assert (await caller.ask("/safe/x")).status == 500
        assert len(fleet.arrival_records()) - len(failing.sent) - before == 1


async def test_decode_after_an_unread_prefill_costs_no_retry() -> None:
    async with open_fleet() as fleet:
        fleet.retry_ratio = fleet.retry_allowance = 0.0
        prefill, first, second = engines()
        prefill.faults = [Fault.RESET_BEFORE] * MANY
        await start(fleet, prefill, first, second)
        reply = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=STREAM)
        assert reply.status == 503
        assert not first.runs + second.runs


def test_extra_arrivals_are_counted_over_all_instances() -> None:
    arrivals = [
        WorkerArrival("r1", "s", 1.0, has_begun_prefill=True),
        WorkerArrival("r1", "s", 1.1),
        WorkerArrival("r2", "s", 2.0),
        WorkerArrival("r2", "s", 2.1),
        WorkerArrival("r3", "s", 3.0),
        WorkerArrival("r3", "s", 3.1, has_begun_prefill=True),
        WorkerArrival("r3", "s", 3.2),
        WorkerArrival("r4", "other", 3.0),
        WorkerArrival("r4", "other", 3.1),
    ]
    sent = [SentRequest("s", at) for at in (1.0, 2.0, 3.0)]
    use = find_fullest_window("s", arrivals, sent, BudgetLimits(0.5, 0.0))
    assert use == BudgetUse(3.2, 2, 3, 1.5)
    assert find_fullest_window("s", arrivals[:2], sent, BudgetLimits(0.5, 0.0)) is None
