"""Limits shared by several instances: admissions, rejections and the accounting of peers."""

import math
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatlink.core.organisations import Organisation, UsageLimit
from cleatlink.limits import PEER_TIMEOUT_S, PeerTotals
from cleatlink.organisations import LimitTolerance, OrganisationLimits

EXACT = LimitTolerance(0.0, 0.0, 8.0)
TYPICAL = LimitTolerance(0.25, 10_000.0, 8.0)
RATE, BURST = 1000.0, 2000.0


def organisation(rate: float = RATE, burst: float = BURST, name: str = "a") -> Organisation:
    return Organisation(
        name, (), None, UsageLimit(rate, burst, counts_tokens=True, default_tokens=20)
    )


class Instance:
    """One instance, with an incarnation number derived from its start time."""

    def __init__(self, name: str, now: float, tolerance: LimitTolerance = EXACT) -> None:
        self.name = name
        self.incarnation = int(1000 * now) + 1
        self.limits = OrganisationLimits(tolerance, now)
        self.limits.use_table([organisation()])

    def try_admit(self, tokens: int, now: float) -> bool:
        return self.limits.admit(organisation(), tokens, now).granted

    def totals_message(self, now: float, *, include_unchanged: bool = False) -> PeerTotals:
        limits = self.limits
        totals, age_s = (
            limits.totals(now, include_unchanged=include_unchanged),
            limits.uptime_s(now),
        )
        return PeerTotals(self.name, self.incarnation, totals, limits.used_name_count, age_s)

    def level(self, now: float) -> float:
        return self.limits.levels(now).get("a", BURST)


def test_request_without_a_token_count_costs_the_default() -> None:
    limit = UsageLimit(1, 1, counts_tokens=True, default_tokens=200)
    assert (limit.count_units(0), limit.count_units(7)) == (200, 7)
    assert limit._replace(counts_tokens=False).count_units(7000) == 1


def test_organisation_without_a_limit_is_always_admitted() -> None:
    limits = OrganisationLimits(EXACT, 0.0)
    unlimited = Organisation("free", ())
    limits.use_table([unlimited])
    assert all(limits.admit(unlimited, 10**9, 0.0).granted for _ in range(100))
    assert limits.totals(0.0) == {}


def test_retry_after_is_when_the_bucket_holds_the_needed_units() -> None:
    one = Instance("1", 0.0)
    assert one.try_admit(1900, 10.0)
    refused = one.limits.admit(organisation(), 1500, 10.0)
    assert not refused.granted
    assert refused.retry_after_s == pytest.approx((1500 - 100) / RATE)
    assert not one.try_admit(1500, 10.0 + refused.retry_after_s - 0.01)
    assert one.try_admit(1500, 10.0 + refused.retry_after_s)


def test_small_requests_are_admitted_while_a_large_one_is_rejected() -> None:
    one = Instance("1", 0.0)
    assert one.try_admit(1500, 10.0)
    assert not one.try_admit(1500, 10.0)
    assert all(one.try_admit(20, 10.0 + 0.01 * step) for step in range(10))


def test_request_larger_than_the_burst_is_admitted_when_the_bucket_is_full() -> None:
    one = Instance("1", 0.0)
    assert one.try_admit(5000, 10.0)
    assert not one.try_admit(20, 10.0)
    assert not one.try_admit(20, 12.9)
    assert one.try_admit(20, 13.1)


def test_refunded_units_are_not_reported_to_peers_twice() -> None:
    one, two = Instance("1", 0.0), Instance("2", 0.0)
    assert one.try_admit(1900, 10.0)
    one.limits.refund(organisation(), 1900)
    assert one.try_admit(1900, 10.0)
    two.limits.record_peer_totals(one.totals_message(10.0), 10.0)
    assert one.totals_message(10.0).totals == {"a": 1900}


def test_duplicated_late_or_lost_totals_do_not_corrupt_the_level() -> None:
    one, two = Instance("1", 0.0), Instance("2", 0.0)
    for step in range(4):
        two.limits.record_peer_totals(one.totals_message(0.5 * step), 0.5 * step)
    messages = []
    for step in range(5):
        assert one.try_admit(100, 2.0 + 0.1 * step)
        messages.append(one.totals_message(2.0 + 0.1 * step))
    for message in (messages[4], messages[1], messages[4], messages[0]):
        two.limits.record_peer_totals(message, 2.5)
    assert two.level(2.5) == pytest.approx(BURST - 500)


