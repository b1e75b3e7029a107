"""Who lets others go first when there is little room."""

import pytest

from cleatlink.relay.room import DecodeRoom, _Standing
from cleatlink.routing.prompt_plan import PromptPlan


@pytest.mark.parametrize(
    ("spare_s", "prompt_ready", "keeps", "yields"),
    [
        (0.1, False, False, False),
        (-0.1, False, False, True),
        # Its prompt would be for nothing if it lapsed.
        (-0.1, True, False, False),
        # It was refused before, or has begun.
        (-0.1, False, True, False),
    ],
)
def test_late_call_yields_unless_something_would_be_lost(
    spare_s: float, prompt_ready: bool, keeps: bool, yields: bool
) -> None:
    plan = PromptPlan(False, 0.1, 0.0, spare_s, 1.0)
    standing = _Standing(0, 0.0, prompt_ready, keeps)
    assert DecodeRoom._yields(plan, standing) is yields
