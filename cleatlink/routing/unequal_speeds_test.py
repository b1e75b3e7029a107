"""Tests placement on engines of one service with 0.7, 0.7 and 1.7 times its usual speed.

Prompts were sent to the engine with the fewest queued tokens, so slow engines were late while
fast ones were idle. The simulation feeds arrivals and outcomes to the placement of many
instances. Reports of other instances' work reach them up to a second late, and a share of the
measured speeds never reaches them.
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
    EngineProperties,
    InboundRequest,
    Route,
    RoutedEndpoint,
    RoutedService,
    RouteKind,
)
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_speeds import SpeedSample, SpeedSampleKind
from cleatlink.routing.forecast import CapacityForecast, StreamDemand
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches
from cleatlink.routing.prompt_plan import plan_prompt
from cleatlink.routing.relay_placement import (
    PlacementContext,
    StreamSize,
    choose_decode,
    choose_prefill,
)
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.service_times import ServiceTimeSummary

SPEEDS = (0.7, 0.7, 1.7)
TRAITS = EngineProperties(16, 27_000, 0.5, 6.0, event_tokens=4)
PROMPT_TOKENS = 3_000
SERVICE_TIMES = ServiceTimeSummary(0.002, 0.0, 0.0001, 0.05, 1.0, 0.01)
USUAL_PROMPT_S = 0.3
# Delay of reports to peers; a lost report is repeated with a heartbeat.
REPORT_DELAY_S = 0.05
WITHOUT_SPEEDS = frozenset({Mechanism.ENDPOINT_SPEEDS})


def make_capacity(role: Role, count: int, without: Set[Mechanism] = frozenset()) -> Capacity:
    capacity = Capacity(MechanismSwitches(without))
    for number in range(count):
        endpoint = RoutedEndpoint(f"e{number}", "127.0.0.1:1", "a", "s", role, TRAITS.slots)
        capacity.set_endpoint(endpoint)
    capacity.service_times("s").adopt_peer_summary(SERVICE_TIMES, 0.0, 0.0)
    return capacity


def add_speed_samples(capacity: Capacity, name: str, speed: float, at: float = 0.0) -> None:
    for sender in range(10):
        sample = SpeedSample(at, SpeedSampleKind.PROMPT, -math.log(speed))
        capacity.endpoint_speeds.replace_peer_samples(f"i{sender}", name, [sample])


class _PromptEvent(NamedTuple):
    """The end of a prompt, or the moment at which peers receive the report of its start."""

    at: float
    number: int
    is_end: bool
    instance: int
    endpoint: str
    reservation: Reservation
    seconds: float


def count_late_prompts(
    instances: int,
    without: Set[Mechanism],
    seed: int,
    loss: float,
    speeds: Callable[[int, float], float],
) -> int:
    """Simulate 30 s, and return how many prompts are ready more than a second after arrival.

    Args:
        instances: Number of instances that assign prompts.
        without: Mechanisms that are switched off.
        seed: Seed of arrivals, losses and choices.
        loss: Share of reports that are lost and reach peers with a heartbeat only.
        speeds: Returns the speed of an engine at a time.
    """
    rng = random.Random(seed)
    capacities = [make_capacity(Role.PREFILL, 6, without) for _ in range(instances)]
    free_at = [0.0] * 6
    events: list[_PromptEvent] = []
    late, now, number = 0, 0.0, 0

    def process(event: _PromptEvent) -> None:
        key = str(event.number)
        others = [item for index, item in enumerate(capacities) if index != event.instance]
        if not event.is_end:
            for other in others:
                other.add_peer_reservation("peer", key, event.reservation)
            return
        own = capacities[event.instance]
        own.release(key)
        own.note_duration(
            event.endpoint, SpeedSampleKind.PROMPT, event.seconds, USUAL_PROMPT_S, event.at
        )
        samples = own.endpoint_speeds.own_samples(event.endpoint, event.at)
        for other in others:
            other.remove_peer_reservation("peer", key)
            if rng.random() >= loss:
                other.endpoint_speeds.replace_peer_samples(
                    f"i{event.instance}", event.endpoint, samples
                )

    while now < 30.0:
        now += rng.expovariate(15.0)
        number += 1
        while events and events[0].at <= now:
            process(heapq.heappop(events))
        instance = rng.randrange(instances)
        own = capacities[instance]
        context = PlacementContext("a", frozenset(), now, random.Random(number))
        chosen = choose_prefill("s", own, context, "a", PROMPT_TOKENS)
        assert chosen is not None
        engine = int(chosen.name[1:])
        starts_at = max(now, free_at[engine])
        free_at[engine] = starts_at + USUAL_PROMPT_S / speeds(engine, now)
        late += free_at[engine] - now > 1.0
        queue_s = own.prompt_starts_in_s(chosen.name, now)
        expected_s = queue_s + USUAL_PROMPT_S / own.relative_speed(chosen.name, now)
        reservation = Reservation(
            chosen.name, Role.PREFILL, PROMPT_TOKENS, now + expected_s, expected_s
        )
        own.reserve(str(number), reservation)
        reported_at = now + (REPORT_DELAY_S if rng.random() >= loss else rng.random())
        seconds = free_at[engine] - now - queue_s if queue_s < USUAL_PROMPT_S / 2 else 0.0
        for event in (
            _PromptEvent(reported_at, number, False, instance, chosen.name, reservation, 0.0),
            _PromptEvent(
                max(free_at[engine], reported_at),
                number,
                True,
                instance,
                chosen.name,
                reservation,
                seconds,
            ),
        ):
            heapq.heappush(events, event)
    return late


def unequal_speeds(engine: int, now: float) -> float:
    """Return the speed of one of six unequal engines."""
    return SPEEDS[engine % 3]


def one_slow_for_10_s(engine: int, now: float) -> float:
    """Return the speed of one of six equal engines, of which the first is slow for 10 s."""
    return 0.2 if engine == 0 and 10.0 < now < 20.0 else 1.0


@pytest.mark.parametrize("instances", [8, 60])
@pytest.mark.parametrize("loss", [0.0, 0.4])
def test_measured_speeds_make_fewer_prompts_late(instances: int, loss: float) -> None:
    seeds = range(3)
    late_without, late_with = (
        sum(count_late_prompts(instances, without, seed, loss, unequal_speeds) for seed in seeds)
        for without in (WITHOUT_SPEEDS, frozenset[Mechanism]())
    )
    assert late_with < 0.7 * late_without, (late_with, late_without)


def test_engine_is_avoided_only_while_it_is_slow() -> None:
    """One of six engines takes five times as long for ten seconds, and then recovers."""
    late_without, late_with = (
        sum(count_late_prompts(60, without, seed, 0.2, one_slow_for_10_s) for seed in range(3))
        for without in (WITHOUT_SPEEDS, frozenset[Mechanism]())
    )
    assert late_with < 0.9 * late_without, (late_with, late_without)


def test_faster_decode_is_chosen_at_equal_load() -> None:
    capacity = make_capacity(Role.DECODE, 3)
    for name, speed in zip(("e0", "e1", "e2"), SPEEDS, strict=True):
        add_speed_samples(capacity, name, speed)
        capacity.reserve(name, Reservation(name, Role.DECODE, 6_000, 3.0, 3.0, 500))
    context = PlacementContext("a", frozenset(), 0.5, random.Random(1))
    size = StreamSize(PROMPT_TOKENS, 500, 3.0, 1.0)
    chosen = choose_decode("s", size, TRAITS, capacity, context)
    assert chosen is not None
    assert chosen.name == "e2"
    # Another endpoint computes the prompt, so the decode's speed does not change that time.
    reservation = size.make_reservation("e2", 0.5, capacity.relative_speed("e2", 0.5))
    assert reservation.duration_s == pytest.approx(1.0 + 2.0 / 1.7)


def test_forecast_expects_free_capacity_sooner_on_a_fast_decode() -> None:
    forecasts_s = []
    for speed in (1.0, 1.7):
        capacity = make_capacity(Role.DECODE, 1)
        add_speed_samples(capacity, "e0", speed)
        stream = StreamDemand(20_000, 3.4)
        forecast = CapacityForecast("s", TRAITS, capacity, 0.5)
        forecasts_s.append(forecast.wait_s(stream, [stream]))
    assert forecasts_s == [pytest.approx(3.4), pytest.approx(2.0)]


def test_prompt_plan_uses_the_fastest_prefill() -> None:
    route = Route("r", "h", "/", RouteKind.STREAMING, 14.0, 0.4, 1, (), event_gap_target_s=0.01)
    inbound = InboundRequest("r", b"POST", b"/", "h", (), b"", 0.0, prompt_tokens=PROMPT_TOKENS)
    context = PlacementContext("a", frozenset(), 0.0, random.Random(1))
    plans = []
    for without in (frozenset[Mechanism](), WITHOUT_SPEEDS):
        capacity = make_capacity(Role.PREFILL, 3, without)
        for name, speed in zip(("e0", "e1", "e2"), SPEEDS, strict=True):
            add_speed_samples(capacity, name, speed)
        service = RoutedService("s", 9, TRAITS)
        plans.append(plan_prompt(inbound, route, service, capacity, context))
    assert plans[0].ready_s == pytest.approx(USUAL_PROMPT_S / 1.7)
    assert plans[1].ready_s == pytest.approx(USUAL_PROMPT_S)


WORK = st.lists(
    st.tuples(st.integers(0, 3), st.integers(1, 9_000), st.floats(0.1, 5.0)), max_size=12
)


@given(WORK, st.integers(0, 99))
def test_equal_speeds_do_not_change_any_decision(
    work: list[tuple[int, int, float]], seed: int
) -> None:
    decisions_by_mode = []
    for without in (frozenset[Mechanism](), WITHOUT_SPEEDS):
        decisions: list[object] = []
        for role in (Role.PREFILL, Role.DECODE):
            capacity = make_capacity(role, 4, without)
            for number in range(4):
                add_speed_samples(capacity, f"e{number}", 1.05)
            for key, (number, tokens, ends_s) in enumerate(work):
                item = Reservation(f"e{number}", role, tokens, ends_s, ends_s, tokens // 9)
                capacity.reserve(str(key), item)
            context = PlacementContext("a", frozenset(), 0.5, random.Random(seed))
            decisions.append(choose_prefill("s", capacity, context, "a", PROMPT_TOKENS))
            decisions.append(
                choose_decode("s", StreamSize(900, 90, 2.0), TRAITS, capacity, context)
            )
            forecast = CapacityForecast("s", TRAITS, capacity, 0.5)
            decisions.append(forecast.wait_s(StreamDemand(9_000, 2.0, 0.3)))
            decisions.append(context.rng.random())
        decisions_by_mode.append(decisions)
    assert decisions_by_mode[0] == decisions_by_mode[1]


@pytest.mark.parametrize("without", [WITHOUT_SPEEDS, frozenset[Mechanism]()])
def test_stream_leaves_nearly_full_data_centre_of_unequal_engines(
    without: Set[Mechanism],
) -> None:
    """Guard against comparing speed-weighted loads with the threshold of a nearly full endpoint.

    Such loads never reached the threshold, so no stream crossed, although engines at 0.7, 0.7 and
    1.7 times the usual speed held nine tenths of their memory and engines elsewhere were idle.
    """
    capacity = make_capacity(Role.DECODE, 3, without)
    capacity.spill_over.set_peer_count(60)
    for name, speed in zip(("e0", "e1", "e2"), SPEEDS, strict=True):
        add_speed_samples(capacity, name, speed)
        capacity.reserve(name, Reservation(name, Role.DECODE, 24_000, 9.0, 9.0, 0))
    remote = RoutedEndpoint("far", "127.0.0.1:1", "b", "s", Role.DECODE, TRAITS.slots)
    capacity.set_endpoint(remote)
    context = PlacementContext("a", frozenset(), 0.5, random.Random(1))
    size = StreamSize(500, 100, 1.0)
    chosen = choose_decode("s", size, TRAITS, capacity, context)
    assert chosen == remote
    # The stream stays if any engine of its data centre has capacity, also if it is a slow one.
    capacity.release("e0")
    chosen = choose_decode("s", size, TRAITS, capacity, context)
    assert chosen is not None
    assert chosen.data_centre == "a"
