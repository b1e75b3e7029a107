"""Limits that endpoints announce: which announcement applies, the queue of calls, many instances.

A simulation of many instances checks that they keep a limit together and use most of it.
"""

import random
from typing import NamedTuple

import pytest

from cleatlink.limits import PeerTotals
from cleatlink.routing.endpoint_limits import AnnouncedLimit, EndpointLimits

INCARNATION = "i-1"
# Length of the sliding window in which calls are counted, in seconds.
WINDOW_S = 4.0


def limits_with(rate_per_s: float = 2.0, now: float = 0.0) -> EndpointLimits:
    limits = EndpointLimits(0.0)
    limits.note_response(INCARNATION, rate_per_s, now)
    return limits


def test_calls_without_a_limit_are_neither_delayed_nor_counted() -> None:
    limits = EndpointLimits(0.0)
    assert limits.due_in_s(INCARNATION, 1.0) == 0.0
    assert limits.reserve("a", INCARNATION, 1.0) == 1.0
    limits.count_sent_call(INCARNATION, 1.0)
    assert limits.totals(1.0, include_unchanged=True) == {}
    assert limits.call_interval_s(INCARNATION) == 0.0


def test_reserved_calls_are_spaced_by_the_rate() -> None:
    limits = limits_with(2.0)
    assert [limits.reserve(key, INCARNATION, 10.0) for key in "abc"] == pytest.approx(
        [10.0, 10.2, 10.7]
    )
    assert limits.due_in_s(INCARNATION, 10.0) == pytest.approx(1.2)


def test_cancelled_reservation_frees_its_unit() -> None:
    limits = limits_with(2.0)
    for key in "abc":
        limits.reserve(key, INCARNATION, 10.0)
    limits.cancel_reservation("b", 10.0)
    limits.cancel_reservation("b", 10.0)
    assert limits.due_in_s(INCARNATION, 10.0) == pytest.approx(0.7)
    assert limits.totals(10.0) == {INCARNATION: 3}
    assert limits.returned(10.0) == {INCARNATION: 1}


def test_cancelling_after_the_call_was_sent_returns_no_unit() -> None:
    limits = limits_with(2.0)
    limits.reserve("a", INCARNATION, 10.0)
    limits.count_sent_call(INCARNATION, 10.0)
    limits.cancel_reservation("a", 10.1)
    assert limits.totals(10.1) == {INCARNATION: 1}
    assert limits.returned(10.1) == {}


def test_call_without_a_reservation_is_counted_when_it_is_sent() -> None:
    limits = limits_with(2.0)
    limits.count_sent_call(INCARNATION, 10.0)
    limits.count_sent_call(INCARNATION, 10.0)
    assert limits.level(INCARNATION, 10.0) == pytest.approx(1.6 - 2)
    assert limits.totals(10.0) == {INCARNATION: 2}


def test_callback_runs_for_each_unit_taken_or_returned() -> None:
    limits, changes = limits_with(2.0), []
    limits.set_unit_listener(lambda: changes.append(True))
    limits.reserve("a", INCARNATION, 10.0)
    limits.cancel_reservation("a", 10.0)
    limits.count_sent_call(INCARNATION, 10.0)
    assert len(changes) == 3


def test_limit_ends_with_an_answer_that_does_not_announce_it() -> None:
    limits = limits_with(2.0, now=10.0)
    # The answer may be older than the announcement: answers can arrive out of order.
    assert not limits.note_response(INCARNATION, None, 10.2)
    assert limits.rate_per_s(INCARNATION) == 2.0
    assert limits.note_response(INCARNATION, None, 10.7)
    assert limits.rate_per_s(INCARNATION) is None
    assert limits.due_in_s(INCARNATION, 10.7) == 0.0


def test_limit_announced_again_starts_empty_and_totals_never_decrease() -> None:
    limits = limits_with(2.0)
    limits.count_sent_call(INCARNATION, 10.0)
    limits.note_response(INCARNATION, None, 11.0)
    limits.note_response(INCARNATION, 2.0, 20.0)
    assert limits.level(INCARNATION, 20.0) == 0.0
    limits.count_sent_call(INCARNATION, 21.0)
    assert limits.totals(21.0) == {INCARNATION: 2}


def test_changing_the_limit_up_and_down_adds_no_units() -> None:
    limits = limits_with(2.0, now=10.0)
    for step in range(10):
        limits.note_response(INCARNATION, 200.0 if step % 2 else 2.0, 10.0)
    assert limits.level(INCARNATION, 10.0) == 0.0


