"""Each mechanism that can be switched off is in use by default, and off when it is named."""

import random
from collections.abc import Set

import pytest
from click.testing import CliRunner

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
from cleatlink.routing.mechanisms import Mechanism, Switches
from cleatlink.routing.plain_load import CallTotals, EndpointTotals
from cleatlink.routing.prompt_plan import plan_prompt
from cleatlink.routing.relay_place import Seeker, StreamSize, place_decode, place_plain
from cleatlink.routing.reservation import Reservation
from cleatlink.scripts.commands import main

TRAITS = EngineTraits(64, 40_000, 0.5, 6.0, event_tokens=10)
SEEKER = Seeker("a", frozenset(), 0.0, random.Random(1))


def fleet(without: Set[Mechanism]) -> Capacity:
    """Give a busy decode here, an idle one elsewhere and a prefill that is busy for long."""
    capacity = Capacity(Switches(without))
    for name, place, role in (("d1", "a", Role.DECODE), ("d2", "b", Role.DECODE)):
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", place, "s", role, 64))
    capacity.set_endpoint(RoutedEndpoint("p1", "127.0.0.1:1", "a", "s", Role.PREFILL, 64))
    capacity.reserve("1", Reservation("d1", Role.DECODE, 20_000, 5.0, 5.0, 1_000))
    capacity.reserve("2", Reservation("p1", Role.PREFILL, 90_000, 3.0, 3.0))
    return capacity


def test_all_are_in_use_unless_named() -> None:
    assert all(Switches().uses(mechanism) for mechanism in Mechanism)
    off = Switches(frozenset({Mechanism.HOLDS, Mechanism.RETURNS}))
    assert off.without == ["holds", "returns"]
    assert [item for item in Mechanism if not off.uses(item)] == ["returns", "holds"]


@pytest.mark.parametrize("off", [False, True])
def test_locality(off: bool) -> None:
    capacity = fleet({Mechanism.LOCALITY} if off else set())
    found = place_decode("s", StreamSize(2_000, 500, 3.0), TRAITS, capacity, SEEKER)
    assert found is not None
    assert found.name == ("d2" if off else "d1")


@pytest.mark.parametrize("off", [False, True])
def test_shared_prompts(off: bool) -> None:
    capacity = fleet({Mechanism.SHARED_PROMPTS} if off else set())
    route = Route("r", "h", "/", RouteKind.STREAMING, 14.0, 0.9, 1, (), event_gap_s=1.0)
    inbound = Inbound("r", b"POST", b"/", "h", (), b"", 0.0, prompt_tokens=2000)
    plan = plan_prompt(inbound, route, RoutedService("s", 9, TRAITS), capacity, SEEKER)
    assert plan.direct is not off


@pytest.mark.parametrize("off", [False, True])
def test_learned_pace_and_room_for_the_spread_of_lengths(off: bool) -> None:
    without = {Mechanism.LEARNED_PACE, Mechanism.SPREAD_ROOM} if off else set()
    pace = Capacity(Switches(without)).pace("s")
    before_s = pace.token_s
    pace.note_tokens(100, 5.0)
    assert (pace.token_s == before_s) is off
    assert (pace.length_spread == 0.0) is off


@pytest.mark.parametrize("off", [False, True])
def test_hints(off: bool) -> None:
    capacity = fleet({Mechanism.HINTS} if off else set())
    capacity.note_slow("d1", 1.0)
    capacity.note_unreached_by_peers("d1", 1.0)
    avoided = "d1" not in [item.name for item in capacity.candidates("s", Role.DECODE, 1.1)]
    assert avoided is not off


@pytest.mark.parametrize("off", [False, True])
def test_plain_admission(off: bool) -> None:
    """The endpoint of this data centre is full of peers' calls, another one is idle."""
    capacity = Capacity(Switches({Mechanism.PLAIN_ADMISSION} if off else set()))
    for name, place in (("w1", "a"), ("w2", "b")):
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", place, "s", Role.PLAIN, 6))
    for step in range(1, 6):
        told = {"w1": EndpointTotals(20 * step, 0.9 * step, 0)}
        capacity.plain.take(CallTotals("p", 1, 0.1 * step, {}, told), 0.1 * step)
    seeker = SEEKER._replace(now=0.5)
    found = [place_plain("s", capacity, seeker) for _ in range(50)]
    assert all(item is not None and item.name == "w1" for item in found) is off


def test_command_names_what_can_be_switched_off_and_refuses_the_rest() -> None:
    ran = CliRunner().invoke(main, ["entry", "--without", "no-such"])
    assert ran.exit_code == 2
    assert "'no-such' is not one of" in ran.output
    assert all(mechanism.value in ran.output for mechanism in Mechanism)
