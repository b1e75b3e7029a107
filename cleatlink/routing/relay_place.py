"""Chooses endpoints for the relay's calls.

A decode needs room for the memory it will hold at its end, so room is chosen
before the prompt is computed. A prefill goes where its result is ready first.
Both prefer the instance's own data centre when that costs nothing.
"""

import math
import random
from collections.abc import Iterator, Mapping, Set
from types import MappingProxyType
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineTraits, Inbound, RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.pace import ServicePace
from cleatlink.routing.plain_spread import plain_weights, spread_share
from cleatlink.routing.reservation import Reservation

__all__ = [
    "AT_ONCE",
    "RUNS_APART",
    "Seeker",
    "SendTime",
    "StreamSize",
    "count_places",
    "estimate_output",
    "longest_stream_s",
    "place_decode",
    "place_plain",
    "place_plain_later",
    "place_prefill",
]

# A stream waits for its turn at an endpoint that names a limit only when no other, wherever it
# is, can take it at once.
_TURN_DISTANCE = 4.0
# Streams that wait at several instances take what an endpoint's limit allows at moments that
# are spread over so long: each would take the same call's turn.
_TURN_SPREAD_S = 0.25
# A plain call is over before a cut is likely, and its endpoint may be full unseen: another
# data centre counts like this share of an endpoint's slots.
_PLAIN_DISTANCE = 0.08
# Another data centre counts like so many tokens of a prompt: its hand-over takes twice as long.
_DISTANCE_TOKENS = 1_500
# An answer may be longer than estimated by so many deviations; one in forty is longer yet.
_LONG_DEVIATIONS = 2.0
# A queue is seen with an error of about a half, and a hand-over may find the link taken.
_START_FACTOR = 2.0
# Requests that were at so many crashes never run on one endpoint: at the next crash it would be
# as unknown as before which of them it was.
RUNS_APART = 2
# Suspects that run together and are there at the same crashes can't be told apart: one goes to
# another data centre rather than to an endpoint that runs another one.
_SUSPECTS_DISTANCE = 5.0
# Others go beside one only when no other endpoint of their data centre has room. Loads that
# are compared stay below this figure.
_BESIDE_SUSPECT = 1.0
# The share of a prompt's time by which prefills of unequal speed are surely compared; the rest is
# spread by chance, so that instances that don't know yet of each other's don't all choose one.
_SURE_SHARE = 0.5
# Loads are compared by what an endpoint gets done; one slower than this counts like it, so that
# a sick one does not make the loads of all others look alike.
_MIN_SPEED = 0.5
# Places whose loads differ by less than this may be equal, seen from many instances.
_CLOSE = 0.5
# Endpoints that differ by less than this share of a distance count as equal.
_TIE = 0.01


class Seeker(NamedTuple):
    """Who seeks a place.

    Attributes:
        data_centre: Where this instance runs.
        excluded: Endpoints that this call may not use.
        now: The time.
        rng: Breaks ties.
        suspicion: At how many crashes of endpoints the call's request was in progress.
    """

    data_centre: str
    excluded: Set[str]
    now: float
    rng: random.Random
    suspicion: int = 0


class StreamSize(NamedTuple):
    """What a stream is expected to take of a decode endpoint.

    Attributes:
        prompt: Tokens of the prompt.
        output: Tokens of the answer, as estimated.
        duration_s: How long it runs on an endpoint of the usual speed.
        apart_s: The part of it in which the prompt is computed elsewhere.
    """

    prompt: int
    output: int
    duration_s: float
    apart_s: float = 0.0

    def reserve(self, endpoint: str, now: float, speed: float = 1.0) -> Reservation:
        """Give the work that it is for an endpoint.

        Args:
            endpoint: Its name.
            now: The time.
            speed: Its speed beside its service's usual one.
        """
        duration_s = self.duration_s
        if speed != 1.0:
            duration_s = self.apart_s + (duration_s - self.apart_s) / speed
        tokens = self.prompt + self.output
        return Reservation(endpoint, Role.DECODE, tokens, now + duration_s, duration_s, self.output)


class SendTime(NamedTuple):
    """When a stream is to be sent, in seconds from now.

    Attributes:
        ready_in_s: When its prompt should be computed; it is sent no sooner.
        within_s: When it has to be sent at the latest.
        is_retry: Whether it looked for a place before, as others at other instances may do at
            the same moment.
    """

    ready_in_s: float = 0.0
    within_s: float = 0.0
    is_retry: bool = False


