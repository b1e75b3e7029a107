"""Learned paces: quick to learn, slow to be misled, over the whole range of engines."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.routing.pace import Estimate, ServicePace


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
    pace.note_prompt(pace.prompt_s(tokens), taken_s)
    assert pace.prompt_s(tokens) == pytest.approx(taken_s)


def test_waits_that_were_not_seen_do_not_pass_for_the_time_of_prompts() -> None:
    pace, rng = ServicePace(), random.Random(1)
    for _ in range(200):
        # Half of the prompts found others that this instance had not heard of.
        waited_s = rng.choice((0.0, rng.uniform(0.1, 1.0)))
        pace.note_prompt(pace.prompt_s(3000), 0.1 + waited_s)
    assert 0.09 < pace.prompt_s(3000) < 0.2


def test_prompts_that_take_longer_for_good_are_followed() -> None:
    pace = ServicePace()
    for _ in range(10):
        pace.note_prompt(pace.prompt_s(3000), 0.1)
    for _ in range(100):
        pace.note_prompt(pace.prompt_s(3000), 0.3)
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
