"""Choose endpoints for the relay's calls.

A decode needs capacity for the memory that it holds at its end, so the decode endpoint is
chosen before the prompt is computed. A prefill is assigned to the endpoint whose result is
ready first. Both prefer the instance's own data centre when that costs nothing.
"""

import math
import random
from collections.abc import Iterator, Mapping, Set
from types import MappingProxyType
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineProperties, InboundRequest, RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.plain_spread import random_assignment_share, sustainable_weights
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.service_times import ServiceTimes

__all__ = [
    "IMMEDIATELY",
    "MIN_CRASHES_TO_ISOLATE",
    "PlacementContext",
    "SendTime",
    "StreamSize",
    "count_fitting_streams",
    "estimate_output_tokens",
    "estimate_longest_stream_s",
    "choose_decode",
    "choose_plain",
    "choose_plain_within_wait",
    "choose_prefill",
]

# Added to the cost of an endpoint whose rate limit makes a stream wait: large enough that a stream
# waits there only when no endpoint of any data centre can take it immediately.
_RATE_LIMIT_WAIT_COST = 4.0
# Upper bound of the random delay of retries at a rate-limited endpoint, in seconds. Without it,
# streams that wait at several instances would all use the same permit of the limit.
_RETRY_JITTER_S = 0.25
# Cost of another data centre for a plain call, as a share of an endpoint's slots. It is small:
# the call ends before a network partition is likely, and a near endpoint may be full without
# this instance knowing it.
_PLAIN_REMOTE_COST = 0.08
# Cost of another data centre for a prefill, in prompt tokens: the transfer of the prompt's
# result takes twice as long.
_REMOTE_COST_TOKENS = 1_500
# Standard deviations by which an answer may exceed its estimated length; one answer in forty is
# longer still.
_LONG_ANSWER_DEVIATIONS = 2.0
# Queue estimates are off by about half, and the link may be busy when the prompt's result is
# transferred.
_START_FACTOR = 2.0
# Requests that were in progress at this number of endpoint crashes never share an endpoint: after
# another crash it would still be unknown which of them caused it.
MIN_CRASHES_TO_ISOLATE = 2
# Added to the cost of an endpoint that runs a crash suspect, for a request that is itself a
# suspect. Suspects that run together are present at the same crashes and can't be told apart, so
# a suspect goes to another data centre rather than to an endpoint that runs another suspect.
_SUSPECT_BESIDE_SUSPECT_COST = 5.0
# The same for a request that is not a suspect: it shares an endpoint with a suspect only when no
# other endpoint of its data centre has capacity. Loads that are compared stay below this value.
_BESIDE_SUSPECT_COST = 1.0
# Share of a prompt's computing time that counts in full when prefills of unequal speed are
# compared. The rest is randomised, so that instances that have not yet received each other's
# assignments don't all choose the same endpoint.
_FIXED_TIME_SHARE = 0.5
# Lower bound of the speed by which loads are weighted, so that one failing endpoint does not make
# the loads of all others look alike.
_MIN_SPEED = 0.5
# Endpoints whose costs differ by less than this count as equally good: with many instances, the
# loads known to each of them are outdated.
_SIMILAR_COST_MARGIN = 0.5
# Share of the cost of another data centre by which ties are broken at random.
_TIE_BREAK_SHARE = 0.01


class PlacementContext(NamedTuple):
    """What a placement depends on besides the request and the endpoints' capacity.

    Attributes:
        data_centre: Data centre of this instance.
        excluded: Endpoints that this call may not use.
        now: The current time, in seconds.
        rng: Random generator that breaks ties.
        suspicion: Number of endpoint crashes at which the call's request was in progress.
        build: Build that must run the call; None for any.
    """

    data_centre: str
    excluded: Set[str]
    now: float
    rng: random.Random
    suspicion: int = 0
    build: str | None = None


