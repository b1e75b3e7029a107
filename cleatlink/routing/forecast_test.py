"""Forecasts of free capacity: memory and slots that streams free, after those queued ahead."""

import pytest

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineProperties, RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.forecast import CapacityForecast, StreamDemand
from cleatlink.routing.reservation import Reservation

TRAITS = EngineProperties(slots=4, memory_tokens=1000, handle_lifetime_s=0.5, role_switch_s=6.0)


def capacity_of(*names: str) -> Capacity:
    capacity = Capacity()
    for name in names:
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", "a", "s", Role.DECODE, 4))
    return capacity


def wait_s(capacity: Capacity, tokens: int, *ahead: int, now: float = 1.0) -> float | None:
    forecast = CapacityForecast("s", TRAITS, capacity, now)
    demands = [StreamDemand(size, 10.0) for size in ahead]
    return forecast.wait_s(StreamDemand(tokens, 10.0), demands)


def test_stream_gets_the_endpoint_that_first_frees_enough_memory() -> None:
    capacity = capacity_of("x", "y")
    capacity.reserve("1", Reservation("x", Role.DECODE, 700, 5.0))
    capacity.add_peer_reservation("p", "2", Reservation("y", Role.DECODE, 400, 3.0))
    capacity.add_peer_reservation("p", "3", Reservation("y", Role.DECODE, 400, 7.0))
    assert wait_s(capacity, 300) == 0.0
    # The first stream to end frees too little memory for this one, the second frees enough.
    assert wait_s(capacity, 600) == 2.0
    assert wait_s(capacity, 700) == 4.0


def test_streams_queued_ahead_are_assigned_first() -> None:
    capacity = capacity_of("x", "y")
    capacity.reserve("1", Reservation("x", Role.DECODE, 700, 5.0))
    capacity.reserve("2", Reservation("y", Role.DECODE, 800, 7.0))
    assert wait_s(capacity, 600, 600) == 6.0
    # Both endpoints are occupied then; the stream that began first ends first.
    assert wait_s(capacity, 600, 600, 600) == 14.0


def test_streams_that_end_free_their_slots() -> None:
    capacity = capacity_of("x")
    for number in range(4):
        capacity.reserve(str(number), Reservation("x", Role.DECODE, 1, 5.0 + number))
    assert wait_s(capacity, 10) == 4.0
    assert wait_s(capacity, 10, 10) == 5.0


def test_decode_endpoint_computes_prompts_one_after_the_other() -> None:
    capacity = capacity_of("x")
    capacity.reserve("1/p", Reservation("x", Role.PREFILL, 100, 1.5, 0.5))
    forecast = CapacityForecast("s", TRAITS, capacity, 1.0)
    assert forecast.wait_s(StreamDemand(100, 10.0)) == 0.0
    prompt_on_decode = StreamDemand(100, 10.0, prompt_s=0.2)
    assert forecast.wait_s(prompt_on_decode, [prompt_on_decode]) == pytest.approx(0.7)


def test_overdue_streams_are_expected_to_continue_for_a_while() -> None:
    capacity = capacity_of("x")
    capacity.reserve("1", Reservation("x", Role.DECODE, 900, 4.0, 4.0, 500))
    wait_at_5_s = wait_s(capacity, 600, now=5.0)
    assert wait_at_5_s == pytest.approx(1.5)
    wait_at_9_s = wait_s(capacity, 600, now=9.0)
    assert wait_at_9_s is not None
    assert wait_at_9_s > 1.5


def test_no_forecast_without_a_decode_endpoint() -> None:
    assert wait_s(capacity_of(), 10) is None


def test_stream_larger_than_the_memory_waits_for_an_idle_endpoint() -> None:
    capacity = capacity_of("x")
    assert wait_s(capacity, 2000) == 0.0
    capacity.reserve("1", Reservation("x", Role.DECODE, 10, 5.0))
    assert wait_s(capacity, 2000) == 4.0


def test_endpoint_that_refuses_repeatedly_is_avoided_for_longer_each_time() -> None:
    capacity = capacity_of("x")
    assert wait_s(capacity, 300) == 0.0
    for _ in range(5):
        capacity.note_full("x", 1.0)
    after_five_refusals_s = wait_s(capacity, 300)
    assert after_five_refusals_s is not None
    assert 1.0 < after_five_refusals_s < 2.0
    capacity.note_free_capacity("x")
    capacity.note_full("x", 3.0)
    after_one_refusal_s = wait_s(capacity, 300, now=3.0)
    assert after_one_refusal_s is not None
    assert after_one_refusal_s < 0.2