def test_restarted_peer_is_accounted_for_from_its_start() -> None:
    one, two = Instance("1", 0.0), Instance("2", 0.0)
    for step in range(8):
        two.limits.record_peer_totals(one.totals_message(step), step)
    assert one.try_admit(1500, 7.5)
    two.limits.record_peer_totals(one.totals_message(7.5), 7.5)
    restarted = Instance("1", 8.0)
    assert restarted.try_admit(400, 8.0)
    two.limits.record_peer_totals(restarted.totals_message(8.0), 8.0)
    assert two.level(8.0) == pytest.approx(min(BURST, BURST - 1500 + 500) - 400)
    # A delayed message of the earlier incarnation is not attributed to the new one.
    two.limits.record_peer_totals(one.totals_message(7.5), 8.0)
    assert two.level(8.0) == pytest.approx(BURST - 1400)


def test_starting_instance_adopts_levels_of_the_oldest_peer() -> None:
    old, new = Instance("old", 0.0), Instance("new", 10.0)
    assert old.try_admit(1900, 10.0)
    new.limits.adopt_levels(old.limits.levels(10.0), old.limits.uptime_s(10.0), 10.0)
    assert new.level(10.0) == pytest.approx(100)
    newer = OrganisationLimits(EXACT, 9.9)
    newer.use_table([organisation()])
    new.limits.adopt_levels({"a": BURST}, newer.uptime_s(10.0), 10.0)
    assert new.level(10.0) == pytest.approx(100)


def test_instance_that_reaches_part_of_the_fleet_enforces_that_share_of_the_limit() -> None:
    one = Instance("1", 0.0)
    one.limits.set_reachable_share(0.5, 0.0)
    assert one.try_admit(2000, 4.0)
    assert one.level(5.0) == pytest.approx(0.5 * RATE)


def test_units_spent_across_a_partition_are_not_charged_when_it_heals() -> None:
    one, two = Instance("1", 0.0), Instance("2", 0.0)
    two.limits.record_peer_totals(one.totals_message(0.0), 0.0)
    assert two.try_admit(20, 0.0)
    two.limits.set_reachable_share(0.5, 2.0)
    assert one.try_admit(1500, 5.0)
    two.limits.set_reachable_share(1.0, 6.0)
    before = two.level(6.0)
    two.limits.record_peer_totals(one.totals_message(6.0), 6.0)
    assert two.level(6.0) == before
    assert one.try_admit(100, 6.1)
    two.limits.record_peer_totals(one.totals_message(6.2), 6.2)
    assert two.level(6.2) == pytest.approx(min(BURST, before + 200) - 100)


def test_lowered_or_raised_limit_applies_immediately() -> None:
    one = Instance("1", 0.0)
    assert one.try_admit(20, 10.0)
    lower, higher = organisation(100, 200), organisation(1000, 2000)
    one.limits.use_table([lower])
    assert not one.limits.admit(lower, 199, 10.0).granted or one.level(10.0) <= 200
    assert not one.limits.admit(lower, 199, 10.0).granted
    one.limits.use_table([higher])
    assert one.limits.admit(higher, 1800, 10.0).granted


def test_overloaded_organisation_does_not_affect_another() -> None:
    one = OrganisationLimits(EXACT, 0.0)
    hot, other = organisation(name="hot"), organisation(name="other")
    one.use_table([hot, other])
    for step in range(1000):
        one.admit(hot, 500, 5 + 0.01 * step)
    assert one.admit(other, 1900, 15.0).granted


requests = st.lists(
    st.tuples(
        st.floats(0.0, 0.5),
        st.integers(0, 2),
        st.integers(1, 1500),
        st.sampled_from(["ask", "ask", "ask", "restart", "cut", "heal"]),
    ),
    min_size=1,
    max_size=120,
)


@settings(max_examples=120, deadline=None)
@given(requests, st.randoms(use_true_random=False))
def test_three_instances_stay_within_the_bound_under_restarts_and_partitions(
    steps: list[tuple[float, int, int, str]], rng: Any
) -> None:
    """Run any mix of requests, restarts and partitions, with lost, late and doubled datagrams."""
    admitted = run_steps(steps, rng)
    allowed = RATE * TYPICAL.window_s + BURST
    bound = allowed * (1 + TYPICAL.overshoot) + TYPICAL.slack
    # Each start may admit a share of a burst, each partition a whole limit until it is detected.
    restarts = sum(kind == "restart" for _, _, _, kind in steps)
    partitions = sum(kind == "cut" for _, _, _, kind in steps)
    raised = TYPICAL.raised_limit(organisation().limit or UsageLimit(0, 0))
    bound += restarts * raised.burst + partitions * 2 * PEER_TIMEOUT_S * raised.rate
    assert max_tokens_in_window(admitted, TYPICAL.window_s) <= bound


