"""Tests of the shared retry budget when its limits change."""

from cleatlink.request.shared_budget import SharedRetryBudget


def test_changed_limits_keep_the_counted_extra_sends() -> None:
    budget = SharedRetryBudget(0.0, 10.0, 10.0)
    allowed = sum(budget.take(1, 0.1 * number) for number in range(20))
    assert allowed == 8
    budget.change(0.0, 10.0, 10.0)
    assert not budget.take(1, 3.0)
    budget.change(0.0, 20.0, 10.0)
    assert sum(budget.take(1, 3.0) for _ in range(20)) == 8
    assert budget.take(1, 12.0)
