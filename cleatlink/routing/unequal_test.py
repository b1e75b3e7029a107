"""Engines of one service at 0.7, 0.7 and 1.7 of its usual speed.

Prompts were sent to whichever engine had the fewest tokens before it, so that slow ones were
late while fast ones stood idle. Arrivals and outcomes are fed to the decisions of many
instances here, which know each other's work a second late and partly never.
"""

import heapq
import math
import random
from collections.abc import Callable, Set
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import (
    EngineTraits,
    Inbound,
    Route,
    RoutedEndpoint,
    RoutedService,
    RouteKind,
)
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_pace import PaceKind, PaceSample
from cleatlink.routing.forecast import RoomForecast, StreamDemand
from cleatlink.routing.mechanisms import Mechanism, Switches
from cleatlink.routing.pace import PaceSummary
from cleatlink.routing.prompt_plan import plan_prompt
from cleatlink.routing.relay_place import Seeker, StreamSize, place_decode, place_prefill
from cleatlink.routing.reservation import Reservation

SPEEDS = (0.7, 0.7, 1.7)
TRAITS = EngineTraits(16, 27_000, 0.5, 6.0, event_tokens=4)
TOKENS = 3_000
PACE = PaceSummary(0.002, 0.0, 0.0001, 0.05, 1.0, 0.01)
USUAL_S = 0.3
# Seconds until peers hear of work; what is lost they hear with a heartbeat.
TOLD_S = 0.05
OFF = frozenset({Mechanism.ENDPOINT_PACE})


def fleet(role: Role, count: int, without: Set[Mechanism] = frozenset()) -> Capacity:
    capacity = Capacity(Switches(without))
    for number in range(count):
        endpoint = RoutedEndpoint(f"e{number}", "127.0.0.1:1", "a", "s", role, TRAITS.slots)
        capacity.set_endpoint(endpoint)
    capacity.pace("s").adopt(PACE, 0.0, 0.0)
    return capacity


def teach(capacity: Capacity, name: str, speed: float, at: float = 0.0) -> None:
    for sender in range(10):
        sample = PaceSample(at, PaceKind.PROMPT, -math.log(speed))
        capacity.endpoint_paces.take(f"i{sender}", name, [sample])


class _Done(NamedTuple):
    """A prompt that is computed, or that peers hear of."""

    at: float
    number: int
    is_over: bool
    instance: int
    endpoint: str
    work: Reservation
    seconds: float


def late_prompts(
    instances: int,
    without: Set[Mechanism],
    seed: int,
    loss: float,
    speeds: Callable[[int, float], float],
) -> int:
    """Give how many of the prompts of 30 s are ready later than a second after they came.

    Args:
        instances: How many place them.
        without: Mechanisms that are switched off.
        seed: Of arrivals, losses and choices.
        loss: Share of work that peers hear of with a heartbeat only.
        speeds: Gives the speed of an engine at a time.
    """
    rng = random.Random(seed)
    fleets = [fleet(Role.PREFILL, 6, without) for _ in range(instances)]
    free_at = [0.0] * 6
    events: list[_Done] = []
    late, now, number = 0, 0.0, 0

    def happen(event: _Done) -> None:
        key = str(event.number)
        others = [item for at, item in enumerate(fleets) if at != event.instance]
        if not event.is_over:
            for other in others:
                other.peer_reserve("peer", key, event.work)
            return
        own = fleets[event.instance]
        own.release(key)
        own.note_duration(event.endpoint, PaceKind.PROMPT, event.seconds, USUAL_S, event.at)
        told = own.endpoint_paces.own(event.endpoint, event.at)
        for other in others:
            other.peer_release("peer", key)
            if rng.random() >= loss:
                other.endpoint_paces.take(f"i{event.instance}", event.endpoint, told)

    while now < 30.0:
        now += rng.expovariate(15.0)
        number += 1
        while events and events[0].at <= now:
            happen(heapq.heappop(events))
        instance = rng.randrange(instances)
        own = fleets[instance]
        seeker = Seeker("a", frozenset(), now, random.Random(number))
        chosen = place_prefill("s", own, seeker, "a", TOKENS)
        assert chosen is not None
        engine = int(chosen.name[1:])
        began_at = max(now, free_at[engine])
        free_at[engine] = began_at + USUAL_S / speeds(engine, now)
        late += free_at[engine] - now > 1.0
        queue_s = own.begins_in_s(chosen.name, now)
        expected_s = queue_s + USUAL_S / own.speed(chosen.name, now)
        work = Reservation(chosen.name, Role.PREFILL, TOKENS, now + expected_s, expected_s)
        own.reserve(str(number), work)
        told_at = now + (TOLD_S if rng.random() >= loss else rng.random())
        seconds = free_at[engine] - now - queue_s if queue_s < USUAL_S / 2 else 0.0
        for event in (
            _Done(told_at, number, False, instance, chosen.name, work, 0.0),
            _Done(
                max(free_at[engine], told_at), number, True, instance, chosen.name, work, seconds
            ),
        ):
            heapq.heappush(events, event)
    return late


def unequal(engine: int, now: float) -> float:
    """Give the speed of one of six unequal engines."""
    return SPEEDS[engine % 3]


def one_sick(engine: int, now: float) -> float:
    """Give the speed of one of six equal engines, the first of which is sick for a while."""
    return 0.2 if engine == 0 and 10.0 < now < 20.0 else 1.0


@pytest.mark.parametrize("instances", [8, 60])
@pytest.mark.parametrize("loss", [0.0, 0.4])
def test_fewer_prompts_are_late_than_by_the_number_of_engines(instances: int, loss: float) -> None:
    seeds = range(3)
    by_number, by_speed = (
        sum(late_prompts(instances, without, seed, loss, unequal) for seed in seeds)
        for without in (OFF, frozenset[Mechanism]())
    )
    assert by_speed < 0.7 * by_number, (by_speed, by_number)


