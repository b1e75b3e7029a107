"""The demo's judgement: each promise that is broken on purpose is reported."""

from collections import Counter

import pytest

from demo.evidence import CallResult, Evidence, ModelResult, check_promises

WHOLE = ModelResult("question", "whole", "", (0, 1), "a b ", "a b ", 1, 0.1, 0.01, "e1")
ANSWERED = CallResult("work-order", "k1", 200, "yes", "")
REFUSED = CallResult("work-order", "k2", 503, "no", "no_endpoint")
GOOD = Evidence(
    [WHOLE],
    [ANSWERED, REFUSED],
    {"p1": 0},
    Counter({"k1": 1}),
    0,
    0,
    "e1",
    "e2",
    {"e3": [1, 1, 2]},
    2,
    0.5,
)


def broken(evidence: Evidence) -> list[int]:
    return [index for index, item in enumerate(check_promises(evidence)) if not item.held]


def test_good_evidence_holds_all_eight() -> None:
    assert len(check_promises(GOOD)) == 8
    assert broken(GOOD) == []


@pytest.mark.parametrize(
    ("changes", "promises"),
    [
        ({"engine_memory": {"p1": 0, "d1": 40}}, [0]),
        ({"models": [WHOLE, WHOLE._replace(ids=(0, 0, 1))]}, [1]),
        ({"models": [WHOLE._replace(ends=2)]}, [1]),
        ({"models": [WHOLE._replace(text="a ")]}, [2]),
        ({"models": [WHOLE, WHOLE._replace(outcome="cut", text="x", ends=0, entry="e3")]}, [2]),
        ({"models": []}, [2]),
        ({"executions": Counter({"k1": 1, "k2": 1})}, [3]),
        ({"executions": Counter({"k1": 2})}, [4]),
        ({"executions": Counter()}, [4]),
        ({"work_after_leaving": 1}, [5]),
        ({"stop_exit_code": 1}, [6]),
        ({"models": [WHOLE, WHOLE._replace(outcome="cut", ends=0)]}, [6]),
        ({"revisions": {"e3": [1, 2, 1, 2]}}, [7]),
        ({"revisions": {"e3": [1, 1]}}, [7]),
        ({"revisions": {"e2": [1], "e3": [2]}}, []),
        ({"in_force_s": 6.0}, [7]),
    ],
)
def test_what_is_broken_is_reported(changes: dict[str, object], promises: list[int]) -> None:
    assert broken(GOOD._replace(**changes)) == promises
