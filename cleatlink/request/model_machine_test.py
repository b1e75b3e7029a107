"""Tests of the model request state machine, including its invariants for any order of events."""

import random

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Endpoint, ExecutionStatus, KvHandle, Limits, Placement, Refusal
from cleatlink.core.errors import ERROR_RESPONSES, ErrorKind
from cleatlink.request.events import (
    Action,
    CallerDisconnected,
    Cancel,
    CountRetry,
    DeadlinePassed,
    Event,
    FailureCause,
    FindPlacement,
    Finish,
    ForwardEvent,
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
from cleatlink.request.model_machine import ModelRequestMachine, Phase
from cleatlink.request.retry_budget import RetryBudget

LIMITS = Limits(1000, 1000, 1000, 10, 3, 0.1)
P1, P2 = (Endpoint(name, name, "a", "prefill") for name in ("p1", "p2"))
D1, D2 = (Endpoint(name, name, "a", "decode") for name in ("d1", "d2"))
FIRST_PLACEMENT, SECOND_PLACEMENT = Placement(P1, D1, ""), Placement(P2, D2, "")
KV = KvHandle("p1", "p1", 1, (0,))
MAX_POSITION = 6


def make_machine(budget: float = 10.0) -> ModelRequestMachine:
    machine = ModelRequestMachine("r", LIMITS, RetryBudget(0.1, budget))
    assert machine.start() == [FindPlacement(frozenset())]
    return machine


def stream_tokens(machine: ModelRequestMachine, tokens: int) -> None:
    machine.handle(PlacementFound(FIRST_PLACEMENT))
    machine.handle(PrefillDone(0, KV))
    machine.handle(StreamOpened(0))
    for position in range(tokens):
        machine.handle(StreamEventReceived(0, "r.0", position, b"x", False))


def action_types(actions: list[Action]) -> list[type]:
    return [type(action) for action in actions]


def test_request_without_failures_runs_to_completion() -> None:
    machine = make_machine()
    assert machine.handle(PlacementFound(FIRST_PLACEMENT)) == [SendPrefill(0, FIRST_PLACEMENT, 0)]
    assert machine.handle(PrefillDone(0, KV)) == [SendDecode(0, FIRST_PLACEMENT, KV, 0)]
    assert machine.handle(StreamOpened(0)) == [ReadStreamEvent(0)]
    assert machine.handle(StreamEventReceived(0, "r.0", 0, b"x", False)) == [
        ForwardEvent(0, b"x"),
        ReadStreamEvent(0),
    ]
    assert machine.handle(StreamEventReceived(0, "r.0", 1, b"", True)) == [Finish()]
    assert machine.phase is Phase.DONE
    assert machine.memory_holders == ()


def test_events_of_an_earlier_attempt_are_not_forwarded() -> None:
    machine = make_machine()
    machine.handle(PlacementFound(FIRST_PLACEMENT))
    actions = machine.handle(OrderFailed(0, P1, FailureCause.UNKNOWN))
    assert Cancel(P1, 0) in actions
    machine.handle(PlacementFound(SECOND_PLACEMENT))
    assert machine.handle(PrefillDone(0, KV)) == []
    machine.handle(PrefillDone(1, KV))
    assert machine.handle(StreamEventReceived(0, "r.0", 0, b"late", False)) == []
    actions_for_earlier_attempt = machine.handle(StreamEventReceived(1, "r.0", 0, b"late", False))
    assert actions_for_earlier_attempt == [ReadStreamEvent(1)]
    assert machine.mismatched_events == 1


def test_end_event_with_skipped_positions_resumes_the_stream() -> None:
    machine = make_machine()
    stream_tokens(machine, 2)
    assert machine.handle(StreamEventReceived(0, "r.0", 3, b"", True)) == [
        CountRetry("resume"),
        ResumeStream(0, D1, 2),
    ]


def test_refused_decode_cancels_the_prefill_result() -> None:
    machine = make_machine()
    machine.handle(PlacementFound(FIRST_PLACEMENT))
    machine.handle(PrefillDone(0, KV))
    actions = machine.handle(OrderFailed(0, D1, FailureCause.REFUSED))
    assert Cancel(P1, 0) in actions
    assert Cancel(D1, 0) not in actions


def test_endpoint_of_both_steps_is_cancelled_when_it_refuses_the_decode() -> None:
    both = Placement(P1, P1, "")
    machine = make_machine()
    machine.handle(PlacementFound(both))
    machine.handle(PrefillDone(0, KV))
    assert Cancel(P1, 0) in machine.handle(OrderFailed(0, P1, FailureCause.REFUSED))


def test_endpoint_that_becomes_unreachable_during_decode_is_cancelled() -> None:
    machine = make_machine()
    stream_tokens(machine, 2)
    machine.handle(StreamBroken(0))
    assert Cancel(D1, 0) in machine.handle(OrderFailed(0, D1, FailureCause.UNREACHABLE))


def test_exhausted_retry_budget_prevents_a_retry() -> None:
    machine = make_machine(budget=0.0)
    machine.handle(PlacementFound(FIRST_PLACEMENT))
    actions = machine.handle(OrderFailed(0, P1, FailureCause.REFUSED))
    assert action_types(actions) == [Refuse]
    assert actions[-1].refusal.kind is ErrorKind.ENDPOINT_REFUSED  # type: ignore[union-attr]


def test_failed_placement_after_unknown_outcome_does_not_report_not_run() -> None:
    machine = make_machine()
    machine.handle(PlacementFound(FIRST_PLACEMENT))
    machine.handle(OrderFailed(0, P1, FailureCause.UNKNOWN))
    actions = machine.handle(PlacementFailed(Refusal(ErrorKind.NO_ROOM, "")))
    assert ERROR_RESPONSES[actions[-1].refusal.kind].ran == "unknown"  # type: ignore[union-attr]


def test_deadline_during_an_open_order_does_not_report_not_run() -> None:
    machine = make_machine()
    assert machine.handle(DeadlinePassed())[-1].refusal.kind is ErrorKind.DEADLINE_NOT_RUN  # type: ignore[union-attr]
    machine = make_machine()
    machine.handle(PlacementFound(FIRST_PLACEMENT))
    assert machine.handle(DeadlinePassed())[-1].refusal.kind is ErrorKind.DEADLINE_PASSED  # type: ignore[union-attr]


EVENTS = st.one_of(
    st.sampled_from(
        [
            PlacementFound(FIRST_PLACEMENT),
            PlacementFound(SECOND_PLACEMENT),
            DeadlinePassed(),
            CallerDisconnected(),
        ]
    ),
    st.sampled_from([PlacementFailed(Refusal(kind, "")) for kind in (ErrorKind.NO_ROOM,)]),
    st.builds(PrefillDone, st.integers(0, 3), st.just(KV)),
    st.builds(
        OrderFailed,
        st.integers(0, 3),
        st.sampled_from([P1, P2, D1, D2]),
        st.sampled_from(FailureCause),
    ),
    st.builds(StreamOpened, st.integers(0, 3)),
    st.builds(StreamBroken, st.integers(0, 3)),
    st.builds(
        StreamEventReceived,
        st.integers(0, 3),
        st.sampled_from(["r.0", "r.1", "r.2", "other.0"]),
        st.integers(0, MAX_POSITION),
        st.just(b"x"),
        st.booleans(),
    ),
)


def is_possible(pending: Action | None, event: Event) -> bool:
    """Check whether an event can occur while an action is pending.

    Possible events are the answers to the pending action, a passed deadline and a caller
    that disconnects. Any other event is late.
    """
    if isinstance(event, DeadlinePassed | CallerDisconnected):
        return True
    match pending:
        case FindPlacement():
            return isinstance(event, PlacementFound | PlacementFailed)
        case SendPrefill(attempt, placement, _):
            return (isinstance(event, PrefillDone) and event.attempt == attempt) or (
                isinstance(event, OrderFailed)
                and (event.attempt, event.endpoint) == (attempt, placement.prefill)
            )
        case SendDecode(attempt, placement, _, _):
            return (isinstance(event, StreamOpened) and event.attempt == attempt) or (
                isinstance(event, OrderFailed)
                and (event.attempt, event.endpoint) == (attempt, placement.decode)
            )
        case ResumeStream(attempt, endpoint, _):
            return (isinstance(event, StreamOpened) and event.attempt == attempt) or (
                isinstance(event, OrderFailed)
                and (event.attempt, event.endpoint) == (attempt, endpoint)
            )
        case ReadStreamEvent(attempt):
            return (
                isinstance(event, StreamEventReceived | StreamBroken) and event.attempt == attempt
            )
    return False


@given(st.lists(EVENTS, max_size=60))
def test_invariants_hold_for_any_order_of_events(events: list[Event]) -> None:
    machine = make_machine()
    pending: Action | None = FindPlacement(frozenset())
    next_position, final_actions, ordered, cancelled = 0, 0, set(), set()
    without_memory: set[tuple[str, int]] = set()
    for event in events:
        is_late = isinstance(
            event, PrefillDone | OrderFailed | StreamOpened | StreamEventReceived | StreamBroken
        ) and (event.attempt != machine.attempt)
        if not is_late and not is_possible(pending, event):
            continue
        if (
            isinstance(event, OrderFailed)
            and event.cause is not FailureCause.UNKNOWN
            and not is_late
        ):
            without_memory.add((event.endpoint.name, event.attempt))
        ran_before = machine.ran
        actions = machine.handle(event)
        assert not is_late or actions == []
        for action in actions:
            match action:
                case ForwardEvent(position, _):
                    assert position == next_position
                    next_position += 1
                case Finish() | Refuse():
                    final_actions += 1
                    if (
                        isinstance(action, Refuse)
                        and ERROR_RESPONSES[action.refusal.kind].ran == "no"
                    ):
                        assert ran_before is ExecutionStatus.NO
                        assert next_position == 0
                case SendPrefill(attempt, placement, position):
                    assert position == next_position
                    ordered.add((placement.prefill.name, attempt))
                case SendDecode(attempt, placement, _, _):
                    ordered.add((placement.decode.name, attempt))
                case Cancel(endpoint, attempt):
                    cancelled.add((endpoint.name, attempt))
            if isinstance(
                action, FindPlacement | SendPrefill | SendDecode | ResumeStream | ReadStreamEvent
            ):
                pending = action
        if machine.phase is Phase.DONE:
            pending = None
            finished = any(isinstance(action, Finish) for action in actions)
            if not finished and actions:
                not_cancelled = ordered - cancelled - without_memory
                assert not not_cancelled, (
                    f"endpoints may hold memory without a time limit: {not_cancelled}"
                )
    assert final_actions <= 1
    assert machine.attempt < LIMITS.max_attempts


def test_budget_limits_retries_to_a_share_of_requests() -> None:
    budget = RetryBudget(0.1, 0.0)
    rng = random.Random(1)
    retries = 0
    for _ in range(10_000):
        budget.count_request()
        retries += rng.random() < 0.9 and budget.try_spend()
    assert 900 <= retries <= 1000
