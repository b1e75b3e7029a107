"""Tests placement: free capacity, prefix affinity and its bound, locality, reproducibility."""

import random
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.decisions import make_fleet_sample
from bench.naive import place_naively
from cleatlink.config import load_configuration
from cleatlink.core.data import (
    CacheUpdate,
    Endpoint,
    Fleet,
    LoadReport,
    Placement,
    Refusal,
    Request,
    Role,
)
from cleatlink.core.errors import ErrorKind
from cleatlink.routing import Context, FleetView, Reservation, place_request, reserve_request

TEXT = (Path(__file__).parents[2] / "examples/bublina.yaml").read_text()
CONFIGURATION, _ = load_configuration(TEXT, 1)
assert CONFIGURATION is not None
TRANSLATION = CONFIGURATION.classes["translation"]
NOW = 100.0


def make_request(prefix: int = 1, tokens: int = 100) -> Request:
    return Request(
        "r", "o", "lm-bublina", "bublina-translate", "translation", tokens, 50, prefix, NOW + 20
    )


def make_view(prefills: int = 3, decodes: int = 3, **changes: int) -> FleetView:
    endpoints = [
        *(Endpoint(f"p{i}", f"p{i}", "praha-a", "bublina-prefill") for i in range(prefills)),
        *(Endpoint(f"d{i}", f"d{i}", "praha-a", "bublina-decode") for i in range(decodes)),
        Endpoint("far-p", "far-p", "praha-b", "bublina-prefill"),
        Endpoint("far-d", "far-d", "praha-b", "bublina-decode"),
    ]
    view = FleetView()
    assert CONFIGURATION is not None
    view.set_configuration(CONFIGURATION)
    view.update_fleet(Fleet(1, tuple(endpoints), ()))
    values = {"slots": 8, "running": 0, "waiting_tokens": 0, "memory_free_tokens": 10_000}
    values |= changes
    for endpoint in endpoints:
        role = Role.PREFILL if endpoint.name.lstrip("far-").startswith("p") else Role.DECODE
        report = LoadReport(
            endpoint.name,
            "1",
            role,
            slots=values["slots"],
            running=values["running"],
            waiting_tokens=values["waiting_tokens"],
            memory_tokens=10_000,
            memory_free_tokens=values["memory_free_tokens"],
            leaving=False,
            prefill_tokens_per_s=1000.0,
        )
        view.add_report(report, NOW)
    return view


def place(
    view: FleetView, request: Request, excluded: frozenset[str] = frozenset(), seed: int = 1
) -> Placement | Refusal:
    context = Context("praha-a", excluded, NOW, random.Random(seed))
    return place_request(request, TRANSLATION, view, context)


def test_requests_with_same_prefix_share_a_prefill_in_own_data_centre() -> None:
    view = make_view()
    placed = [place(view, make_request(7), seed=seed) for seed in range(20)]
    assert all(isinstance(item, Placement) for item in placed)
    assert len({item.prefill.name for item in placed if isinstance(item, Placement)}) == 1
    assert {item.decode.data_centre for item in placed if isinstance(item, Placement)} == {
        "praha-a"
    }


def test_frequent_prefix_does_not_overload_its_prefill() -> None:
    view = make_view(slots=100)
    chosen: Counter[str] = Counter()
    for number in range(60):
        request = make_request(7)._replace(name=f"r{number}")
        found = place(view, request, seed=number)
        assert isinstance(found, Placement)
        reserve_request(view, request, found, NOW)
        chosen[found.prefill.name] += 1
    assert len(chosen) == 3
    assert max(chosen.values()) <= 1.5 * 60 / 3


def test_refusal_names_missing_capacity_endpoint_or_time() -> None:
    for found, kind in (
        (place(make_view(memory_free_tokens=149), make_request()), ErrorKind.NO_ROOM),
        (place(make_view(running=8), make_request()), ErrorKind.NO_ROOM),
        (
            place(make_view(1, 0), make_request(), frozenset({"p0", "far-p"})),
            ErrorKind.NO_ENDPOINT,
        ),
        (place(make_view(waiting_tokens=30_000), make_request()), ErrorKind.DEADLINE_NOT_RUN),
    ):
        assert isinstance(found, Refusal)
        assert found.kind is kind


def test_other_data_centre_is_used_when_own_endpoints_are_excluded() -> None:
    found = place(make_view(), make_request(), frozenset({"d0", "d1", "d2"}))
    assert isinstance(found, Placement)
    assert found.decode.name == "far-d"
    assert found.prefill.name == "far-p"


