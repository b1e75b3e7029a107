"""Tests of the admission of plain calls: limits, order, and totals announced by peers."""

import random
from fractions import Fraction

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches
from cleatlink.routing.plain_admission import (
    AdmissionQueue,
    Ticket,
    admission_rank,
    admitted_shares,
    retry_after_s,
)
from cleatlink.routing.plain_admission_policy import AdmissionRequest, PlainAdmissionPolicy
from cleatlink.routing.plain_load import (
    CallOutcome,
    DemandKey,
    EndpointTotals,
    PeerCallTotals,
    PlainLoad,
)
from cleatlink.routing.plain_retries import ExpectedPlainRetries, RetryTiming

RATES_BY_RANK = st.dictionaries(st.integers(0, 31), st.floats(0.0, 1e4), max_size=6)


@given(RATES_BY_RANK, st.floats(0.0, 1e4))
def test_admitted_shares_fit_the_sustainable_rate_without_starvation(
    demand: dict[int, float], per_s: float
) -> None:
    by_rank = admitted_shares(demand, per_s)
    assert all(0.05 <= share <= 1.0 for share in by_rank.values())
    admitted = sum(rate * by_rank[rank] for rank, rate in demand.items())
    assert admitted <= (per_s + 0.05 * sum(demand.values())) * (1 + 1e-9)
    # Exact sum: a sum of floats loses rates that are tiny beside the others.
    if sum(map(Fraction, demand.values())) <= per_s:
        assert all(share == 1.0 for rank, share in by_rank.items() if demand[rank])


@given(st.lists(st.tuples(st.integers(0, 31), st.floats(0.0, 1.0)), max_size=200), st.floats(0, 1))
def test_queue_is_bounded_and_admits_each_call_once_within_its_share(
    arrivals: list[tuple[int, float]], credit: float
) -> None:
    queue = AdmissionQueue(credit)
    admitted: list[Ticket] = []
    for rank, share in arrivals:
        queue.add(rank, share)
        while (ticket := queue.admit_next()) is not None:
            admitted.append(ticket)
        while queue.drop_excess() is not None:
            pass
        assert len(queue) <= 64
    assert len(set(admitted)) == len(admitted)
    assert len(admitted) <= credit + sum(share for _, share in arrivals) + 1e-6


def test_calls_with_a_full_share_are_always_admitted() -> None:
    queue = AdmissionQueue(0.0)
    for _ in range(100):
        ticket = queue.add(1, 1.0)
        assert queue.admit_next() == ticket


def test_some_less_urgent_calls_are_admitted_despite_many_urgent_ones() -> None:
    rng = random.Random(1)
    queue = AdmissionQueue(rng.random())
    by_rank = admitted_shares({1: 1000.0, 3: 100.0}, 200.0)
    less_urgent = 0
    for _ in range(5000):
        rank = 1 if rng.random() < 10 / 11 else 3
        ticket = queue.add(rank, by_rank[rank])
        while (admitted := queue.admit_next()) is not None:
            less_urgent += admitted.rank == 3
        queue.remove(ticket)
    assert less_urgent > 10


def test_admission_order() -> None:
    retried, new = admission_rank(1, retried_in_time=True), admission_rank(1)
    repeated = admission_rank(0, repeated=True)
    assert admission_rank(0) < retried < new < admission_rank(2) < admission_rank(99) < repeated


@given(st.floats(0.0, 20.0), st.floats(0.0, 1.0))
def test_retry_delay_is_within_the_slack_of_the_caller(slack_s: float, fraction: float) -> None:
    assert 0.25 <= retry_after_s(slack_s, fraction) <= max(0.25, min(3.0, slack_s))


NEW_CALLS = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=30)


@given(NEW_CALLS, st.randoms())
def test_lost_duplicated_and_reordered_messages_count_no_call_twice(
    calls: list[tuple[int, int]], rng: random.Random
) -> None:
    """With lost, duplicated or reordered messages, at most the announced calls are counted."""
    arrived, ended, announced = 0, 0, []
    for number, (new_arrived, new_ended) in enumerate(calls):
        arrived, ended = arrived + new_arrived, ended + new_ended
        endpoints = {"e": EndpointTotals(ended, ended * 0.01, 0)}
        announced.append(
            PeerCallTotals("p", 1, 0.1 * number, {DemandKey("s", 1): arrived}, endpoints)
        )
    received = [item for item in announced for _ in range(rng.randrange(3))]
    rng.shuffle(received)
    load = PlainLoad(0.0)
    for item in received:
        load.update_peer(item, 0.1)
    assert sum(load.arrival_rates("s", 0.1).values()) * 0.125 <= arrived + 1e-6
    assert load.endpoint_load("e", 0.1).ended_per_s * 0.125 <= ended + 1e-6


