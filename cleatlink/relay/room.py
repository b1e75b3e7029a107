"""Finds room for streams, and lets them wait for it in the order of their priority."""

from typing import NamedTuple

import trio

from cleatlink.core.data import Refusal, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.call import Call, RelayParts
from cleatlink.routing import WaitingRoom
from cleatlink.routing.capacity import Reservation
from cleatlink.routing.relay_place import (
    StreamSize,
    estimate_output,
    place_decode,
    room_in_s,
)

__all__ = ["DecodeRoom", "Room"]

# An endpoint that decodes computes prompts at about half the pace, and its streams
# need some time between two of them to make up for the pause.
_DIRECT_FACTOR = 2.2
_PROMPT_GAP_S = 0.08
_PROMPT = "/p"
# Share of the target that a stream may wait, so that its prefill still fits in.
_WAIT_SHARE = 0.72
# A refusal this early lets the caller's next try still count as in time.
_EARLY_SHARE = 0.2
_MIN_RETRY_S = 0.4
_MAX_RETRY_S = 3.0


class Room(NamedTuple):
    """A decode endpoint with room reserved under a key.

    Attributes:
        endpoint: The endpoint.
        key: The reservation's key.
        output: Tokens of its answer, as estimated.
    """

    endpoint: RoutedEndpoint
    key: str
    output: int


class DecodeRoom:
    """Gives streams room at decode endpoints."""

    def __init__(self, parts: RelayParts) -> None:
        self._parts = parts
        self._waiting = WaitingRoom()

    @property
    def waiting(self) -> int:
        """Streams that wait now."""
        return len(self._waiting)

    def offer(self) -> None:
        """Let those who wait try again."""
        self._waiting.offer()

    def release(self, key: str) -> None:
        """Give room back."""
        capacity = self._parts.capacity
        released = [item for item in (key, key + _PROMPT) if item in capacity.own]
        for item in released:
            capacity.release(item)
        self._parts.on_work(*released)
        self.offer()

    async def find(self, call: Call) -> Room | Refusal:
        """Give room, after a wait if that still serves the call in time.

        A stream that waits takes room from those that come after it: one that
        would be late anyway is refused, and early if that can be foreseen.
        """
        service, urgency = call.service.name, -call.route.priority
        if not self._waiting.must_wait(service, urgency, trio.current_time()):
            room = self._try(call)
            if room is not None:
                return room
        for share in (_EARLY_SHARE, _WAIT_SHARE):
            wait_s = share * call.route.target_s - call.age_s
            soon_s = self._soon_s(call)
            if soon_s is None or soon_s > _WAIT_SHARE * call.route.target_s - call.age_s:
                return self._refuse(call, soon_s)
            room = await self._wait(call, urgency, wait_s)
            if room is not None:
                return room
        return self._refuse(call, self._soon_s(call))

    def _soon_s(self, call: Call) -> float | None:
        capacity, now = self._parts.capacity, trio.current_time()
        return room_in_s(call.service.name, len(self._waiting), capacity, now)

    async def _wait(self, call: Call, urgency: int, wait_s: float) -> Room | None:
        found: list[Room] = []
        done = trio.Event()

        def attempt() -> bool:
            room = self._try(call)
            if room is None:
                return False
            found.append(room)
            done.set()
            return True

        began_at = trio.current_time()
        ticket = self._waiting.add(call.service.name, urgency, began_at, attempt)
        try:
            with trio.move_on_after(max(0.0, min(wait_s, call.left_s))):
                await done.wait()
        except trio.Cancelled:
            for room in found:
                self.release(room.key)
            raise
        finally:
            self._waiting.remove(ticket)
        if not found:
            return None
        self._parts.metrics.observe_wait(trio.current_time() - began_at)
        return found[0]

    def _try(self, call: Call) -> Room | None:
        traits = call.service.engine
        assert traits is not None, "only engines decode"
        capacity = self._parts.capacity
        pace = capacity.pace(call.service.name)
        output = estimate_output(call.inbound, pace)
        seeker = call.seeker()
        direct = not capacity.candidates(call.service.name, Role.PREFILL, seeker.now)
        duration_s = pace.stream_s(output)
        if direct:
            duration_s += _DIRECT_FACTOR * pace.prompt_s(call.inbound.prompt_tokens)
        size = StreamSize(call.inbound.prompt_tokens, output, duration_s)
        endpoint = place_decode(
            call.service.name, size, traits, capacity, seeker, computes_prompt=direct
        )
        if endpoint is None:
            return None
        key = f"{call.inbound.request_id}/{call.sends}/d"
        now = seeker.now
        work = size.reserve(endpoint.name, now)
        capacity.reserve(key, work)
        capacity.note_demand(work, traits, now)
        self._parts.on_work(key)
        if direct:
            self._reserve_prompt(call, endpoint, key, now)
        usage = capacity.usage(endpoint.name, Role.DECODE)
        call.log("has room", endpoint=endpoint.name, tokens=work.tokens, reserved=usage.tokens)
        return Room(endpoint, key, output)

    def _reserve_prompt(self, call: Call, endpoint: RoutedEndpoint, key: str, now: float) -> None:
        """Let an endpoint that computes prompts between tokens have one at a time."""
        capacity = self._parts.capacity
        tokens = call.inbound.prompt_tokens
        duration_s = _DIRECT_FACTOR * capacity.pace(call.service.name).prompt_s(tokens)
        work = Reservation(endpoint.name, Role.PREFILL, tokens, now + duration_s, duration_s)
        capacity.reserve(key + _PROMPT, work)
        self._parts.on_work(key + _PROMPT)

    def prompt_computed(self, key: str) -> None:
        """Note that an endpoint is done with a prompt that it computed itself."""
        if key + _PROMPT in self._parts.capacity.own:
            self._parts.spawn(self._end_prompt, key + _PROMPT)

    async def _end_prompt(self, key: str) -> None:
        await trio.sleep(_PROMPT_GAP_S)
        self.release(key)

    def _refuse(self, call: Call, soon_s: float | None) -> Refusal:
        retry_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, soon_s or 1.0))
        kind = ErrorKind.NO_ENDPOINT if soon_s is None else ErrorKind.NO_ROOM
        call.log("has no room", waiting=len(self._waiting), room_in_s=soon_s)
        return Refusal(kind, "no decode endpoint has room", retry_s)