def test_newest_announcement_applies_whether_direct_or_from_a_peer() -> None:
    limits = limits_with(2.0, now=10.0)
    assert not limits.note_peer_announcement(AnnouncedLimit(INCARNATION, 9.0, 5.0), 11.0)
    assert limits.note_peer_announcement(AnnouncedLimit(INCARNATION, 3.0, 0.5), 11.0)
    assert limits.rate_per_s(INCARNATION) == 3.0
    assert limits.note_peer_announcement(AnnouncedLimit(INCARNATION, 0.0, 0.1), 11.0)
    assert limits.rate_per_s(INCARNATION) is None


def test_heartbeats_repeat_direct_announcements_and_new_peers_get_all() -> None:
    limits = limits_with(2.0, now=10.0)
    limits.note_peer_announcement(AnnouncedLimit("i-2", 3.0, 1.0), 10.0)
    assert limits.announcements(10.5, 10) == [AnnouncedLimit(INCARNATION, 2.0, 0.5)]
    assert {
        announced.incarnation
        for announced in limits.announcements(10.5, 10, include_from_peers=True)
    } == {
        INCARNATION,
        "i-2",
    }
    assert len(limits.announcements(10.5, 1, include_from_peers=True)) == 1


def test_limit_expires_when_no_answer_announces_it() -> None:
    limits = limits_with(2.0, now=10.0)
    limits.count_sent_call(INCARNATION, 10.0)
    limits.expire(60.0)
    assert limits.rate_per_s(INCARNATION) == 2.0
    limits.expire(71.0)
    assert limits.rate_per_s(INCARNATION) is None
    limits.expire(700.0)
    assert limits.totals(700.0, include_unchanged=True) == {}


class Scenario(NamedTuple):
    """A scenario of the simulation.

    Attributes:
        demand_per_s: Calls per second, over all instances.
        used_share: Share of the instances to which callers connect.
        is_partitioned: Whether the two halves can't reach each other for a while.
        restarts: Whether some instances restart.
        rate_per_s: Limit that the endpoint announces.
        drops: Whether the limit drops to a third from the middle on.
    """

    demand_per_s: float = 40.0
    used_share: float = 1.0
    is_partitioned: bool = False
    restarts: bool = False
    rate_per_s: float = 3.0
    drops: bool = False


SCENARIOS = {
    "default": Scenario(),
    "all at one instance": Scenario(used_share=0.0),
    "overload": Scenario(demand_per_s=400.0),
    "partition": Scenario(is_partitioned=True),
    "restarts": Scenario(restarts=True),
    "limit drops": Scenario(rate_per_s=9.0, drops=True),
    "low limit": Scenario(rate_per_s=0.5),
    "high limit": Scenario(rate_per_s=40.0, demand_per_s=120.0),
}


