"""The state machine of one model request: it maps events to actions and does no I/O.

The commit point is the first token that is forwarded to the caller. Before it, a
failed attempt is replaced by a new attempt. After it, the same answer is
continued from the next position. The machine records every endpoint that may
hold memory for the request until the endpoint has finished or a cancellation is sent.
"""

from enum import StrEnum

from cleatlink.core.data import Endpoint, ExecutionStatus, KvHandle, Limits, Placement, Refusal
from cleatlink.core.errors import ErrorKind
from cleatlink.request.events import (
    Action,
    CallerDisconnected,
    Cancel,
    CountRetry,
    CountWastedPrefill,
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
from cleatlink.request.retry_budget import RetryBudget

__all__ = ["ModelRequestMachine", "Phase"]

# Resuming the stream of a decode is cheap, but a stream that needs more resumes is faulty.
_MAX_RESUMES = 16
# A decode that produces no new event over this many resumes has stalled permanently.
_MAX_RESUMES_WITHOUT_PROGRESS = 2


class Phase(StrEnum):
    """Stage of processing of a request."""

    PLACING = "placing"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    DONE = "done"


class ModelRequestMachine:
    """State machine of one model request."""

    def __init__(self, name: str, limits: Limits, budget: RetryBudget) -> None:
        self._name = name
        self._limits = limits
        self._budget = budget
        self._phase = Phase.PLACING
        self._attempt = -1
        self._placement: Placement | None = None
        self._excluded_names: set[str] = set()
        self._last_failed_name = ""
        self._memory_holders: list[tuple[Endpoint, int]] = []
        self._next_position = 0
        self._resumes = 0
        self._resumes_without_progress = 0
        self._ran = ExecutionStatus.NO
        self._has_unused_prefill = False
        self._mismatched_events = 0

    @property
    def phase(self) -> Phase:
        """Stage of processing of the request."""
        return self._phase

    @property
    def attempt(self) -> int:
        """Number of the current attempt, starting at 0; -1 before the first attempt."""
        return self._attempt

    @property
    def ran(self) -> ExecutionStatus:
        """Whether the request ran, as far as is known."""
        return self._ran

    @property
    def memory_holders(self) -> tuple[tuple[Endpoint, int], ...]:
        """Endpoints that may hold memory, each with the attempt that the memory belongs to."""
        return tuple(self._memory_holders)

    @property
    def mismatched_events(self) -> int:
        """Number of received events that belonged to another request or attempt."""
        return self._mismatched_events

    def start(self) -> list[Action]:
        """Return the first action."""
        return [FindPlacement(frozenset())]

    def handle(self, event: Event) -> list[Action]:
        """Process one event and return the resulting actions, in the order of execution."""
        if self._phase is Phase.DONE or self._is_stale(event):
            return []
        # Checked before the match statement because this event arrives for every token.
        if isinstance(event, StreamEventReceived):
            return self._receive(event)
        match event:
            case PlacementFound(placement):
                return self._begin_attempt(placement)
            case PlacementFailed(refusal):
                return self._handle_placement_failure(refusal)
            case PrefillDone(_, kv):
                return self._begin_decode(kv)
            case OrderFailed():
                return self._handle_failure(event)
            case StreamOpened(attempt):
                return [ReadStreamEvent(attempt)]
            case StreamBroken():
                return self._resume()
            case DeadlinePassed():
                return self._give_up(self._deadline_refusal())
            case CallerDisconnected():
                return self._cancel_and_end()

    def _is_stale(self, event: Event) -> bool:
        """Check whether an event belongs to an attempt that is no longer current."""
        if isinstance(
            event, PrefillDone | OrderFailed | StreamOpened | StreamEventReceived | StreamBroken
        ):
            return event.attempt != self._attempt
        return False

    def _begin_attempt(self, placement: Placement) -> list[Action]:
        self._attempt += 1
        self._placement = placement
        self._phase = Phase.PREFILLING
        self._memory_holders.append((placement.prefill, self._attempt))
        return [SendPrefill(self._attempt, placement, self._next_position)]

    def _begin_decode(self, kv: KvHandle) -> list[Action]:
        assert self._placement is not None
        self._ran = ExecutionStatus.YES
        self._has_unused_prefill = True
        self._phase = Phase.DECODING
        if self._placement.decode != self._placement.prefill:
            self._memory_holders.append((self._placement.decode, self._attempt))
        return [SendDecode(self._attempt, self._placement, kv, self._next_position)]

    def _receive(self, event: StreamEventReceived) -> list[Action]:
        """Forward an event only if it has the next expected position of the current attempt."""
        if event.attempt_id != f"{self._name}.{self._attempt}":
            self._mismatched_events += 1
            return [ReadStreamEvent(self._attempt)]
        if event.position < self._next_position:
            return [ReadStreamEvent(self._attempt)]
        if event.position > self._next_position:
            return self._resume()
        if event.end:
            self._memory_holders.clear()
            self._phase = Phase.DONE
            return [Finish()]
        self._next_position += 1
        self._resumes_without_progress = 0
        self._has_unused_prefill = False
        return [ForwardEvent(event.position, event.data), ReadStreamEvent(self._attempt)]

    def _resume(self) -> list[Action]:
        """Resume the decode's stream, or retry the request if a resume limit is exceeded."""
        assert self._placement is not None
        self._resumes += 1
        self._resumes_without_progress += 1
        if (
            self._resumes > _MAX_RESUMES
            or self._resumes_without_progress > _MAX_RESUMES_WITHOUT_PROGRESS
        ):
            failed = OrderFailed(self._attempt, self._placement.decode, FailureCause.UNKNOWN)
            return self._handle_failure(failed)
        resume = ResumeStream(self._attempt, self._placement.decode, self._next_position)
        return [CountRetry("resume"), resume]

    def _handle_failure(self, event: OrderFailed) -> list[Action]:
        """Cancel the failed attempt, then request a new placement if a retry is allowed."""
        if self._resumes and event.cause is FailureCause.UNREACHABLE:
            # The endpoint had accepted the order before it became unreachable, so it may still
            # hold memory.
            event = event._replace(cause=FailureCause.UNKNOWN)
        if event.cause is FailureCause.UNKNOWN and self._ran is ExecutionStatus.NO:
            self._ran = ExecutionStatus.UNKNOWN
        self._last_failed_name = event.endpoint.name
        if event.cause is not FailureCause.REFUSED:
            self._excluded_names.add(event.endpoint.name)
        actions = self._cancel_attempt(event)
        if self._attempt + 1 >= self._limits.max_attempts or not self._budget.try_spend():
            return actions + self._give_up(self._failure_refusal())
        self._phase = Phase.PLACING
        self._resumes = self._resumes_without_progress = 0
        # An endpoint that refused is excluded only from this placement. It may accept later, for
        # example if it refused only because the hand-over was too slow.
        excluded = frozenset(self._excluded_names | {event.endpoint.name})
        return [*actions, CountRetry(event.cause.value), FindPlacement(excluded)]

    def _handle_placement_failure(self, refusal: Refusal) -> list[Action]:
        """Handle a failed placement.

        If endpoints other than the last one that failed are excluded, request a
        placement that excludes only the last one.
        """
        if self._excluded_names - {self._last_failed_name}:
            self._excluded_names.clear()
            return [FindPlacement(frozenset({self._last_failed_name}))]
        return self._give_up(self._replace_if_may_have_run(refusal))

    def _cancel_attempt(self, event: OrderFailed) -> list[Action]:
        """Cancel the attempt at every endpoint, except where it certainly holds no memory."""
        actions: list[Action] = []
        if self._has_unused_prefill or event.cause is FailureCause.UNKNOWN:
            actions.append(CountWastedPrefill(self._attempt))
        for endpoint, attempt in self._memory_holders:
            if not self._holds_no_memory(endpoint, event):
                actions.append(Cancel(endpoint, attempt))
        self._memory_holders.clear()
        self._has_unused_prefill = False
        return actions

    def _holds_no_memory(self, endpoint: Endpoint, event: OrderFailed) -> bool:
        """Check whether a failure proves that an endpoint holds no memory for the request."""
        if endpoint.name != event.endpoint.name or event.cause is FailureCause.UNKNOWN:
            return False
        # If one endpoint runs both steps, a refused decode leaves the prefill result there.
        assert self._placement is not None
        is_prefill = endpoint.name == self._placement.prefill.name
        return self._phase is Phase.PREFILLING or not is_prefill

    def _give_up(self, refusal: Refusal) -> list[Action]:
        return [*self._cancel_and_end(), Refuse(refusal)]

    def _cancel_and_end(self) -> list[Action]:
        """End the request and cancel it at every endpoint that may hold memory."""
        actions: list[Action] = []
        if self._has_unused_prefill and self._next_position == 0:
            actions.append(CountWastedPrefill(self._attempt))
        actions += [Cancel(endpoint, attempt) for endpoint, attempt in self._memory_holders]
        self._memory_holders.clear()
        self._phase = Phase.DONE
        return actions

    def _replace_if_may_have_run(self, refusal: Refusal) -> Refusal:
        """Replace a refusal that says ``not run`` if an attempt may have run."""
        if self._next_position or self._ran is not ExecutionStatus.NO:
            return self._failure_refusal()
        return refusal

    def _failure_refusal(self) -> Refusal:
        if self._next_position:
            return Refusal(
                ErrorKind.STREAM_BROKEN, f"answer broke off after {self._next_position} tokens"
            )
        if self._ran is ExecutionStatus.NO:
            return Refusal(ErrorKind.ENDPOINT_REFUSED, "no endpoint accepted the request")
        return Refusal(ErrorKind.ENDPOINT_FAILED, "every attempt failed")

    def _deadline_refusal(self) -> Refusal:
        if self._next_position:
            return self._failure_refusal()
        # An order that was sent and not yet answered at the deadline may be running.
        was_sent = self._phase in (Phase.PREFILLING, Phase.DECODING)
        if was_sent or self._ran is not ExecutionStatus.NO:
            return Refusal(ErrorKind.DEADLINE_PASSED, "deadline passed while the request ran")
        return Refusal(ErrorKind.DEADLINE_NOT_RUN, "deadline passed before the request was placed")