class StreamSize(NamedTuple):
    """Expected resource use of a stream on a decode endpoint.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        output_tokens: Estimated tokens of the answer.
        duration_s: Duration on an endpoint of the service's usual speed.
        remote_prefill_s: Part of the duration in which another endpoint computes the prompt.
    """

    prompt_tokens: int
    output_tokens: int
    duration_s: float
    remote_prefill_s: float = 0.0

    def make_reservation(self, endpoint: str, now: float, speed: float = 1.0) -> Reservation:
        """Return the reservation of the stream on an endpoint.

        Args:
            endpoint: Name of the endpoint.
            now: The current time, in seconds.
            speed: The endpoint's speed relative to its service's usual speed.
        """
        duration_s = self.duration_s
        if speed != 1.0:
            duration_s = self.remote_prefill_s + (duration_s - self.remote_prefill_s) / speed
        tokens = self.prompt_tokens + self.output_tokens
        return Reservation(
            endpoint, Role.DECODE, tokens, now + duration_s, duration_s, self.output_tokens
        )


class SendTime(NamedTuple):
    """When a stream is to be sent, in seconds from now.

    Attributes:
        prompt_ready_in_s: When its prompt should be computed; it is not sent earlier.
        latest_in_s: Latest time at which it may be sent.
        is_retry: Whether an earlier attempt found no endpoint. Other instances may retry their
            streams at the same moment.
    """

    prompt_ready_in_s: float = 0.0
    latest_in_s: float = 0.0
    is_retry: bool = False


IMMEDIATELY = SendTime()
NO_PROMPT_WAITS: Mapping[str, float] = MappingProxyType({})


class _Option(NamedTuple):
    """An endpoint that can take a stream, with its cost: the lowest cost is chosen."""

    cost: float
    endpoint: RoutedEndpoint | None


_NO_OPTION = _Option(math.inf, None)


def estimate_output_tokens(inbound: InboundRequest, times: ServiceTimes) -> int:
    """Estimate the number of tokens of a stream's answer."""
    output = inbound.max_output_tokens
    if inbound.estimated_output_tokens:
        output = min(output, int(inbound.estimated_output_tokens * times.length_ratio))
    return output


def estimate_longest_stream_s(
    inbound: InboundRequest, times: ServiceTimes, ready_s: float = 0.0
) -> float:
    """Estimate an upper bound of a stream's duration, which few streams exceed.

    Args:
        inbound: The request.
        times: Measured times of its service.
        ready_s: Seconds until its prompt should be computed.

    Returns:
        Seconds until its last event; infinite while the service's times are unknown.
    """
    output = inbound.max_output_tokens
    if inbound.estimated_output_tokens:
        long_factor = 1 + _LONG_ANSWER_DEVIATIONS * times.length_spread
        output = min(
            output, int(inbound.estimated_output_tokens * times.length_ratio * long_factor)
        )
    return _START_FACTOR * (ready_s + times.first_event_s) + times.slow_token_s * output


