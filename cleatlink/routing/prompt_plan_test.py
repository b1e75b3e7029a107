"""Where a prompt is computed, by how long each way takes and what it does to others."""

import math
import random

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
from cleatlink.routing.prompt_plan import PromptPlan, plan_prompt
from cleatlink.routing.relay_place import Seeker
from cleatlink.routing.reservation import Reservation

TRAITS = EngineTraits(64, 40_000, 0.5, 6.0, event_tokens=10)
SERVICE = RoutedService("s", 100, TRAITS)
TOKENS_A_SECOND = 20_000


def fleet(*roles: Role) -> Capacity:
    """Give engines that compute 20 tokens of a prompt and 0.2 of an answer a millisecond."""
    capacity = Capacity()
    for number, role in enumerate(roles):
        endpoint = RoutedEndpoint(f"e{number}", "127.0.0.1:1", "a", "s", role, 64)
        capacity.set_endpoint(endpoint)
    pace = capacity.pace("s")
    for _ in range(9):
        pace.note_prompt(2000, 0.0, 0.1)
        pace.note_tokens(100, 0.5)
        pace.note_start(0.05)
    return capacity


def plan(
    capacity: Capacity, tokens: int = 2000, event_gap_s: float = 0.3, now: float = 0.0
) -> PromptPlan:
    route = Route("r", "h", "/", RouteKind.STREAMING, 14.0, 0.9, 1, (), event_gap_s=event_gap_s)
    inbound = Inbound("r", b"POST", b"/", "h", (), b"", 0.0, prompt_tokens=tokens)
    seeker = Seeker("a", frozenset(), now, random.Random(1))
    return plan_prompt(inbound, route, SERVICE, capacity, seeker)


def busy(capacity: Capacity, name: str, until: float) -> None:
    """Give a prefill a prompt whose second half takes until then."""
    tokens = int(2 * until * TOKENS_A_SECOND)
    capacity.reserve(name, Reservation(name, Role.PREFILL, tokens, until, until))


def test_prefill_computes_it_while_the_stream_is_in_time() -> None:
    capacity = fleet(Role.PREFILL, Role.DECODE)
    assert not plan(capacity).direct
    busy(capacity, "e0", 0.5)
    found = plan(capacity)
    assert not found.direct
    assert math.isclose(found.ready_s, 0.6, rel_tol=0.01)
    assert math.isclose(found.spare_s, 0.25, rel_tol=0.01)


def test_decode_computes_it_when_every_prefill_is_too_busy() -> None:
    capacity = fleet(Role.PREFILL, Role.PREFILL, Role.DECODE)
    busy(capacity, "e0", 2.0)
    assert not plan(capacity).direct
    busy(capacity, "e1", 1.5)
    found = plan(capacity)
    assert found.direct
    assert found.spare_s > 0


def test_decode_does_not_hold_its_streams_up_for_longer_than_the_route_bears() -> None:
    capacity = fleet(Role.PREFILL, Role.DECODE)
    busy(capacity, "e0", 2.0)
    assert plan(capacity, 2000).direct
    large = plan(capacity, 4000)
    assert not large.direct
    assert large.spare_s < 0
    assert plan(capacity, 4000, event_gap_s=1.0).direct


def test_without_any_prefill_the_decode_computes_all() -> None:
    found = plan(fleet(Role.DECODE), 30_000)
    assert found.direct
    assert found.spare_s < 0


def test_stream_that_is_late_even_on_an_idle_fleet_is_served_late() -> None:
    capacity = fleet(Role.PREFILL, Role.DECODE)
    # 40 thousand tokens take 2 s, the target is 0.9 s.
    found = plan(capacity, 40_000)
    assert not found.direct
    assert found.spare_s > 0
    busy(capacity, "e0", 2.0)
    assert plan(capacity, 40_000).spare_s < 0


def test_late_streams_leave_the_decodes_alone() -> None:
    capacity = fleet(Role.PREFILL, Role.DECODE)
    busy(capacity, "e0", 3.0)
    assert not plan(capacity, now=2.0).direct
