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


def test_new_process_has_only_what_its_own_requests_allow() -> None:
    budget = SharedRetryBudget(0.5, 10.0, 10.0, started_at=100.0)
    assert not budget.try_spend(1, 100.0)
    for _ in range(10):
        budget.count_request(100.0)
    assert sum(budget.try_spend(1, 101.0) for _ in range(20)) == 4
    assert sum(budget.try_spend(1, 112.0) for _ in range(20)) == 8


def test_new_process_has_what_its_predecessor_left() -> None:
    budget = SharedRetryBudget(0.0, 10.0, 10.0, started_at=100.0)
    budget.inherit(5.0)
    budget.inherit(3.0)
    assert sum(budget.try_spend(1, 101.0) for _ in range(20)) == 3
    assert budget.used_allowance(1, 101.0) == 8.0
    assert budget.used_allowance(1, 111.0) == 0.0
