"""Speeds of endpoints, estimated from a few samples of each of many instances."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_speeds import EndpointSpeeds, SpeedSample, SpeedSampleKind
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches


def sample(ratio: float, at: float, kind: SpeedSampleKind = SpeedSampleKind.PROMPT) -> SpeedSample:
    return SpeedSample(at, kind, math.log(ratio))


def test_samples_of_many_instances_show_a_speed_that_one_sample_does_not() -> None:
    """90 instances each measured an engine of speed 1.7 once; one sample alone is not enough."""
    rng = random.Random(1)
    speeds = EndpointSpeeds()
    speeds.note_ratio("fast", SpeedSampleKind.PROMPT, 1 / 1.7, 1.0)
    assert speeds.speed("fast", 1.0) == 1.0
    for number in range(90):
        ratio = math.exp(rng.gauss(0.0, 0.3)) / 1.7
        speeds.replace_peer_samples(f"i{number}", "fast", [sample(ratio, 1.0 + number / 100)])
    assert speeds.speed("fast", 3.0) == pytest.approx(1.7, rel=0.2)


def test_few_samples_and_small_deviations_have_no_effect() -> None:
    speeds = EndpointSpeeds()
    for at in range(2):
        speeds.note_ratio("a", SpeedSampleKind.TOKENS, 1.4, at)
    assert speeds.speed("a", 2.0) == 1.0
    for at in range(20):
        speeds.note_ratio("b", SpeedSampleKind.TOKENS, 1.08, at)
    assert speeds.speed("b", 20.0) == 1.0
    assert speeds.speed("has no samples", 20.0) == 1.0


def test_degraded_endpoint_is_detected_within_five_calls_and_so_is_its_recovery() -> None:
    """A median over some seconds alone would rate an engine as fast long after it hangs."""
    speeds = EndpointSpeeds()
    for at in range(30):
        speeds.note_ratio("a", SpeedSampleKind.TOKENS, 1.0, at)
    for at in range(30, 35):
        assert speeds.speed("a", at) == 1.0
        speeds.note_ratio("a", SpeedSampleKind.TOKENS, 5.0, at)
    assert speeds.speed("a", 36.0) == pytest.approx(0.2, rel=0.05)
    for at in range(36, 41):
        speeds.note_ratio("a", SpeedSampleKind.TOKENS, 1.0, at)
    assert speeds.speed("a", 42.0) == 1.0


def test_samples_relative_to_an_early_prior_are_dropped_once_there_are_fresh_ones() -> None:
    """A prior of twice the real service time made engines appear fast for a minute."""
    speeds = EndpointSpeeds()
    for number in range(20):
        speeds.note_ratio("a", SpeedSampleKind.PROMPT, 0.5, number / 10)
    assert speeds.speed("a", 3.0) > 1.5
    for number in range(8):
        speeds.note_ratio("a", SpeedSampleKind.PROMPT, 1.0, 16.0 + number / 10)
    assert speeds.speed("a", 18.0) == 1.0


def test_occasional_unseen_queueing_does_not_change_the_speed() -> None:
    speeds = EndpointSpeeds()
    for at in range(12):
        speeds.note_ratio("a", SpeedSampleKind.PROMPT, 6.0 if at % 4 == 0 else 1.0, at)
    assert speeds.speed("a", 12.0) == 1.0


def test_old_samples_and_samples_of_an_earlier_incarnation_do_not_count() -> None:
    capacity = Capacity()
    first = RoutedEndpoint("e#1", "127.0.0.1:1", "a", "s", Role.DECODE, 8)
    capacity.set_endpoint(first)
    speeds = capacity.endpoint_speeds
    for peer in range(8):
        speeds.replace_peer_samples(f"i{peer}", "e#1", [sample(2.0, 1.0)])
    assert capacity.relative_speed("e#1", 2.0) == pytest.approx(0.5)
    assert capacity.relative_speed("e#1", 90.0) == 1.0
    capacity.remove_endpoint("e#1")
    assert speeds.speed("e#1", 2.0) == 1.0


def test_samples_received_twice_count_once() -> None:
    once, often = EndpointSpeeds(), EndpointSpeeds()
    for times, speeds in ((1, once), (9, often)):
        for _ in range(times):
            speeds.replace_peer_samples("i1", "a", [sample(3.0, 1.0), sample(3.0, 2.0)])
    assert often.sample_count("a") == once.sample_count("a") == 2
    assert often.speed("a", 3.0) == once.speed("a", 3.0) == 1.0


def test_token_times_are_compared_at_a_similar_load() -> None:
    """Under a burst, tokens take longer on every engine; this must not count as a slow engine."""
    speeds = EndpointSpeeds()
    for number in range(40):
        speeds.note_token_time("a", "s", 0.002, 0.1, float(number))
        speeds.note_token_time("b", "s", 0.006, 0.9, float(number))
    assert speeds.speed("a", 40.0) == speeds.speed("b", 40.0) == 1.0
    for number in range(40, 60):
        speeds.note_token_time("a", "s", 0.002, 0.1, float(number))
        speeds.note_token_time("b", "s", 0.006, 0.1, float(number))
    assert speeds.speed("b", 60.0) < 0.7


def test_all_endpoints_have_the_usual_speed_while_the_mechanism_is_switched_off() -> None:
    capacity = Capacity(MechanismSwitches(frozenset({Mechanism.ENDPOINT_SPEEDS})))
    for peer in range(8):
        capacity.endpoint_speeds.replace_peer_samples(f"i{peer}", "e", [sample(2.0, 1.0)])
    assert capacity.relative_speed("e", 2.0) == 1.0


LOG_RATIOS = st.floats(-9, 9)
SAMPLES = st.lists(
    st.builds(SpeedSample, st.floats(0, 50), st.sampled_from(SpeedSampleKind), LOG_RATIOS)
)


@given(st.lists(st.tuples(st.integers(0, 5), SAMPLES), max_size=20), st.randoms())
def test_speed_and_sample_count_stay_bounded_for_any_samples_of_peers(
    messages: list[tuple[int, list[SpeedSample]]], rng: random.Random
) -> None:
    speeds = EndpointSpeeds()
    for peer, samples in messages:
        for _ in range(rng.randint(1, 2)):
            speeds.replace_peer_samples(f"i{peer}", "a", samples)
    assert 1 / 8 < speeds.speed("a", 50.0) < 8
    assert speeds.sample_count("a") <= 32


def test_unusable_measurements_are_ignored() -> None:
    speeds = EndpointSpeeds()
    for ratio in (0.0, -1.0, math.inf, math.nan):
        speeds.note_ratio("a", SpeedSampleKind.PLAIN, ratio, 1.0)
        speeds.note_token_time("a", "s", ratio, 0.5, 1.0)
    speeds.replace_peer_samples("i1", "a", [SpeedSample(1.0, SpeedSampleKind.PROMPT, math.nan)])
    assert speeds.sample_count("a") == 0
    assert speeds.own_samples("a", 1.0) == []
