"""Drives one model request: room, prefill, decode, and the stream to its end."""

import math
from typing import NamedTuple

import trio

from cleatlink.core.data import Ran, Refusal
from cleatlink.core.errors import (
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.decode_place import RETRY_AFTER_S, DecodePlace
from cleatlink.relay.calls.events import EventCutter
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.calls.room import DecodeRoom
from cleatlink.relay.calls.succession import Succession
from cleatlink.relay.calls.watch import StreamWatch
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import ReplyHead
from cleatlink.relay.exchange import Exchange
from cleatlink.relay.tasks import run_watched
from cleatlink.routing.shed import ShedAction, ShedPlan, plan_after_shed

__all__ = ["StreamCall", "StreamEnd"]

# Far above the body of a failure.
_MOST_REPLY_BYTES = 65_536
# A resumable stream looks for another endpoint when its own is silent for so long.
_FIRST_EVENT_S = 1.5
# So many of the route's longest pauses count as silence, within these bounds.
_PAUSES = 3.0
_MIN_SILENCE_S = 0.5
_MOST_SILENCE_S = 1.5


class StreamEnd(NamedTuple):
    """What a stream came to.

    Attributes:
        refusal: Why nothing was answered; None once an answer has begun.
        whole: Whether the answer is complete.
    """

    refusal: Refusal | None = None
    whole: bool = False


class StreamCall:
    """One model request on its way."""

    def __init__(self, call: Call, exchange: Exchange, room: DecodeRoom, parts: RelayParts) -> None:
        self._call = call
        self._exchange = exchange
        self._rooms = room
        self._parts = parts
        self._cutter = EventCutter(call.inbound.last_event)
        self._place = DecodePlace(call, room, parts)
        self._succession = Succession(call, room, parts)
        self._refusals = 0

    async def run(self) -> StreamEnd:
        """Serve the request until it is whole or given up."""
        try:
            while True:
                end = await self._attempt()
                if end is not None:
                    return end
        finally:
            self._place.close()
            if self._succession.successor is not None:
                self._succession.successor.close()

    async def _attempt(self) -> StreamEnd | None:
        """Try once; None asks for another try."""
        successor, self._succession.successor = self._succession.successor, None
        if successor is not None:
            self._place = successor
            return await self._decode()
        refusal = self._call.bar() or await self._place.prepare()
        if refusal is not None:
            return self._give_up(refusal)
        return await self._decode()

    def _give_up(self, refusal: Refusal) -> StreamEnd:
        if self._exchange.started:
            return StreamEnd()
        if self._call.ran is not Ran.NO:
            refusal = self._call.failure(refusal.detail)
        return StreamEnd(refusal)

    async def _decode(self) -> StreamEnd | None:
        """Hand the result to the decode endpoint and pass its stream on."""
        call, place = self._call, self._place
        endpoint = place.endpoint
        if not self._parts.capacity.takes_work(endpoint.name):
            # A prompt can take longer than an endpoint that leaves takes new work: on engines
            # with prompts of seconds one was sent 2.5 s after the endpoint had said so.
            call.log("finds its endpoint leaving", endpoint=endpoint.name)
            place.move_on()
            return None
        rest_s = self._parts.capacity.rest_left_s(endpoint.name, trio.current_time())
        if rest_s:
            call.log("finds its endpoint at rest", endpoint=endpoint.name, rest_s=round(rest_s, 3))
            place.move_on()
            return None
        if not await place.wait_for_turn():
            call.log("finds its endpoint at its limit", endpoint=endpoint.name)
            place.leave()
            return None
        refusal = place.clear_to_send()
        if refusal is not None:
            return self._give_up(refusal)
        connection = await place.take_connection()
        if connection is None:
            return None
        call.note_sent(endpoint)
        try:
            return await self._converse(endpoint, connection)
        except (EndpointError, trio.TooSlowError, ValueError) as error:
            connection.close()
            call.note_failure(endpoint, error)
            place.prefill.drop("lost")
            if call.resumable:
                await call.settle(endpoint)
            return self._after_break()
        except BaseException:
            connection.close()
            raise

    async def _converse(
        self, endpoint: RoutedEndpoint, connection: EndpointConnection
    ) -> StreamEnd | None:
        """Send the request and pass the answer on, and look for a successor if it is silent.

        Raises:
            EndpointSilentError: A successor is ready to go on.
        """
        if not self._can_move():
            return await self._send(endpoint, connection)
        end = await run_watched(
            lambda: self._send(endpoint, connection),
            lambda leave: self._succession.run(self._place, leave),
        )
        if self._succession.successor is not None:
            raise EndpointSilentError("another endpoint goes on")
        return end

    async def _send(
        self, endpoint: RoutedEndpoint, connection: EndpointConnection
    ) -> StreamEnd | None:
        """Send the request on a connection and pass the answer on."""
        call, parts, prefill = self._call, self._parts, self._place.prefill
        handed_over, sent_at = prefill.source is not None, trio.current_time()
        upload = call.upload_to(endpoint)
        request = parts.protocol.forward(
            call.inbound,
            endpoint,
            call.left_s,
            kv_source=prefill.source,
            hold=self._place.hold.use(endpoint),
            last_event=self._cutter.last,
            priority=call.told_priority,
        )
        self._succession.follow(upload)
        self._succession.listen(_FIRST_EVENT_S)
        head = await connection.exchange(request, upload=upload)
        self._note_heard()
        if parts.protocol.not_run(head):
            connection.close()
            return await self._note_refused(endpoint, head)
        if not parts.protocol.belongs(head, call.inbound):
            raise OutcomeUnknownError("the answer is another request's")
        call.ran = Ran.YES
        call.note_read(endpoint, upload, trio.current_time() - sent_at)
        parts.capacity.note_room(endpoint.name)
        prefill.drop("taken")
        if head.status != 200:
            return await self._pass_failure(head, connection)
        if not parts.protocol.signed(head):
            raise OutcomeUnknownError("the answer has no signature")
        watch = StreamWatch(
            call,
            parts.capacity,
            endpoint.name,
            sent_at,
            handed_over=handed_over,
            upload=upload,
        )
        await self._relay(head, connection, watch)
        watch.note_end(self._place.room)
        call.note_served()
        parts.pool.give_back(endpoint, connection)
        parts.capacity.note_success(endpoint.name, trio.current_time())
        return StreamEnd(whole=True)

    def _can_move(self) -> bool:
        """Whether another endpoint may go on when this one is silent."""
        return self._call.resumable and self._call.may_try_another()

    def _note_heard(self) -> None:
        """Note that the endpoint spoke.

        Raises:
            EndpointSilentError: Another one has been found already and goes on from here.
        """
        self._succession.note_heard()
        if self._succession.successor is not None:
            raise EndpointSilentError("another endpoint goes on")

    async def _pass_failure(
        self, head: ReplyHead, connection: EndpointConnection
    ) -> StreamEnd | None:
        """Pass an endpoint's own failure back, unless another may be tried."""
        body = await connection.read_body(_MOST_REPLY_BYTES)
        connection.close()
        self._call.note_served()
        if self._exchange.started:
            return StreamEnd()
        if head.status >= 500 and self._can_move():
            self._call.log("got a failure", status=head.status)
            self._place.move_on()
            return None
        headers = self._parts.protocol.passed_back(head)
        await self._exchange.answer(head.status, headers, body)
        return StreamEnd(whole=True)

    async def _relay(
        self, head: ReplyHead, connection: EndpointConnection, watch: StreamWatch
    ) -> None:
        """Pass a stream on, event by event, to its proper end.

        Raises:
            StreamBrokenError: It ended or skipped before that.
        """
        exchange, call = self._exchange, self._call
        self._cutter.restart()
        heard_at = trio.current_time()
        longest_s = 0.0
        while True:
            self._succession.listen(self._silence_s())
            chunk = await connection.read_chunk()
            self._note_heard()
            now = trio.current_time()
            longest_s, heard_at = max(longest_s, now - heard_at), now
            call.note_heard(now)
            if chunk is None:
                break
            events = self._cutter.feed(chunk)
            if not events:
                continue
            watch.note_events(len(events), now)
            if not exchange.started:
                await self._start(head)
            await exchange.send(b"".join(event.data for event in events))
            # A caller that reads slowly does not make its endpoint slow.
            heard_at = trio.current_time()
            if longest_s > call.route.event_gap_s:
                call.note_slow(self._place.endpoint, longest_s)
                longest_s = -math.inf
        if self._cutter.partial:
            raise StreamBrokenError("the stream ended within an event")
        if not exchange.started:
            await self._start(head)
        await exchange.end()

    def _silence_s(self) -> float:
        """Give after how long a silence another endpoint is looked for."""
        pauses_s = _PAUSES * self._call.route.event_gap_s
        return min(_MOST_SILENCE_S, max(_MIN_SILENCE_S, pauses_s))

    async def _start(self, head: ReplyHead) -> None:
        call, parts = self._call, self._parts
        parts.metrics.count_answer(call.route.kind.value, head.status, call.age_s)
        call.log("begins its answer", status=head.status, in_time=call.in_time)
        self._rooms.prompt_computed(self._place.room.key)
        await self._exchange.start(head.status, parts.protocol.passed_back(head))

    async def _note_refused(self, endpoint: RoutedEndpoint, head: ReplyHead) -> StreamEnd | None:
        """Take a refusal: another endpoint may have room, or this one a little later."""
        call, place = self._call, self._place
        call.note_not_run()
        call.note_refused(endpoint, head)
        self._refusals += 1
        plan = self._plan_after_shed(endpoint)
        if plan.action is ShedAction.AGAIN:
            await trio.sleep(plan.pause_s)
            if self._has_room_elsewhere(endpoint):
                plan = plan._replace(action=ShedAction.ELSEWHERE)
        call.log(
            "goes on after a refusal",
            endpoint=endpoint.name,
            refusals=self._refusals,
            action=plan.action.value,
            pause_ms=int(1000 * plan.pause_s),
            keeps_handle=plan.keeps_handle,
        )
        if plan.action is ShedAction.GIVE_UP:
            return self._give_up(call.failure("the decode endpoint has no room", RETRY_AFTER_S))
        if not plan.keeps_handle:
            place.prefill.drop("refused")
        if plan.action is ShedAction.ELSEWHERE:
            place.move_on()
            return None
        return await self._decode()

    def _plan_after_shed(self, endpoint: RoutedEndpoint) -> ShedPlan:
        call = self._call
        if not self._parts.capacity.takes_work(endpoint.name):
            # It leaves, or its address has another endpoint now.
            return ShedPlan(ShedAction.ELSEWHERE)
        if not call.may_send(endpoint):
            return ShedPlan(ShedAction.GIVE_UP)
        return plan_after_shed(
            self._refusals,
            room_elsewhere=self._has_room_elsewhere(endpoint),
            handle_left_s=self._place.prefill.lives_for_s(),
            left_s=min(call.left_s, call.route.patience_s - call.age_s),
        )

    def _has_room_elsewhere(self, endpoint: RoutedEndpoint) -> bool:
        """Tell whether another endpoint that the route still allows has room now."""
        call = self._call
        if not call.may_try_another():
            return False
        return self._rooms.has_room_beside(call, endpoint, self._place.prefill.lives())

    def _after_break(self) -> StreamEnd | None:
        """Decide what follows a stream that broke off, never came or goes on elsewhere."""
        call = self._call
        if self._succession.successor is not None:
            self._place.close("lost")
            return None
        if not call.resumable or not call.may_try_another():
            detail = "the stream broke off"
            if self._exchange.started:
                return StreamEnd()
            return StreamEnd(Refusal(ErrorKind.ENDPOINT_FAILED, detail))
        self._place.move_on()
        return None
