"""Tests of which calls go behind others in the queue for decode capacity."""

import pytest

from cleatlink.relay.calls.decode_admission import (
    _BEGUN_STREAM_URGENCY,
    DecodeAdmission,
    _QueuePosition,
)
from cleatlink.routing.prompt_plan import PromptPlan


@pytest.mark.parametrize(
    ("slack_s", "prompt_ready", "refused_ago_s", "must_yield"),
    [
        (0.1, False, 0.0, False),
        (-0.1, False, 0.0, True),
        # A computed prompt would be wasted if it expired.
        (-0.1, True, 0.0, False),
        (-0.1, True, 2.0, False),
        # A retry that would meet its target only if its time counted from the retry.
        (0.1, False, 2.0, True),
        (2.1, False, 2.0, False),
    ],
)
def test_late_call_goes_behind_others_unless_its_prompt_is_computed(
    slack_s: float, prompt_ready: bool, refused_ago_s: float, must_yield: bool
) -> None:
    plan = PromptPlan(False, 0.1, 0.0, slack_s, 1.0)
    position = _QueuePosition(0, 0.0, prompt_ready, refused_ago_s)
    assert DecodeAdmission._must_yield(plan, position) is must_yield


@pytest.mark.parametrize("slack_s", [0.1, -0.1, -5.0])
def test_begun_stream_never_goes_behind_others(slack_s: float) -> None:
    plan = PromptPlan(False, 0.1, 0.0, slack_s, 1.0)
    assert not DecodeAdmission._must_yield(plan, _QueuePosition(_BEGUN_STREAM_URGENCY, 0.0, False))