class Network:
    """Three instances; instance 2 may be partitioned; datagrams may be lost, late or doubled."""

    def __init__(self, rng: Any) -> None:
        self.rng = rng
        self.fleet = [Instance(str(number), 0.0, TYPICAL) for number in range(3)]
        self.is_partitioned = False
        self.partitioned_at = math.inf
        self.delayed: list[tuple[int, PeerTotals]] = []

    def send_totals(self, sender: int, now: float) -> None:
        for receiver in range(3):
            is_across_partition = 2 in (sender, receiver)
            if receiver == sender or (self.is_partitioned and is_across_partition):
                continue
            message = self.fleet[sender].totals_message(now)
            draw = self.rng.random()
            if draw < 0.1:
                self.delayed.append((receiver, message))
            elif draw > 0.15:
                for _ in range(1 + (draw > 0.9)):
                    self.fleet[receiver].limits.record_peer_totals(message, now)
        while self.delayed and self.rng.random() < 0.3:
            receiver, message = self.delayed.pop()
            if not (self.is_partitioned and 2 in (receiver, int(message.name))):
                self.fleet[receiver].limits.record_peer_totals(message, now)

    def update_reachable_shares(self, now: float) -> None:
        detected = self.is_partitioned and now - self.partitioned_at > PEER_TIMEOUT_S
        for number, instance in enumerate(self.fleet):
            share = (1 / 3 if number == 2 else 2 / 3) if detected else 1.0
            instance.limits.set_reachable_share(share, now)


def run_steps(steps: list[tuple[float, int, int, str]], rng: Any) -> list[tuple[float, int]]:
    """Run the steps; return the time and the tokens of each admitted request."""
    network = Network(rng)
    now, heartbeat_at = 0.0, 0.0
    admitted = []
    for delay_s, number, tokens, kind in steps:
        now += delay_s
        while heartbeat_at <= now:
            for sender in range(3):
                network.send_totals(sender, heartbeat_at)
            network.update_reachable_shares(heartbeat_at)
            heartbeat_at += 0.5
        if kind == "restart":
            network.fleet[number] = Instance(str(number), now, TYPICAL)
        elif kind in ("cut", "heal"):
            if kind == "cut" and not network.is_partitioned:
                network.partitioned_at = now
            network.is_partitioned = kind == "cut"
        elif network.fleet[number].try_admit(tokens, now):
            admitted.append((now, tokens))
            network.send_totals(number, now)
    return admitted


def max_tokens_in_window(admitted: list[tuple[float, int]], window_s: float) -> int:
    """Return the largest number of tokens admitted within any window."""
    return max(
        (
            sum(cost for at, cost in admitted if start <= at < start + window_s)
            for start, _ in admitted
        ),
        default=0,
    )


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(1, 3000)), max_size=80))
def test_single_instance_decides_like_a_single_token_bucket(steps: list[tuple[float, int]]) -> None:
    one = Instance("1", 0.0)
    level, at, now = 0.5 * BURST, 0.0, 0.0
    for delay_s, cost in steps:
        now += delay_s
        level, at = min(BURST, level + RATE * (now - at)), now
        granted = level >= min(cost, BURST)
        admission = one.limits.admit(organisation(), cost, now)
        if abs(level - min(cost, BURST)) > 1e-6:
            assert admission.granted == granted
        if admission.granted:
            level -= cost


@pytest.mark.parametrize("fault", ["counts duplicates", "forgets peers", "restarts at full"])
def test_disabled_mechanisms_make_tests_fail(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Break one mechanism at a time, and check that a test above fails."""
    if fault == "counts duplicates":

        def record_total(self: Any, last_totals: dict[str, int], name: str, total: int) -> int:
            return total

        monkeypatch.setattr("cleatlink.limits.shared._PeerAccount.record_total", record_total)
        with pytest.raises(AssertionError):
            test_duplicated_late_or_lost_totals_do_not_corrupt_the_level()
    elif fault == "forgets peers":
        monkeypatch.setattr(OrganisationLimits, "record_peer_totals", lambda *_: None)
        with pytest.raises(AssertionError):
            test_duplicated_late_or_lost_totals_do_not_corrupt_the_level()
    else:
        monkeypatch.setattr("cleatlink.organisations.limits._INITIAL_LEVEL_SHARE", 1.0)
        with pytest.raises(AssertionError):
            test_single_instance_decides_like_a_single_token_bucket()