AT_ONCE = SendTime()
NO_WAITS: Mapping[str, float] = MappingProxyType({})


class _Option(NamedTuple):
    """A place for a stream, and what counts against it."""

    cost: float
    endpoint: RoutedEndpoint | None


_NOWHERE = _Option(math.inf, None)


def estimate_output(inbound: Inbound, pace: ServicePace) -> int:
    """Estimate the tokens of a stream's answer."""
    output = inbound.max_output_tokens
    if inbound.output_hint:
        output = min(output, int(inbound.output_hint * pace.length_ratio))
    return output


def longest_stream_s(inbound: Inbound, pace: ServicePace, ready_s: float = 0.0) -> float:
    """Foresee how long a stream may take, all but one in some tens.

    Args:
        inbound: The request.
        pace: What was learned of its service.
        ready_s: Seconds until its prompt should be computed.

    Returns:
        Seconds until its last event; infinite while nothing is known of the pace.
    """
    output = inbound.max_output_tokens
    if inbound.output_hint:
        stretch = 1 + _LONG_DEVIATIONS * pace.length_spread
        output = min(output, int(inbound.output_hint * pace.length_ratio * stretch))
    return _START_FACTOR * (ready_s + pace.start_s) + pace.slow_token_s * output


def place_decode(
    service: str,
    work: StreamSize,
    traits: EngineTraits,
    capacity: Capacity,
    seeker: Seeker,
    *,
    computes_prompt: bool = False,
    leaves_room: bool = False,
    send_time: SendTime = AT_ONCE,
    prompt_waits: Mapping[str, float] = NO_WAITS,
) -> RoutedEndpoint | None:
    """Give the decode endpoint with the most room, None if none has enough.

    Args:
        service: The service.
        work: Size of the stream.
        traits: What the service's engines have in common.
        capacity: What is believed of them.
        seeker: Who seeks.
        computes_prompt: Whether the endpoint has to compute the prompt too; then
            one that is at another prompt has no room.
        leaves_room: Whether room for one more such stream has to be left, on an endpoint
            that is not idle.
        send_time: When the stream is to be sent, for endpoints that name a limit.
        prompt_waits: What prompts wait for decodes of a data centre, as shares of the
            stream's target.
    """
    count = 2 if leaves_room else 1
    ready_for_s = _TURN_SPREAD_S * seeker.rng.random() if send_time.is_retry else 0.0
    options: dict[bool, list[_Option]] = {False: [], True: []}
    # How full the emptiest place of either side is, whatever its speed.
    least = {False: math.inf, True: math.inf}
    candidates = capacity.candidates(service, Role.DECODE, seeker.now)
    slowest = min((_speed(item, capacity, seeker) for item in candidates), default=1.0)
    for endpoint in candidates:
        if endpoint.name in seeker.excluded or capacity.is_full(endpoint.name, seeker.now):
            continue
        due_in_s = capacity.limits.due_in_s(endpoint.name, seeker.now, ready_for_s)
        if due_in_s > max(send_time.ready_in_s, send_time.within_s):
            continue
        if computes_prompt and capacity.usage(endpoint.name, Role.PREFILL).running:
            continue
        if _must_part(endpoint, capacity, seeker):
            continue
        speed = capacity.speed(endpoint.name, seeker.now)
        added = [work.reserve(endpoint.name, seeker.now, speed)] * count
        load = _load_with(endpoint, added, traits, capacity, seeker.now)
        if load is None:
            continue
        # What is full to the same share is free again sooner on a faster one.
        weighed = load * slowest / _speed(endpoint, capacity, seeker)
        extra = prompt_waits.get(endpoint.data_centre, 0.0)
        if due_in_s > send_time.ready_in_s:
            extra += _TURN_DISTANCE + due_in_s
        extra += _suspicion(endpoint, capacity, seeker)
        extra += seeker.rng.random() * 0.01
        is_far = _is_far(endpoint, capacity, seeker)
        least[is_far] = min(least[is_far], load + extra)
        options[is_far].append(_Option(weighed + extra, endpoint))
    chosen = options[capacity.spill_over.crosses(least[False], least[True])]
    best = min(chosen, default=_NOWHERE, key=_cost)
    spreads = capacity.switches.uses(Mechanism.TWO_CHOICES) and capacity.waiting.is_large_group
    if not spreads:
        return best.endpoint
    return _pick_of_two(chosen, best, seeker.rng)


