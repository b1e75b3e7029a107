"""Admits streams to decode endpoints, and queues those for which no endpoint has capacity.

A stream needs a free slot and memory at a decode endpoint. The wait queue is ordered by
arrival and urgency; a stream that is not expected to get capacity in time is refused at once.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

import trio

from cleatlink.core.data import ExecutionStatus, Refusal, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.routing import WaitQueue
from cleatlink.routing.expected_retries import ExpectedRetries
from cleatlink.routing.forecast import CapacityForecast, StreamDemand
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.prompt_plan import PromptPlan, plan_prompt
from cleatlink.routing.relay_placement import (
    NO_PROMPT_WAITS,
    PlacementContext,
    SendTime,
    StreamSize,
    choose_decode,
    count_fitting_streams,
    estimate_longest_stream_s,
    estimate_output_tokens,
)
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.shared_wait_queues import (
    HEAD_START_PER_POINT_S,
    NONE_AHEAD,
    QueuedAhead,
    QueuedStream,
    YieldLimit,
    compute_effective_arrival,
)
from cleatlink.routing.spill_over import prompt_wait_shares

__all__ = ["DecodePlacement", "DecodeAdmission", "SendPermit"]

# Minimum time between two prompts that a decode endpoint computes itself, in seconds, so that its
# other streams recover from the pause that a prompt causes.
_PROMPT_GAP_S = 0.08
_PROMPT_KEY_SUFFIX = "/p"
# Interval at which the forecast of a waiting call is checked again, in seconds: the forecast may
# prove wrong.
_RECHECK_INTERVAL_S = 0.25
# Minimum interval between attempts to place waiting streams, in seconds. Reservations change tens
# of times a second over all instances, and each attempt examines every decode endpoint.
_MIN_PLACEMENT_INTERVAL_S = 0.02
# Minimum retry delay, in seconds: before that, the state that led to the refusal has not changed.
_MIN_RETRY_DELAY_S = 0.4
# Assumed wait without a forecast, in seconds: a silent endpoint may have returned to service by
# then.
_UNKNOWN_WAIT_S = 1.0
# Both are higher than every urgency that a priority gives: a computed prompt is wasted if it
# expires.
_PROMPT_COMPUTED_URGENCY = 50
_BEGUN_STREAM_URGENCY = 100


class SendPermit(NamedTuple):
    """A reserved send time at an endpoint that announces a rate limit.

    Attributes:
        reserved_at: Time of the reservation.
        due_at: Time from which the limit allows the stream.
        taken_by_peers: Units of the limit that peers had used at the time of the reservation.
    """

    reserved_at: float
    due_at: float
    taken_by_peers: int


class DecodePlacement(NamedTuple):
    """Capacity at a decode endpoint that is reserved for a stream under a key.

    Attributes:
        endpoint: The endpoint.
        key: Key of the reservation.
        expected_duration_s: Expected duration of the stream, in seconds.
        output_tokens: Estimated length of the answer, in tokens.
        computes_prompt: Whether the endpoint computes the prompt itself.
        permit: Reserved send time under the endpoint's rate limit.
        prompt_start_at: Time at which the prefill should start, so that it ends when the rate limit
            allows the stream.
    """

    endpoint: RoutedEndpoint
    key: str
    expected_duration_s: float
    output_tokens: int
    computes_prompt: bool
    permit: SendPermit
    prompt_start_at: float


class _QueuePosition(NamedTuple):
    """Position of a call in the order in which streams get capacity.

    Attributes:
        urgency: Larger goes first.
        arrived_at: Arrival time of the call, or of the refused call that it retries.
        prompt_ready: Whether the prompt is computed already.
        refused_ago_s: Seconds between that refusal and this call; 0 for a first attempt.
        may_wait: Whether the call may wait for capacity.
        yield_limit: Limits how long the call leaves capacity to streams queued ahead of it at other
            instances; None if it never does.
    """

    urgency: int
    arrived_at: float
    prompt_ready: bool
    refused_ago_s: float = 0.0
    may_wait: bool = True
    yield_limit: YieldLimit | None = None


class _Candidate(NamedTuple):
    """An endpoint with capacity for a stream, and the capacity that the stream needs."""

    endpoint: RoutedEndpoint
    size: StreamSize


class DecodeAdmission:
    """Places streams at decode endpoints, and queues them while there is no capacity."""

    def __init__(self, components: RelayComponents) -> None:
        self._components = components
        self._wait_queue = WaitQueue()
        self._expected_retries = ExpectedRetries(components.capacity)
        self._last_placement_at = -math.inf
        self._is_placement_scheduled = False
        self._shared_queues = components.capacity.shared_wait_queues
        self._shared_queues.set_local_source(lambda: self._wait_queue.groups(trio.current_time()))

    @property
    def waiting_count(self) -> int:
        """Number of streams in the wait queue."""
        return len(self._wait_queue)

    def place_waiting(self) -> None:
        """Try to place the waiting streams, now or when the minimum interval is over."""
        if not self._wait_queue or self._is_placement_scheduled:
            return
        if trio.current_time() - self._last_placement_at >= _MIN_PLACEMENT_INTERVAL_S:
            self._place_waiting_now()
            return
        self._is_placement_scheduled = True
        self._components.spawn(self._place_waiting_later)

    async def _place_waiting_later(self) -> None:
        await trio.sleep_until(self._last_placement_at + _MIN_PLACEMENT_INTERVAL_S)
        self._is_placement_scheduled = False
        self._place_waiting_now()

    def _place_waiting_now(self) -> None:
        self._last_placement_at = trio.current_time()
        self._wait_queue.place_waiting()

    def release(self, key: str) -> None:
        """Release a reservation and try to place the waiting streams."""
        capacity = self._components.capacity
        released = [
            item for item in (key, key + _PROMPT_KEY_SUFFIX) if item in capacity.own_reservations
        ]
        for item in released:
            capacity.release(item)
        capacity.endpoint_limits.cancel_reservation(key, trio.current_time())
        self._components.on_reservations_changed(*released)
        self.place_waiting()

    async def acquire(self, call: Call, *, prompt_ready: bool = False) -> DecodePlacement | Refusal:
        """Reserve capacity for a call, after a wait if it is expected before the caller leaves.

        A call is refused as soon as the forecast says that it cannot be served before its caller
        leaves; this applies to retries, too. A stream that has begun goes first. A stream that
        will miss its target, counted from its caller's first attempt, goes behind those that can
        still meet theirs, and uses only capacity that these leave free. Within each of these
        groups, the earliest first attempt goes first.

        Args:
            call: The call.
            prompt_ready: Whether the prompt is computed already.
        """
        position = self._queue_position(call, prompt_ready)
        if self._shared_queues.is_in_use:
            self._wait_queue.head_start_s = HEAD_START_PER_POINT_S
        if not self._wait_queue.must_wait(
            _queue_class(call), position.urgency, position.arrived_at
        ):
            placement = self._try_to_place(call, position, is_retry=False)
            if placement is not None:
                return placement
        while position.may_wait:
            refusal = call.find_send_refusal()
            if refusal is not None:
                return refusal
            plan = self._plan_prompt(call, position)
            max_duration_s = self._max_duration_s(call, plan)
            if not call.can_end_before_stop(max_duration_s):
                return call.refuse_for_stop(max_duration_s)
            expected_wait_s = self._estimate_prompt_start_s(call, plan, position)
            if (
                expected_wait_s is None
                or expected_wait_s > plan.caller_slack_s
                or plan.caller_slack_s <= 0
            ):
                break
            placement = await self._wait_for_capacity(
                call, position, min(plan.caller_slack_s, _RECHECK_INTERVAL_S), expected_wait_s
            )
            if placement is not None:
                return placement
        return self._refuse(call, position)

    def _queue_position(self, call: Call, prompt_ready: bool) -> _QueuePosition:
        """Return the queue position of a call."""
        now = trio.current_time()
        if call.has_begun_stream:
            # If no endpoint can continue a stream that has begun, the relay ends it at once: the
            # caller can resume it with the number of the last event that it received.
            may_wait = call.ran is ExecutionStatus.NO
            return _QueuePosition(_BEGUN_STREAM_URGENCY, now, prompt_ready, may_wait=may_wait)
        urgency = call.group_urgency if self._shared_queues.is_in_use else -call.priority
        if prompt_ready:
            urgency = _PROMPT_COMPUTED_URGENCY - call.priority
        urgency = self._shared_queues.draw_urgency(
            call.service.name, urgency, self._components.rng, now
        )
        refused = self._expected_retries.match_retry(call.inbound, now)
        if refused is None:
            return _QueuePosition(urgency, now, prompt_ready, yield_limit=YieldLimit())
        refused_ago_s = now - refused.refused_at
        call.log("caller retried after a refusal", refused_ago_s=round(refused_ago_s, 3))
        limit = YieldLimit()
        return _QueuePosition(
            urgency, refused.refused_at, prompt_ready, refused_ago_s, yield_limit=limit
        )

    def _plan_prompt(self, call: Call, position: _QueuePosition) -> PromptPlan:
        context = call.placement_context()
        if not position.prompt_ready:
            return plan_prompt(
                call.inbound, call.route, call.service, self._components.capacity, context
            )
        start_s = self._components.capacity.service_times(call.service.name).first_event_s
        age_at_start_s = call.age_s + start_s
        caller_slack_s = min(
            call.route.abandon_after_s - age_at_start_s, call.remaining_s - start_s
        )
        return PromptPlan(False, 0.0, 0.0, call.route.target_s - age_at_start_s, caller_slack_s)

    def _max_duration_s(self, call: Call, plan: PromptPlan) -> float:
        """Return the maximum time that a call needs once it has capacity, in seconds."""
        service_times = self._components.capacity.service_times(call.service.name)
        return estimate_longest_stream_s(call.inbound, service_times, plan.ready_s)

    @staticmethod
    def _must_yield(
        plan: PromptPlan, position: _QueuePosition, expected_wait_s: float = 0.0
    ) -> bool:
        """Check whether a call is late, and so goes behind those that can still meet their target.

        A call whose prompt is computed is never put behind others, because the prompt would be
        wasted if it expired. The same holds for a stream that has begun.

        Args:
            plan: How the prompt is computed if the call gets capacity.
            position: Queue position of the call.
            expected_wait_s: Seconds until the call is expected to get capacity.
        """
        if position.prompt_ready or position.urgency >= _BEGUN_STREAM_URGENCY:
            return False
        return plan.slack_s < position.refused_ago_s + expected_wait_s

    def _estimate_prompt_start_s(
        self, call: Call, plan: PromptPlan, position: _QueuePosition
    ) -> float | None:
        """Estimate the seconds until a call has capacity and its prompt starts; None if unknown."""
        expected_wait_s = self._estimate_wait_s(call, plan, position)
        if expected_wait_s is None:
            # A stream that has begun waits for an engine that may return to service.
            return _UNKNOWN_WAIT_S if call.has_begun_stream else None
        return (
            max(expected_wait_s, plan.queue_s)
            if self._must_yield(plan, position)
            else expected_wait_s
        )

    def _estimate_wait_s(
        self, call: Call, plan: PromptPlan, position: _QueuePosition
    ) -> float | None:
        """Estimate the seconds until a call has capacity behind those ahead of it.

        Returns:
            Seconds; None if unknown.
        """
        engine_properties = call.service.engine
        assert engine_properties is not None, (
            "a service with decode endpoints has engine properties"
        )
        capacity, now = self._components.capacity, trio.current_time()
        if not capacity.switches.is_enabled(Mechanism.FORECAST):
            candidates = capacity.candidates(
                call.service.name, Role.DECODE, now, call.required_build
            )
            return 0.0 if candidates else None
        forecast = CapacityForecast(
            call.service.name, engine_properties, capacity, now, call.required_build
        )
        service_times = capacity.service_times(call.service.name)
        output = estimate_output_tokens(call.inbound, service_times)
        prompt_s = plan.ready_s + _PROMPT_GAP_S if plan.computed_by_decode else 0.0
        duration_s = plan.ready_s + service_times.stream_duration_s(output)
        stream = StreamDemand(call.inbound.prompt_tokens + output, duration_s, prompt_s)
        is_late = plan.slack_s < position.refused_ago_s
        local_count = self._wait_queue.count_ahead(
            position.urgency, position.arrived_at, is_late=is_late
        )
        remote = self._queued_elsewhere(call, plan, position)
        remote_stream = StreamDemand(remote.tokens, duration_s, prompt_s)
        return forecast.wait_behind_s(
            stream, [stream] * local_count + [remote_stream] * remote.streams
        )

    def _queued_elsewhere(
        self, call: Call, plan: PromptPlan, position: _QueuePosition
    ) -> QueuedAhead:
        """Return the streams at other instances that are queued ahead of a call.

        None are ahead of a stream that has begun, or of a call whose prompt is computed.
        """
        if position.prompt_ready or position.urgency >= _BEGUN_STREAM_URGENCY:
            return NONE_AHEAD
        is_late = plan.slack_s < position.refused_ago_s
        effective_arrival = compute_effective_arrival(position.arrived_at, position.urgency)
        queued = QueuedStream(call.service.name, effective_arrival, is_late)
        return self._shared_queues.queued_ahead(queued, trio.current_time())

    async def _wait_for_capacity(
        self, call: Call, position: _QueuePosition, wait_s: float, expected_wait_s: float
    ) -> DecodePlacement | None:
        """Wait in the queue for capacity.

        Args:
            call: The call.
            position: Queue position of the call.
            wait_s: Maximum wait, in seconds.
            expected_wait_s: Seconds until capacity is expected.

        Returns:
            The reservation; None if the wait ended without one.
        """
        expected_at = trio.current_time() + expected_wait_s
        placements: list[DecodePlacement] = []
        done = trio.Event()

        def attempt() -> bool:
            placement = self._try_to_place(call, position, is_retry=True)
            if placement is None:
                return False
            placements.append(placement)
            done.set()
            return True

        began_at = trio.current_time()

        def is_late() -> bool:
            wait_left_s = max(0.0, expected_at - trio.current_time())
            return self._must_yield(self._plan_prompt(call, position), position, wait_left_s)

        plan = self._plan_prompt(call, position)
        ticket = self._wait_queue.add(
            _queue_class(call),
            position.urgency,
            position.arrived_at,
            attempt,
            is_late,
            tokens=self._final_tokens(call),
            late_at=began_at + plan.slack_s - position.refused_ago_s,
        )
        self._shared_queues.notify_change()
        try:
            with trio.move_on_after(max(0.0, min(wait_s, call.remaining_s))):
                await done.wait()
        except trio.Cancelled:
            for placement in placements:
                self.release(placement.key)
            raise
        finally:
            self._wait_queue.remove(ticket)
            self._shared_queues.notify_change()
        if not placements:
            return None
        self._components.metrics.observe_capacity_wait(trio.current_time() - began_at)
        return placements[0]

    def _try_to_place(
        self, call: Call, position: _QueuePosition, *, is_retry: bool
    ) -> DecodePlacement | None:
        engine_properties = call.service.engine
        assert engine_properties is not None, (
            "a service with decode endpoints has engine properties"
        )
        capacity = self._components.capacity
        plan = self._plan_prompt(call, position)
        service_times = capacity.service_times(call.service.name)
        if call.find_send_refusal() is not None or not call.can_end_before_stop(
            self._max_duration_s(call, plan)
        ):
            return None
        must_yield = self._must_yield(plan, position)
        if must_yield and plan.queue_s > service_times.prompt_s(call.inbound.prompt_tokens):
            return None
        context = call.placement_context()
        candidate = self._find_candidate(call, plan, position, context, is_retry=is_retry)
        if candidate is None:
            return None
        endpoint, size = candidate
        ready_in_s = 0.0 if plan.computed_by_decode else plan.ready_s
        key = f"{call.inbound.request_id}/{call.send_count}/d"
        now = context.now
        speed = capacity.relative_speed(endpoint.name, now)
        reservation = size.make_reservation(endpoint.name, now, speed)._replace(
            suspicion=context.suspicion
        )
        capacity.reserve(key, reservation)
        permit = self._reserve_send_time(endpoint, key, now)
        capacity.count_demand(reservation, now)
        self._components.on_reservations_changed(key)
        if plan.computed_by_decode:
            prompt_s = plan.ready_s / speed
            self._reserve_prompt(call, endpoint, key, now + prompt_s, prompt_s)
        usage = capacity.usage(endpoint.name, Role.DECODE)
        call.log(
            "decode capacity reserved",
            endpoint=endpoint.name,
            tokens=reservation.tokens,
            reserved=usage.tokens,
            running=usage.running,
            speed=round(speed, 2),
            computes_prompt=plan.computed_by_decode,
            is_far=endpoint.data_centre != context.data_centre,
        )
        self._components.metrics.count_stream_placement(
            is_other_data_centre=endpoint.data_centre != context.data_centre
        )
        prompt_start_at = permit.due_at - ready_in_s
        return DecodePlacement(
            endpoint,
            key,
            reservation.duration_s,
            size.output_tokens,
            plan.computed_by_decode,
            permit,
            prompt_start_at,
        )

    def _find_candidate(
        self,
        call: Call,
        plan: PromptPlan,
        position: _QueuePosition,
        context: PlacementContext,
        *,
        is_retry: bool,
    ) -> _Candidate | None:
        """Return the endpoint that has capacity for a call now, and the capacity that it needs."""
        engine_properties = call.service.engine
        assert engine_properties is not None, (
            "a service with decode endpoints has engine properties"
        )
        capacity = self._components.capacity
        service_times = capacity.service_times(call.service.name)
        output = estimate_output_tokens(call.inbound, service_times)
        duration_s = service_times.stream_duration_s(output) + plan.ready_s
        prefill_s = 0.0 if plan.computed_by_decode else plan.ready_s
        size = StreamSize(call.inbound.prompt_tokens, output, duration_s, prefill_s)
        ready_in_s = 0.0 if plan.computed_by_decode else plan.ready_s
        slack_s = max(0.0, plan.slack_s - position.refused_ago_s)
        endpoint = choose_decode(
            call.service.name,
            size,
            engine_properties,
            capacity,
            context,
            computes_prompt=plan.computed_by_decode,
            requires_spare_capacity=self._must_yield(plan, position),
            send_time=SendTime(ready_in_s, ready_in_s + slack_s, is_retry),
            prompt_wait_shares=self._prompt_wait_shares(call, plan, position, context),
        )
        if endpoint is None:
            if position.yield_limit is not None:
                position.yield_limit.note_no_capacity()
            return None
        candidate = _Candidate(endpoint, size)
        return (
            candidate
            if self._leaves_enough_capacity(call, plan, position, candidate, context)
            else None
        )

    def _prompt_wait_shares(
        self, call: Call, plan: PromptPlan, position: _QueuePosition, context: PlacementContext
    ) -> Mapping[str, float]:
        """Return the prefill wait, as a share of the target, by the decode's data centre."""
        capacity, service = self._components.capacity, call.service.name
        spill_over = capacity.spill_over
        if not spill_over.is_in_use or plan.computed_by_decode or position.prompt_ready:
            return NO_PROMPT_WAITS
        queues_s = capacity.prompt_starts_by_data_centre_s(service, context.now)
        decode_endpoints = capacity.candidates(service, Role.DECODE, context.now)
        data_centres = {endpoint.data_centre for endpoint in decode_endpoints}
        return prompt_wait_shares(
            queues_s, data_centres, call.route.target_s, spill_over.crossing_share
        )

    def _leaves_enough_capacity(
        self,
        call: Call,
        plan: PromptPlan,
        position: _QueuePosition,
        candidate: _Candidate,
        context: PlacementContext,
    ) -> bool:
        """Check whether a call leaves enough capacity to streams ahead of it at other instances."""
        limit, ahead = position.yield_limit, self._queued_elsewhere(call, plan, position)
        if limit is None or not ahead.streams:
            return True
        engine_properties = call.service.engine
        assert engine_properties is not None, (
            "a service with decode endpoints has engine properties"
        )
        own = candidate.size.make_reservation(candidate.endpoint.name, context.now)
        fitting_count = count_fitting_streams(
            call.service.name,
            ahead.tokens,
            engine_properties,
            self._components.capacity,
            context,
            placed_first=own,
        )
        yield_count = limit.yield_count
        may_take = limit.may_take(ahead, fitting_count, context.now)
        if not may_take and limit.yield_count > yield_count == 0:
            call.log(
                "capacity left to streams queued ahead at other instances",
                urgency=position.urgency,
                ahead=ahead.streams,
                places=fitting_count,
                spare_s=round(plan.slack_s, 3),
            )
            self._components.metrics.count_yielded_capacity()
        return may_take

    def has_capacity_elsewhere(
        self, call: Call, endpoint: RoutedEndpoint, prompt_ready: bool
    ) -> bool:
        """Check whether an endpoint other than the given one has capacity for a call now."""
        position = _QueuePosition(
            _PROMPT_COMPUTED_URGENCY - call.priority, trio.current_time(), prompt_ready
        )
        plan = self._plan_prompt(call, position)
        context = call.placement_context()
        context = context._replace(excluded=context.excluded | {endpoint.name})
        return self._find_candidate(call, plan, position, context, is_retry=False) is not None

    def _reserve_send_time(self, endpoint: RoutedEndpoint, key: str, now: float) -> SendPermit:
        limits = self._components.capacity.endpoint_limits
        due_at = limits.reserve(key, endpoint.name, now)
        return SendPermit(now, due_at, limits.taken_by_peers(endpoint.name))

    def _reserve_prompt(
        self, call: Call, endpoint: RoutedEndpoint, key: str, ends_at: float, duration_s: float
    ) -> None:
        """Reserve the prompt at its decode endpoint, which computes one prompt at a time."""
        tokens = call.inbound.prompt_tokens
        reservation = Reservation(endpoint.name, Role.PREFILL, tokens, ends_at, duration_s)
        self._components.capacity.reserve(key + _PROMPT_KEY_SUFFIX, reservation)
        self._components.on_reservations_changed(key + _PROMPT_KEY_SUFFIX)

    def note_prompt_computed(self, key: str) -> None:
        """Release the prompt reservation of a decode endpoint that computed the prompt itself."""
        if key + _PROMPT_KEY_SUFFIX in self._components.capacity.own_reservations:
            self._components.spawn(self._release_prompt, key + _PROMPT_KEY_SUFFIX)

    async def _release_prompt(self, key: str) -> None:
        await trio.sleep(_PROMPT_GAP_S)
        self.release(key)

    def _refuse(self, call: Call, position: _QueuePosition) -> Refusal:
        """Refuse a call, with a delay after which capacity and a computed prompt are expected."""
        plan = self._plan_prompt(call, position)
        expected_wait_s = self._estimate_wait_s(call, plan, position)
        retry_s = (
            _UNKNOWN_WAIT_S if expected_wait_s is None else max(expected_wait_s, -plan.slack_s)
        )
        retry_s = min(
            max(_MIN_RETRY_DELAY_S, retry_s), call.route.max_retry_after_share * call.remaining_s
        )
        if not position.refused_ago_s and self._components.capacity.switches.is_enabled(
            Mechanism.EXPECTED_RETRIES
        ):
            self._expect_retry(call, retry_s)
        kind = ErrorKind.NO_ENDPOINT if expected_wait_s is None else ErrorKind.NO_ROOM
        call.log(
            "request refused: no decode endpoint has capacity",
            waiting=len(self._wait_queue),
            room_in_s=None if expected_wait_s is None else round(expected_wait_s, 3),
            prompt_in_s=round(plan.ready_s, 3),
            spare_s=round(plan.slack_s, 3),
            retry_after_s=round(retry_s, 3),
        )
        return Refusal(kind, "no decode endpoint has room", retry_s)

    def _final_tokens(self, call: Call) -> int:
        """Return the memory that the stream is expected to use at its end, in tokens."""
        service_times = self._components.capacity.service_times(call.service.name)
        return call.inbound.prompt_tokens + estimate_output_tokens(call.inbound, service_times)

    def _expect_retry(self, call: Call, retry_s: float) -> None:
        """Record that the caller of a refused call is expected to retry after the given delay."""
        now = trio.current_time()
        service = call.service.name
        key = self._expected_retries.expect_retry(
            call.inbound, service, self._final_tokens(call), now + retry_s, now
        )
        self._components.on_reservations_changed(key)

    def run_maintenance(self) -> None:
        """Remove expired expected retries, and try to place the waiting streams."""
        self._components.on_reservations_changed(
            *self._expected_retries.release_expired(trio.current_time())
        )
        self.place_waiting()


def _queue_class(call: Call) -> str:
    """Return the class of a call in the wait queue.

    Streams bound to a build form classes of their own: no capacity at its endpoints says nothing
    about the others.
    """
    if call.required_build is None:
        return call.service.name
    return f"{call.service.name}/{call.required_build}"
