"""Every sequence of events up to a length: which refusals say that the request did not run."""

import copy
from collections.abc import Iterator

import pytest

from cleatlink.core.data import Endpoint, KvHandle, Limits, Placement, Refusal
from cleatlink.core.errors import ERROR_RESPONSES, NOT_RUN_STATUSES, ErrorKind
from cleatlink.request.call_machine import (
    AnswerReceived,
    CallAction,
    CallEvent,
    CallMachine,
    EndpointFound,
    SendCall,
)
from cleatlink.request.events import (
    Action,
    DeadlinePassed,
    Event,
    FailureCause,
    FindPlacement,
    Finish,
    OrderFailed,
    PlacementFailed,
    PlacementFound,
    PrefillDone,
    ReadStreamEvent,
    Refuse,
    ResumeStream,
    SendDecode,
    SendPrefill,
    StreamBroken,
    StreamEventReceived,
    StreamOpened,
)
from cleatlink.request.model_machine import ModelRequestMachine
from cleatlink.request.retry_budget import RetryBudget

_MAX_EVENTS = 12
_LIMITS = Limits(1000, 1000, 1000, 10, 3, 0.1)
_PREFILL = Endpoint("p1", "p1", "a", "prefill")
_DECODE = Endpoint("d1", "d1", "a", "decode")
_KV = KvHandle("p1", "p1", 1, (1,))
_NO_ROOM = PlacementFailed(Refusal(ErrorKind.NO_ROOM, ""))
_CALL_STATUSES = (200, 408, 421, 429, 500, 503)


def may_run(event: object, is_sent: bool) -> bool:
    """Check whether the request may have run, given an event after an order was or wasn't sent."""
    if isinstance(event, OrderFailed):
        return event.cause is FailureCause.UNKNOWN
    return is_sent


def list_failures(attempt: int, endpoint: Endpoint) -> list[OrderFailed]:
    return [OrderFailed(attempt, endpoint, cause) for cause in FailureCause]


def list_model_events(pending: Action, name: str) -> Iterator[Event]:
    """List the events that can follow an action."""
    yield DeadlinePassed()
    match pending:
        case FindPlacement():
            yield from (PlacementFound(Placement(_PREFILL, _DECODE, "")), _NO_ROOM)
        case SendPrefill(attempt):
            yield from (PrefillDone(attempt, _KV), *list_failures(attempt, _PREFILL))
        case SendDecode(attempt) | ResumeStream(attempt):
            yield from (StreamOpened(attempt), *list_failures(attempt, _DECODE))
        case ReadStreamEvent(attempt):
            yield StreamBroken(attempt)
            yield StreamEventReceived(attempt, f"{name}.{attempt}", 0, b"x", False)


def list_call_events(pending: CallAction) -> Iterator[CallEvent]:
    """List the events that can follow an action."""
    yield DeadlinePassed()
    if isinstance(pending, FindPlacement):
        yield from (EndpointFound(_PREFILL), _NO_ROOM)
    elif isinstance(pending, SendCall):
        yield from (AnswerReceived(pending.attempt, status, {}, b"") for status in _CALL_STATUSES)
        yield from list_failures(pending.attempt, _PREFILL)


def check_refusal(refusal: Refusal, has_run: bool, events: list[object]) -> None:
    says_not_run = ERROR_RESPONSES[refusal.kind].ran == "no"
    assert says_not_run == (not has_run), (refusal, events)


def check_model(
    machine: ModelRequestMachine, pending: Action, has_run: bool, events: list[object]
) -> int:
    """Check all continuations of a sequence of events, and return the number of refusals."""
    if len(events) == _MAX_EVENTS:
        return 0
    refusals = 0
    for event in list_model_events(pending, "r"):
        continued = copy.deepcopy(machine)
        runs = has_run or may_run(event, not isinstance(pending, FindPlacement))
        actions = continued.handle(event)
        last = actions[-1] if actions else None
        if isinstance(last, Refuse):
            check_refusal(last.refusal, runs, [*events, event])
            refusals += 1
        elif last is not None:
            refusals += check_model(continued, last, runs, [*events, event])
    return refusals


def check_call(
    machine: CallMachine, pending: CallAction, has_run: bool, events: list[object]
) -> int:
    """Check all continuations of a sequence of events, and return the number of refusals."""
    if len(events) == _MAX_EVENTS:
        return 0
    refusals = 0
    for event in list_call_events(pending):
        continued = copy.deepcopy(machine)
        runs = has_run or may_run(event, isinstance(pending, SendCall))
        actions = continued.handle(event)
        last = actions[-1] if actions else None
        if isinstance(last, Refuse):
            check_refusal(last.refusal, runs, [*events, event])
            refusals += 1
        elif isinstance(last, Finish):
            assert continued.answer is not None
            assert continued.answer.status not in NOT_RUN_STATUSES
        elif last is not None:
            refusals += check_call(continued, last, runs, [*events, event])
    return refusals


@pytest.mark.parametrize("retries", [0.0, 10.0])
def test_model_request_that_may_have_run_is_refused_as_not_run(retries: float) -> None:
    machine = ModelRequestMachine("r", _LIMITS, RetryBudget(1.0, retries))
    assert check_model(machine, machine.start()[-1], False, []) > 0


@pytest.mark.parametrize("retries", [0.0, 10.0])
@pytest.mark.parametrize("is_repeatable", [False, True])
def test_call_that_may_have_run_is_refused_as_not_run(retries: float, is_repeatable: bool) -> None:
    machine = CallMachine(is_repeatable, _LIMITS, RetryBudget(1.0, retries))
    assert check_call(machine, machine.start()[-1], False, []) > 0
