"""Estimated service times: fast to adapt, robust against outliers, on engines of any speed."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.routing.estimates import Estimate
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches
from cleatlink.routing.service_times import ServiceTimes, ServiceTimeSummary


@given(st.floats(0.0002, 0.02), st.integers(1, 64))
def test_token_time_is_known_after_one_segment(token_s: float, event_tokens: int) -> None:
    times = ServiceTimes()
    times.set_priors(0.9, 0.3, event_tokens)
    times.note_segment(90, 90 * token_s)
    assert times.token_s == pytest.approx(token_s)
    assert times.stream_duration_s(500) == pytest.approx(times.first_event_s + 500 * token_s)


@given(st.floats(5, 60), st.integers(50, 30_000))
def test_prompt_time_is_known_after_one_prefill(tokens_ms: float, tokens: int) -> None:
    times = ServiceTimes()
    taken_s = tokens / tokens_ms / 1000
    times.note_prompt(tokens, 0.0, taken_s)
    assert times.prompt_s(tokens) == pytest.approx(taken_s)


@given(st.floats(0.005, 0.2), st.floats(5, 60))
def test_base_time_of_a_prompt_is_separated_from_the_time_per_token(
    base_s: float, tokens_ms: float
) -> None:
    times, rng = ServiceTimes(), random.Random(1)
    for _ in range(40):
        tokens = rng.randrange(300, 6000)
        times.note_prompt(tokens, 0.0, base_s + tokens / tokens_ms / 1000)
    for tokens in (500, 2000, 8000):
        expected_s = base_s + tokens / tokens_ms / 1000
        assert times.prompt_s(tokens) == pytest.approx(expected_s, rel=0.05)


def test_unseen_queueing_does_not_raise_the_prompt_time() -> None:
    times, rng = ServiceTimes(), random.Random(1)
    for _ in range(200):
        # Half of the prompts were queued behind prompts that this instance did not know of.
        waited_s = rng.choice((0.0, rng.uniform(0.1, 1.0)))
        times.note_prompt(3000, 0.0, 0.1 + waited_s)
    assert 0.09 < times.prompt_s(3000) < 0.2


def test_overestimated_queues_do_not_lower_the_prompt_time() -> None:
    times, rng = ServiceTimes(), random.Random(1)
    for _ in range(4):
        times.note_prompt(1500, 0.0, 0.3)
    for _ in range(300):
        queue_s = rng.choice((0.0, 0.4))
        # Half of the estimated queue had been computed already.
        times.note_prompt(1500, queue_s, 0.3 + queue_s / 2)
    assert times.prompt_s(1500) == pytest.approx(0.3, rel=0.02)


def test_prompt_time_follows_a_permanent_slowdown() -> None:
    times = ServiceTimes()
    for _ in range(10):
        times.note_prompt(3000, 0.0, 0.1)
    for _ in range(100):
        times.note_prompt(3000, 0.0, 0.3)
    assert times.prompt_s(3000) == pytest.approx(0.3, rel=0.1)


def test_token_time_follows_engines_that_change() -> None:
    times = ServiceTimes()
    for _ in range(20):
        times.note_segment(100, 0.5)
    for _ in range(40):
        times.note_segment(100, 1.0)
    assert times.token_s == pytest.approx(0.01, rel=0.05)


def test_one_outlier_does_not_distort_the_token_time() -> None:
    times = ServiceTimes()
    for _ in range(20):
        times.note_segment(100, 0.5)
    times.note_segment(100, 500.0)
    assert times.token_s < 0.0065


def test_measurements_replace_the_prior_and_a_new_prior_does_not_replace_them() -> None:
    times = ServiceTimes()
    times.set_priors(1.0, 0.5, 10)
    assert times.token_s == pytest.approx(0.01)
    assert times.first_event_s == pytest.approx(0.2)
    times.note_segment(10, 0.02)
    times.note_first_event(0.05)
    times.set_priors(1.0, 0.5, 10)
    assert times.token_s == pytest.approx(0.002)
    assert times.first_event_s == pytest.approx(0.05)


def test_output_lengths_are_corrected_by_the_bias_of_callers_estimates() -> None:
    times = ServiceTimes()
    rng = random.Random(1)
    for _ in range(400):
        times.note_output_length(1000, int(1500 * rng.lognormvariate(0, 0.3)))
    assert times.length_ratio == pytest.approx(1.55, rel=0.15)
    assert times.length_spread == pytest.approx(0.3, rel=0.35)


def test_exact_length_estimates_leave_no_spread() -> None:
    times = ServiceTimes()
    for _ in range(100):
        times.note_output_length(1000, 1000)
    assert times.length_ratio == pytest.approx(1.0)
    assert times.length_spread < 0.1


@given(st.lists(st.floats(allow_nan=True, allow_infinity=True), max_size=30))
def test_estimate_stays_positive_and_finite(samples: list[float]) -> None:
    estimate = Estimate(1.0)
    for sample in samples:
        estimate.note_measurement(sample)
    assert 0 < estimate.value < float("inf")


def measured_times() -> ServiceTimes:
    times = ServiceTimes()
    for number in range(8):
        times.note_segment(100, 0.5)
        times.note_prompt(1000 + 300 * number, 0.0, 0.04 + (1000 + 300 * number) / 20_000)
        times.note_first_event(0.06)
        times.note_output_length(100, 80)
    return times


def test_instance_without_measurements_adopts_a_peers_summary() -> None:
    peer_summary = measured_times().summary(10.0)
    assert peer_summary is not None
    fresh = ServiceTimes()
    assert not fresh.is_known
    assert fresh.summary(10.0) is None
    fresh.adopt_peer_summary(*peer_summary, now=10.0)
    assert fresh.is_known
    assert fresh.token_s == pytest.approx(0.005)
    assert fresh.prompt_s(4000) == pytest.approx(0.24, rel=0.02)
    assert fresh.first_event_s == pytest.approx(0.06)
    assert fresh.length_ratio == pytest.approx(0.8)
    # It forwards the summary with the age of the measurement until that is too old.
    forwarded = fresh.summary(25.0)
    assert forwarded is not None
    assert forwarded[1] == pytest.approx(15.0)
    assert fresh.summary(41.0) is None


def test_own_and_newer_measurements_take_precedence_over_a_peers_summary() -> None:
    times = measured_times()
    slow = ServiceTimeSummary(0.5, 1.0, 0.01, 2.0, 3.0, 1.0)
    times.adopt_peer_summary(slow, 0.0, 100.0)
    assert times.token_s == pytest.approx(0.005)
    fresh = ServiceTimes()
    fresh.adopt_peer_summary(slow, 5.0, 100.0)
    fresh.adopt_peer_summary(slow._replace(token_s=0.2), 20.0, 100.0)
    assert fresh.token_s == 0.5
    fresh.adopt_peer_summary(slow._replace(token_s=0.1), 1.0, 100.0)
    assert fresh.token_s == 0.1
    for _ in range(4):
        fresh.note_segment(100, 0.5)
    assert fresh.token_s == pytest.approx(0.005, rel=0.3)


def test_no_summary_is_adopted_while_learning_is_switched_off() -> None:
    times = ServiceTimes(MechanismSwitches({Mechanism.MEASURED_SERVICE_TIMES}))
    before = times.token_s, times.prompt_s(1000)
    times.adopt_peer_summary(ServiceTimeSummary(0.5, 1.0, 0.01, 2.0, 3.0, 1.0), 0.0, 100.0)
    assert (times.token_s, times.prompt_s(1000)) == before


def test_slow_token_time_follows_the_slowest_tenth_of_recent_segments() -> None:
    times = ServiceTimes()
    assert times.slow_token_s == math.inf
    for _ in range(15):
        times.note_segment(10, 0.01)
    # A few fast segments don't show how slow engines can be.
    assert times.slow_token_s == math.inf
    for number in range(60):
        times.note_segment(10, 0.04 if number % 5 == 0 else 0.01)
    assert times.slow_token_s == pytest.approx(0.004)
    for _ in range(64):
        times.note_segment(10, 0.01)
    assert times.slow_token_s == pytest.approx(0.001)


def test_slow_token_time_is_known_after_a_peers_summary() -> None:
    measuring, restarted = ServiceTimes(), ServiceTimes()
    for _ in range(6):
        measuring.note_segment(10, 0.05)
        measuring.note_prompt(1000, 0.0, 0.1)
    peer_summary = measuring.summary(1.0)
    assert peer_summary is not None
    restarted.adopt_peer_summary(peer_summary[0], peer_summary[1], 1.0)
    assert restarted.slow_token_s == pytest.approx(0.01)


def test_new_route_table_does_not_replace_a_peers_measurements_by_a_prior() -> None:
    """A prior replaces only a prior, never a measurement of this instance or of a peer.

    Restarted instances adopted the token time of engines (25 ms) from their peers. A new
    configuration then reset it to the route's prior (0.9 ms), which was reported to peers as
    measured, and stopping instances began streams of 14 s that they expected to take 3 s:

        relay: request refused: it may not end before the planned stop, left_s 6.9, needs_s 256.9
        relay: request refused: it may not end before the planned stop, left_s 4.3, needs_s 3.2
    """
    measuring, restarted = ServiceTimes(), ServiceTimes()
    for _ in range(6):
        measuring.note_segment(64, 64 * 0.025)
        measuring.note_prompt(1000, 0.0, 0.1)
        measuring.note_first_event(0.4)
    peer_summary = measuring.summary(1.0)
    assert peer_summary is not None
    restarted.adopt_peer_summary(peer_summary[0], peer_summary[1], 1.0)
    restarted.set_priors(0.9, 0.3, 64)
    assert restarted.token_s == pytest.approx(0.025)
    assert restarted.first_event_s == pytest.approx(0.4)
    forwarded = restarted.summary(2.0)
    assert forwarded is not None
    assert forwarded[0].token_s == pytest.approx(0.025)
