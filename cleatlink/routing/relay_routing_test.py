"""Tests the relay's parts without I/O: routes, capacity, placement, budgets, records."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import (
    CallerLimits,
    EngineProperties,
    InboundRequest,
    Route,
    RoutedEndpoint,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from cleatlink.request.shared_retry_budget import SharedRetryBudget
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords
from cleatlink.routing.relay_placement import (
    PlacementContext,
    StreamSize,
    choose_decode,
    choose_plain,
    choose_prefill,
    estimate_longest_stream_s,
    estimate_output_tokens,
)
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.route_index import RouteIndex, choose_service
from cleatlink.routing.service_times import ServiceTimes

TRAITS = EngineProperties(slots=4, memory_tokens=1000, handle_lifetime_s=0.5, role_switch_s=6.0)
SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=4)


def make_route(prefix: str, host: str = "h", shares: tuple[ServiceShare, ...] = ()) -> Route:
    return Route(prefix, host, prefix, RouteKind.SAFE, 1.0, 0.3, 1, shares)


def make_table(revision: int, *prefixes: str) -> RouteTable:
    return RouteTable(revision, tuple(make_route(item) for item in prefixes), {}, CallerLimits())


def make_endpoint(name: str, role: Role = Role.DECODE, data_centre: str = "a") -> RoutedEndpoint:
    return RoutedEndpoint(name, "127.0.0.1:1", data_centre, "s", role, 4)


def make_size(prompt: int, output: int = 0, duration_s: float = 1.0) -> StreamSize:
    return StreamSize(prompt, output, duration_s)


def make_context(now: float = 0.0, excluded: frozenset[str] = frozenset()) -> PlacementContext:
    return PlacementContext("a", excluded, now, random.Random(1))


@given(st.lists(SEGMENTS, max_size=8), SEGMENTS, st.sampled_from(["", "x", "x/"]))
def test_route_with_the_longest_prefix_wins_as_in_a_naive_search(
    prefixes: list[list[str]], path: list[str], rest: str
) -> None:
    texts = sorted({"/" + "".join(f"{part}/" for part in prefix) for prefix in prefixes})
    requested = "/" + "".join(f"{part}/" for part in path) + rest
    matching = [text for text in texts if requested.startswith(text)]
    found = RouteIndex(make_table(1, *texts)).find("H", requested)
    assert (found.path_prefix if found else None) == max(matching, key=len, default=None)


def test_services_are_chosen_by_their_weights() -> None:
    split = make_route(
        "/", shares=(ServiceShare("x", 90), ServiceShare("y", 10), ServiceShare("z", 0))
    )
    assert choose_service(split, 0.0) == "x"
    assert choose_service(split, 0.899) == "x"
    assert choose_service(split, 0.901) == "y"
    assert choose_service(split, 0.999) == "y"
    assert choose_service(make_route("/"), 0.5) is None


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=20))
def test_records_are_equal_after_updates_in_any_order(changes: list[tuple[int, bool]]) -> None:
    records = {
        revision: EndpointRecord(
            "e", StoreRevision(0, revision), make_endpoint("e") if is_present else None
        )
        for revision, is_present in changes
    }
    forward, backward = FleetRecords(), FleetRecords()
    for revision in sorted(records):
        forward.offer_record(records[revision])
    for revision in sorted(records, reverse=True):
        backward.offer_record(records[revision])
    assert forward.records == backward.records


def test_older_or_equal_route_table_is_ignored() -> None:
    records = FleetRecords()
    assert records.offer_table(make_table(5))
    assert not records.offer_table(make_table(5))
    assert not records.offer_table(make_table(4))
    assert records.table_revision == 5


def test_complete_list_removes_missing_records_but_no_newer_ones() -> None:
    records = FleetRecords()
    records.offer_record(EndpointRecord("old", StoreRevision(0, 3), make_endpoint("old")))
    records.offer_record(EndpointRecord("new", StoreRevision(0, 9), make_endpoint("new")))
    assert [item.name for item in records.removals_of_missing(set(), StoreRevision(0, 7))] == [
        "old"
    ]


def test_decode_is_placed_where_memory_is_free() -> None:
    capacity = Capacity()
    capacity.set_endpoint(make_endpoint("x"))
    capacity.set_endpoint(make_endpoint("y"))
    capacity.reserve("1", Reservation("x", Role.DECODE, 700, 5.0))
    capacity.add_peer_reservation("p", "2", Reservation("y", Role.DECODE, 400, 6.0))
    chosen = choose_decode("s", make_size(400), TRAITS, capacity, make_context())
    assert chosen is not None
    assert chosen.name == "y"
    capacity.add_peer_reservation("p", "3", Reservation("y", Role.DECODE, 400, 7.0))
    assert choose_decode("s", make_size(600), TRAITS, capacity, make_context()) is None
    capacity.remove_peer("p")
    chosen = choose_decode("s", make_size(600), TRAITS, capacity, make_context())
    assert chosen is not None
    assert chosen.name == "y"


def test_decode_is_not_placed_without_a_free_slot() -> None:
    capacity = Capacity()
    capacity.set_endpoint(make_endpoint("x"))
    for number in range(4):
        capacity.reserve(str(number), Reservation("x", Role.DECODE, 1, 5.0))
    assert choose_decode("s", make_size(1), TRAITS, capacity, make_context()) is None


def test_prefill_is_placed_at_the_shortest_queue_and_nearby_among_equals() -> None:
    capacity = Capacity()
    capacity.set_endpoint(make_endpoint("far", Role.PREFILL, "b"))
    capacity.set_endpoint(make_endpoint("near", Role.PREFILL, "a"))
    chosen = choose_prefill("s", capacity, make_context(), "a")
    assert chosen is not None
    assert chosen.name == "near"
    capacity.reserve("1", Reservation("near", Role.PREFILL, 5000, 1.0))
    chosen = choose_prefill("s", capacity, make_context(), "a")
    assert chosen is not None
    assert chosen.name == "far"


def test_overdue_prompts_do_not_lengthen_the_estimated_queue_of_a_prefill() -> None:
    capacity = Capacity()
    capacity.set_endpoint(make_endpoint("p", Role.PREFILL))
    times = capacity.service_times("s")
    for _ in range(9):
        times.note_prompt(1000, 0.0, 0.1)
    assert capacity.prefill_queue_s("p") == 0.0
    now = 0.0
    for number in range(20):
        # Each prompt takes longer than expected for it and the prompts queued ahead of it.
        expected_s = capacity.prefill_queue_s("p") + times.prompt_s(1000)
        reservation = Reservation("p", Role.PREFILL, 1000, now + expected_s, expected_s)
        capacity.reserve(str(number), reservation)
        now += 0.2
        if number >= 3:
            capacity.release(str(number - 3))
        assert capacity.prefill_queue_s("p") <= 0.4


def test_failing_endpoint_is_avoided_longer_each_time_but_used_if_it_is_the_only_one() -> None:
    capacity = Capacity()
    for name in ("x", "y"):
        capacity.set_endpoint(make_endpoint(name, Role.PLAIN))
    capacity.note_failure("x", 0.0)
    assert {choose_plain("s", capacity, make_context(0.1)) for _ in range(9)} == {
        make_endpoint("y", Role.PLAIN)
    }
    assert len(capacity.candidates("s", Role.PLAIN, 0.6)) == 2
    capacity.note_failure("x", 0.6)
    assert len(capacity.candidates("s", Role.PLAIN, 1.5)) == 1
    capacity.note_address_mismatch("y")
    assert [item.name for item in capacity.candidates("s", Role.PLAIN, 1.5)] == ["x"]
    capacity.note_success("x", 2.0)
    capacity.remove_endpoint("x")
    assert choose_plain("s", capacity, make_context(9.0)) is None


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from("xy"), st.integers(1, 9)), max_size=30
    )
)
def test_usage_is_the_sum_of_the_reservations(steps: list[tuple[str, str, int]]) -> None:
    capacity = Capacity()
    expected: dict[str, tuple[str, int]] = {}
    for key, name, tokens in steps:
        if tokens == 1:
            capacity.release(key)
            expected.pop(key, None)
        else:
            capacity.reserve(key, Reservation(name, Role.DECODE, tokens, 0.0))
            expected[key] = (name, tokens)
    for name in "xy":
        sizes = [size for reserved_at, size in expected.values() if reserved_at == name]
        assert capacity.usage(name, Role.DECODE) == (len(sizes), sum(sizes))


def test_output_hint_limits_the_estimated_output_of_a_stream() -> None:
    inbound = InboundRequest("r", b"POST", b"/", "h", (), b"", 0.0, prompt_tokens=100)
    assert estimate_output_tokens(inbound._replace(max_output_tokens=1000), ServiceTimes()) == 1000
    hinted = estimate_output_tokens(
        inbound._replace(max_output_tokens=1000, estimated_output_tokens=200), ServiceTimes()
    )
    assert 200 <= hinted < 300
    assert (
        estimate_output_tokens(
            inbound._replace(max_output_tokens=50, estimated_output_tokens=200), ServiceTimes()
        )
        == 50
    )


def test_longest_stream_is_infinite_without_measured_times_and_then_above_the_estimate() -> None:
    times = ServiceTimes()
    inbound = InboundRequest("r", b"POST", b"/", "h", (), b"", 0.0, 9.0, 1000, 500, 100)
    assert estimate_longest_stream_s(inbound, times) == math.inf
    for _ in range(20):
        times.note_segment(100, 0.2)
    # The prior of output lengths: two standard deviations of a half above the hint of 100.
    assert estimate_longest_stream_s(inbound, times) == pytest.approx(
        2 * times.first_event_s + 200 * 0.002
    )
    assert estimate_longest_stream_s(inbound, times, 0.5) == pytest.approx(
        1.0 + estimate_longest_stream_s(inbound, times)
    )
    # Never above the requested maximum.
    limited = inbound._replace(max_output_tokens=120)
    assert estimate_longest_stream_s(limited, times) == pytest.approx(
        2 * times.first_event_s + 120 * 0.002
    )
    unhinted = inbound._replace(estimated_output_tokens=0)
    assert estimate_longest_stream_s(unhinted, times) == pytest.approx(
        2 * times.first_event_s + 500 * 0.002
    )


def test_streams_that_end_at_different_times_share_memory() -> None:
    capacity = Capacity()
    capacity.set_endpoint(make_endpoint("x"))
    # One has nearly ended when the other begins: 600 and 500 are never in use together.
    capacity.reserve("1", Reservation("x", Role.DECODE, 600, 1.0, 10.0, 400))
    assert (
        capacity.peak_memory("x", [make_size(100, 400, 10.0).make_reservation("x", 0.0)], 0.0) < 760
    )
    assert (
        choose_decode("s", make_size(100, 400, 10.0), TRAITS, capacity, make_context()) is not None
    )
    # If both begin together, they are.
    capacity.reserve("1", Reservation("x", Role.DECODE, 600, 10.0, 10.0, 400))
    assert (
        capacity.peak_memory("x", [make_size(100, 400, 10.0).make_reservation("x", 0.0)], 0.0)
        == 1100
    )
    assert choose_decode("s", make_size(100, 400, 10.0), TRAITS, capacity, make_context()) is None
    # An overdue stream still holds its memory.
    capacity.reserve("1", Reservation("x", Role.DECODE, 950, -1.0, 10.0, 400))
    assert choose_decode("s", make_size(100, 0, 1.0), TRAITS, capacity, make_context()) is None


STREAMS = st.lists(
    st.tuples(st.integers(1, 500), st.integers(0, 500), st.floats(0.1, 9), st.floats(0, 5)),
    min_size=1,
    max_size=8,
)


@given(STREAMS)
def test_peak_memory_equals_that_of_a_naive_simulation(
    streams: list[tuple[int, int, float, float]],
) -> None:
    capacity = Capacity()
    reservations = []
    for number, (prompt, output, duration_s, age_s) in enumerate(streams):
        ends_at = duration_s - min(age_s, 0.9 * duration_s)
        reservation = Reservation("x", Role.DECODE, prompt + output, ends_at, duration_s, output)
        reservations.append(reservation)
        if number:
            capacity.reserve(str(number), reservation)
    times = [step * 0.01 for step in range(901)] + [
        reservation.ends_at for reservation in reservations
    ]
    naive = max(
        sum(
            reservation.tokens
            - reservation.growth_tokens * (reservation.ends_at - time) / reservation.duration_s
            for reservation in reservations
            if time <= reservation.ends_at
        )
        for time in times
    )
    assert abs(capacity.peak_memory("x", reservations[:1], 0.0) - naive) < 1e-6


@given(st.integers(1, 20), st.lists(st.floats(0, 30), max_size=60))
def test_all_instances_together_stay_within_the_retry_budget(
    members: int, times: list[float]
) -> None:
    budgets = [SharedRetryBudget(0.2, 50.0, 10.0) for _ in range(members)]
    taken = []
    requests = []
    for index, now in enumerate(sorted(times)):
        budget = budgets[index % members]
        budget.count_request(now)
        requests.append(now)
        while budget.try_spend(members, now):
            taken.append(now)
    for end in taken:
        taken_count = sum(end - 10.0 < at <= end for at in taken)
        request_count = sum(end - 10.0 < at <= end for at in requests)
        assert taken_count <= 0.2 * request_count + 50.0
