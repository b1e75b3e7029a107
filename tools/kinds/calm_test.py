"""The comparison of a few runs of two builds, and the verdict if they are too few."""

from pathlib import Path

import pytest

from tools.kinds.bench_run import BenchRun, RunResult, WorkTree
from tools.kinds.calm import render
from tools.kinds.comparison import Verdict, compare

# Worth of two builds: the first ordered a role change in each run, the second in two of seven runs.
WITH_ORDERS = [0.939, 0.948, 0.943, 0.947]
MOSTLY_WITHOUT_ORDERS = [0.889, 0.921, 0.881, 0.945, 0.894, 0.883, 0.889]


@pytest.mark.parametrize(
    ("before", "now", "verdict"),
    [
        (WITH_ORDERS, MOSTLY_WITHOUT_ORDERS, Verdict.LOWER),
        (MOSTLY_WITHOUT_ORDERS, WITH_ORDERS, Verdict.HIGHER),
        (WITH_ORDERS, [0.95, 0.938, 0.943, 0.949], Verdict.EQUIVALENT),
        ([0.9, 0.6], [0.8, 0.7], Verdict.INCONCLUSIVE),
        ([0.9, 0.9], [0.9, 0.9], Verdict.EQUIVALENT),
    ],
)
def test_verdict_follows_from_the_interval(
    before: list[float], now: list[float], verdict: Verdict
) -> None:
    assert compare(before, now).verdict(0.03) is verdict


def test_interval_is_welchs_interval() -> None:
    difference = compare([1.0, 2.0, 3.0], [2.0, 3.0, 4.0])
    assert difference.change == pytest.approx(1.0)
    assert difference.high - difference.change == pytest.approx(2.78 * (2 / 3) ** 0.5)


def result(label: str, worth: float | None, order_count: int = 1) -> RunResult:
    run = BenchRun("site", Path("site.toml"), "quiet-1", 1, WorkTree(label, Path()))
    return RunResult(run, worth, "" if worth else "too slow", order_count)


def test_site_with_a_lower_worth_or_a_failed_run_does_not_pass() -> None:
    before_results = [result("before", worth) for worth in WITH_ORDERS]
    text, passed = render(
        [*before_results, *(result("now", worth, order_count=0) for worth in MOSTLY_WITHOUT_ORDERS)]
    )
    assert not passed
    assert text.startswith("site: lower (-0.04")
    assert text.endswith("runs with a role change 4 of 4 and 0 of 7")
    text, passed = render([*before_results, result("now", None)])
    assert (text, passed) == ("site: now failed: too slow", False)
    assert render([*before_results, *(result("now", worth) for worth in WITH_ORDERS)])[1]
