"""Drives one model request: room, prefill, decode, and the stream to its end."""

import math
from typing import NamedTuple

import trio

from cleatlink.core.data import Ran, Refusal
from cleatlink.core.errors import (
    EndpointError,
    EndpointUnreachableError,
    ErrorKind,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.call import Call, RelayParts
from cleatlink.relay.connection import EndpointConnection
from cleatlink.relay.events import EventCutter
from cleatlink.relay.hold import HoldOutcome, StreamHold
from cleatlink.relay.pool import FRESH_LIMIT_S
from cleatlink.relay.prefill import Prefill
from cleatlink.relay.protocol import ReplyHead
from cleatlink.relay.room import DecodeRoom, Room
from cleatlink.relay.server import Exchange
from cleatlink.relay.watch import StreamWatch
from cleatlink.routing.relay_place import estimate_output, longest_stream_s

__all__ = ["StreamCall", "StreamEnd"]

# Far above the body of a failure.
_MOST_REPLY_BYTES = 65_536
# An engine that is full just now has room after some steps.
_OFFER_AGAIN_S = 0.08
# With the pause between them this stays within a handle's life.
_MOST_REFUSALS = 2
# Resumable streams leave an endpoint that is silent for so long.
_FIRST_EVENT_S = 1.5
# So many of the route's longest pauses count as silence, within these bounds.
_PAUSES = 3.0
_MIN_SILENCE_S = 0.5
_MOST_SILENCE_S = 1.5
# Time in which a decode that was full ends a stream.
_RETRY_AFTER_S = 0.6


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
        self._prefill = Prefill(call, parts)
        self._hold = StreamHold(call, parts)
        self._refusals = 0
        self._room: Room | None = None
        self._connection: EndpointConnection | None = None

    async def run(self) -> StreamEnd:
        """Serve the request until it is whole or given up."""
        try:
            while True:
                end = await self._attempt()
                if end is not None:
                    return end
        finally:
            self._prefill.drop("unused")
            self._hold.drop()
            self._leave_connection()
            self._give_room_back()

    async def _attempt(self) -> StreamEnd | None:
        """Try once; None asks for another try."""
        found = await self._rooms.find(self._call, prompt_ready=self._prefill.lives())
        if isinstance(found, Refusal):
            return self._give_up(found)
        self._room = found
        if not await self._reach(found.endpoint) or not await self._take_hold(found):
            return None
        if not found.direct:
            refusal = await self._prefill.run(found.endpoint.data_centre)
            if refusal is not None:
                return self._give_up(refusal)
        return await self._decode()

    async def _reach(self, endpoint: RoutedEndpoint) -> bool:
        """Connect to the decode endpoint: a prompt computed for one out of reach is waste."""
        self._leave_connection()
        try:
            self._connection = await self._parts.pool.take(endpoint, FRESH_LIMIT_S)
        except EndpointUnreachableError as error:
            self._call.note_failure(endpoint, error)
            self._move_on()
            return False
        return True

    async def _take_hold(self, room: Room) -> bool:
        """Have the endpoint hold room; tells whether the stream may go on there."""
        assert self._connection is not None, "the endpoint was reached"
        outcome = await self._hold.take(room.endpoint, self._connection, room.output)
        if outcome is HoldOutcome.FULL:
            # Nothing is lost yet, and there may be room again soon.
            self._parts.pool.keep(room.endpoint, self._connection)
            self._connection = None
            self._give_room_back()
        elif outcome is HoldOutcome.FAILED:
            self._move_on()
        return outcome in (HoldOutcome.HELD, HoldOutcome.NOT_OFFERED)

    def _leave_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _give_up(self, refusal: Refusal) -> StreamEnd:
        if self._exchange.started:
            return StreamEnd()
        if self._call.ran is not Ran.NO:
            refusal = self._call.failure(refusal.detail)
        return StreamEnd(refusal)

    async def _decode(self) -> StreamEnd | None:
        """Hand the result to the decode endpoint and pass its stream on."""
        call = self._call
        assert self._room is not None, "room comes before the decode"
        endpoint = self._room.endpoint
        if not self._parts.capacity.takes_work(endpoint.name):
            # A prompt can take longer than an endpoint that leaves takes new work: on engines
            # with prompts of seconds one was sent 2.5 s after the endpoint had said so.
            call.log("finds its endpoint leaving", endpoint=endpoint.name)
            self._move_on()
            return None
        if not call.may_begin(self._rest_s()):
            return self._give_up(call.refuse_for_stop(self._rest_s()))
        if not call.may_send(endpoint):
            return self._give_up(call.failure("no attempt is left", _RETRY_AFTER_S))
        if call.sends and not call.spend("decode"):
            return self._give_up(call.failure("the retry budget is empty", _RETRY_AFTER_S))
        kept = self._connection is not None and self._connection.usable
        if not kept and not await self._reach(endpoint):
            return None
        connection, self._connection = self._connection, None
        assert connection is not None, "the endpoint was reached"
        try:
            return await self._converse(endpoint, connection)
        except (EndpointError, trio.TooSlowError, ValueError) as error:
            connection.close()
            self._call.note_failure(endpoint, error)
            self._prefill.drop("lost")
            return self._after_break()
        except BaseException:
            connection.close()
            raise

    def _rest_s(self) -> float:
        """Give how long the stream should take from here on.

        One whose prompt is computed is given up only if it is not even expected to end in time.
        """
        pace = self._parts.capacity.pace(self._call.service.name)
        if self._prefill.source is None:
            return longest_stream_s(self._call.inbound, pace)
        return pace.stream_s(estimate_output(self._call.inbound, pace))

    async def _converse(
        self, endpoint: RoutedEndpoint, connection: EndpointConnection
    ) -> StreamEnd | None:
        """Send the request on a connection and pass the answer on."""
        call, parts = self._call, self._parts
        call.note_sent(endpoint)
        handed_over, sent_at = self._prefill.source is not None, trio.current_time()
        request = parts.protocol.forward(
            call.inbound,
            endpoint.name,
            call.left_s,
            kv_source=self._prefill.source,
            hold=self._hold.use(endpoint),
            last_event=self._cutter.last,
        )
        with trio.fail_after(_FIRST_EVENT_S if self._can_move() else max(0.0, call.left_s)):
            head = await connection.exchange(request)
        if parts.protocol.not_run(head):
            connection.close()
            return await self._note_refused(endpoint, head)
        if not parts.protocol.belongs(head, call.inbound):
            raise OutcomeUnknownError("the answer is another request's")
        call.ran = Ran.YES
        parts.capacity.note_room(endpoint.name)
        self._prefill.drop("taken")
        if head.status != 200:
            return await self._pass_failure(head, connection)
        if not parts.protocol.signed(head):
            raise OutcomeUnknownError("the answer has no signature")
        watch = StreamWatch(call, parts.capacity.pace(call.service.name), sent_at, handed_over)
        await self._relay(head, connection, watch)
        assert self._room is not None, "it streamed in its room"
        watch.note_end(self._room)
        parts.pool.give_back(endpoint, connection)
        parts.capacity.note_success(endpoint.name, trio.current_time())
        return StreamEnd(whole=True)

    def _can_move(self) -> bool:
        """Whether another endpoint may go on when this one is silent."""
        return self._call.resumable and self._call.may_try_another()

    async def _pass_failure(
        self, head: ReplyHead, connection: EndpointConnection
    ) -> StreamEnd | None:
        """Pass an endpoint's own failure back, unless another may be tried."""
        body = await connection.read_body(_MOST_REPLY_BYTES)
        connection.close()
        if self._exchange.started:
            return StreamEnd()
        if head.status >= 500 and self._can_move():
            self._call.log("got a failure", status=head.status)
            self._move_on()
            return None
        headers = self._parts.protocol.passed_back(head)
        await self._exchange.answer(head.status, headers, body)
        return StreamEnd(whole=True)

    async def _relay(
        self, head: ReplyHead, connection: EndpointConnection, watch: StreamWatch
    ) -> None:
        """Pass a stream on, event by event, to its proper end.

        Raises:
            StreamBrokenError: It ended, paused or skipped before that.
        """
        exchange, call = self._exchange, self._call
        self._cutter.restart()
        heard_at = trio.current_time()
        longest_s = 0.0
        while True:
            silence_s = self._silence_s() if self._can_move() else max(0.0, call.left_s)
            with trio.fail_after(silence_s):
                chunk = await connection.read_chunk()
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
            if longest_s > call.route.event_gap_s and self._room is not None:
                call.note_slow(self._room.endpoint, longest_s)
                longest_s = -math.inf
        if self._cutter.partial:
            raise StreamBrokenError("the stream ended within an event")
        if not exchange.started:
            await self._start(head)
        await exchange.end()

    def _silence_s(self) -> float:
        """Give how long an endpoint may be silent before another one goes on."""
        pauses_s = _PAUSES * self._call.route.event_gap_s
        return min(_MOST_SILENCE_S, max(_MIN_SILENCE_S, pauses_s))

    async def _start(self, head: ReplyHead) -> None:
        call, parts = self._call, self._parts
        parts.metrics.count_answer(call.route.kind.value, head.status, call.age_s)
        call.log("begins its answer", status=head.status, in_time=call.in_time)
        if self._room is not None:
            self._rooms.prompt_computed(self._room.key)
        await self._exchange.start(head.status, parts.protocol.passed_back(head))

    async def _note_refused(self, endpoint: RoutedEndpoint, head: ReplyHead) -> StreamEnd | None:
        """Take a refusal: the handle may still serve here a little later, or elsewhere."""
        call = self._call
        call.note_not_run()
        call.note_refused(endpoint, head.status)
        self._refusals += 1
        # Also after a 421: the address has another endpoint now.
        if call.may_try_another():
            self._move_on()
            return None
        if self._refusals > _MOST_REFUSALS or not call.may_send(endpoint):
            return self._give_up(call.failure("the decode endpoint has no room", _RETRY_AFTER_S))
        await trio.sleep(_OFFER_AGAIN_S)
        if self._refusals > 1 or not self._prefill.lives():
            # The refusal may be the handle's: the endpoint can compute the prompt itself.
            self._prefill.drop("refused")
        return await self._decode()

    def _after_break(self) -> StreamEnd | None:
        """Decide what follows a stream that broke off or never came."""
        call = self._call
        if not call.resumable or not call.may_try_another():
            detail = "the stream broke off"
            if self._exchange.started:
                return StreamEnd()
            return StreamEnd(Refusal(ErrorKind.ENDPOINT_FAILED, detail))
        self._move_on()
        return None

    def _move_on(self) -> None:
        """Leave the endpoint, with a handle that still lives."""
        assert self._room is not None, "there is an endpoint to leave"
        self._call.excluded.add(self._room.endpoint.name)
        self._give_room_back()
        if not self._prefill.lives():
            self._prefill.drop("expired")

    def _give_room_back(self) -> None:
        room, self._room = self._room, None
        if room is not None:
            self._rooms.release(room.key)
