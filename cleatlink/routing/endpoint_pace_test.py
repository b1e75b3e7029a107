"""Speeds of endpoints, estimated from a few samples of each of many instances."""

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


def sample(ratio: float, at: float, kind: PaceKind = PaceKind.PROMPT) -> PaceSample:
    return PaceSample(at, kind, math.log(ratio))


def test_samples_of_many_instances_show_a_speed_that_one_sample_does_not() -> None:
    """90 instances each measured an engine of speed 1.7 once; one sample alone is not enough."""
    rng = random.Random(1)
    speeds = EndpointPaces()
    speeds.note("fast", PaceKind.PROMPT, 1 / 1.7, 1.0)
    assert speeds.speed("fast", 1.0) == 1.0
    for number in range(90):
        ratio = math.exp(rng.gauss(0.0, 0.3)) / 1.7
        speeds.take(f"i{number}", "fast", [sample(ratio, 1.0 + number / 100)])
    assert speeds.speed("fast", 3.0) == pytest.approx(1.7, rel=0.2)


def test_few_samples_and_small_deviations_have_no_effect() -> None:
    speeds = EndpointPaces()
    for at in range(2):
        speeds.note("a", PaceKind.TOKENS, 1.4, at)
    assert speeds.speed("a", 2.0) == 1.0
    for at in range(20):
        speeds.note("b", PaceKind.TOKENS, 1.08, at)
    assert speeds.speed("b", 20.0) == 1.0
    assert speeds.speed("has no samples", 20.0) == 1.0


def test_degraded_endpoint_is_detected_within_five_calls_and_so_is_its_recovery() -> None:
    """A median over some seconds alone would rate an engine as fast long after it hangs."""
    speeds = EndpointPaces()
    for at in range(30):
        speeds.note("a", PaceKind.TOKENS, 1.0, at)
    for at in range(30, 35):
        assert speeds.speed("a", at) == 1.0
        speeds.note("a", PaceKind.TOKENS, 5.0, at)
    assert speeds.speed("a", 36.0) == pytest.approx(0.2, rel=0.05)
    for at in range(36, 41):
        speeds.note("a", PaceKind.TOKENS, 1.0, at)
    assert speeds.speed("a", 42.0) == 1.0


def test_samples_relative_to_an_early_prior_are_dropped_once_there_are_fresh_ones() -> None:
    """A prior of twice the real service time made engines appear fast for a minute."""
    speeds = EndpointPaces()
    for number in range(20):
        speeds.note("a", PaceKind.PROMPT, 0.5, number / 10)
    assert speeds.speed("a", 3.0) > 1.5
    for number in range(8):
        speeds.note("a", PaceKind.PROMPT, 1.0, 16.0 + number / 10)
    assert speeds.speed("a", 18.0) == 1.0


def test_occasional_unseen_queueing_does_not_change_the_speed() -> None:
    speeds = EndpointPaces()
    for at in range(12):
        speeds.note("a", PaceKind.PROMPT, 6.0 if at % 4 == 0 else 1.0, at)
    assert speeds.speed("a", 12.0) == 1.0


def test_old_samples_and_samples_of_an_earlier_incarnation_do_not_count() -> None:
    capacity = Capacity()
    first = RoutedEndpoint("e#1", "127.0.0.1:1", "a", "s", Role.DECODE, 8)
    capacity.set_endpoint(first)
    speeds = capacity.endpoint_paces
    for peer in range(8):
        speeds.take(f"i{peer}", "e#1", [sample(2.0, 1.0)])
    assert capacity.speed("e#1", 2.0) == pytest.approx(0.5)
    assert capacity.speed("e#1", 90.0) == 1.0
    capacity.remove_endpoint("e#1")
    assert speeds.speed("e#1", 2.0) == 1.0


def test_samples_received_twice_count_once() -> None:
    once, often = EndpointPaces(), EndpointPaces()
    for times, speeds in ((1, once), (9, often)):
        for _ in range(times):
            speeds.take("i1", "a", [sample(3.0, 1.0), sample(3.0, 2.0)])
    assert often.count("a") == once.count("a") == 2
    assert often.speed("a", 3.0) == once.speed("a", 3.0) == 1.0


def test_token_times_are_compared_at_a_similar_load() -> None:
    """Under a burst, tokens take longer on every engine; this must not count as a slow engine."""
    speeds = EndpointPaces()
    for number in range(40):
        speeds.note_tokens("a", "s", 0.002, 0.1, float(number))
        speeds.note_tokens("b", "s", 0.006, 0.9, float(number))
    assert speeds.speed("a", 40.0) == speeds.speed("b", 40.0) == 1.0
    for number in range(40, 60):
        speeds.note_tokens("a", "s", 0.002, 0.1, float(number))
        speeds.note_tokens("b", "s", 0.006, 0.1, float(number))
    assert speeds.speed("b", 60.0) < 0.7


def test_all_endpoints_have_the_usual_speed_while_the_mechanism_is_switched_off() -> None:
    capacity = Capacity(Switches(frozenset({Mechanism.ENDPOINT_PACE})))
    for peer in range(8):
        capacity.endpoint_paces.take(f"i{peer}", "e", [sample(2.0, 1.0)])
    assert capacity.speed("e", 2.0) == 1.0


LOG_RATIOS = st.floats(-9, 9)
SAMPLES = st.lists(st.builds(PaceSample, st.floats(0, 50), st.sampled_from(PaceKind), LOG_RATIOS))


@given(st.lists(st.tuples(st.integers(0, 5), SAMPLES), max_size=20), st.randoms())
def test_speed_and_sample_count_stay_bounded_for_any_samples_of_peers(
    messages: list[tuple[int, list[PaceSample]]], rng: random.Random
) -> None:
    speeds = EndpointPaces()
    for peer, samples in messages:
        for _ in range(rng.randint(1, 2)):
            speeds.take(f"i{peer}", "a", samples)
    assert 1 / 8 < speeds.speed("a", 50.0) < 8
    assert speeds.count("a") <= 32


def test_unusable_measurements_are_ignored() -> None:
    speeds = EndpointPaces()
    for ratio in (0.0, -1.0, math.inf, math.nan):
        speeds.note("a", PaceKind.PLAIN, ratio, 1.0)
        speeds.note_tokens("a", "s", ratio, 0.5, 1.0)
    speeds.take("i1", "a", [PaceSample(1.0, PaceKind.PROMPT, math.nan)])
    assert speeds.count("a") == 0
    assert speeds.own("a", 1.0) == []