def choose_decode(
    service: str,
    stream: StreamSize,
    traits: EngineProperties,
    capacity: Capacity,
    context: PlacementContext,
    *,
    computes_prompt: bool = False,
    requires_spare_capacity: bool = False,
    send_time: SendTime = IMMEDIATELY,
    prompt_wait_shares: Mapping[str, float] = NO_PROMPT_WAITS,
) -> RoutedEndpoint | None:
    """Return the decode endpoint with the most free capacity; None if none has enough.

    Args:
        service: Name of the service.
        stream: Size of the stream.
        traits: Properties that the service's engines share.
        capacity: Estimated state of the endpoints.
        context: Data centre, time and call of the decision.
        computes_prompt: Whether the endpoint must compute the prompt too; an endpoint that
            computes another prompt is then skipped.
        requires_spare_capacity: Whether an endpoint that is not idle must have capacity for a
            second such stream.
        send_time: When the stream is to be sent; decides how long it may wait for the rate
            limit of an endpoint.
        prompt_wait_shares: Waiting time of a prompt for the decodes of each data centre, as a share
            of the stream's target.
    """
    count = 2 if requires_spare_capacity else 1
    jitter_s = _RETRY_JITTER_S * context.rng.random() if send_time.is_retry else 0.0
    # Endpoints of this instance's data centre (False) and of others (True).
    options: dict[bool, list[_Option]] = {False: [], True: []}
    # Cost of the least loaded endpoint of each side, not weighted by speed.
    least_cost = {False: math.inf, True: math.inf}
    candidates = capacity.candidates(service, Role.DECODE, context.now, context.build)
    slowest = min((_weighting_speed(item, capacity, context) for item in candidates), default=1.0)
    for endpoint in candidates:
        if endpoint.name in context.excluded or capacity.is_full(endpoint.name, context.now):
            continue
        due_in_s = capacity.endpoint_limits.due_in_s(endpoint.name, context.now, jitter_s)
        if due_in_s > max(send_time.prompt_ready_in_s, send_time.latest_in_s):
            continue
        if computes_prompt and capacity.usage(endpoint.name, Role.PREFILL).running:
            continue
        if _must_isolate(endpoint, capacity, context):
            continue
        speed = capacity.relative_speed(endpoint.name, context.now)
        added = [stream.make_reservation(endpoint.name, context.now, speed)] * count
        load = _load_with(endpoint, added, traits, capacity, context.now)
        if load is None:
            continue
        # At the same load, a faster endpoint frees its memory sooner.
        weighted_load = load * slowest / _weighting_speed(endpoint, capacity, context)
        extra_cost = prompt_wait_shares.get(endpoint.data_centre, 0.0)
        if due_in_s > send_time.prompt_ready_in_s:
            extra_cost += _RATE_LIMIT_WAIT_COST + due_in_s
        extra_cost += _suspect_cost(endpoint, capacity, context)
        extra_cost += context.rng.random() * 0.01
        is_remote = _is_remote(endpoint, capacity, context)
        least_cost[is_remote] = min(least_cost[is_remote], load + extra_cost)
        options[is_remote].append(_Option(weighted_load + extra_cost, endpoint))
    usable = options[capacity.spill_over.should_cross(least_cost[False], least_cost[True])]
    best = min(usable, default=_NO_OPTION, key=_cost)
    uses_two_choices = (
        capacity.switches.is_enabled(Mechanism.TWO_CHOICES)
        and capacity.shared_wait_queues.is_large_group
    )
    if not uses_two_choices:
        return best.endpoint
    return _choose_of_two(usable, best, context.rng)


def _cost(option: _Option) -> float:
    return option.cost


def _choose_of_two(
    options: list[_Option], best: _Option, rng: random.Random
) -> RoutedEndpoint | None:
    """Return the cheaper of two random endpoints among those that cost about the same.

    Loads known to an instance are some tens of ms old. With many instances, the endpoint that
    looks least loaded is the one whose latest streams have not been reported yet, and all of them
    would choose it.
    """
    similar = [option for option in options if option.cost < best.cost + _SIMILAR_COST_MARGIN]
    if len(similar) < 3:
        return best.endpoint
    return min(rng.sample(similar, 2), key=_cost).endpoint


def _weighting_speed(
    endpoint: RoutedEndpoint, capacity: Capacity, context: PlacementContext
) -> float:
    """Return the speed by which an endpoint's load is weighted."""
    return max(_MIN_SPEED, capacity.relative_speed(endpoint.name, context.now))


