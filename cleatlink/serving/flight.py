"""Drives one model request: carries out the machine's actions against endpoints.

The flight runs in the task that serves the caller. Whoever serves must call
``close`` in every case: it is plain code without a wait, so that it also works
where the task was cancelled because the caller has gone.
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
from cleatlink.serving.cancels import Canceller
from cleatlink.serving.endpoints import EndpointClient, EventStream, Order
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.news import News

__all__ = [
    "PLACE_LIFETIME_S",
    "Finished",
    "FlightParts",
    "ModelFlight",
    "Output",
    "Refused",
    "Tokens",
    "cause_of",
]

# A place older than this was found before a pause of this process.
PLACE_LIFETIME_S = 1.0
_OPEN_TIMEOUT_S = 5.0
_LOG = Log("request")
_WORTH_WAITING = frozenset({ErrorKind.NO_ROOM, ErrorKind.NO_ENDPOINT})


class Tokens(NamedTuple):
    """Events to pass on, each with its position."""

    events: list[tuple[int, bytes]]


class Finished(NamedTuple):
    """The answer is whole."""


class Refused(NamedTuple):
    """The request was given up."""

    refusal: Refusal


Output = Tokens | Finished | Refused
PlaceRequest = Callable[[Request, RequestClass, FleetView, Context], Placement | Refusal]
SendNote = Callable[[str, int, tuple[str, ...], float], None]


class FlightParts(NamedTuple):
    """What every flight of an instance shares.

    Attributes:
        data_centre: Where this instance runs.
        client: Speaks to endpoints.
        canceller: Sends cancels in the background.
        view: What is known of the fleet.
        news: Wakes calls that wait when the view changed.
        room: Model requests that wait for room.
        on_change: To be called when room may have come free.
        metrics: The instance's counters.
        budget: The instance's retry budget.
        limits: Limits of the configuration in force.
        rng: The seeded generator.
        send_note: Tells peers of a request in flight.
        drop_note: Tells peers that a request is over.
        prefill_timeout_s: Seconds for a prefill.
        stall_timeout_s: Seconds without a token.
        place: Decides where a request goes.
    """

    data_centre: str
    client: EndpointClient
    canceller: Canceller
    view: FleetView
    news: News
    room: WaitQueue
    on_change: Callable[[], None]
    metrics: Metrics
    budget: RetryBudget
    limits: Limits
    rng: random.Random
    send_note: SendNote
    drop_note: Callable[[str], None]
    prefill_timeout_s: float
    stall_timeout_s: float
    place: PlaceRequest = place_request


class ModelFlight:
    """One model request on its way."""

    def __init__(self, order: ClassifiedRequest, parts: FlightParts) -> None:
        self._order = order
        self._request = order.request
        self._parts = parts
        self._machine = ModelRequestMachine(order.request.name, parts.limits, parts.budget)
        self._actions: deque[Action] = deque(self._machine.start())
        self._stream: EventStream | None = None
        self._relayed: list[bytes] = []
        self._placed_at = 0.0
        self._noted = False
        self._closed = False

    @property
    def relayed(self) -> list[bytes]:
        """Data of every event passed on so far."""
        return self._relayed

    @property
    def attempts(self) -> int:
        """Attempts made so far."""
        return self._machine.attempt + 1

    async def advance(self) -> Output:
        """Go on until there is something for the caller."""
        out: list[tuple[int, bytes]] = []
        while True:
            action = self._actions.popleft()
            match action:
                case ReadStreamEvent(attempt):
                    received = self._take_waiting(attempt)
                    if received is None and out:
                        self._actions.appendleft(action)
                        return Tokens(out)
                    event = received or await self._read(attempt)
                    self._actions.extend(self._machine.handle(event))
                case ForwardEvent(position, data):
                    self._relayed.append(data)
                    out.append((position, data))
                case Finish() | Refuse() if out:
                    self._actions.appendleft(action)
                    return Tokens(out)
                case Finish():
                    return Finished()
                case Refuse(refusal):
                    _LOG.say("is given up.", request=self._request.name, kind=refusal.kind.value)
                    return Refused(refusal)
                case _:
                    await self._perform(action)

    def close(self) -> None:
        """Tear down, whatever the state; safe to call twice."""
        if self._closed:
            return
        self._closed = True
        for action in [*self._actions, *self._machine.handle(CallerDisconnected())]:
            if isinstance(action, Cancel | CountWastedPrefill):
                self._carry_out(action)
        release_request(self._parts.view, self._request, trio.current_time())
        self._parts.on_change()
        if self._noted:
            self._parts.drop_note(self._request.name)

    async def close_stream(self) -> None:
        """Close the connection that is read, if one is open."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                await stream.close()

    def _take_waiting(self, attempt: int) -> StreamEventReceived | None:
        """Take an event that has arrived already."""
        event = self._stream.take_waiting() if self._stream is not None else None
        return None if event is None else StreamEventReceived(attempt, *event)

    async def _perform(self, action: Action) -> None:
        """Carry one action out; what comes of it goes to the machine."""
        if isinstance(action, Cancel | CountWastedPrefill | CountRetry):
            self._carry_out(action)
            return
        event: Event = DeadlinePassed()
        with trio.move_on_at(self._request.deadline):
            event = await self._ask(action)
        self._actions.extend(self._machine.handle(event))

    async def _ask(self, action: Action) -> Event:
        match action:
            case FindPlacement(excluded):
                return await self._place(excluded)
            case SendPrefill():
                return await self._prefill(action)
            case SendDecode():
                return await self._decode(action)
            case ResumeStream():
                return await self._resume(action)
        raise AssertionError(f"not an action to wait for: {action}")

    def _carry_out(self, action: Action) -> None:
        """Carry out an action that needs no wait and has no event."""
        match action:
            case Cancel(endpoint, attempt):
                self._parts.canceller.cancel(endpoint.address, self._request.name, attempt)
            case CountWastedPrefill():
                self._parts.metrics.count_wasted(self._request.prompt_tokens)
            case CountRetry(reason):
                self._parts.metrics.count_retry(reason)
                _LOG.say("is tried again.", request=self._request.name, reason=reason)

    async def _place(self, excluded: frozenset[str]) -> Event:
        """Find a place, waiting for room as long as the class allows."""
        release_request(self._parts.view, self._request, trio.current_time())
        room, wanted = self._parts.room, self._order.request_class
        now = trio.current_time()
        found: Placement | Refusal = Refusal(ErrorKind.NO_ROOM, "others wait for room")
        if not room.must_wait(wanted.name, wanted.priority, now):
            found = self._try_place(excluded)
        if isinstance(found, Refusal) and found.kind in _WORTH_WAITING:
            found = await self._wait_for_place(excluded, found)
        return PlacementFound(found) if isinstance(found, Placement) else PlacementFailed(found)

    async def _wait_for_place(
        self, excluded: frozenset[str], found: Placement | Refusal
    ) -> Placement | Refusal:
        """Wait in the waiting room, which lets requests try in their order."""
        done = trio.Event()

        def attempt() -> bool:
            nonlocal found
            found = self._try_place(excluded)
            if isinstance(found, Refusal) and found.kind in _WORTH_WAITING:
                return False
            done.set()
            return True

        room, wanted = self._parts.room, self._order.request_class
        ticket = room.add(wanted.name, wanted.priority, trio.current_time(), attempt)
        try:
            with trio.move_on_after(wanted.max_wait_s):
                await done.wait()
        finally:
            room.remove(ticket)
        return found

    def _try_place(self, excluded: frozenset[str]) -> Placement | Refusal:
        """Place the request now if that can be, and reserve what it takes."""
        now = trio.current_time()
        context = Context(self._parts.data_centre, excluded, now, self._parts.rng)
        wanted, view, request = self._order.request_class, self._parts.view, self._request
        if self.attempts:
            # It has been taken in and cost a prefill: late is better than never.
            request = request._replace(first_token_deadline=math.inf)
        found = self._parts.place(request, wanted, view, context)
        if isinstance(found, Placement):
            reserve_request(view, request, found, now)
            self._placed_at = now
        return found

    async def _prefill(self, action: SendPrefill) -> Event:
        placement, attempt = action.placement, action.attempt
        self._send_note(attempt, placement)
        if trio.current_time() - self._placed_at > PLACE_LIFETIME_S:
            return OrderFailed(attempt, placement.prefill, FailureCause.UNREACHABLE)
        self._parts.metrics.count_prefill(self._request.prompt_tokens)
        order = self._make_order(placement.prefill, attempt, action.position)
        try:
            with trio.fail_after(self._parts.prefill_timeout_s):
                kv = await self._parts.client.prefill(order)
        except (EndpointError, trio.TooSlowError) as error:
            return self._fail(attempt, placement.prefill, error)
        note_decode_started(self._parts.view, self._request, trio.current_time())
        self._parts.on_change()
        return PrefillDone(attempt, kv)

    async def _decode(self, action: SendDecode) -> Event:
        order = self._make_order(action.placement.decode, action.attempt, action.position)
        return await self._open(order, action.kv)

    async def _resume(self, action: ResumeStream) -> Event:
        return await self._open(self._make_order(action.endpoint, action.attempt, action.position))

    async def _open(self, order: Order, kv: KvHandle | None = None) -> Event:
        """Open a stream: a new decode with KV, else the running one again."""
        await self.close_stream()
        client = self._parts.client
        try:
            with trio.fail_after(_OPEN_TIMEOUT_S):
                if kv is None:
                    self._stream = await client.resume(order)
                else:
                    self._stream = await client.decode(order, kv)
        except (EndpointError, trio.TooSlowError) as error:
            return self._fail(order.attempt, order.endpoint, error)
        return StreamOpened(order.attempt)

    async def _read(self, attempt: int) -> Event:
        """Read the next event; this runs for each token, so it has one scope only."""
        if self._stream is None:
            return StreamBroken(attempt)
        deadline = self._request.deadline
        stalled_at = trio.current_time() + self._parts.stall_timeout_s
        with trio.CancelScope(deadline=min(deadline, stalled_at)) as scope:
            try:
                return StreamEventReceived(attempt, *await self._stream.read())
            except StreamBrokenError:
                return StreamBroken(attempt)
        assert scope.cancelled_caught
        return DeadlinePassed() if deadline <= stalled_at else StreamBroken(attempt)

    def _fail(self, attempt: int, endpoint: Endpoint, error: Exception) -> OrderFailed:
        view, now = self._parts.view, trio.current_time()
        if not isinstance(error, EndpointRefusedError):
            view.note_failure(endpoint.name, now)
        elif error.leaving:
            view.note_leaving_refusal(endpoint.name, now)
        elif error.rest_s:
            view.note_backoff(endpoint.name, error.rest_s, now)
        return OrderFailed(attempt, endpoint, cause_of(error))

    def _make_order(self, endpoint: Endpoint, attempt: int, position: int) -> Order:
        text = join_text(self._relayed, self._order.chat) if position else ""
        order = self._order
        return Order(endpoint, self._request.name, attempt, order.body, order.chat, position, text)

    def _send_note(self, attempt: int, placement: Placement) -> None:
        self._noted = True
        addresses = (placement.prefill.address, placement.decode.address)
        left = self._request.deadline - trio.current_time()
        self._parts.send_note(self._request.name, attempt, addresses, left)


def cause_of(error: Exception) -> FailureCause:
    """Tell what an endpoint's failure says about whether the order ran."""
    if isinstance(error, EndpointUnreachableError):
        return FailureCause.UNREACHABLE
    return FailureCause.REFUSED if isinstance(error, EndpointRefusedError) else FailureCause.UNKNOWN


def join_text(events: list[bytes], chat: bool) -> str:
    """Join the text of an answer's events."""
    return "".join(_event_text(data, chat) for data in events)


def _event_text(data: bytes, chat: bool) -> str:
    try:
        choice = msgspec.json.decode(data)["choices"][0]
        text = choice["delta"].get("content") if chat else choice["text"]
    except (msgspec.MsgspecError, LookupError, TypeError, AttributeError):
        return ""
    return text if isinstance(text, str) else ""
