"""Learned paces: quick to learn, slow to be misled, over the whole range of engines."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.routing.estimates import Estimate
from cleatlink.routing.mechanisms import Mechanism, Switches
from cleatlink.routing.pace import PaceSummary, ServicePace


@given(st.floats(0.0002, 0.02), st.integers(1, 64))
def test_pace_of_tokens_is_known_after_one_stretch(token_s: float, event_tokens: int) -> None:
    pace = ServicePace()
    pace.expect(0.9, 0.3, event_tokens)
    pace.note_tokens(90, 90 * token_s)
    assert pace.token_s == pytest.approx(token_s)
    assert pace.stream_s(500) == pytest.approx(pace.start_s + 500 * token_s)


@given(st.floats(5, 60), st.integers(50, 30_000))
def test_pace_of_prompts_is_known_after_one_prefill(tokens_ms: float, tokens: int) -> None:
    pace = ServicePace()
    taken_s = tokens / tokens_ms / 1000
    pace.note_prompt(tokens, 0.0, taken_s)
    assert pace.prompt_s(tokens) == pytest.approx(taken_s)


@given(st.floats(0.005, 0.2), st.floats(5, 60))
def test_fixed_part_of_a_prompt_is_told_from_the_part_of_its_tokens(
    base_s: float, tokens_ms: float
) -> None:
    pace, rng = ServicePace(), random.Random(1)
    for _ in range(40):
        tokens = rng.randrange(300, 6000)
        pace.note_prompt(tokens, 0.0, base_s + tokens / tokens_ms / 1000)
    for tokens in (500, 2000, 8000):
        expected_s = base_s + tokens / tokens_ms / 1000
        assert pace.prompt_s(tokens) == pytest.approx(expected_s, rel=0.05)


def test_waits_that_were_not_seen_do_not_pass_for_the_time_of_prompts() -> None:
    pace, rng = ServicePace(), random.Random(1)
    for _ in range(200):
        # Half of the prompts found others that this instance had not heard of.
        waited_s = rng.choice((0.0, rng.uniform(0.1, 1.0)))
        pace.note_prompt(3000, 0.0, 0.1 + waited_s)
    assert 0.09 < pace.prompt_s(3000) < 0.2


def test_queues_that_are_seen_too_long_do_not_make_prompts_look_quick() -> None:
    pace, rng = ServicePace(), random.Random(1)
    for _ in range(4):
        pace.note_prompt(1500, 0.0, 0.3)
    for _ in range(300):
        queue_s = rng.choice((0.0, 0.4))
        # Half of what was seen had been computed already.
        pace.note_prompt(1500, queue_s, 0.3 + queue_s / 2)
    assert pace.prompt_s(1500) == pytest.approx(0.3, rel=0.02)


def test_prompts_that_take_longer_for_good_are_followed() -> None:
    pace = ServicePace()
    for _ in range(10):
        pace.note_prompt(3000, 0.0, 0.1)
    for _ in range(100):
        pace.note_prompt(3000, 0.0, 0.3)
    assert pace.prompt_s(3000) == pytest.approx(0.3, rel=0.1)


def test_pace_follows_engines_that_change() -> None:
    pace = ServicePace()
    for _ in range(20):
        pace.note_tokens(100, 0.5)
    for _ in range(40):
        pace.note_tokens(100, 1.0)
    assert pace.token_s == pytest.approx(0.01, rel=0.05)


def test_one_sick_engine_does_not_spoil_the_pace_of_the_others() -> None:
    pace = ServicePace()
    for _ in range(20):
        pace.note_tokens(100, 0.5)
    pace.note_tokens(100, 500.0)
    assert pace.token_s < 0.0065


def test_prior_gives_way_to_what_was_measured_but_not_back() -> None:
    pace = ServicePace()
    pace.expect(1.0, 0.5, 10)
    assert pace.token_s == pytest.approx(0.01)
    assert pace.start_s == pytest.approx(0.2)
    pace.note_tokens(10, 0.02)
    pace.note_start(0.05)
    pace.expect(1.0, 0.5, 10)
    assert pace.token_s == pytest.approx(0.002)
    assert pace.start_s == pytest.approx(0.05)


def test_lengths_are_corrected_by_how_far_callers_are_off() -> None:
    pace = ServicePace()
    rng = random.Random(1)
    for _ in range(400):
        pace.note_length(1000, int(1500 * rng.lognormvariate(0, 0.3)))
    assert pace.length_ratio == pytest.approx(1.55, rel=0.15)
    assert pace.length_spread == pytest.approx(0.3, rel=0.35)


def test_a_hint_that_is_always_right_leaves_no_spread() -> None:
    pace = ServicePace()
    for _ in range(100):
        pace.note_length(1000, 1000)
    assert pace.length_ratio == pytest.approx(1.0)
    assert pace.length_spread < 0.1


@given(st.lists(st.floats(allow_nan=True, allow_infinity=True), max_size=30))
def test_an_estimate_stays_positive_and_finite(samples: list[float]) -> None:
    estimate = Estimate(1.0)
    for sample in samples:
        estimate.note(sample)
    assert 0 < estimate.value < float("inf")


def measured() -> ServicePace:
    pace = ServicePace()
    for number in range(8):
        pace.note_tokens(100, 0.5)
        pace.note_prompt(1000 + 300 * number, 0.0, 0.04 + (1000 + 300 * number) / 20_000)
        pace.note_start(0.06)
        pace.note_length(100, 80)
    return pace


def test_instance_without_measurements_takes_over_what_a_peer_measured() -> None:
    news = measured().summary(10.0)
    assert news is not None
    fresh = ServicePace()
    assert not fresh.is_known
    assert fresh.summary(10.0) is None
    fresh.adopt(*news, now=10.0)
    assert fresh.is_known
    assert fresh.token_s == pytest.approx(0.005)
    assert fresh.prompt_s(4000) == pytest.approx(0.24, rel=0.02)
    assert fresh.start_s == pytest.approx(0.06)
    assert fresh.length_ratio == pytest.approx(0.8)
    # It tells others in turn, with the age of the measurement, until that is old.
    told = fresh.summary(25.0)
    assert told is not None
    assert told[1] == pytest.approx(15.0)
    assert fresh.summary(41.0) is None


def test_own_measurements_and_newer_ones_go_before_what_peers_tell() -> None:
    pace = measured()
    slow = PaceSummary(0.5, 1.0, 0.01, 2.0, 3.0, 1.0)
    pace.adopt(slow, 0.0, 100.0)
    assert pace.token_s == pytest.approx(0.005)
    fresh = ServicePace()
    fresh.adopt(slow, 5.0, 100.0)
    fresh.adopt(slow._replace(token_s=0.2), 20.0, 100.0)
    assert fresh.token_s == 0.5
    fresh.adopt(slow._replace(token_s=0.1), 1.0, 100.0)
    assert fresh.token_s == 0.1
    for _ in range(4):
        fresh.note_tokens(100, 0.5)
    assert fresh.token_s == pytest.approx(0.005, rel=0.3)


def test_nothing_is_taken_over_where_nothing_is_learned() -> None:
    pace = ServicePace(Switches({Mechanism.LEARNED_PACE}))
    before = pace.token_s, pace.prompt_s(1000)
    pace.adopt(PaceSummary(0.5, 1.0, 0.01, 2.0, 3.0, 1.0), 0.0, 100.0)
    assert (pace.token_s, pace.prompt_s(1000)) == before


def test_slow_pace_follows_the_slowest_tenth_and_forgets_it() -> None:
    pace = ServicePace()
    assert pace.slow_token_s == math.inf
    for _ in range(15):
        pace.note_tokens(10, 0.01)
    # A few quick ones say nothing of slow ones.
    assert pace.slow_token_s == math.inf
    for number in range(60):
        pace.note_tokens(10, 0.04 if number % 5 == 0 else 0.01)
    assert pace.slow_token_s == pytest.approx(0.004)
    for _ in range(64):
        pace.note_tokens(10, 0.01)
    assert pace.slow_token_s == pytest.approx(0.001)


def test_slow_pace_of_an_instance_that_was_told_is_known() -> None:
    teacher, newcomer = ServicePace(), ServicePace()
    for _ in range(6):
        teacher.note_tokens(10, 0.05)
        teacher.note_prompt(1000, 0.0, 0.1)
    told = teacher.summary(1.0)
    assert told is not None
    newcomer.adopt(told[0], told[1], 1.0)
    assert newcomer.slow_token_s == pytest.approx(0.01)


def test_new_route_table_does_not_take_back_what_a_peer_told() -> None:
    """A prior replaces a prior, never what was measured somewhere.

    On engines of 25 ms a token, instances that had been started anew were told so by their
    peers. Then a configuration came, the pace fell back to what the route promises (0.9 ms),
    was told on as measured, and streams of 14 s were taken during stops as if they took 3 s:

        {"left_s":6.9,"needs_s":256.9,"message_type":"relay: is left to others by the stop"}
        {"left_s":4.3,"needs_s":3.2,"message_type":"relay: is left to others by the stop"}
    """
    teacher, newcomer = ServicePace(), ServicePace()
    for _ in range(6):
        teacher.note_tokens(64, 64 * 0.025)
        teacher.note_prompt(1000, 0.0, 0.1)
        teacher.note_start(0.4)
    told = teacher.summary(1.0)
    assert told is not None
    newcomer.adopt(told[0], told[1], 1.0)
    newcomer.expect(0.9, 0.3, 64)
    assert newcomer.token_s == pytest.approx(0.025)
    assert newcomer.start_s == pytest.approx(0.4)
    told_on = newcomer.summary(2.0)
    assert told_on is not None
    assert told_on[0].token_s == pytest.approx(0.025)
