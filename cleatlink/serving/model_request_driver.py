"""Drives one model request: executes the actions of its state machine at endpoints.

The driver runs in the task that serves the caller. That task must always call ``close``,
which is synchronous so that it also works after the task was cancelled because the
caller disconnected.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio

from cleatlink.core.data import (
    Endpoint,
    KvHandle,
    Limits,
    Placement,
    Refusal,
    Request,
    RequestClass,
)
from cleatlink.core.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    ErrorKind,
    StreamBrokenError,
)
from cleatlink.request.classify import ClassifiedRequest
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
from cleatlink.request.model_machine import ModelRequestMachine
from cleatlink.request.retry_budget import RetryBudget
from cleatlink.routing import (
    Context,
    FleetView,
    WaitQueue,
    note_decode_started,
    place_request,
    release_request,
    reserve_request,
)
from cleatlink.serving.canceller import Canceller
from cleatlink.serving.change_notifier import ChangeNotifier
from cleatlink.serving.endpoints import EndpointClient, EventStream, Order
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics

__all__ = [
    "PLACEMENT_MAX_AGE_S",
    "AnswerEvents",
    "Finished",
    "DriverComponents",
    "ModelRequestDriver",
    "Output",
    "Refused",
    "classify_failure",
]

# An older placement is not used, because this process was paused after it was found.
PLACEMENT_MAX_AGE_S = 1.0
_OPEN_STREAM_TIMEOUT_S = 5.0
_LOG = Log("request")
_WAITABLE_REFUSAL_KINDS = frozenset({ErrorKind.NO_ROOM, ErrorKind.NO_ENDPOINT})


class AnswerEvents(NamedTuple):
    """Events to forward to the caller, each with its position in the answer."""

    events: list[tuple[int, bytes]]


class Finished(NamedTuple):
    """The answer is complete."""


class Refused(NamedTuple):
    """The request ended with an error."""

    refusal: Refusal


Output = AnswerEvents | Finished | Refused
PlaceRequest = Callable[[Request, RequestClass, FleetView, Context], Placement | Refusal]
SendNote = Callable[[str, int, tuple[str, ...], float], None]


class DriverComponents(NamedTuple):
    """Components of an instance that the drivers of all its requests share.

    Attributes:
        data_centre: Data centre in which this instance runs.
        client: Sends orders and calls to endpoints.
        canceller: Sends cancellations in the background.
        view: Known state of the fleet.
        view_changed: Wakes waiting plain calls when the view has changed.
        wait_queue: Model requests that wait for capacity.
        on_capacity_change: Called when capacity may have become free.
        metrics: Metrics of the instance.
        retry_budget: Retry budget of the instance.
        limits: Limits of the configuration in force.
        rng: The seeded random generator.
        send_note: Sends a note about a request in flight to peers.
        drop_note: Tells peers that a request has ended.
        prefill_timeout_s: Maximum duration of a prefill, in seconds.
        stall_timeout_s: Time without an event after which a stream is broken, in seconds.
        place: Chooses the endpoints for a request.
    """

    data_centre: str
    client: EndpointClient
    canceller: Canceller
    view: FleetView
    view_changed: ChangeNotifier
    wait_queue: WaitQueue
    on_capacity_change: Callable[[], None]
    metrics: Metrics
    retry_budget: RetryBudget
    limits: Limits
    rng: random.Random
    send_note: SendNote
    drop_note: Callable[[str], None]
    prefill_timeout_s: float
    stall_timeout_s: float
    place: PlaceRequest = place_request


class ModelRequestDriver:
    """Drives one model request from its placement to the last event of its answer."""

    def __init__(self, classified: ClassifiedRequest, components: DriverComponents) -> None:
        self._classified = classified
        self._request = classified.request
        self._components = components
        self._machine = ModelRequestMachine(
            classified.request.name, components.limits, components.retry_budget
        )
        self._actions: deque[Action] = deque(self._machine.start())
        self._stream: EventStream | None = None
        self._forwarded: list[bytes] = []
        self._placed_at = 0.0
        self._note_sent = False
        self._closed = False

    @property
    def forwarded(self) -> list[bytes]:
        """Data of all events forwarded so far."""
        return self._forwarded

    @property
    def attempt_count(self) -> int:
        """Number of attempts so far."""
        return self._machine.attempt + 1

    async def advance(self) -> Output:
        """Run until there is output for the caller, and return it."""
        events: list[tuple[int, bytes]] = []
        while True:
            action = self._actions.popleft()
            match action:
                case ReadStreamEvent(attempt):
                    received = self._take_buffered_event(attempt)
                    if received is None and events:
                        self._actions.appendleft(action)
                        return AnswerEvents(events)
                    event = received or await self._read_event(attempt)
                    self._actions.extend(self._machine.handle(event))
                case ForwardEvent(position, data):
                    self._forwarded.append(data)
                    events.append((position, data))
                case Finish() | Refuse() if events:
                    self._actions.appendleft(action)
                    return AnswerEvents(events)
                case Finish():
                    return Finished()
                case Refuse(refusal):
                    _LOG.log_message(
                        "ends with an error", request=self._request.name, kind=refusal.kind.value
                    )
                    return Refused(refusal)
                case _:
                    await self._execute_action(action)

    def close(self) -> None:
        """Cancel all work and release all reservations, in any state; may be called twice."""
        if self._closed:
            return
        self._closed = True
        for action in [*self._actions, *self._machine.handle(CallerDisconnected())]:
            if isinstance(action, Cancel | CountWastedPrefill):
                self._execute_without_wait(action)
        release_request(self._components.view, self._request, trio.current_time())
        self._components.on_capacity_change()
        if self._note_sent:
            self._components.drop_note(self._request.name)

    async def close_stream(self) -> None:
        """Close the open stream, if there is one."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                await stream.close()

    def _take_buffered_event(self, attempt: int) -> StreamEventReceived | None:
        """Return an event that has already arrived, or None."""
        event = self._stream.take_buffered() if self._stream is not None else None
        return None if event is None else StreamEventReceived(attempt, *event)

    async def _execute_action(self, action: Action) -> None:
        """Execute one action and pass the resulting event to the state machine."""
        if isinstance(action, Cancel | CountWastedPrefill | CountRetry):
            self._execute_without_wait(action)
            return
        event: Event = DeadlinePassed()
        with trio.move_on_at(self._request.deadline):
            event = await self._await_event(action)
        self._actions.extend(self._machine.handle(event))

    async def _await_event(self, action: Action) -> Event:
        match action:
            case FindPlacement(excluded):
                return await self._find_placement(excluded)
            case SendPrefill():
                return await self._run_prefill(action)
            case SendDecode():
                return await self._start_decode(action)
            case ResumeStream():
                return await self._resume_stream(action)
        raise AssertionError(f"unexpected action: {action}")

    def _execute_without_wait(self, action: Action) -> None:
        """Execute an action that neither waits nor results in an event."""
        match action:
            case Cancel(endpoint, attempt):
                self._components.canceller.cancel(endpoint.address, self._request.name, attempt)
            case CountWastedPrefill():
                self._components.metrics.count_wasted_prefill(self._request.prompt_tokens)
            case CountRetry(reason):
                self._components.metrics.count_retry(reason)
                _LOG.log_message(
                    "retries after a failure", request=self._request.name, reason=reason
                )

    async def _find_placement(self, excluded: frozenset[str]) -> Event:
        """Find a placement, waiting for capacity for at most the maximum wait of the class."""
        release_request(self._components.view, self._request, trio.current_time())
        wait_queue, request_class = self._components.wait_queue, self._classified.request_class
        now = trio.current_time()
        result: Placement | Refusal = Refusal(ErrorKind.NO_ROOM, "others wait for room")
        if not wait_queue.must_wait(request_class.name, request_class.priority, now):
            result = self._try_place(excluded)
        if isinstance(result, Refusal) and result.kind in _WAITABLE_REFUSAL_KINDS:
            result = await self._wait_for_placement(excluded, result)
        return PlacementFound(result) if isinstance(result, Placement) else PlacementFailed(result)

    async def _wait_for_placement(
        self, excluded: frozenset[str], result: Placement | Refusal
    ) -> Placement | Refusal:
        """Wait in the wait queue, which lets requests attempt a placement in its order."""
        done = trio.Event()

        def try_place() -> bool:
            nonlocal result
            result = self._try_place(excluded)
            if isinstance(result, Refusal) and result.kind in _WAITABLE_REFUSAL_KINDS:
                return False
            done.set()
            return True

        wait_queue, request_class = self._components.wait_queue, self._classified.request_class
        waiting_request = wait_queue.add(
            request_class.name, request_class.priority, trio.current_time(), try_place
        )
        try:
            with trio.move_on_after(request_class.max_wait_s):
                await done.wait()
        finally:
            wait_queue.remove(waiting_request)
        return result

    def _try_place(self, excluded: frozenset[str]) -> Placement | Refusal:
        """Attempt to place the request now, and reserve the capacity if that succeeds."""
        now = trio.current_time()
        context = Context(self._components.data_centre, excluded, now, self._components.rng)
        request_class, view, request = (
            self._classified.request_class,
            self._components.view,
            self._request,
        )
        if self.attempt_count:
            # The request was admitted earlier and may have cost a prefill, so a late first token
            # is better than a refusal.
            request = request._replace(first_token_deadline=math.inf)
        result = self._components.place(request, request_class, view, context)
        if isinstance(result, Placement):
            reserve_request(view, request, result, now)
            self._placed_at = now
        return result

    async def _run_prefill(self, action: SendPrefill) -> Event:
        placement, attempt = action.placement, action.attempt
        self._send_note(attempt, placement)
        if trio.current_time() - self._placed_at > PLACEMENT_MAX_AGE_S:
            return OrderFailed(attempt, placement.prefill, FailureCause.UNREACHABLE)
        self._components.metrics.count_prefill(self._request.prompt_tokens)
        order = self._build_order(placement.prefill, attempt, action.position)
        try:
            with trio.fail_after(self._components.prefill_timeout_s):
                kv = await self._components.client.prefill(order)
        except (EndpointError, trio.TooSlowError) as error:
            return self._record_failure(attempt, placement.prefill, error)
        note_decode_started(self._components.view, self._request, trio.current_time())
        self._components.on_capacity_change()
        return PrefillDone(attempt, kv)

    async def _start_decode(self, action: SendDecode) -> Event:
        order = self._build_order(action.placement.decode, action.attempt, action.position)
        return await self._open_stream(order, action.kv)

    async def _resume_stream(self, action: ResumeStream) -> Event:
        return await self._open_stream(
            self._build_order(action.endpoint, action.attempt, action.position)
        )

    async def _open_stream(self, order: Order, kv: KvHandle | None = None) -> Event:
        """Open a stream: of a new decode if a KV handle is given, else of the running decode."""
        await self.close_stream()
        client = self._components.client
        try:
            with trio.fail_after(_OPEN_STREAM_TIMEOUT_S):
                if kv is None:
                    self._stream = await client.resume(order)
                else:
                    self._stream = await client.decode(order, kv)
        except (EndpointError, trio.TooSlowError) as error:
            return self._record_failure(order.attempt, order.endpoint, error)
        return StreamOpened(order.attempt)

    async def _read_event(self, attempt: int) -> Event:
        """Read the next event; uses only one cancel scope because it runs for every token."""
        if self._stream is None:
            return StreamBroken(attempt)
        deadline = self._request.deadline
        stall_deadline = trio.current_time() + self._components.stall_timeout_s
        with trio.CancelScope(deadline=min(deadline, stall_deadline)) as scope:
            try:
                return StreamEventReceived(attempt, *await self._stream.read())
            except StreamBrokenError:
                return StreamBroken(attempt)
        assert scope.cancelled_caught
        return DeadlinePassed() if deadline <= stall_deadline else StreamBroken(attempt)

    def _record_failure(self, attempt: int, endpoint: Endpoint, error: Exception) -> OrderFailed:
        view, now = self._components.view, trio.current_time()
        if not isinstance(error, EndpointRefusedError):
            view.note_failure(endpoint.name, now)
        elif error.leaving:
            view.note_leaving_refusal(endpoint.name, now)
        elif error.backoff_s:
            view.note_backoff(endpoint.name, error.backoff_s, now)
        return OrderFailed(attempt, endpoint, classify_failure(error))

    def _build_order(self, endpoint: Endpoint, attempt: int, position: int) -> Order:
        text = join_text(self._forwarded, self._classified.chat) if position else ""
        classified = self._classified
        return Order(
            endpoint, self._request.name, attempt, classified.body, classified.chat, position, text
        )

    def _send_note(self, attempt: int, placement: Placement) -> None:
        self._note_sent = True
        addresses = (placement.prefill.address, placement.decode.address)
        remaining_s = self._request.deadline - trio.current_time()
        self._components.send_note(self._request.name, attempt, addresses, remaining_s)


def classify_failure(error: Exception) -> FailureCause:
    """Return the cause of a failed order, which shows whether the order may have run."""
    if isinstance(error, EndpointUnreachableError):
        return FailureCause.UNREACHABLE
    return FailureCause.REFUSED if isinstance(error, EndpointRefusedError) else FailureCause.UNKNOWN


def join_text(events: list[bytes], chat: bool) -> str:
    """Return the text of an answer, given the data of its events."""
    return "".join(_extract_text(data, chat) for data in events)


def _extract_text(data: bytes, chat: bool) -> str:
    try:
        choice = msgspec.json.decode(data)["choices"][0]
        text = choice["delta"].get("content") if chat else choice["text"]
    except (msgspec.MsgspecError, LookupError, TypeError, AttributeError):
        return ""
    return text if isinstance(text, str) else ""
