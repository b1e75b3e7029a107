"""Forecasts of room: by memory and slots that free, behind those that come first."""

import pytest

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineTraits, RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.forecast import RoomForecast, StreamDemand
from cleatlink.routing.reservation import Reservation

TRAITS = EngineTraits(slots=4, memory_tokens=1000, handle_lifetime_s=0.5, role_switch_s=6.0)


def fleet(*names: str) -> Capacity:
    capacity = Capacity()
    for name in names:
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", "a", "s", Role.DECODE, 4))
    return capacity


def room_in_s(capacity: Capacity, tokens: int, *ahead: int, now: float = 1.0) -> float | None:
    forecast = RoomForecast("s", TRAITS, capacity, now)
    demands = [StreamDemand(size, 10.0) for size in ahead]
    return forecast.room_in_s(StreamDemand(tokens, 10.0), demands)


def test_room_opens_where_enough_memory_frees_first() -> None:
    capacity = fleet("x", "y")
    capacity.reserve("1", Reservation("x", Role.DECODE, 700, 5.0))
    capacity.peer_reserve("p", "2", Reservation("y", Role.DECODE, 400, 3.0))
    capacity.peer_reserve("p", "3", Reservation("y", Role.DECODE, 400, 7.0))
    assert room_in_s(capacity, 300) == 0.0
    # The next end frees too little for this one; the end after it frees enough.
    assert room_in_s(capacity, 600) == 2.0
    assert room_in_s(capacity, 700) == 4.0


def test_those_ahead_take_their_room_first() -> None:
    capacity = fleet("x", "y")
    capacity.reserve("1", Reservation("x", Role.DECODE, 700, 5.0))
    capacity.reserve("2", Reservation("y", Role.DECODE, 800, 7.0))
    assert room_in_s(capacity, 600, 600) == 6.0
    # Both are taken then: the one that began first ends first.
    assert room_in_s(capacity, 600, 600, 600) == 14.0


def test_slots_open_like_memory() -> None:
    capacity = fleet("x")
    for number in range(4):
        capacity.reserve(str(number), Reservation("x", Role.DECODE, 1, 5.0 + number))
    assert room_in_s(capacity, 10) == 4.0
    assert room_in_s(capacity, 10, 10) == 5.0


def test_prompts_at_a_decode_come_one_after_the_other() -> None:
    capacity = fleet("x")
    capacity.reserve("1/p", Reservation("x", Role.PREFILL, 100, 1.5, 0.5))
    forecast = RoomForecast("s", TRAITS, capacity, 1.0)
    assert forecast.room_in_s(StreamDemand(100, 10.0)) == 0.0
    direct = StreamDemand(100, 10.0, prompt_s=0.2)
    assert forecast.room_in_s(direct, [direct]) == pytest.approx(0.7)


def test_overdue_streams_are_expected_to_go_on_for_a_while() -> None:
    capacity = fleet("x")
    capacity.reserve("1", Reservation("x", Role.DECODE, 900, 4.0, 4.0, 500))
    soon_s = room_in_s(capacity, 600, now=5.0)
    assert soon_s == pytest.approx(1.5)
    later_s = room_in_s(capacity, 600, now=9.0)
    assert later_s is not None
    assert later_s > 1.5


def test_without_a_decode_there_is_no_forecast() -> None:
    assert room_in_s(fleet(), 10) is None


def test_stream_larger_than_the_memory_waits_for_an_idle_endpoint() -> None:
    capacity = fleet("x")
    assert room_in_s(capacity, 2000) == 0.0
    capacity.reserve("1", Reservation("x", Role.DECODE, 10, 5.0))
    assert room_in_s(capacity, 2000) == 4.0


def test_endpoint_that_turned_work_away_opens_later_each_time() -> None:
    capacity = fleet("x")
    assert room_in_s(capacity, 300) == 0.0
    for _ in range(5):
        capacity.note_full("x", 1.0)
    doubled = room_in_s(capacity, 300)
    assert doubled is not None
    assert 1.0 < doubled < 2.0
    capacity.note_room("x")
    capacity.note_full("x", 3.0)
    once = room_in_s(capacity, 300, now=3.0)
    assert once is not None
    assert once < 0.2
