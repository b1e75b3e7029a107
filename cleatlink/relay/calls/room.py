"""Finds room for streams, and lets them wait for it in the order of their priority."""

import math
from collections.abc import Mapping
from typing import NamedTuple

import trio

from cleatlink.core.data import Ran, Refusal, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.routing import WaitingRoom
from cleatlink.routing.forecast import RoomForecast, StreamDemand
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.prompt_plan import PromptPlan, plan_prompt
from cleatlink.routing.relay_place import (
    NO_WAITS,
    Seeker,
    SendTime,
    StreamSize,
    count_places,
    estimate_output,
    longest_stream_s,
    place_decode,
)
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.returns import Returns
from cleatlink.routing.shared_waiting import (
    HEAD_START_S,
    NOBODY_AHEAD,
    Ahead,
    Claim,
    LeftRoom,
    due_at,
)
from cleatlink.routing.spill_over import prompt_waits

__all__ = ["DecodeRoom", "Room", "Turn"]

# Streams of an endpoint that decodes need some time between two prompts that it computes,
# to make up for the pause.
_PROMPT_GAP_S = 0.08
_PROMPT = "/p"
# A call that waits is judged anew so often: what was foreseen may not come.
_LOOK_AGAIN_S = 0.25
# Work of all instances changes tens of times a second, and each try looks at every decode: those
# who wait try no more often than this.
_OFFER_PAUSE_S = 0.02
# Sooner, a caller meets what it has just left.
_MIN_RETRY_S = 0.4
# Where nothing can be foreseen, an endpoint that fell silent may be back by then.
_NO_FORECAST_S = 1.0
# Above every priority of a route: a prompt that is computed is for nothing if it lapses.
_READY_URGENCY = 50
_BEGUN_URGENCY = 100


class Turn(NamedTuple):
    """A stream's turn at an endpoint that names a limit.

    Attributes:
        booked_at: When it was booked.
        due_at: When it is due.
        taken_by_peers: Units of the limit that peers had taken by then.
    """

    booked_at: float
    due_at: float
    taken_by_peers: int


class Room(NamedTuple):
    """A decode endpoint with room reserved under a key.

    Attributes:
        endpoint: The endpoint.
        key: The reservation's key.
        expected_s: How long the stream should take.
        output: Tokens of its answer, as estimated.
        direct: Whether the endpoint computes the prompt itself.
        turn: When the endpoint's limit allows the stream.
        prompt_at: When its prompt should be computed, so that it is ready then.
    """

    endpoint: RoutedEndpoint
    key: str
    expected_s: float
    output: int
    direct: bool
    turn: Turn
    prompt_at: float


class _Standing(NamedTuple):
    """Where a call stands among those that wait for room.

    Attributes:
        urgency: Its priority; larger goes first.
        since: When it came first.
        prompt_ready: Whether its prompt is computed already.
        first_ago_s: Seconds before it came for which its caller has waited already.
        may_wait: Whether it waits at all.
        left: Bounds for how long it leaves room to others; None if it never does.
    """

    urgency: int
    since: float
    prompt_ready: bool
    first_ago_s: float = 0.0
    may_wait: bool = True
    left: LeftRoom | None = None


class _Fit(NamedTuple):
    """An endpoint that has room for a stream, and what the stream takes of it."""

    endpoint: RoutedEndpoint
    size: StreamSize


