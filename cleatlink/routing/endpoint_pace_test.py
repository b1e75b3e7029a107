"""Speeds of endpoints, from what many instances measured a little of."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_pace import EndpointPaces, PaceKind, PaceSample
from cleatlink.routing.mechanisms import Mechanism, Switches


def told(ratio: float, at: float, kind: PaceKind = PaceKind.PROMPT) -> PaceSample:
    return PaceSample(at, kind, math.log(ratio))


def test_measurements_of_many_instances_tell_the_speed_that_one_cannot() -> None:
    """Each of 90 instances measured an engine of 1.7 once; one of them does not know it."""
    rng = random.Random(1)
    paces = EndpointPaces()
    paces.note("fast", PaceKind.PROMPT, 1 / 1.7, 1.0)
    assert paces.speed("fast", 1.0) == 1.0
    for number in range(90):
        ratio = math.exp(rng.gauss(0.0, 0.3)) / 1.7
        paces.take(f"i{number}", "fast", [told(ratio, 1.0 + number / 100)])
    assert paces.speed("fast", 3.0) == pytest.approx(1.7, rel=0.2)


def test_few_measurements_and_small_differences_change_nothing() -> None:
    paces = EndpointPaces()
    for at in range(2):
        paces.note("a", PaceKind.TOKENS, 1.4, at)
    assert paces.speed("a", 2.0) == 1.0
    for at in range(20):
        paces.note("b", PaceKind.TOKENS, 1.08, at)
    assert paces.speed("b", 20.0) == 1.0
    assert paces.speed("never heard of", 20.0) == 1.0


def test_sick_endpoint_is_followed_within_its_next_calls_and_back() -> None:
    """A median of some seconds would take an engine for quick long after it hangs."""
    paces = EndpointPaces()
    for at in range(30):
        paces.note("a", PaceKind.TOKENS, 1.0, at)
    for at in range(30, 35):
        assert paces.speed("a", at) == 1.0
        paces.note("a", PaceKind.TOKENS, 5.0, at)
    assert paces.speed("a", 36.0) == pytest.approx(0.2, rel=0.05)
    for at in range(36, 41):
        paces.note("a", PaceKind.TOKENS, 1.0, at)
    assert paces.speed("a", 42.0) == 1.0


def test_what_was_measured_against_an_early_guess_counts_no_more_once_there_is_better() -> None:
    """A service's pace was guessed at twice what it is; its engines looked fast for a minute."""
    paces = EndpointPaces()
    for number in range(20):
        paces.note("a", PaceKind.PROMPT, 0.5, number / 10)
    assert paces.speed("a", 3.0) > 1.5
    for number in range(8):
        paces.note("a", PaceKind.PROMPT, 1.0, 16.0 + number / 10)
    assert paces.speed("a", 18.0) == 1.0


def test_a_single_wait_that_nobody_saw_is_no_speed() -> None:
    paces = EndpointPaces()
    for at in range(12):
        paces.note("a", PaceKind.PROMPT, 6.0 if at % 4 == 0 else 1.0, at)
    assert paces.speed("a", 12.0) == 1.0


def test_old_measurements_and_those_of_a_life_before_count_no_more() -> None:
    capacity = Capacity()
    first = RoutedEndpoint("e#1", "127.0.0.1:1", "a", "s", Role.DECODE, 8)
    capacity.set_endpoint(first)
    paces = capacity.endpoint_paces
    for sender in range(8):
        paces.take(f"i{sender}", "e#1", [told(2.0, 1.0)])
    assert capacity.speed("e#1", 2.0) == pytest.approx(0.5)
    assert capacity.speed("e#1", 90.0) == 1.0
    capacity.remove_endpoint("e#1")
    assert paces.speed("e#1", 2.0) == 1.0


def test_what_was_told_twice_counts_once() -> None:
    once, often = EndpointPaces(), EndpointPaces()
    for times, paces in ((1, once), (9, often)):
        for _ in range(times):
            paces.take("i1", "a", [told(3.0, 1.0), told(3.0, 2.0)])
    assert often.count("a") == once.count("a") == 2
    assert often.speed("a", 3.0) == once.speed("a", 3.0) == 1.0


def test_streams_are_compared_with_those_beside_as_many_others() -> None:
    """Tokens come more slowly in a burst, on every engine: none of them is slow for that."""
    paces = EndpointPaces()
    for number in range(40):
        paces.note_tokens("a", "s", 0.002, 0.1, float(number))
        paces.note_tokens("b", "s", 0.006, 0.9, float(number))
    assert paces.speed("a", 40.0) == paces.speed("b", 40.0) == 1.0
    for number in range(40, 60):
        paces.note_tokens("a", "s", 0.002, 0.1, float(number))
        paces.note_tokens("b", "s", 0.006, 0.1, float(number))
    assert paces.speed("b", 60.0) < 0.7


def test_switched_off_all_are_as_their_service() -> None:
    capacity = Capacity(Switches(frozenset({Mechanism.ENDPOINT_PACE})))
    for sender in range(8):
        capacity.endpoint_paces.take(f"i{sender}", "e", [told(2.0, 1.0)])
    assert capacity.speed("e", 2.0) == 1.0


LOGS = st.floats(-9, 9)
SAMPLES = st.lists(st.builds(PaceSample, st.floats(0, 50), st.sampled_from(PaceKind), LOGS))


@given(st.lists(st.tuples(st.integers(0, 5), SAMPLES), max_size=20), st.randoms())
def test_bounds_hold_whatever_is_told(
    messages: list[tuple[int, list[PaceSample]]], rng: random.Random
) -> None:
    paces = EndpointPaces()
    for sender, samples in messages:
        for _ in range(rng.randint(1, 2)):
            paces.take(f"i{sender}", "a", samples)
    assert 1 / 8 < paces.speed("a", 50.0) < 8
    assert paces.count("a") <= 32


def test_nonsense_is_left() -> None:
    paces = EndpointPaces()
    for ratio in (0.0, -1.0, math.inf, math.nan):
        paces.note("a", PaceKind.PLAIN, ratio, 1.0)
        paces.note_tokens("a", "s", ratio, 0.5, 1.0)
    paces.take("i1", "a", [PaceSample(1.0, PaceKind.PROMPT, math.nan)])
    assert paces.count("a") == 0
    assert paces.own("a", 1.0) == []
