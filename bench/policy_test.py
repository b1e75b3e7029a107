"""Tests that the policy benchmark is repeatable and sends every policy the same requests."""

from bench.policy import POLICIES, Cell, measure_policy

LIGHT_LOAD = Cell("cleatlink", "release-evening", 0.1, "none")


def test_same_seed_gives_identical_results() -> None:
    first = measure_policy(LIGHT_LOAD, 3)
    assert first == measure_policy(LIGHT_LOAD, 3)
    assert first != measure_policy(LIGHT_LOAD, 4)


def test_every_policy_completes_all_requests_under_light_load() -> None:
    rows = [row for name in POLICIES for row in measure_policy(LIGHT_LOAD._replace(policy=name), 3)]
    assert len({row["requests"] for row in rows if row["class"] == "translation"}) == 1
    assert all(row["whole"] == row["requests"] > 0 for row in rows)
    assert {row["goodput"] for row in rows if row["policy"] == "cleatlink"} == {1.0}
