"""Tests of idempotency keys: single grant, unknown outcomes and the limit on stored keys."""

import math
import uuid

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.request.idempotency_keys import (
    KEY_LIFETIME_S,
    MAX_CLOCK_SKEW_S,
    ClaimResult,
    ClaimState,
    IdempotencyKeyRegistry,
    StoredAnswer,
    find_home_data_centre,
    parse_key_time,
)

NOW = 1_700_000_000.0
ANSWER = StoredAnswer(200, "text/plain", b"done")


def make_key(at: float, number: int = 0) -> str:
    value = int(at * 1000) << 80 | 0x7 << 76 | 0x2 << 62 | number
    return str(uuid.UUID(int=value))


def test_creation_time_and_home_data_centre_are_read_from_the_key() -> None:
    key = make_key(NOW)
    assert parse_key_time(key) == NOW
    assert parse_key_time(f"a:{key}") == NOW
    assert find_home_data_centre(f"b:{key}", ["a", "b"]) == "b"
    assert find_home_data_centre(f"c:{key}", ["a", "b"]) is None
    assert find_home_data_centre(key, ["b", "a"]) == find_home_data_centre(key, ["a", "b"])
    for invalid in ("", "x", str(uuid.uuid4()), key[:-1], f"{{{key}}}"):
        assert parse_key_time(invalid) is None


def test_repeated_claim_of_a_granted_key_returns_running_then_done() -> None:
    registry, key = IdempotencyKeyRegistry(), make_key(NOW)
    assert registry.claim(key, "f", NOW - 60, NOW).state is ClaimState.GRANTED
    assert registry.claim(key, "f", NOW - 60, NOW).state is ClaimState.RUNNING
    assert registry.claim(key, "g", NOW - 60, NOW).state is ClaimState.MISMATCH
    registry.record_outcome(key, ANSWER)
    assert registry.claim(key, "f", NOW - 60, NOW) == ClaimResult(ClaimState.DONE, ANSWER)


def test_key_of_a_call_that_did_not_run_can_be_granted_again() -> None:
    registry, key = IdempotencyKeyRegistry(), make_key(NOW)
    registry.claim(key, "f", NOW - 60, NOW)
    registry.record_outcome(key, None)
    assert registry.claim(key, "f", NOW - 60, NOW).state is ClaimState.GRANTED


def test_key_created_before_the_ownership_is_unknown() -> None:
    registry = IdempotencyKeyRegistry()
    assert registry.claim(make_key(NOW - 1), "f", NOW - 1, NOW).state is ClaimState.UNKNOWN
    assert registry.claim(make_key(NOW), "f", math.inf, NOW).state is ClaimState.UNKNOWN


def test_expired_key_is_unknown_and_the_number_of_keys_is_limited() -> None:
    registry, key = IdempotencyKeyRegistry(max_keys=2), make_key(NOW)
    registry.claim(key, "f", NOW - 60, NOW)
    registry.record_outcome(key, ANSWER)
    later = NOW + KEY_LIFETIME_S + 1
    assert registry.claim(key, "f", NOW - 60, later).state is ClaimState.UNKNOWN
    for number in range(2):
        new_key = make_key(later, number)
        assert registry.claim(new_key, "f", NOW, later).state is ClaimState.GRANTED
    assert registry.claim(make_key(later, 9), "f", NOW, later).state is ClaimState.FULL


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.floats(0, 700), st.sampled_from(["claim", "record"])),
        max_size=40,
    ),
    st.floats(0, 1000),
)
def test_granted_key_is_never_granted_again(
    steps: list[tuple[int, float, str]], owner_age: float
) -> None:
    registry, now, ran = IdempotencyKeyRegistry(), NOW, set()
    keys = [make_key(NOW + 5 * number, number) for number in range(4)]
    for number, wait_s, action in steps:
        now += wait_s
        key = keys[number]
        if action == "record":
            registry.record_outcome(key, ANSWER)
        elif registry.claim(key, "f", NOW - owner_age, now).state is ClaimState.GRANTED:
            assert key not in ran
            created_at = parse_key_time(key)
            assert created_at is not None
            assert created_at - MAX_CLOCK_SKEW_S > NOW - owner_age
            ran.add(key)
