"""Tests of the shared retry budget when its limits change."""

from cleatlink.request.shared_retry_budget import SharedRetryBudget


def test_changed_limits_keep_the_counted_extra_sends() -> None:
    budget = SharedRetryBudget(0.0, 10.0, 10.0)
    allowed = sum(budget.try_spend(1, 0.1 * number) for number in range(20))
    assert allowed == 8
    budget.set_limits(0.0, 10.0, 10.0)
    assert not budget.try_spend(1, 3.0)
    budget.set_limits(0.0, 20.0, 10.0)
    assert sum(budget.try_spend(1, 3.0) for _ in range(20)) == 8
    assert budget.try_spend(1, 12.0)