def count_fitting_streams(
    service: str,
    tokens: int,
    traits: EngineProperties,
    capacity: Capacity,
    context: PlacementContext,
    *,
    placed_first: Reservation,
) -> int:
    """Return how many more streams fit on all decodes after one stream is placed.

    Args:
        service: Name of the service.
        tokens: Memory that each of the streams holds at its end.
        traits: Properties that the service's engines share.
        capacity: Estimated state of the endpoints.
        context: Data centre, time and call of the decision.
        placed_first: Reservation of the stream that is placed first.
    """
    fitting = 0
    spread = capacity.service_times(service).length_spread
    for endpoint in capacity.candidates(service, Role.DECODE, context.now, context.build):
        if capacity.is_full(endpoint.name, context.now):
            continue
        added = [placed_first] if endpoint.name == placed_first.endpoint else []
        running = capacity.usage(endpoint.name, Role.DECODE).running + len(added)
        held = capacity.peak_memory(endpoint.name, added, context.now, spread)
        added_tokens = sum(item.tokens for item in added)
        limit = capacity.free_memory_tokens(endpoint.name, context.now) - added_tokens
        free = min(traits.memory_tokens - held, limit)
        fitting += max(0, min(traits.slots - running, int(free // max(1, tokens))))
    return fitting


def _load_with(
    endpoint: RoutedEndpoint,
    added: list[Reservation],
    traits: EngineProperties,
    capacity: Capacity,
    now: float,
) -> float | None:
    """Return a decode's peak memory use with some streams added, as a share of its memory.

    Returns:
        The share; None if the streams don't fit. A stream that is larger than the memory fits
        on an idle endpoint.
    """
    usage = capacity.usage(endpoint.name, Role.DECODE)
    spread = capacity.service_times(endpoint.service).length_spread
    peak = capacity.peak_memory(endpoint.name, added, now, spread)
    is_full = usage.running + len(added) > traits.slots or peak > traits.memory_tokens
    is_full = is_full or sum(item.tokens for item in added) >= capacity.free_memory_tokens(
        endpoint.name, now
    )
    if usage.running and is_full:
        return None
    return peak / traits.memory_tokens


def choose_prefill(
    service: str,
    capacity: Capacity,
    context: PlacementContext,
    decode_data_centre: str,
    tokens: int = 0,
    *,
    target_s: float = 0.0,
    build: str | None = None,
) -> RoutedEndpoint | None:
    """Return the prefill endpoint that finishes a prompt first.

    Args:
        service: Name of the service.
        capacity: Estimated state of its endpoints.
        context: Data centre, time and call of the decision.
        decode_data_centre: Data centre of the chosen decode endpoint, which is preferred.
        tokens: Tokens of the prompt.
        target_s: Time within which the stream should begin; the cost of another data centre
            is at least a share of it.
        build: Build of the decode endpoint, which can use the result of no other one; None for any.
    """
    best: RoutedEndpoint | None = None
    best_cost = 0.0
    times = capacity.service_times(service)
    remote_cost_s, compute_s = times.prompt_s(_REMOTE_COST_TOKENS), times.prompt_s(tokens)
    if capacity.spill_over.is_in_use and target_s < math.inf:
        remote_cost_s = max(remote_cost_s, capacity.spill_over.crossing_share * target_s)
    candidates = capacity.candidates(service, Role.PREFILL, context.now, build)
    speeds_differ = any(
        capacity.relative_speed(item.name, context.now) != 1.0 for item in candidates
    )
    for endpoint in candidates:
        if endpoint.name in context.excluded or capacity.is_full(endpoint.name, context.now):
            continue
        cost = capacity.prompt_starts_in_s(endpoint.name, context.now)
        # At equal speeds the computing time is the same on all endpoints and is left out.
        if speeds_differ:
            factor = _FIXED_TIME_SHARE + (1 - _FIXED_TIME_SHARE) * context.rng.expovariate(1.0)
            cost += compute_s / capacity.relative_speed(endpoint.name, context.now) * factor
        cost += remote_cost_s * (endpoint.data_centre != decode_data_centre)
        cost += remote_cost_s * _TIE_BREAK_SHARE * context.rng.random()
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    return best


def choose_plain(
    service: str, capacity: Capacity, context: PlacementContext
) -> RoutedEndpoint | None:
    """Return the plain endpoint with the fewest calls per slot, counting peers' calls.

    Reports of peers' calls arrive too late to rely on their number. While the endpoint with the
    fewest calls is busy with peers' calls, the call may therefore go to an endpoint drawn at
    random, weighted by the load that each endpoint sustains.
    """
    best: RoutedEndpoint | None = None
    best_cost = 0.0
    usable = [
        endpoint
        for endpoint in _plain_candidates(service, capacity, context)
        if not capacity.endpoint_limits.due_in_s(endpoint.name, context.now)
    ]
    for endpoint in usable:
        usage = capacity.usage(endpoint.name, Role.PLAIN)
        cost = usage.running / max(1, endpoint.slots)
        cost += _PLAIN_REMOTE_COST * _is_remote(endpoint, capacity, context)
        cost += _suspect_cost(endpoint, capacity, context)
        cost += context.rng.random() * 0.02
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    if best is None or not capacity.switches.is_enabled(Mechanism.PLAIN_ADMISSION):
        return best
    share = random_assignment_share(best, capacity.plain_load, context.now)
    if not share or context.rng.random() >= share:
        return best
    return _draw_plain(usable, capacity, context)


def _draw_plain(
    usable: list[RoutedEndpoint], capacity: Capacity, context: PlacementContext
) -> RoutedEndpoint:
    """Draw two endpoints, weighted by the load that they sustain, and return the cheaper one."""
    weights = sustainable_weights(usable, capacity, context.now)
    drawn = context.rng.choices(usable, weights, k=2)
    return min(drawn, key=lambda endpoint: _drawn_cost(endpoint, capacity, context))


def _drawn_cost(endpoint: RoutedEndpoint, capacity: Capacity, context: PlacementContext) -> float:
    """Return the cost of a drawn endpoint: its calls per slot, and whether it runs a suspect."""
    running = capacity.usage(endpoint.name, Role.PLAIN).running
    return running / max(1, endpoint.slots) + _suspect_cost(endpoint, capacity, context)


def choose_plain_within_wait(
    service: str, capacity: Capacity, context: PlacementContext, max_wait_s: float
) -> RoutedEndpoint | None:
    """Return the plain endpoint whose rate limit allows the next call first.

    Args:
        service: Name of the service.
        capacity: Estimated state of its endpoints.
        context: Data centre, time and call of the decision.
        max_wait_s: Longest time that the call may wait.

    Returns:
        The endpoint; None if the call would wait longer.
    """
    due = [
        (
            capacity.endpoint_limits.due_in_s(endpoint.name, context.now),
            context.rng.random(),
            endpoint,
        )
        for endpoint in _plain_candidates(service, capacity, context)
    ]
    due_in_s, _, endpoint = min(due, default=(math.inf, 0.0, None))
    return endpoint if due_in_s <= max_wait_s else None


def _plain_candidates(
    service: str, capacity: Capacity, context: PlacementContext
) -> Iterator[RoutedEndpoint]:
    """Yield the plain endpoints that a call may use, regardless of their rate limits."""
    for endpoint in capacity.candidates(service, Role.PLAIN, context.now):
        if endpoint.name in context.excluded or capacity.is_full(endpoint.name, context.now):
            continue
        yield endpoint


def _suspect_cost(endpoint: RoutedEndpoint, capacity: Capacity, context: PlacementContext) -> float:
    """Return the cost of sharing an endpoint with a request suspected of causing a crash."""
    if not capacity.max_suspicion(endpoint.name):
        return 0.0
    return _SUSPECT_BESIDE_SUSPECT_COST if context.suspicion else _BESIDE_SUSPECT_COST


def _must_isolate(endpoint: RoutedEndpoint, capacity: Capacity, context: PlacementContext) -> bool:
    """Check whether an endpoint runs a suspect that must not run together with this request."""
    if context.suspicion < MIN_CRASHES_TO_ISOLATE:
        return False
    return capacity.max_suspicion(endpoint.name) >= MIN_CRASHES_TO_ISOLATE


def _is_remote(endpoint: RoutedEndpoint, capacity: Capacity, context: PlacementContext) -> bool:
    """Check whether an endpoint counts as located in another data centre."""
    if not capacity.switches.is_enabled(Mechanism.LOCALITY):
        return False
    return endpoint.data_centre != context.data_centre