def _cost(option: _Option) -> float:
    return option.cost


def _pick_of_two(
    options: list[_Option], best: _Option, rng: random.Random
) -> RoutedEndpoint | None:
    """Give the better one of two places that are picked by chance.

    Among many instances, whose views are some tens of ms old, the place that looks best is the one
    of which the least is known, and all choose it.
    """
    close = [option for option in options if option.cost < best.cost + _CLOSE]
    if len(close) < 3:
        return best.endpoint
    return min(rng.sample(close, 2), key=_cost).endpoint


def _speed(endpoint: RoutedEndpoint, capacity: Capacity, seeker: Seeker) -> float:
    """Give the speed by which an endpoint's load is compared with others'."""
    return max(_MIN_SPEED, capacity.speed(endpoint.name, seeker.now))


def count_places(
    service: str,
    tokens: int,
    traits: EngineTraits,
    capacity: Capacity,
    seeker: Seeker,
    *,
    beside: Reservation,
) -> int:
    """Give for how many streams there is room on all decodes once one more has its place.

    Args:
        service: The service.
        tokens: Memory that each of them holds at its end.
        traits: What the service's engines have in common.
        capacity: What is believed of them.
        seeker: Who seeks.
        beside: The work that has its place before.
    """
    places = 0
    spread = capacity.pace(service).length_spread
    for endpoint in capacity.candidates(service, Role.DECODE, seeker.now):
        if capacity.is_full(endpoint.name, seeker.now):
            continue
        added = [beside] if endpoint.name == beside.endpoint else []
        running = capacity.usage(endpoint.name, Role.DECODE).running + len(added)
        held = capacity.peak_memory(endpoint.name, added, seeker.now, spread)
        taken = sum(item.tokens for item in added)
        limit = capacity.free_tokens(endpoint.name, seeker.now) - taken
        free = min(traits.memory_tokens - held, limit)
        places += max(0, min(traits.slots - running, int(free // max(1, tokens))))
    return places


def _load_with(
    endpoint: RoutedEndpoint,
    added: list[Reservation],
    traits: EngineTraits,
    capacity: Capacity,
    now: float,
) -> float | None:
    """Give the share of a decode's memory that is held at the most with some streams more.

    Returns:
        The share; None if they don't fit. A stream that is larger than the memory fits alone.
    """
    usage = capacity.usage(endpoint.name, Role.DECODE)
    spread = capacity.pace(endpoint.service).length_spread
    peak = capacity.peak_memory(endpoint.name, added, now, spread)
    is_full = usage.running + len(added) > traits.slots or peak > traits.memory_tokens
    is_full = is_full or sum(item.tokens for item in added) >= capacity.free_tokens(
        endpoint.name, now
    )
    if usage.running and is_full:
        return None
    return peak / traits.memory_tokens


def place_prefill(
    service: str,
    capacity: Capacity,
    seeker: Seeker,
    beside: str,
    tokens: int = 0,
    *,
    target_s: float = 0.0,
) -> RoutedEndpoint | None:
    """Give the prefill endpoint that has a prompt ready first.

    Args:
        service: The service.
        capacity: What is believed of its endpoints.
        seeker: Who seeks.
        beside: Data centre that is preferred, as the decode is there.
        tokens: Tokens of the prompt.
        target_s: Time within which the stream should begin; bounds what a crossing costs.
    """
    best: RoutedEndpoint | None = None
    best_cost = 0.0
    pace = capacity.pace(service)
    far_s, alone_s = pace.prompt_s(_DISTANCE_TOKENS), pace.prompt_s(tokens)
    if capacity.spill_over.is_in_use and target_s < math.inf:
        far_s = max(far_s, capacity.spill_over.crossing_share * target_s)
    candidates = capacity.candidates(service, Role.PREFILL, seeker.now)
    differ = any(capacity.speed(item.name, seeker.now) != 1.0 for item in candidates)
    for endpoint in candidates:
        if endpoint.name in seeker.excluded or capacity.is_full(endpoint.name, seeker.now):
            continue
        cost = capacity.begins_in_s(endpoint.name, seeker.now)
        # What it takes for the prompt beyond what one of the usual speed would.
        if differ:
            spread = _SURE_SHARE + (1 - _SURE_SHARE) * seeker.rng.expovariate(1.0)
            cost += alone_s / capacity.speed(endpoint.name, seeker.now) * spread
        cost += far_s * (endpoint.data_centre != beside)
        cost += far_s * _TIE * seeker.rng.random()
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    return best


def place_plain(service: str, capacity: Capacity, seeker: Seeker) -> RoutedEndpoint | None:
    """Give the plain endpoint with the least of this instance's and peers' calls a slot.

    While that one is busy with peers' calls, which are known too late to go by their number, the
    call may go to any, by what each of them bears.
    """
    best: RoutedEndpoint | None = None
    best_cost = 0.0
    found = [
        endpoint
        for endpoint in _open_plain(service, capacity, seeker)
        if not capacity.limits.due_in_s(endpoint.name, seeker.now)
    ]
    for endpoint in found:
        usage = capacity.usage(endpoint.name, Role.PLAIN)
        cost = usage.running / max(1, endpoint.slots)
        cost += _PLAIN_DISTANCE * _is_far(endpoint, capacity, seeker)
        cost += _suspicion(endpoint, capacity, seeker)
        cost += seeker.rng.random() * 0.02
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    if best is None or not capacity.switches.uses(Mechanism.PLAIN_ADMISSION):
        return best
    share = spread_share(best, capacity.plain, seeker.now)
    if not share or seeker.rng.random() >= share:
        return best
    return _draw_plain(found, capacity, seeker)


def _draw_plain(found: list[RoutedEndpoint], capacity: Capacity, seeker: Seeker) -> RoutedEndpoint:
    """Give the one of two endpoints, drawn by what they bear, that has fewer of own calls."""
    weights = plain_weights(found, capacity, seeker.now)
    drawn = seeker.rng.choices(found, weights, k=2)
    return min(drawn, key=lambda endpoint: _own_plain(endpoint, capacity, seeker))


def _own_plain(endpoint: RoutedEndpoint, capacity: Capacity, seeker: Seeker) -> float:
    """Give what counts against an endpoint and is known exactly: own calls a slot, suspects."""
    running = capacity.usage(endpoint.name, Role.PLAIN).running
    return running / max(1, endpoint.slots) + _suspicion(endpoint, capacity, seeker)


def place_plain_later(
    service: str, capacity: Capacity, seeker: Seeker, within_s: float
) -> RoutedEndpoint | None:
    """Give the plain endpoint whose limit allows one more call first, if that is soon.

    Args:
        service: The service.
        capacity: What is believed of its endpoints.
        seeker: Who seeks.
        within_s: For how many seconds the call may wait.
    """
    due = [
        (capacity.limits.due_in_s(endpoint.name, seeker.now), seeker.rng.random(), endpoint)
        for endpoint in _open_plain(service, capacity, seeker)
    ]
    due_in_s, _, endpoint = min(due, default=(math.inf, 0.0, None))
    return endpoint if due_in_s <= within_s else None


def _open_plain(service: str, capacity: Capacity, seeker: Seeker) -> Iterator[RoutedEndpoint]:
    """Give the plain endpoints that a call may use but for their limits."""
    for endpoint in capacity.candidates(service, Role.PLAIN, seeker.now):
        if endpoint.name in seeker.excluded or capacity.is_full(endpoint.name, seeker.now):
            continue
        yield endpoint


def _suspicion(endpoint: RoutedEndpoint, capacity: Capacity, seeker: Seeker) -> float:
    """Give what it counts that an endpoint runs a request that may have crashed another one."""
    if not capacity.suspicion(endpoint.name):
        return 0.0
    return _SUSPECTS_DISTANCE if seeker.suspicion else _BESIDE_SUSPECT


def _must_part(endpoint: RoutedEndpoint, capacity: Capacity, seeker: Seeker) -> bool:
    """Tell whether an endpoint runs a request that has to be told apart from this one."""
    if seeker.suspicion < RUNS_APART:
        return False
    return capacity.suspicion(endpoint.name) >= RUNS_APART


def _is_far(endpoint: RoutedEndpoint, capacity: Capacity, seeker: Seeker) -> bool:
    """Tell whether an endpoint counts as one of another data centre."""
    if not capacity.switches.uses(Mechanism.LOCALITY):
        return False
    return endpoint.data_centre != seeker.data_centre