def test_first_totals_of_a_long_running_peer_are_only_a_baseline() -> None:
    load = PlainLoad(0.0)
    load.update_peer(PeerCallTotals("p", 1, 500.0, {DemandKey("s", 1): 9000}, {}), 1.0)
    assert not load.arrival_rates("s", 1.0)
    load.update_peer(PeerCallTotals("p", 1, 500.2, {DemandKey("s", 1): 9010}, {}), 1.2)
    assert load.arrival_rates("s", 1.2)[1] == pytest.approx(10 / 0.5, rel=0.3)
    load.update_peer(PeerCallTotals("p", 2, 0.2, {DemandKey("s", 1): 5}, {}), 1.3)
    assert load.arrival_rates("s", 1.3)[1] == pytest.approx(15 / 0.5, rel=0.3)


def test_long_calls_count_while_they_run() -> None:
    load = PlainLoad(0.0)
    load.call_started("e", 0.0)
    for step in range(50):
        assert load.endpoint_load("e", 0.1 * step).running <= 1.4
    assert load.endpoint_load("e", 5.0).running == pytest.approx(1.0, abs=0.4)
    load.call_ended("e", CallOutcome.COMPLETED, 10.0)
    assert load.endpoint_totals(10.0)["e"].busy_s == pytest.approx(10.0)


def make_policy(without: set[Mechanism], running: int) -> tuple[PlainAdmissionPolicy, Capacity]:
    """Return the admission policy of an instance whose peer keeps a six-slot endpoint busy."""
    capacity = Capacity(MechanismSwitches(without), 0.0)
    capacity.set_endpoint(RoutedEndpoint("e", "127.0.0.1:1", "a", "s", Role.PLAIN, 6))
    for step in range(5):
        ended, busy_s = step * 30, 0.1 * step * running
        endpoints = {"e": EndpointTotals(ended, busy_s, 0)}
        demand = {DemandKey("s", 1): step * 100}
        capacity.plain_load.update_peer(
            PeerCallTotals("p", 1, 0.1 * step, demand, endpoints), 0.1 * step
        )
    return PlainAdmissionPolicy(capacity, random.Random(1)), capacity


def test_no_call_is_refused_while_half_of_the_slots_are_free() -> None:
    assessed = make_policy(set(), 2)[0].assess(AdmissionRequest("s", 0, b"a"), 0.45)
    assert assessed.service_load.has_free_capacity
    assert assessed.share == 1.0


def test_full_service_admits_what_it_can_serve() -> None:
    assessed = make_policy(set(), 12)[0].assess(AdmissionRequest("s", 0, b"a"), 0.45)
    assert not assessed.service_load.has_free_capacity
    assert assessed.share == pytest.approx(0.3, abs=0.1)


def test_old_load_estimate_expires() -> None:
    policy, _ = make_policy(set(), 12)
    assert not policy.assess(AdmissionRequest("s", 0, b"a"), 0.45).service_load.has_free_capacity
    assert policy.assess(AdmissionRequest("s", 0, b"a"), 1.2).service_load.has_free_capacity


def test_same_request_from_many_callers_does_not_count_as_repeated() -> None:
    """Otherwise a popular request would rank behind all others while it is refused."""
    retries = ExpectedPlainRetries()
    retries.note_own_refusal(b"a", 1.0)
    timings = []
    for number in range(40):
        timings.append(retries.match_arrival(b"a", 0.01 * number))
        retries.note_own_refusal(b"a", 1.0)
    assert timings.count(RetryTiming.EARLY) == 4
    assert set(timings[4:]) == {RetryTiming.NEW_CALL}


def test_early_retries_are_recognised_and_refused_calls_are_dropped() -> None:
    retries = ExpectedPlainRetries()
    retries.note_own_refusal(b"a", 1.0)
    retries.note_own_refusal(b"b", 1.0)
    assert retries.match_arrival(b"c", 0.5) is RetryTiming.NEW_CALL
    assert retries.match_arrival(b"a", 0.5) is RetryTiming.EARLY
    assert retries.match_arrival(b"a", 1.1) is RetryTiming.NEW_CALL
    assert retries.match_arrival(b"b", 1.1) is RetryTiming.ON_TIME
    assert retries.match_arrival(b"b", 1.1) is RetryTiming.NEW_CALL
    assert [name for name, _ in retries.take_unannounced(1, 0.5)] == [b"a"]
    assert [name for name, _ in retries.take_unannounced(9, 0.5)] == [b"b"]
    for number in range(3000):
        retries.note_refusal(b"%d" % number, 9.0)
    assert len(retries) <= 1024
    retries.remove_expired(10.0)
    assert len(retries) == 0
