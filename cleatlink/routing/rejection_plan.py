"""Plans the next step when a decode endpoint rejects a stream whose prompt is computed.

The endpoint rejects it for overload. The result of the prompt is kept for a short time only, and
each send counts against the retry budget. If another decode endpoint has capacity, the stream goes
there at once. If there is none, or the route does not allow another, the same endpoint is tried
again after growing delays.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["RejectionAction", "RejectionPlan", "plan_after_rejection"]

# A full engine has capacity again after some decode steps.
_FIRST_DELAY_S = 0.08
_DELAY_FACTOR = 2.0
# With their delays, these retries last longer than a prefill handle and stay below a usual
# latency target.
_MAX_REJECTIONS = 3
# A second rejection may be caused by the handle; without it, the endpoint computes the prompt.
_MAX_HANDLE_REJECTIONS = 1


class RejectionAction(StrEnum):
    """What to do with a rejected stream.

    Attributes:
        OTHER_ENDPOINT: Send it to another endpoint.
        SAME_ENDPOINT: Send it to the same endpoint again, after a delay.
        GIVE_UP: Fail the call.
    """

    OTHER_ENDPOINT = "elsewhere"
    SAME_ENDPOINT = "again"
    GIVE_UP = "give up"


class RejectionPlan(NamedTuple):
    """The next step after a rejection.

    Attributes:
        action: What to do with the stream.
        delay_s: Seconds to wait before the action.
        keeps_handle: Whether to send the handle of the prompt's result again.
    """

    action: RejectionAction
    delay_s: float = 0.0
    keeps_handle: bool = True


def plan_after_rejection(
    rejections: int, *, has_capacity_elsewhere: bool, handle_left_s: float, left_s: float
) -> RejectionPlan:
    """Plan the next step after a rejection; the stream has not run.

    Args:
        rejections: Number of rejections of the stream, including this one.
        has_capacity_elsewhere: Whether another decode endpoint that the stream may use has capacity
            now.
        handle_left_s: Seconds for which the result of the prompt is certain to be kept.
        left_s: Seconds for which the caller still waits.
    """
    keeps_handle = rejections <= _MAX_HANDLE_REJECTIONS and handle_left_s > 0
    if rejections > _MAX_REJECTIONS:
        return RejectionPlan(RejectionAction.GIVE_UP, keeps_handle=False)
    if has_capacity_elsewhere:
        return RejectionPlan(RejectionAction.OTHER_ENDPOINT, keeps_handle=keeps_handle)
    delay_s = _FIRST_DELAY_S * _DELAY_FACTOR ** (rejections - 1)
    if delay_s >= left_s:
        return RejectionPlan(RejectionAction.GIVE_UP, keeps_handle=False)
    return RejectionPlan(
        RejectionAction.SAME_ENDPOINT, delay_s, keeps_handle and handle_left_s > delay_s
    )