class Simulation:
    """Instances that send to one endpoint, with datagrams that are delayed or lost."""

    TICK_S = 0.005
    DURATION_S = 24.0
    HEARTBEAT_S = 1.0
    # Longest wait of a call until it may be sent, in seconds.
    MAX_WAIT_S = 0.3
    LOSS_SHARE = 0.02

    def __init__(self, scenario: Scenario, count: int, seed: int) -> None:
        self.scenario = scenario
        self.count = count
        self.rng = random.Random(seed)
        self.instances = [EndpointLimits(0.0) for _ in range(count)]
        self.incarnations = [1] * count
        self.started_at = [0.0] * count
        self.received_at = [[0.0] * count for _ in range(count)]
        self.in_transit: list[tuple[float, int, int, PeerTotals, list[AnnouncedLimit]]] = []
        self.reserved_calls: list[tuple[float, int]] = []
        self.sent_at: list[float] = []
        self.call_count = 0
        self.has_changes = [False] * count
        for number in range(count):
            self.report_changes_of(number)

    def report_changes_of(self, number: int) -> None:
        """Make an instance report changed units at the next tick."""

        def mark_changed() -> None:
            self.has_changes[number] = True

        self.instances[number].set_unit_listener(mark_changed)

    def announced_rate(self, now: float) -> float:
        """Return the limit that the endpoint announces."""
        has_dropped = self.scenario.drops and now >= self.DURATION_S / 2
        return self.scenario.rate_per_s / (3 if has_dropped else 1)

    def is_unreachable(self, one: int, other: int, now: float) -> bool:
        """Check whether a partition separates two instances."""
        sides = one < self.count / 2, other < self.count / 2
        return self.scenario.is_partitioned and 8 <= now < 14 and sides[0] != sides[1]

    def report(self, number: int, now: float, *, include_unchanged: bool = False) -> None:
        """Send the report of an instance to all others."""
        limits = self.instances[number]
        totals = PeerTotals(
            str(number),
            self.incarnations[number],
            limits.totals(now, include_unchanged=include_unchanged),
            limits.used_name_count,
            now - self.started_at[number],
            limits.returned(now, include_unchanged=include_unchanged),
        )
        for other in range(self.count):
            if other == number or self.is_unreachable(number, other, now):
                continue
            if self.rng.random() >= self.LOSS_SHARE:
                delay_s = 0.003 + 0.007 * self.rng.random()
                self.in_transit.append(
                    (now + delay_s, number, other, totals, limits.announcements(now, 9))
                )

    def run(self) -> None:
        """Run the whole scenario."""
        for tick in range(int(self.DURATION_S / self.TICK_S)):
            now = tick * self.TICK_S
            self.deliver(now)
            for number in range(self.count):
                if (tick + 37 * number) % int(self.HEARTBEAT_S / self.TICK_S) == 0:
                    self.report(number, now)
                if self.scenario.restarts and number % 4 == 0 and tick == 1600 + 40 * number:
                    self.restart(number, now)
                if self.has_changes[number]:
                    self.has_changes[number] = False
                    self.report(number, now)
            self.send_due_calls(now)
            self.add_calls(now)

    def restart(self, number: int, now: float) -> None:
        """Restart an instance; the others send it everything that they know."""
        self.instances[number] = EndpointLimits(now)
        self.report_changes_of(number)
        self.incarnations[number] += 1
        self.started_at[number] = now
        self.report(number, now)
        for other in range(self.count):
            if other != number:
                self.report(other, now, include_unchanged=True)

    def deliver(self, now: float) -> None:
        """Deliver datagrams that are due, and update the share of reachable instances."""
        due = [item for item in self.in_transit if item[0] <= now]
        self.in_transit = [item for item in self.in_transit if item[0] > now]
        for _, sender, receiver, totals, reports in due:
            self.received_at[receiver][sender] = now
            for report in reports:
                self.instances[receiver].note_peer_announcement(report, now)
            self.instances[receiver].record_peer_totals(totals, now)
        if int(now / self.TICK_S) % 20 == 0:
            for number, limits in enumerate(self.instances):
                reachable = sum(now - at <= 1.6 for at in self.received_at[number])
                limits.set_reachable_share(
                    min(1.0, max(1, reachable) / max(1, self.count - 1)), now
                )

    def send_due_calls(self, now: float) -> None:
        """Send the reserved calls that are due, and apply the limits in their answers."""
        due = sorted(item for item in self.reserved_calls if item[0] <= now)
        self.reserved_calls = [item for item in self.reserved_calls if item[0] > now]
        for _, number in due:
            self.instances[number].count_sent_call(INCARNATION, now)
            self.sent_at.append(now)
            self.instances[number].note_response(INCARNATION, self.announced_rate(now), now)

    def add_calls(self, now: float) -> None:
        """Add new calls; calls that would wait too long go to another endpoint instead."""
        expected = self.scenario.demand_per_s * self.TICK_S
        calls = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(calls):
            number = int(self.scenario.used_share * self.rng.random() * self.count)
            limits = self.instances[number]
            if limits.due_in_s(INCARNATION, now) > self.MAX_WAIT_S:
                continue
            self.call_count += 1
            self.reserved_calls.append(
                (limits.reserve(str(self.call_count), INCARNATION, now), number)
            )

    def max_in_window(self, begin_s: float, end_s: float) -> int:
        """Return the highest number of calls in any window between two times."""
        times = [at for at in self.sent_at if begin_s <= at < end_s]
        return max((sum(0 <= at - first < WINDOW_S for at in times) for first in times), default=0)


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("count", [8, 60])
def test_instances_together_keep_the_limit_and_use_most_of_it(scenario: str, count: int) -> None:
    simulation = Simulation(SCENARIOS[scenario], count, seed=count)
    simulation.run()
    half = simulation.DURATION_S / 2
    for begin_s, end_s in ((2.0, half), (half + 2.0, simulation.DURATION_S)):
        rate = simulation.announced_rate(begin_s)
        assert simulation.max_in_window(begin_s, end_s) <= 1.5 * rate * WINDOW_S + 5
        used = sum(begin_s <= at < end_s for at in simulation.sent_at)
        min_use = 0.4 if simulation.scenario.is_partitioned else 0.85
        assert used >= min_use * rate * (end_s - begin_s) - 1
