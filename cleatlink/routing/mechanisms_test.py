"""Tests that each mechanism is in use by default and can be switched off by name."""

import random
from collections.abc import Set

import pytest
from click.testing import CliRunner

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
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches
from cleatlink.routing.plain_load import EndpointTotals, PeerCallTotals
from cleatlink.routing.prompt_plan import plan_prompt
from cleatlink.routing.relay_placement import (
    PlacementContext,
    StreamSize,
    choose_decode,
    choose_plain,
)
from cleatlink.routing.reservation import Reservation
from cleatlink.scripts.commands import main

TRAITS = EngineProperties(64, 40_000, 0.5, 6.0, event_tokens=10)
CONTEXT = PlacementContext("a", frozenset(), 0.0, random.Random(1))


def make_fleet(without: Set[Mechanism]) -> Capacity:
    """Return a busy local decode, an idle remote decode, and a prefill with a long queue."""
    capacity = Capacity(MechanismSwitches(without))
    for name, data_centre, role in (("d1", "a", Role.DECODE), ("d2", "b", Role.DECODE)):
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", data_centre, "s", role, 64))
    capacity.set_endpoint(RoutedEndpoint("p1", "127.0.0.1:1", "a", "s", Role.PREFILL, 64))
    capacity.reserve("1", Reservation("d1", Role.DECODE, 20_000, 5.0, 5.0, 1_000))
    capacity.reserve("2", Reservation("p1", Role.PREFILL, 90_000, 3.0, 3.0))
    return capacity


def test_all_mechanisms_are_in_use_by_default() -> None:
    assert all(MechanismSwitches().is_enabled(mechanism) for mechanism in Mechanism)
    switches = MechanismSwitches(
        frozenset({Mechanism.CAPACITY_RESERVATIONS, Mechanism.EXPECTED_RETRIES})
    )
    assert switches.disabled_names == ["holds", "returns"]
    assert [item for item in Mechanism if not switches.is_enabled(item)] == ["returns", "holds"]


@pytest.mark.parametrize("off", [False, True])
def test_locality_prefers_the_local_decode(off: bool) -> None:
    capacity = make_fleet({Mechanism.LOCALITY} if off else set())
    chosen = choose_decode("s", StreamSize(2_000, 500, 3.0), TRAITS, capacity, CONTEXT)
    assert chosen is not None
    assert chosen.name == ("d2" if off else "d1")


@pytest.mark.parametrize("off", [False, True])
def test_shared_prompts_let_decodes_compute_prompts(off: bool) -> None:
    capacity = make_fleet({Mechanism.SHARED_PROMPTS} if off else set())
    route = Route("r", "h", "/", RouteKind.STREAMING, 14.0, 0.9, 1, (), event_gap_target_s=1.0)
    inbound = InboundRequest("r", b"POST", b"/", "h", (), b"", 0.0, prompt_tokens=2000)
    plan = plan_prompt(inbound, route, RoutedService("s", 9, TRAITS), capacity, CONTEXT)
    assert plan.computed_by_decode is not off


@pytest.mark.parametrize("off", [False, True])
def test_service_times_and_spread_of_answer_lengths_are_measured(off: bool) -> None:
    without = {Mechanism.MEASURED_SERVICE_TIMES, Mechanism.LONG_ANSWER_RESERVE} if off else set()
    times = Capacity(MechanismSwitches(without)).service_times("s")
    before_s = times.token_s
    times.note_segment(100, 5.0)
    assert (times.token_s == before_s) is off
    assert (times.length_spread == 0.0) is off


@pytest.mark.parametrize("off", [False, True])
def test_reports_of_peers_exclude_an_endpoint(off: bool) -> None:
    capacity = make_fleet({Mechanism.PEER_REPORTS} if off else set())
    capacity.note_reported_slow("d1", 1.0)
    capacity.note_unreachable_from_peers("d1", 1.0)
    avoided = "d1" not in [item.name for item in capacity.candidates("s", Role.DECODE, 1.1)]
    assert avoided is not off


@pytest.mark.parametrize("off", [False, True])
def test_plain_admission_avoids_an_endpoint_full_of_peers_calls(off: bool) -> None:
    """The local endpoint is full of calls from peers, and a remote endpoint is idle."""
    capacity = Capacity(MechanismSwitches({Mechanism.PLAIN_ADMISSION} if off else set()))
    for name, data_centre in (("w1", "a"), ("w2", "b")):
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", data_centre, "s", Role.PLAIN, 6))
    for step in range(1, 6):
        totals = {"w1": EndpointTotals(20 * step, 0.9 * step, 0)}
        capacity.plain_load.update_peer(PeerCallTotals("p", 1, 0.1 * step, {}, totals), 0.1 * step)
    context = CONTEXT._replace(now=0.5)
    chosen = [choose_plain("s", capacity, context) for _ in range(50)]
    assert all(item is not None and item.name == "w1" for item in chosen) is off


def test_command_line_lists_the_mechanisms_and_rejects_unknown_names() -> None:
    result = CliRunner().invoke(main, ["entry", "--without", "no-such"])
    assert result.exit_code == 2
    assert "'no-such' is not one of" in result.output
    assert all(mechanism.value in result.output for mechanism in Mechanism)
