"""A place at a decode endpoint, made ready for a stream: room, connection, hold and prompt."""

import trio

from cleatlink.core.data import Refusal
from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.hold import HoldOutcome, StreamHold
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.calls.prefill import Prefill
from cleatlink.relay.calls.room import DecodeRoom, Room
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.pool import FRESH_LIMIT_S
from cleatlink.routing.relay_place import estimate_output, longest_stream_s

__all__ = ["RETRY_AFTER_S", "DecodePlace"]

# Time in which a decode that was full ends a stream.
RETRY_AFTER_S = 0.6
# What instances book is told to all within a few ms.
_SETTLE_S = 0.015
# So many streams of peers at the same moment are too many; fewer only come a little early.
_MANY = 3
# A prompt's result waits for about so long; a stream that is due later seeks room anew.
_MOST_TURN_S = 0.5


class DecodePlace:
    """All that a stream needs to be sent to one decode endpoint."""

    def __init__(
        self, call: Call, rooms: DecodeRoom, parts: RelayParts, *, prompt_was_computed: bool = False
    ) -> None:
        """Begin without anything.

        Args:
            call: The call.
            rooms: Gives room.
            parts: What all calls share.
            prompt_was_computed: Whether the prompt was computed for another place before.
        """
        self.prefill = Prefill(call, parts, was_computed=prompt_was_computed)
        self.hold = StreamHold(call, parts)
        self._call = call
        self._rooms = rooms
        self._parts = parts
        self._room: Room | None = None
        self._connection: EndpointConnection | None = None
        self._is_cleared = False
        self._is_sent = False

    @property
    def room(self) -> Room:
        """The room; there is one once the place is ready."""
        assert self._room is not None, "room comes first"
        return self._room

    @property
    def endpoint(self) -> RoutedEndpoint:
        """The decode endpoint."""
        return self.room.endpoint

    async def prepare(self) -> Refusal | None:
        """Make the place ready, at whichever endpoint can be had; None once it is."""
        while True:
            found = await self._rooms.find(self._call, prompt_ready=self.prefill.lives())
            if isinstance(found, Refusal):
                return found
            self._room, self._is_sent = found, False
            if not await self.reach() or not await self._take_hold():
                continue
            if found.direct:
                return None
            now = trio.current_time()
            if found.prompt_at > now:
                self._call.log_turn(found.endpoint, found.prompt_at - now)
                await trio.sleep_until(found.prompt_at)
            return await self.prefill.run(found.endpoint.data_centre)

    def clear_to_send(self) -> Refusal | None:
        """Spend what sending the call there takes; gives why it may not be sent."""
        call = self._call
        barred = call.bar()
        if barred is not None:
            return barred
        if self._is_cleared:
            return None
        if not call.may_begin(self._rest_s()):
            return call.refuse_for_stop(self._rest_s())
        if not call.may_send(self.endpoint):
            return call.failure("no attempt is left", RETRY_AFTER_S)
        if call.sends and not call.spend("decode"):
            return call.failure("the retry budget is empty", RETRY_AFTER_S)
        self._is_cleared = True
        return None

    async def take_connection(self) -> EndpointConnection | None:
        """Give the connection to send on; None if the endpoint is out of reach by now."""
        kept = self._connection is not None and self._connection.usable
        if not kept and not await self.reach():
            return None
        connection, self._connection = self._connection, None
        self._is_cleared = False
        self._is_sent = True
        return connection

    async def reach(self) -> bool:
        """Connect to the endpoint: a prompt computed for one out of reach is waste."""
        self._leave_connection()
        try:
            self._connection = await self._parts.pool.take(self.endpoint, FRESH_LIMIT_S)
        except EndpointUnreachableError as error:
            self._call.note_failure(self.endpoint, error)
            self.move_on()
            return False
        return True

    async def _take_hold(self) -> bool:
        """Have the endpoint hold room; tells whether the stream may go on there."""
        assert self._connection is not None, "the endpoint was reached"
        outcome = await self.hold.take(self.endpoint, self._connection, self.room.output)
        if outcome is HoldOutcome.FULL:
            # Nothing is lost yet, and there may be room again soon.
            self._parts.pool.keep(self.endpoint, self._connection)
            self._connection = None
            self._note_shed()
        elif outcome is HoldOutcome.HELD:
            self._parts.capacity.note_held(self.endpoint.name)
        elif outcome is HoldOutcome.FAILED:
            self.move_on()
        return outcome in (HoldOutcome.HELD, HoldOutcome.NOT_OFFERED)

    def _note_shed(self) -> None:
        """Give the room back at an endpoint that has none, and go by that in what follows."""
        capacity, room = self._parts.capacity, self.room
        tokens = capacity.own[room.key].tokens if room.key in capacity.own else 0
        self._give_room_back()
        if tokens and capacity.note_shed(room.endpoint.name, tokens, trio.current_time()):
            self._parts.on_shed(room.endpoint.name, tokens)

    async def wait_for_turn(self) -> bool:
        """Wait until the endpoint's limit allows the stream; tells whether it may go there.

        Instances that book at the same moment, as when room opens for all of them, do not know of
        each other's streams yet. Where many did, each stays with such a chance that one does.
        """
        name, limits = self.endpoint.name, self._parts.capacity.limits
        if limits.rate_per_s(name) is None:
            return True
        now = trio.current_time()
        turn = self.room.turn
        due_at = max(turn.due_at, turn.booked_at + _SETTLE_S)
        if self._is_sent:
            due_at = limits.book(self.room.key, name, now)
        if due_at - now > _MOST_TURN_S:
            return False
        if due_at > now:
            self._call.log_turn(self.endpoint, due_at - now)
            await trio.sleep_until(due_at)
        if self._is_sent or turn.due_at > turn.booked_at + _SETTLE_S:
            return True
        others = limits.taken_by_peers(name) - turn.taken_by_peers
        return others < _MANY or self._parts.rng.random() * (1 + others) < 1

    def move_on(self) -> None:
        """Leave the endpoint, with a handle that still lives."""
        self._call.excluded.add(self.endpoint.name)
        self.leave()

    def leave(self) -> None:
        """Give the room back, with a handle that still lives."""
        self._give_room_back()
        if not self.prefill.lives():
            self.prefill.drop("expired")

    def close(self, handle_fate: str = "unused") -> None:
        """Give everything back."""
        self.prefill.drop(handle_fate)
        self.hold.drop()
        self._leave_connection()
        self._give_room_back()

    def _rest_s(self) -> float:
        """Give how long the stream should take from here on.

        One whose prompt is computed is given up only if it is not even expected to end in time.
        """
        pace = self._parts.capacity.pace(self._call.service.name)
        if self.prefill.source is None:
            return longest_stream_s(self._call.inbound, pace)
        speed = self._parts.capacity.speed(self.endpoint.name, trio.current_time())
        return pace.stream_s(estimate_output(self._call.inbound, pace)) / speed

    def _leave_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _give_room_back(self) -> None:
        room, self._room = self._room, None
        self._is_cleared = False
        if room is not None:
            self._rooms.release(room.key)