def test_an_engine_that_turns_sick_is_left_and_used_again_when_it_is_well() -> None:
    """One of six engines takes five times as long for ten seconds."""
    by_number, by_speed = (
        sum(late_prompts(60, without, seed, 0.2, one_sick) for seed in range(3))
        for without in (OFF, frozenset[Mechanism]())
    )
    assert by_speed < 0.9 * by_number, (by_speed, by_number)


def test_full_to_the_same_share_the_faster_decode_is_chosen() -> None:
    capacity = fleet(Role.DECODE, 3)
    for name, speed in zip(("e0", "e1", "e2"), SPEEDS, strict=True):
        teach(capacity, name, speed)
        capacity.reserve(name, Reservation(name, Role.DECODE, 6_000, 3.0, 3.0, 500))
    seeker = Seeker("a", frozenset(), 0.5, random.Random(1))
    size = StreamSize(TOKENS, 500, 3.0, 1.0)
    chosen = place_decode("s", size, TRAITS, capacity, seeker)
    assert chosen is not None
    assert chosen.name == "e2"
    # The prompt is computed elsewhere: that part of the time is the same.
    work = size.reserve("e2", 0.5, capacity.speed("e2", 0.5))
    assert work.duration_s == pytest.approx(1.0 + 2.0 / 1.7)


def test_room_is_foreseen_sooner_on_a_fast_decode() -> None:
    found = []
    for speed in (1.0, 1.7):
        capacity = fleet(Role.DECODE, 1)
        teach(capacity, "e0", speed)
        stream = StreamDemand(20_000, 3.4)
        forecast = RoomForecast("s", TRAITS, capacity, 0.5)
        found.append(forecast.room_in_s(stream, [stream]))
    assert found == [pytest.approx(3.4), pytest.approx(2.0)]


def test_prompt_is_in_time_on_a_fast_prefill_alone() -> None:
    route = Route("r", "h", "/", RouteKind.STREAMING, 14.0, 0.4, 1, (), event_gap_s=0.01)
    inbound = Inbound("r", b"POST", b"/", "h", (), b"", 0.0, prompt_tokens=TOKENS)
    seeker = Seeker("a", frozenset(), 0.0, random.Random(1))
    plans = []
    for without in (frozenset[Mechanism](), OFF):
        capacity = fleet(Role.PREFILL, 3, without)
        for name, speed in zip(("e0", "e1", "e2"), SPEEDS, strict=True):
            teach(capacity, name, speed)
        service = RoutedService("s", 9, TRAITS)
        plans.append(plan_prompt(inbound, route, service, capacity, seeker))
    assert plans[0].ready_s == pytest.approx(USUAL_S / 1.7)
    assert plans[1].ready_s == pytest.approx(USUAL_S)


WORK = st.lists(
    st.tuples(st.integers(0, 3), st.integers(1, 9_000), st.floats(0.1, 5.0)), max_size=12
)


@given(WORK, st.integers(0, 99))
def test_with_equal_speeds_each_decision_is_as_before(
    work: list[tuple[int, int, float]], seed: int
) -> None:
    decided = []
    for without in (frozenset[Mechanism](), OFF):
        made: list[object] = []
        for role in (Role.PREFILL, Role.DECODE):
            capacity = fleet(role, 4, without)
            for number in range(4):
                teach(capacity, f"e{number}", 1.05)
            for key, (number, tokens, ends_s) in enumerate(work):
                item = Reservation(f"e{number}", role, tokens, ends_s, ends_s, tokens // 9)
                capacity.reserve(str(key), item)
            seeker = Seeker("a", frozenset(), 0.5, random.Random(seed))
            made.append(place_prefill("s", capacity, seeker, "a", TOKENS))
            made.append(place_decode("s", StreamSize(900, 90, 2.0), TRAITS, capacity, seeker))
            forecast = RoomForecast("s", TRAITS, capacity, 0.5)
            made.append(forecast.room_in_s(StreamDemand(9_000, 2.0, 0.3)))
            made.append(seeker.rng.random())
        decided.append(made)
    assert decided[0] == decided[1]


@pytest.mark.parametrize("without", [OFF, frozenset[Mechanism]()])
def test_nearly_full_data_centre_of_unequal_engines_gives_work_to_another(
    without: Set[Mechanism],
) -> None:
    """Loads weighed by speed never looked nearly full, so that no stream crossed.

    Engines at 0.7, 0.7 and 1.7 held nine tenths of their memory here; those elsewhere were idle.
    """
    capacity = fleet(Role.DECODE, 3, without)
    capacity.spill_over.note_peers(60)
    for name, speed in zip(("e0", "e1", "e2"), SPEEDS, strict=True):
        teach(capacity, name, speed)
        capacity.reserve(name, Reservation(name, Role.DECODE, 24_000, 9.0, 9.0, 0))
    far = RoutedEndpoint("far", "127.0.0.1:1", "b", "s", Role.DECODE, TRAITS.slots)
    capacity.set_endpoint(far)
    seeker = Seeker("a", frozenset(), 0.5, random.Random(1))
    size = StreamSize(500, 100, 1.0)
    chosen = place_decode("s", size, TRAITS, capacity, seeker)
    assert chosen == far
    # One engine here that has room is enough to stay, whichever is the best of them by speed.
    capacity.release("e0")
    chosen = place_decode("s", size, TRAITS, capacity, seeker)
    assert chosen is not None
    assert chosen.data_centre == "a"
