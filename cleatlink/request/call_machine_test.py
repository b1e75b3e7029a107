"""Tests that a call that is not repeatable runs at most once for any order of events."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatlink.core.data import Endpoint, ExecutionStatus, Limits, Refusal, UnrepeatableCallRule
from cleatlink.core.errors import ERROR_RESPONSES, ErrorKind
from cleatlink.request.call_machine import (
    AnswerReceived,
    CallAction,
    CallMachine,
    EndpointFound,
    SendCall,
    is_repeatable,
)
from cleatlink.request.events import (
    CountRetry,
    DeadlinePassed,
    FailureCause,
    FindPlacement,
    Finish,
    OrderFailed,
    PlacementFailed,
    Refuse,
)
from cleatlink.request.retry_budget import RetryBudget

LIMITS = Limits(1000, 1000, 1000, 10, 4, 0.1)
S1 = Endpoint("s1", "s1", "a", "plain")
RULES = (UnrepeatableCallRule("GET", "/tiles/*"), UnrepeatableCallRule("POST", "/work-orders*"))


def test_rules_and_method_determine_whether_a_call_is_repeatable() -> None:
    assert not is_repeatable(RULES, "GET", "/tiles/7/left")
    assert is_repeatable(RULES, "GET", "/units/7")
    assert not is_repeatable(RULES, "POST", "/work-orders")
    assert not is_repeatable(RULES, "POST", "/anything")
    assert is_repeatable(RULES, "PUT", "/units/7")
    assert not is_repeatable((UnrepeatableCallRule("*", "/*"),), "PUT", "/units/7")


CAUSES = st.sampled_from(FailureCause)
STATUSES = st.sampled_from([200, 408, 421, 429, 500, 502, 503])
STEPS = st.lists(st.one_of(CAUSES, STATUSES, st.sampled_from(["found", "none", "deadline"])))


@settings(max_examples=1_000)
@given(STEPS, st.booleans())
def test_call_that_is_not_repeatable_runs_at_most_once(
    steps: list[object], repeatable: bool
) -> None:
    machine = CallMachine(repeatable, LIMITS, RetryBudget(1.0))
    pending = machine.start()[-1]
    possible_runs = 0
    for step in steps:
        attempt = pending.attempt if isinstance(pending, SendCall) else -1
        if step == "deadline":
            actions = machine.handle(DeadlinePassed())
            possible_runs += isinstance(pending, SendCall)
        elif isinstance(pending, FindPlacement) and step in ("found", "none"):
            placement_event = (
                EndpointFound(S1)
                if step == "found"
                else PlacementFailed(Refusal(ErrorKind.NO_ENDPOINT, ""))
            )
            actions = machine.handle(placement_event)
        elif isinstance(pending, SendCall) and isinstance(step, int):
            possible_runs += 1
            actions = machine.handle(AnswerReceived(attempt, step, {}, b""))
        elif isinstance(pending, SendCall) and isinstance(step, FailureCause):
            possible_runs += step is FailureCause.UNKNOWN
            actions = machine.handle(OrderFailed(attempt, S1, step))
        else:
            continue
        if not actions:
            continue
        pending = actions[-1]  # type: ignore[assignment]
        if isinstance(pending, Finish):
            assert machine.answer is not None
            assert machine.answer.status not in (408, 421, 429, 503)
        if isinstance(pending, Refuse):
            not_run = ERROR_RESPONSES[pending.refusal.kind].ran == "no"
            assert not_run == (possible_runs == 0)
            assert not_run == (machine.ran is ExecutionStatus.NO)
    assert repeatable or possible_runs <= 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_status_that_says_not_run_is_not_passed_on(status: int) -> None:
    """The endpoint may have run the call, and its caller would repeat it."""
    machine = CallMachine(False, LIMITS, RetryBudget(1.0))
    machine.start()
    machine.handle(EndpointFound(S1))
    actions = machine.handle(AnswerReceived(0, status, {}, b""))
    assert get_refusal_kinds(actions) == [ErrorKind.ENDPOINT_FAILED]
    assert machine.answer is None
    assert machine.ran is ExecutionStatus.UNKNOWN


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_status_that_says_not_run_is_retried_at_another_endpoint(status: int) -> None:
    machine = CallMachine(True, LIMITS, RetryBudget(1.0))
    machine.start()
    for attempt in range(LIMITS.max_attempts - 1):
        machine.handle(EndpointFound(S1))
        actions = machine.handle(AnswerReceived(attempt, status, {}, b""))
        assert actions == [CountRetry("unknown"), FindPlacement(frozenset({"s1"}))]
    machine.handle(EndpointFound(S1))
    actions = machine.handle(AnswerReceived(LIMITS.max_attempts - 1, status, {}, b""))
    assert get_refusal_kinds(actions) == [ErrorKind.ENDPOINT_FAILED]


def get_refusal_kinds(actions: list[CallAction]) -> list[ErrorKind]:
    """Return the kinds of the refusals among actions."""
    return [action.refusal.kind for action in actions if isinstance(action, Refuse)]
