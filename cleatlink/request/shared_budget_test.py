"""A retry budget while its bounds change."""

from cleatlink.request.shared_budget import SharedRetryBudget


def test_other_bounds_forget_no_extra_send() -> None:
    budget = SharedRetryBudget(0.0, 10.0, 10.0)
    taken = sum(budget.take(1, 0.1 * number) for number in range(20))
    assert taken == 8
    budget.change(0.0, 10.0, 10.0)
    assert not budget.take(1, 3.0)
    budget.change(0.0, 20.0, 10.0)
    assert sum(budget.take(1, 3.0) for _ in range(20)) == 8
    assert budget.take(1, 12.0)
