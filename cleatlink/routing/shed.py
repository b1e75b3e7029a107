"""Decides what follows when a decode turns away a stream whose prompt is computed.

The prompt's result is kept for a moment only, and each send counts against the retry
budget. Another decode with room gets the stream at once; where there is none, or the
route allows no other, the same decode is asked again after pauses that grow.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ShedAction", "ShedPlan", "plan_after_shed"]

# An engine that is full just now has room after some steps.
_FIRST_PAUSE_S = 0.08
_PAUSE_FACTOR = 2.0
# With the pauses between them these outlast a handle, and stay below a usual target.
_MOST_REFUSALS = 3
# A second refusal may be the handle's: the endpoint can compute the prompt itself.
_MOST_HANDLE_REFUSALS = 1


class ShedAction(StrEnum):
    """What a stream does that was turned away."""

    ELSEWHERE = "elsewhere"
    AGAIN = "again"
    GIVE_UP = "give up"


class ShedPlan(NamedTuple):
    """What follows a refusal.

    Attributes:
        action: What the stream does.
        pause_s: Seconds for which it waits before.
        keeps_handle: Whether the prompt's result is offered again.
    """

    action: ShedAction
    pause_s: float = 0.0
    keeps_handle: bool = True


def plan_after_shed(
    refusals: int, *, room_elsewhere: bool, handle_left_s: float, left_s: float
) -> ShedPlan:
    """Plan what follows a refusal; the stream has not run.

    Args:
        refusals: How often the stream was turned away, this time included.
        room_elsewhere: Whether another decode that it may go to has room now.
        handle_left_s: Seconds for which the prompt's result surely lives.
        left_s: Seconds for which the caller still waits.
    """
    keeps_handle = refusals <= _MOST_HANDLE_REFUSALS and handle_left_s > 0
    if refusals > _MOST_REFUSALS:
        return ShedPlan(ShedAction.GIVE_UP, keeps_handle=False)
    if room_elsewhere:
        return ShedPlan(ShedAction.ELSEWHERE, keeps_handle=keeps_handle)
    pause_s = _FIRST_PAUSE_S * _PAUSE_FACTOR ** (refusals - 1)
    if pause_s >= left_s:
        return ShedPlan(ShedAction.GIVE_UP, keeps_handle=False)
    return ShedPlan(ShedAction.AGAIN, pause_s, keeps_handle and handle_left_s > pause_s)
