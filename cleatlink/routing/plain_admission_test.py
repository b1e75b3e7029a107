"""Rules of the admission of plain calls: bounds, order, and what totals of peers come to."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism, Switches
from cleatlink.routing.plain_admission import (
    AdmissionQueue,
    Ticket,
    rank_of,
    retry_after_s,
    shares,
)
from cleatlink.routing.plain_judge import Applicant, PlainJudge
from cleatlink.routing.plain_load import CallEnd, CallTotals, Demand, EndpointTotals, PlainLoad
from cleatlink.routing.plain_returns import PlainReturns, Return

RATES = st.dictionaries(st.integers(0, 31), st.floats(0.0, 1e4), max_size=6)


@given(RATES, st.floats(0.0, 1e4))
def test_shares_are_within_what_is_borne_and_nobody_starves(
    demand: dict[int, float], per_s: float
) -> None:
    found = shares(demand, per_s)
    assert all(0.05 <= share <= 1.0 for share in found.values())
    passing = sum(rate * found[rank] for rank, rate in demand.items())
    assert passing <= (per_s + 0.05 * sum(demand.values())) * (1 + 1e-9)
    if sum(demand.values()) <= per_s:
        assert all(share == 1.0 for rank, share in found.items() if demand[rank])


@given(st.lists(st.tuples(st.integers(0, 31), st.floats(0.0, 1.0)), max_size=200), st.floats(0, 1))
def test_queue_is_bounded_and_passes_each_call_once_and_no_more_than_shares(
    arrivals: list[tuple[int, float]], credit: float
) -> None:
    queue = AdmissionQueue(credit)
    passed: list[Ticket] = []
    for rank, share in arrivals:
        queue.arrive(rank, share)
        while (ticket := queue.pass_next()) is not None:
            passed.append(ticket)
        while queue.drop_last() is not None:
            pass
        assert len(queue) <= 64
    assert len(set(passed)) == len(passed)
    assert len(passed) <= credit + sum(share for _, share in arrivals) + 1e-6


def test_whole_shares_pass_always() -> None:
    queue = AdmissionQueue(0.0)
    for _ in range(100):
        ticket = queue.arrive(1, 1.0)
        assert queue.pass_next() == ticket


def test_least_urgent_pass_at_times_in_a_flood_of_the_most_urgent() -> None:
    rng = random.Random(1)
    queue = AdmissionQueue(rng.random())
    found = shares({1: 1000.0, 3: 100.0}, 200.0)
    least = 0
    for _ in range(5000):
        rank = 1 if rng.random() < 10 / 11 else 3
        ticket = queue.arrive(rank, found[rank])
        while (passing := queue.pass_next()) is not None:
            least += passing.rank == 3
        queue.remove(ticket)
    assert least > 10


def test_order_of_ranks() -> None:
    waited, first = rank_of(1, has_waited=True), rank_of(1)
    repeats = rank_of(0, repeats=True)
    assert rank_of(0) < waited < first < rank_of(2) < rank_of(99) < repeats


@given(st.floats(0.0, 20.0), st.floats(0.0, 1.0))
def test_callers_return_within_their_time_at_different_moments(spare_s: float, draw: float) -> None:
    assert 0.25 <= retry_after_s(spare_s, draw) <= max(0.25, min(3.0, spare_s))


TOLD = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=30)


@given(TOLD, st.randoms())
def test_lost_doubled_and_late_messages_count_nothing_twice(
    calls: list[tuple[int, int]], rng: random.Random
) -> None:
    """However messages are lost, doubled or mixed up, at most what was told is counted."""
    arrived, ended, told = 0, 0, []
    for number, (more, done) in enumerate(calls):
        arrived, ended = arrived + more, ended + done
        endpoints = {"e": EndpointTotals(ended, ended * 0.01, 0)}
        told.append(CallTotals("p", 1, 0.1 * number, {Demand("s", 1): arrived}, endpoints))
    heard = [item for item in told for _ in range(rng.randrange(3))]
    rng.shuffle(heard)
    load = PlainLoad(0.0)
    for item in heard:
        load.take(item, 0.1)
    assert sum(load.demand("s", 0.1).values()) * 0.125 <= arrived + 1e-6
    assert load.endpoint("e", 0.1).ended_per_s * 0.125 <= ended + 1e-6


def test_totals_of_a_peer_that_has_run_for_long_are_only_a_base() -> None:
    load = PlainLoad(0.0)
    load.take(CallTotals("p", 1, 500.0, {Demand("s", 1): 9000}, {}), 1.0)
    assert not load.demand("s", 1.0)
    load.take(CallTotals("p", 1, 500.2, {Demand("s", 1): 9010}, {}), 1.2)
    assert load.demand("s", 1.2)[1] == pytest.approx(10 / 0.5, rel=0.3)
    load.take(CallTotals("p", 2, 0.2, {Demand("s", 1): 5}, {}), 1.3)
    assert load.demand("s", 1.3)[1] == pytest.approx(15 / 0.5, rel=0.3)


def test_calls_of_long_duration_count_while_they_run() -> None:
    load = PlainLoad(0.0)
    load.begin("e", 0.0)
    for step in range(50):
        assert load.endpoint("e", 0.1 * step).running <= 1.4
    assert load.endpoint("e", 5.0).running == pytest.approx(1.0, abs=0.4)
    load.end("e", CallEnd.RAN, 10.0)
    assert load.totals(10.0)["e"].busy_s == pytest.approx(10.0)


def judge(without: set[Mechanism], running: int) -> tuple[PlainJudge, Capacity]:
    """Give the judge of an instance one of whose peers keeps an endpoint of six places busy."""
    capacity = Capacity(Switches(without), 0.0)
    capacity.set_endpoint(RoutedEndpoint("e", "127.0.0.1:1", "a", "s", Role.PLAIN, 6))
    for step in range(5):
        ended, busy_s = step * 30, 0.1 * step * running
        endpoints = {"e": EndpointTotals(ended, busy_s, 0)}
        demand = {Demand("s", 1): step * 100}
        capacity.plain.take(CallTotals("p", 1, 0.1 * step, demand, endpoints), 0.1 * step)
    return PlainJudge(capacity, random.Random(1)), capacity


def test_nobody_is_refused_while_half_of_the_places_are_free() -> None:
    judged = judge(set(), 2)[0].judge(Applicant("s", 0, b"a"), 0.45)
    assert judged.bearing.is_free
    assert judged.share == 1.0


def test_full_service_takes_what_it_serves() -> None:
    judged = judge(set(), 12)[0].judge(Applicant("s", 0, b"a"), 0.45)
    assert not judged.bearing.is_free
    assert judged.share == pytest.approx(0.3, abs=0.1)


def test_wrong_estimate_is_forgotten_with_the_load() -> None:
    found, _ = judge(set(), 12)
    assert not found.judge(Applicant("s", 0, b"a"), 0.45).bearing.is_free
    assert found.judge(Applicant("s", 0, b"a"), 1.2).bearing.is_free


def test_many_callers_who_ask_for_the_same_are_no_repeats() -> None:
    """One popular request would otherwise be behind all others for as long as it is refused."""
    returns = PlainReturns()
    returns.expect(b"a", 1.0)
    found = []
    for number in range(40):
        found.append(returns.take(b"a", 0.01 * number))
        returns.expect(b"a", 1.0)
    assert found.count(Return.EARLY) == 4
    assert set(found[4:]) == {Return.FIRST}


def test_callers_that_are_back_too_early_yield() -> None:
    returns = PlainReturns()
    returns.expect(b"a", 1.0)
    returns.expect(b"b", 1.0)
    assert returns.take(b"c", 0.5) is Return.FIRST
    assert returns.take(b"a", 0.5) is Return.EARLY
    assert returns.take(b"a", 1.1) is Return.FIRST
    assert returns.take(b"b", 1.1) is Return.IN_TIME
    assert returns.take(b"b", 1.1) is Return.FIRST
    assert [name for name, _ in returns.untold(1, 0.5)] == [b"a"]
    assert [name for name, _ in returns.untold(9, 0.5)] == [b"b"]
    for number in range(3000):
        returns.expect_told(b"%d" % number, 9.0)
    assert len(returns) <= 1024
    returns.forget(10.0)
    assert len(returns) == 0
