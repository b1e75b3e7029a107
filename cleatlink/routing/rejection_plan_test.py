"""Next steps after a decode endpoint rejects a stream whose prompt is computed."""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.routing.rejection_plan import RejectionAction, plan_after_rejection

HANDLE_LEFT_S = 0.35


def test_rejected_stream_goes_to_another_endpoint_with_capacity_at_once() -> None:
    """Guards against retries at a full endpoint while another one has capacity.

    A stream was sent to one decode endpoint three times within 0.2 s and rejected each time, while
    others had capacity. The result of its prompt is kept for only half a second.
    """
    plan = plan_after_rejection(
        1, has_capacity_elsewhere=True, handle_left_s=HANDLE_LEFT_S, left_s=5.0
    )
    assert (plan.action, plan.delay_s, plan.keeps_handle) == (
        RejectionAction.OTHER_ENDPOINT,
        0.0,
        True,
    )


def test_delays_double_without_another_endpoint() -> None:
    plans = [
        plan_after_rejection(
            count, has_capacity_elsewhere=False, handle_left_s=HANDLE_LEFT_S, left_s=5.0
        )
        for count in (1, 2, 3, 4)
    ]
    assert [plan.action for plan in plans] == [RejectionAction.SAME_ENDPOINT] * 3 + [
        RejectionAction.GIVE_UP
    ]
    assert [plan.delay_s for plan in plans[:3]] == [0.08, 0.16, 0.32]
    assert [plan.keeps_handle for plan in plans[:3]] == [True, False, False]


@given(st.integers(1, 10), st.booleans(), st.floats(0.0, 2.0), st.floats(-1.0, 20.0))
def test_plan_respects_retry_limit_caller_deadline_and_handle(
    rejections: int, has_capacity_elsewhere: bool, handle_left_s: float, left_s: float
) -> None:
    plan = plan_after_rejection(
        rejections,
        has_capacity_elsewhere=has_capacity_elsewhere,
        handle_left_s=handle_left_s,
        left_s=left_s,
    )
    assert plan.action is RejectionAction.GIVE_UP or rejections <= 3
    assert plan.action is not RejectionAction.OTHER_ENDPOINT or has_capacity_elsewhere
    if plan.action is RejectionAction.SAME_ENDPOINT:
        assert plan.delay_s < left_s
        assert not plan.keeps_handle or plan.delay_s < handle_left_s
