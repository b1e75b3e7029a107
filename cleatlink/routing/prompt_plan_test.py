"""Tests where a prompt is computed, by its duration and the delay of other streams."""

import math
import random

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
from cleatlink.routing.prompt_plan import PromptPlan, plan_prompt
from cleatlink.routing.relay_placement import PlacementContext
from cleatlink.routing.reservation import Reservation

TRAITS = EngineProperties(64, 40_000, 0.5, 6.0, event_tokens=10)
SERVICE = RoutedService("s", 100, TRAITS)
PROMPT_TOKENS_PER_S = 20_000


def make_capacity(*roles: Role) -> Capacity:
    """Return engines that compute 20 prompt tokens or 0.2 output tokens a millisecond."""
    capacity = Capacity()
    for number, role in enumerate(roles):
        endpoint = RoutedEndpoint(f"e{number}", "127.0.0.1:1", "a", "s", role, 64)
        capacity.set_endpoint(endpoint)
    times = capacity.service_times("s")
    for _ in range(9):
        times.note_prompt(2000, 0.0, 0.1)
        times.note_segment(100, 0.5)
        times.note_first_event(0.05)
    return capacity


def plan(
    capacity: Capacity, tokens: int = 2000, event_gap_s: float = 0.3, now: float = 0.0
) -> PromptPlan:
    route = Route(
        "r", "h", "/", RouteKind.STREAMING, 14.0, 0.9, 1, (), event_gap_target_s=event_gap_s
    )
    inbound = InboundRequest("r", b"POST", b"/", "h", (), b"", 0.0, prompt_tokens=tokens)
    context = PlacementContext("a", frozenset(), now, random.Random(1))
    return plan_prompt(inbound, route, SERVICE, capacity, context)


def occupy(capacity: Capacity, name: str, until: float) -> None:
    """Reserve a prompt at a prefill endpoint; its second half takes until the given time."""
    tokens = int(2 * until * PROMPT_TOKENS_PER_S)
    capacity.reserve(name, Reservation(name, Role.PREFILL, tokens, until, until))


def test_prefill_computes_the_prompt_while_the_stream_is_in_time() -> None:
    capacity = make_capacity(Role.PREFILL, Role.DECODE)
    assert not plan(capacity).computed_by_decode
    occupy(capacity, "e0", 0.5)
    found = plan(capacity)
    assert not found.computed_by_decode
    assert math.isclose(found.ready_s, 0.6, rel_tol=0.01)
    assert math.isclose(found.slack_s, 0.25, rel_tol=0.01)


def test_decode_computes_the_prompt_when_every_prefill_is_too_busy() -> None:
    capacity = make_capacity(Role.PREFILL, Role.PREFILL, Role.DECODE)
    occupy(capacity, "e0", 2.0)
    assert not plan(capacity).computed_by_decode
    occupy(capacity, "e1", 1.5)
    found = plan(capacity)
    assert found.computed_by_decode
    assert found.slack_s > 0


def test_decode_does_not_delay_its_streams_beyond_the_limit_of_the_route() -> None:
    capacity = make_capacity(Role.PREFILL, Role.DECODE)
    occupy(capacity, "e0", 2.0)
    assert plan(capacity, 2000).computed_by_decode
    large_prompt = plan(capacity, 4000)
    assert not large_prompt.computed_by_decode
    assert large_prompt.slack_s < 0
    assert plan(capacity, 4000, event_gap_s=1.0).computed_by_decode


def test_decode_computes_every_prompt_without_a_prefill() -> None:
    found = plan(make_capacity(Role.DECODE), 30_000)
    assert found.computed_by_decode
    assert found.slack_s < 0


def test_stream_that_would_be_late_even_on_an_idle_fleet_is_served() -> None:
    capacity = make_capacity(Role.PREFILL, Role.DECODE)
    # 40 thousand tokens take 2 s; the target is 0.9 s.
    found = plan(capacity, 40_000)
    assert not found.computed_by_decode
    assert found.slack_s > 0
    occupy(capacity, "e0", 2.0)
    assert plan(capacity, 40_000).slack_s < 0


def test_prompt_of_a_late_stream_is_not_computed_by_a_decode() -> None:
    capacity = make_capacity(Role.PREFILL, Role.DECODE)
    occupy(capacity, "e0", 3.0)
    assert not plan(capacity, now=2.0).computed_by_decode
