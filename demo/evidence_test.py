"""Tests that the demo's checks report each guarantee that the evidence violates."""

from collections import Counter

import pytest

from demo.evidence import CallResult, Evidence, ModelResult, check_guarantees

COMPLETE = ModelResult("question", "whole", "", (0, 1), "a b ", "a b ", 1, 0.1, 0.01, "e1")
ANSWERED = CallResult("work-order", "k1", 200, "yes", "")
REFUSED = CallResult("work-order", "k2", 503, "no", "no_endpoint")
VALID = Evidence(
    [COMPLETE],
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


def violated_guarantees(evidence: Evidence) -> list[int]:
    return [index for index, finding in enumerate(check_guarantees(evidence)) if not finding.held]


def test_valid_evidence_violates_none_of_the_eight_guarantees() -> None:
    assert len(check_guarantees(VALID)) == 8
    assert violated_guarantees(VALID) == []


@pytest.mark.parametrize(
    ("changes", "violated"),
    [
        ({"engine_memory_tokens": {"p1": 0, "d1": 40}}, [0]),
        ({"model_results": [COMPLETE, COMPLETE._replace(event_ids=(0, 0, 1))]}, [1]),
        ({"model_results": [COMPLETE._replace(end_marks=2)]}, [1]),
        ({"model_results": [COMPLETE._replace(text="a ")]}, [2]),
        (
            {
                "model_results": [
                    COMPLETE,
                    COMPLETE._replace(outcome="cut", text="x", end_marks=0, entry="e3"),
                ]
            },
            [2],
        ),
        ({"model_results": []}, [2]),
        ({"executions": Counter({"k1": 1, "k2": 1})}, [3]),
        ({"executions": Counter({"k1": 2})}, [4]),
        ({"executions": Counter()}, [4]),
        ({"orders_after_leaving": 1}, [5]),
        ({"stop_exit_code": 1}, [6]),
        ({"model_results": [COMPLETE, COMPLETE._replace(outcome="cut", end_marks=0)]}, [6]),
        ({"revisions": {"e3": [1, 2, 1, 2]}}, [7]),
        ({"revisions": {"e3": [1, 1]}}, [7]),
        ({"revisions": {"e2": [1], "e3": [2]}}, []),
        ({"activation_s": 6.0}, [7]),
    ],
)
def test_violation_is_reported(changes: dict[str, object], violated: list[int]) -> None:
    assert violated_guarantees(VALID._replace(**changes)) == violated