class DecodeRoom:
    """Gives streams room at decode endpoints."""

    def __init__(self, parts: RelayParts) -> None:
        self._parts = parts
        self._waiting = WaitingRoom()
        self._returns = Returns(parts.capacity)
        self._offered_at = -math.inf
        self._is_offering = False
        self._shared = parts.capacity.waiting
        self._shared.attach(lambda: self._waiting.groups(trio.current_time()))

    @property
    def waiting(self) -> int:
        """Streams that wait now."""
        return len(self._waiting)

    def offer(self) -> None:
        """Let those who wait try again: at once, or soon where they have tried just now."""
        if not self._waiting or self._is_offering:
            return
        if trio.current_time() - self._offered_at >= _OFFER_PAUSE_S:
            self._offer_now()
            return
        self._is_offering = True
        self._parts.spawn(self._offer_later)

    async def _offer_later(self) -> None:
        await trio.sleep_until(self._offered_at + _OFFER_PAUSE_S)
        self._is_offering = False
        self._offer_now()

    def _offer_now(self) -> None:
        self._offered_at = trio.current_time()
        self._waiting.offer()

    def release(self, key: str) -> None:
        """Give room back."""
        capacity = self._parts.capacity
        released = [item for item in (key, key + _PROMPT) if item in capacity.own]
        for item in released:
            capacity.release(item)
        capacity.limits.give_up(key, trio.current_time())
        self._parts.on_work(*released)
        self.offer()

    async def find(self, call: Call, *, prompt_ready: bool = False) -> Room | Refusal:
        """Give room, after a wait if the call is foreseen to be served before its caller leaves.

        A call that can't be is refused as early as that is foreseen, also one that is
        back. One that has begun goes first; one that will be late, counted from when its
        caller asked first, goes behind those that can be in time and takes only room that
        is left over. Among those the one that asked first goes first.

        Args:
            call: The call.
            prompt_ready: Whether its prompt is computed already.
        """
        standing = self._stand(call, prompt_ready)
        if self._shared.is_in_use:
            self._waiting.head_start_s = HEAD_START_S
        if not self._waiting.must_wait(call.service.name, standing.urgency, standing.since):
            room = self._try(call, standing, is_retry=False)
            if room is not None:
                return room
        while standing.may_wait:
            barred = call.bar()
            if barred is not None:
                return barred
            plan = self._plan_prompt(call, standing)
            longest_s = self._longest_s(call, plan)
            if not call.may_begin(longest_s):
                return call.refuse_for_stop(longest_s)
            soon_s = self._served_in_s(call, plan, standing)
            if soon_s is None or soon_s > plan.stay_s or plan.stay_s <= 0:
                break
            room = await self._wait(call, standing, min(plan.stay_s, _LOOK_AGAIN_S), soon_s)
            if room is not None:
                return room
        return self._refuse(call, standing)

    def _stand(self, call: Call, prompt_ready: bool) -> _Standing:
        """Give where a call stands among those that wait."""
        now = trio.current_time()
        if call.begun:
            # An answer that is under way is broken off at once when nothing can go on with
            # it: its caller can come back with the last event that it has.
            may_wait = call.ran is Ran.NO
            return _Standing(_BEGUN_URGENCY, now, prompt_ready, may_wait=may_wait)
        urgency = call.shared_urgency if self._shared.is_in_use else -call.priority
        if prompt_ready:
            urgency = _READY_URGENCY - call.priority
        urgency = self._shared.draw_urgency(call.service.name, urgency, self._parts.rng, now)
        back = self._returns.take(call.inbound, now)
        if back is None:
            return _Standing(urgency, now, prompt_ready, left=LeftRoom())
        ago_s = now - back.refused_at
        call.log("is back", refused_ago_s=round(ago_s, 3))
        left = LeftRoom()
        return _Standing(urgency, back.refused_at, prompt_ready, ago_s, left=left)

    def _plan_prompt(self, call: Call, standing: _Standing) -> PromptPlan:
        seeker = call.seeker()
        if not standing.prompt_ready:
            return plan_prompt(call.inbound, call.route, call.service, self._parts.capacity, seeker)
        start_s = self._parts.capacity.pace(call.service.name).start_s
        first_s = call.age_s + start_s
        stay_s = min(call.route.patience_s - first_s, call.left_s - start_s)
        return PromptPlan(False, 0.0, 0.0, call.route.target_s - first_s, stay_s)

    def _longest_s(self, call: Call, plan: PromptPlan) -> float:
        """Give how long a call may need from when it has room."""
        pace = self._parts.capacity.pace(call.service.name)
        return longest_stream_s(call.inbound, pace, plan.ready_s)

    @staticmethod
    def _yields(plan: PromptPlan, standing: _Standing, soon_s: float = 0.0) -> bool:
        """Tell whether a call lets those that can still be in time go first.

        One whose prompt is computed does not: the prompt would be for nothing if it lapsed.
        Nor does one that has begun.

        Args:
            plan: Where its prompt is computed if it has room.
            standing: Where it stands.
            soon_s: In how many seconds it has room.
        """
        if standing.prompt_ready or standing.urgency >= _BEGUN_URGENCY:
            return False
        return plan.spare_s < standing.first_ago_s + soon_s

    def _served_in_s(self, call: Call, plan: PromptPlan, standing: _Standing) -> float | None:
        """Foresee when a call finds room and may begin its prompt."""
        soon_s = self._soon_s(call, plan, standing)
        if soon_s is None:
            # What has begun waits for an engine that may be back.
            return _NO_FORECAST_S if call.begun else None
        return max(soon_s, plan.queue_s) if self._yields(plan, standing) else soon_s

    def _soon_s(self, call: Call, plan: PromptPlan, standing: _Standing) -> float | None:
        """Foresee when a call finds room, behind those of this instance that go before it."""
        traits = call.service.engine
        assert traits is not None, "only engines decode"
        capacity, now = self._parts.capacity, trio.current_time()
        if not capacity.switches.uses(Mechanism.FORECAST):
            return 0.0 if capacity.candidates(call.service.name, Role.DECODE, now) else None
        forecast = RoomForecast(call.service.name, traits, capacity, now)
        pace = capacity.pace(call.service.name)
        output = estimate_output(call.inbound, pace)
        prompt_s = plan.ready_s + _PROMPT_GAP_S if plan.direct else 0.0
        duration_s = plan.ready_s + pace.stream_s(output)
        stream = StreamDemand(call.inbound.prompt_tokens + output, duration_s, prompt_s)
        is_late = plan.spare_s < standing.first_ago_s
        ahead = self._waiting.count_ahead(standing.urgency, standing.since, is_late=is_late)
        elsewhere = self._ahead(call, plan, standing)
        others = StreamDemand(elsewhere.tokens, duration_s, prompt_s)
        return forecast.room_behind_s(stream, [stream] * ahead + [others] * elsewhere.streams)

    def _ahead(self, call: Call, plan: PromptPlan, standing: _Standing) -> Ahead:
        """Give those that wait at other instances and go before a call.

        What has begun goes before all, and so does one whose prompt is computed.
        """
        if standing.prompt_ready or standing.urgency >= _BEGUN_URGENCY:
            return NOBODY_AHEAD
        is_late = plan.spare_s < standing.first_ago_s
        due = due_at(standing.since, standing.urgency)
        claim = Claim(call.service.name, due, is_late)
        return self._shared.ahead(claim, trio.current_time())

    async def _wait(
        self, call: Call, standing: _Standing, wait_s: float, soon_s: float
    ) -> Room | None:
        """Wait for room.

        Args:
            call: The call.
            standing: Where it stands.
            wait_s: How long to wait at the most.
            soon_s: In how many seconds room is foreseen.
        """
        expected_at = trio.current_time() + soon_s
        found: list[Room] = []
        done = trio.Event()

        def attempt() -> bool:
            room = self._try(call, standing, is_retry=True)
            if room is None:
                return False
            found.append(room)
            done.set()
            return True

        began_at = trio.current_time()
        service, urgency = call.service.name, standing.urgency

        def yields() -> bool:
            left_s = max(0.0, expected_at - trio.current_time())
            return self._yields(self._plan_prompt(call, standing), standing, left_s)

        plan = self._plan_prompt(call, standing)
        ticket = self._waiting.add(
            service,
            urgency,
            standing.since,
            attempt,
            yields,
            tokens=self._tokens(call),
            late_at=began_at + plan.spare_s - standing.first_ago_s,
        )
        self._shared.note_changed()
        try:
            with trio.move_on_after(max(0.0, min(wait_s, call.left_s))):
                await done.wait()
        except trio.Cancelled:
            for room in found:
                self.release(room.key)
            raise
        finally:
            self._waiting.remove(ticket)
            self._shared.note_changed()
        if not found:
            return None
        self._parts.metrics.observe_wait(trio.current_time() - began_at)
        return found[0]

    def _try(self, call: Call, standing: _Standing, *, is_retry: bool) -> Room | None:
        traits = call.service.engine
        assert traits is not None, "only engines decode"
        capacity = self._parts.capacity
        plan = self._plan_prompt(call, standing)
        pace = capacity.pace(call.service.name)
        if call.bar() is not None or not call.may_begin(self._longest_s(call, plan)):
            return None
        yields = self._yields(plan, standing)
        if yields and plan.queue_s > pace.prompt_s(call.inbound.prompt_tokens):
            return None
        seeker = call.seeker()
        fit = self._fit(call, plan, standing, seeker, is_retry=is_retry)
        if fit is None:
            return None
        endpoint, size = fit
        ready_in_s = 0.0 if plan.direct else plan.ready_s
        key = f"{call.inbound.request_id}/{call.sends}/d"
        now = seeker.now
        speed = capacity.speed(endpoint.name, now)
        work = size.reserve(endpoint.name, now, speed)._replace(suspicion=seeker.suspicion)
        capacity.reserve(key, work)
        turn = self._book_turn(endpoint, key, now)
        capacity.note_demand(work, now)
        self._parts.on_work(key)
        if plan.direct:
            prompt_s = plan.ready_s / speed
            self._reserve_prompt(call, endpoint, key, now + prompt_s, prompt_s)
        usage = capacity.usage(endpoint.name, Role.DECODE)
        call.log(
            "has room",
            endpoint=endpoint.name,
            tokens=work.tokens,
            reserved=usage.tokens,
            running=usage.running,
            speed=round(speed, 2),
            computes_prompt=plan.direct,
            is_far=endpoint.data_centre != seeker.data_centre,
        )
        self._parts.metrics.count_place(is_far=endpoint.data_centre != seeker.data_centre)
        prompt_at = turn.due_at - ready_in_s
        return Room(endpoint, key, work.duration_s, size.output, plan.direct, turn, prompt_at)

    def _fit(
        self,
        call: Call,
        plan: PromptPlan,
        standing: _Standing,
        seeker: Seeker,
        *,
        is_retry: bool,
    ) -> _Fit | None:
        """Give the endpoint that has room for a call now, and what the call takes there."""
        traits = call.service.engine
        assert traits is not None, "only engines decode"
        capacity = self._parts.capacity
        pace = capacity.pace(call.service.name)
        output = estimate_output(call.inbound, pace)
        duration_s = pace.stream_s(output) + plan.ready_s
        apart_s = 0.0 if plan.direct else plan.ready_s
        size = StreamSize(call.inbound.prompt_tokens, output, duration_s, apart_s)
        ready_in_s = 0.0 if plan.direct else plan.ready_s
        spare_s = max(0.0, plan.spare_s - standing.first_ago_s)
        endpoint = place_decode(
            call.service.name,
            size,
            traits,
            capacity,
            seeker,
            computes_prompt=plan.direct,
            leaves_room=self._yields(plan, standing),
            send_time=SendTime(ready_in_s, ready_in_s + spare_s, is_retry),
            prompt_waits=self._prompt_waits(call, plan, standing, seeker),
        )
        if endpoint is None:
            if standing.left is not None:
                standing.left.note_none()
            return None
        fit = _Fit(endpoint, size)
        return fit if self._leaves_enough(call, plan, standing, fit, seeker) else None

    def _prompt_waits(
        self, call: Call, plan: PromptPlan, standing: _Standing, seeker: Seeker
    ) -> Mapping[str, float]:
        """Give what a call's prompt waits for decodes of each data centre."""
        capacity, service = self._parts.capacity, call.service.name
        spill_over = capacity.spill_over
        if not spill_over.is_in_use or plan.direct or standing.prompt_ready:
            return NO_WAITS
        queues_s = capacity.prompt_queues_s(service, seeker.now)
        decodes = capacity.candidates(service, Role.DECODE, seeker.now)
        places = {endpoint.data_centre for endpoint in decodes}
        return prompt_waits(queues_s, places, call.route.target_s, spill_over.crossing_share)

    def _leaves_enough(
        self, call: Call, plan: PromptPlan, standing: _Standing, fit: _Fit, seeker: Seeker
    ) -> bool:
        """Tell whether a call leaves room to those that wait elsewhere and go before it."""
        left, ahead = standing.left, self._ahead(call, plan, standing)
        if left is None or not ahead.streams:
            return True
        traits = call.service.engine
        assert traits is not None, "only engines decode"
        beside = fit.size.reserve(fit.endpoint.name, seeker.now)
        places = count_places(
            call.service.name, ahead.tokens, traits, self._parts.capacity, seeker, beside=beside
        )
        openings = left.openings
        may_take = left.may_take(ahead, places, seeker.now)
        if not may_take and left.openings > openings == 0:
            call.log(
                "leaves room to others",
                urgency=standing.urgency,
                ahead=ahead.streams,
                places=places,
                spare_s=round(plan.spare_s, 3),
            )
            self._parts.metrics.count_room_left()
        return may_take

    def has_room_beside(self, call: Call, endpoint: RoutedEndpoint, prompt_ready: bool) -> bool:
        """Tell whether an endpoint other than a given one has room for a call now."""
        standing = _Standing(_READY_URGENCY - call.priority, trio.current_time(), prompt_ready)
        plan = self._plan_prompt(call, standing)
        seeker = call.seeker()
        seeker = seeker._replace(excluded=seeker.excluded | {endpoint.name})
        return self._fit(call, plan, standing, seeker, is_retry=False) is not None

    def _book_turn(self, endpoint: RoutedEndpoint, key: str, now: float) -> Turn:
        limits = self._parts.capacity.limits
        due_at = limits.book(key, endpoint.name, now)
        return Turn(now, due_at, limits.taken_by_peers(endpoint.name))

    def _reserve_prompt(
        self, call: Call, endpoint: RoutedEndpoint, key: str, ends_at: float, duration_s: float
    ) -> None:
        """Let an endpoint that computes prompts between tokens have one at a time."""
        tokens = call.inbound.prompt_tokens
        work = Reservation(endpoint.name, Role.PREFILL, tokens, ends_at, duration_s)
        self._parts.capacity.reserve(key + _PROMPT, work)
        self._parts.on_work(key + _PROMPT)

    def prompt_computed(self, key: str) -> None:
        """Note that an endpoint is done with a prompt that it computed itself."""
        if key + _PROMPT in self._parts.capacity.own:
            self._parts.spawn(self._end_prompt, key + _PROMPT)

    async def _end_prompt(self, key: str) -> None:
        await trio.sleep(_PROMPT_GAP_S)
        self.release(key)

    def _refuse(self, call: Call, standing: _Standing) -> Refusal:
        """Refuse a call, with the time at which both its room and its prompt are foreseen."""
        plan = self._plan_prompt(call, standing)
        soon_s = self._soon_s(call, plan, standing)
        retry_s = _NO_FORECAST_S if soon_s is None else max(soon_s, -plan.spare_s)
        retry_s = min(max(_MIN_RETRY_S, retry_s), call.route.heeded_share * call.left_s)
        if not standing.first_ago_s and self._parts.capacity.switches.uses(Mechanism.RETURNS):
            self._expect_back(call, retry_s)
        kind = ErrorKind.NO_ENDPOINT if soon_s is None else ErrorKind.NO_ROOM
        call.log(
            "has no room",
            waiting=len(self._waiting),
            room_in_s=None if soon_s is None else round(soon_s, 3),
            prompt_in_s=round(plan.ready_s, 3),
            spare_s=round(plan.spare_s, 3),
            retry_after_s=round(retry_s, 3),
        )
        return Refusal(kind, "no decode endpoint has room", retry_s)

    def _tokens(self, call: Call) -> int:
        """Give the memory that a call's stream should hold at its end, in tokens."""
        pace = self._parts.capacity.pace(call.service.name)
        return call.inbound.prompt_tokens + estimate_output(call.inbound, pace)

    def _expect_back(self, call: Call, retry_s: float) -> None:
        """Keep room for a call that is refused, from when it is asked to be back."""
        now = trio.current_time()
        service = call.service.name
        key = self._returns.expect(call.inbound, service, self._tokens(call), now + retry_s, now)
        self._parts.on_work(key)

    def keep_house(self) -> None:
        """Forget those that did not come back, and let those who wait try again."""
        self._parts.on_work(*self._returns.forget(trio.current_time()))
        self.offer()