def test_outdated_reports_do_not_send_all_requests_to_one_decode() -> None:
    view = make_view()
    chosen = Counter(
        found.decode.name
        for seed in range(300)
        if isinstance(found := place(view, make_request(seed), seed=seed), Placement)
    )
    assert max(chosen.values()) < 150


def test_same_seed_gives_same_placement() -> None:
    assert place(make_view(), make_request(), seed=5) == place(make_view(), make_request(), seed=5)


def test_known_cache_holder_precedes_ring_order_until_its_queue_is_too_long() -> None:
    view = make_view()
    first = place(view, make_request(7))
    assert isinstance(first, Placement)
    other = next(name for name in ("p0", "p1", "p2") if name != first.prefill.name)
    view.apply_cache_events(other, CacheUpdate((7,), (), 1, False))
    found = place(view, make_request(7))
    assert isinstance(found, Placement)
    assert found.prefill.name == other
    view.reserve("x/prefill", Reservation(other, 5000, 0, NOW), NOW)
    found = place(view, make_request(7))
    assert isinstance(found, Placement)
    assert found.prefill.name == first.prefill.name


@given(st.integers(0, 10_000), st.sampled_from([2, 8, 30, 90]), st.integers(0, 40), st.booleans())
def test_request_is_placed_exactly_when_a_search_of_all_endpoints_places_it(
    seed: int, endpoints: int, in_flight: int, large_prompts: bool
) -> None:
    """The placement examines a few endpoints; the naive version examines all of them."""
    made = make_fleet_sample(endpoints, in_flight + 10, seed)
    rng = random.Random(seed)
    names = [endpoint.name for endpoint in made.view.fleet.endpoints]
    for name in rng.sample(names, len(names) // 3):
        made.view.note_leaving_refusal(name, NOW)
    for number, original in enumerate(made.requests):
        size = rng.randrange(10_000, 80_000) if large_prompts else original.prompt_tokens
        request = original._replace(prompt_tokens=size)
        excluded = frozenset(rng.sample(names, rng.randrange(min(4, len(names)))))
        context = Context("dc0", excluded, 1_000.5, rng)
        request_class = made.configuration.classes[request.request_class]
        sampled = place_request(request, request_class, made.view, context)
        naive = place_naively(request, made.configuration, made.view, context)
        if isinstance(sampled, Placement):
            assert isinstance(naive, Placement)
            for endpoint in (sampled.prefill, sampled.decode):
                assert endpoint.name not in excluded
                assert made.view.is_usable(endpoint, context.now)
            if number < in_flight:
                reserve_request(made.view, request, sampled, context.now)
        elif sampled.kind is not ErrorKind.DEADLINE_NOT_RUN:
            assert isinstance(naive, Refusal)
            assert naive.kind is sampled.kind


def test_request_that_cannot_meet_its_target_is_refused_immediately() -> None:
    view = make_view(waiting_tokens=2_000)
    found = place(view, make_request()._replace(first_token_deadline=NOW + 2))
    assert isinstance(found, Refusal)
    assert found.kind is ErrorKind.TARGET_MISSED
    assert found.retry_after_s == pytest.approx(2.1)
    assert isinstance(place(view, make_request()._replace(first_token_deadline=NOW + 3)), Placement)


def test_less_urgent_class_is_refused_while_prefills_have_a_queue() -> None:
    assert CONFIGURATION is not None
    tagging = CONFIGURATION.classes["tagging"]
    context = Context("praha-a", frozenset(), NOW, random.Random(1))
    request = make_request()._replace(request_class="tagging")
    for queued, is_placed in ((0, True), (200, False)):
        found = place_request(request, tagging, make_view(waiting_tokens=queued), context)
        assert isinstance(found, Placement) is is_placed
    assert isinstance(place(make_view(waiting_tokens=200), make_request()), Placement)


def test_cache_holder_is_chosen_only_while_it_finishes_first() -> None:
    view = make_view()
    view.apply_cache_events("p1", CacheUpdate((7,), (), 1, False))
    for queued, name in ((0, "p1"), (200, "p1"), (300, None)):
        view.reserve("x/prefill", Reservation("p1", queued, 0, NOW), NOW)
        found = place(view, make_request(7, 1000))
        assert isinstance(found, Placement)
        assert (found.prefill.name == "p1") is (name == "p1")
