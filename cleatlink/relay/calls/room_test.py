"""Who lets others go first when there is little room."""

import pytest

from cleatlink.relay.calls.room import _BEGUN_URGENCY, DecodeRoom, _Standing
from cleatlink.routing.prompt_plan import PromptPlan


@pytest.mark.parametrize(
    ("spare_s", "prompt_ready", "first_ago_s", "yields"),
    [
        (0.1, False, 0.0, False),
        (-0.1, False, 0.0, True),
        # Its prompt would be for nothing if it lapsed.
        (-0.1, True, 0.0, False),
        (-0.1, True, 2.0, False),
        # It is back, and was in time only if it were new.
        (0.1, False, 2.0, True),
        (2.1, False, 2.0, False),
    ],
)
def test_late_call_yields_unless_something_would_be_lost(
    spare_s: float, prompt_ready: bool, first_ago_s: float, yields: bool
) -> None:
    plan = PromptPlan(False, 0.1, 0.0, spare_s, 1.0)
    standing = _Standing(0, 0.0, prompt_ready, first_ago_s)
    assert DecodeRoom._yields(plan, standing) is yields


@pytest.mark.parametrize("spare_s", [0.1, -0.1, -5.0])
def test_call_that_has_begun_never_yields(spare_s: float) -> None:
    plan = PromptPlan(False, 0.1, 0.0, spare_s, 1.0)
    assert not DecodeRoom._yields(plan, _Standing(_BEGUN_URGENCY, 0.0, False))
