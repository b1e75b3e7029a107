"""Compares the fleet view with a naive search and tests its expiry rules."""

from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.config import load_configuration
from cleatlink.core.data import CacheUpdate, Configuration, Endpoint, Fleet, LoadReport, Role
from cleatlink.core.labels import matches_selector, parse_selector
from cleatlink.routing.fleet_view import (
    LEAVING_EXPIRY_S,
    LEAVING_REFUSAL_EXPIRY_S,
    MAX_REPORT_AGE_S,
    FleetView,
    Reservation,
    endpoint_labels,
)

EXAMPLE_CONFIGURATION = (Path(__file__).parents[2] / "examples/bublina.yaml").read_text()
POOLS = ["bublina-prefill", "bublina-decode", "reader", "no-such-pool"]
DATA_CENTRES = ["praha-a", "praha-b", "kladno", "elsewhere"]
SELECTORS = ["", "site=edge", "site!=edge", "dc in (praha-a, kladno)", "work", "!work", "region=x"]


def load_example(**changes: str) -> Configuration:
    configuration, faults = load_configuration(EXAMPLE_CONFIGURATION, 1)
    assert configuration is not None, faults
    return configuration


def make_report(name: str, leaving: bool = False, incarnation: str = "1") -> LoadReport:
    return LoadReport(name, incarnation, Role.DECODE, 8, 2, 100, 1000, 500, leaving, 100.0)


ENDPOINTS = st.lists(
    st.builds(
        Endpoint,
        st.sampled_from([f"n{number}" for number in range(12)]),
        st.just("127.0.0.1:1"),
        st.sampled_from(DATA_CENTRES),
        st.sampled_from(POOLS),
        st.booleans(),
    ),
    unique_by=lambda endpoint: endpoint.name,
    max_size=12,
)


@given(ENDPOINTS, st.sampled_from(SELECTORS), st.sampled_from(Role), st.data())
def test_usable_endpoints_equal_those_of_a_naive_search(
    endpoints: list[Endpoint], text: str, role: Role, data: st.DataObject
) -> None:
    configuration = load_example()
    selector, _ = parse_selector(text)
    assert selector is not None
    request_class = configuration.classes["translation"]._replace(selector=selector)
    labels = data.draw(
        st.dictionaries(
            st.sampled_from([f"n{number}" for number in range(12)]),
            st.dictionaries(st.sampled_from(["work", "site"]), st.sampled_from(["edge", "x"])),
        )
    )
    configuration = configuration._replace(
        classes={**configuration.classes, "translation": request_class}, endpoint_labels=labels
    )
    view = FleetView()
    view.set_configuration(configuration)
    view.update_fleet(Fleet(1, tuple(endpoints), ()))
    reported = data.draw(st.sets(st.sampled_from([f"n{number}" for number in range(12)])))
    for name in reported:
        view.add_report(make_report(name), 100.0)
    naive = [
        endpoint
        for endpoint in endpoints
        if not endpoint.leaving
        and endpoint.name in reported
        and endpoint.pool in configuration.pools
        and configuration.pools[endpoint.pool].service == "lm-bublina"
        and configuration.pools[endpoint.pool].role is role
        and matches_selector(selector, endpoint_labels(configuration, endpoint))
    ]
    assert view.usable_endpoints("translation", role, 100.0) == naive


def make_view() -> tuple[FleetView, Endpoint]:
    endpoint = Endpoint("d1", "127.0.0.1:1", "praha-a", "bublina-decode")
    view = FleetView()
    view.set_configuration(load_example())
    view.update_fleet(Fleet(5, (endpoint,), ()))
    return view, endpoint


def test_endpoint_with_an_old_report_is_unusable() -> None:
    view, endpoint = make_view()
    assert not view.is_usable(endpoint, 0.0)
    view.add_report(make_report("d1"), 100.0)
    assert view.is_usable(endpoint, 100.0 + MAX_REPORT_AGE_S)
    assert not view.is_usable(endpoint, 100.1 + MAX_REPORT_AGE_S)


def test_leaving_refusal_counts_until_a_report_says_leaving() -> None:
    view, endpoint = make_view()
    view.add_report(make_report("d1"), 100.0)
    view.note_leaving_refusal("d1", 100.0)
    view.add_report(make_report("d1"), 100.0 + LEAVING_REFUSAL_EXPIRY_S - 1)
    assert not view.is_usable(endpoint, 100.0 + LEAVING_REFUSAL_EXPIRY_S - 1)
    view.add_report(make_report("d1", leaving=True), 300.0)
    view.add_report(make_report("d1"), 300.0 + LEAVING_EXPIRY_S)
    assert view.is_usable(endpoint, 300.0 + LEAVING_EXPIRY_S)


def test_backoff_ends_on_restart_but_not_on_a_report() -> None:
    view, endpoint = make_view()
    view.add_report(make_report("d1"), 100.0)
    view.note_backoff("d1", 3.0, 100.0)
    view.note_backoff("d1", 1.0, 101.0)
    view.add_report(make_report("d1"), 102.0)
    assert not view.is_usable(endpoint, 102.9)
    view.add_report(make_report("d1"), 103.0)
    assert view.is_usable(endpoint, 103.0)
    view.note_backoff("d1", 60.0, 103.0)
    view.add_report(make_report("d1", incarnation="2"), 104.0)
    assert view.is_usable(endpoint, 104.0)


def test_restart_ends_the_leaving_state() -> None:
    view, endpoint = make_view()
    view.add_report(make_report("d1", leaving=True), 100.0)
    assert view.leaving_endpoints(100.0) == ("d1",)
    view.add_report(make_report("d1", incarnation="2"), 101.0)
    assert view.is_usable(endpoint, 101.0)


def test_leaving_notice_of_a_peer_is_stored_but_not_passed_on() -> None:
    view, endpoint = make_view()
    view.add_report(make_report("d1"), 100.0)
    view.note_peer_leaving("d1", 100.0)
    assert not view.is_usable(endpoint, 101.0)
    assert view.leaving_endpoints(101.0) == ()


def estimated_load(view: FleetView, endpoint: Endpoint) -> tuple[int, int, int]:
    # At the time of the placement, when no token of the prefill has been computed.
    load = view.estimate_load(endpoint, 100.5)
    return load.running, load.waiting_tokens, load.free_tokens


def test_own_reservations_count_once() -> None:
    view, endpoint = make_view()
    without_own_work = make_report("d1")
    view.add_report(without_own_work, 100.0)
    assert estimated_load(view, endpoint) == (2, 100, 500)
    view.reserve("r/decode", Reservation("d1", 0, 200, None), 100.5)
    view.reserve("r/prefill", Reservation("d1", 50, 0, 100.5), 100.5)
    assert estimated_load(view, endpoint) == (3, 150, 250)
    with_own_prefill = without_own_work._replace(waiting_tokens=150, memory_free_tokens=450)
    view.add_report(with_own_prefill, 100.6)
    assert estimated_load(view, endpoint) == (3, 150, 250)
    view.release("r/prefill", 102.0)
    view.note_started("r/decode", 102.0)
    with_own_decode = without_own_work._replace(running=3, memory_free_tokens=300)
    view.add_report(with_own_decode, 102.1)
    assert estimated_load(view, endpoint) == (3, 100, 300)
    view.release("r/decode", 103.0)
    view.release("r/decode", 103.0)
    assert estimated_load(view, endpoint) == (2, 100, 500)


def test_work_of_others_is_not_negative_if_a_report_misses_own_work() -> None:
    view, endpoint = make_view()
    idle = make_report("d1")._replace(running=0, waiting_tokens=0, memory_free_tokens=1000)
    view.add_report(idle, 100.0)
    view.reserve("r/prefill", Reservation("d1", 50, 0, 100.5), 100.5)
    view.add_report(idle, 100.6)
    assert estimated_load(view, endpoint) == (0, 50, 950)


def test_older_or_equal_instance_list_is_ignored() -> None:
    view, _ = make_view()
    assert not view.update_fleet(Fleet(4, (), ()))
    assert not view.update_fleet(Fleet(5, (), ()))
    assert len(view.fleet.endpoints) == 1
    assert view.update_fleet(Fleet(6, (), ()))


def test_cache_events_update_prefixes_and_a_gap_deletes_them() -> None:
    view, _ = make_view()
    view.apply_cache_events("d1", CacheUpdate((1, 2), (), 2, False))
    view.apply_cache_events("d1", CacheUpdate((3,), (1,), 4, False))
    assert [view.cache_holders(prefix) for prefix in (1, 2, 3)] == [set(), {"d1"}, {"d1"}]
    assert view.last_event_number("d1") == 4
    view.apply_cache_events("d1", CacheUpdate((5,), (), 9, True))
    assert [view.cache_holders(prefix) for prefix in (2, 3, 5)] == [set(), set(), {"d1"}]
    view.update_fleet(Fleet(6, (), ()))
    assert not view.cache_holders(5)


def test_own_prefill_in_progress_counts_its_remaining_tokens() -> None:
    view, endpoint = make_view()
    view.add_report(make_report("d1")._replace(waiting_tokens=0), 100.0)
    view.reserve("r/prefill", Reservation("d1", 300, 0, 100.0), 100.0)
    view.reserve("s/prefill", Reservation("d1", 500, 0, 101.0), 101.0)
    assert view.estimate_load(endpoint, 102.0).waiting_tokens == 600
    assert view.estimate_load(endpoint, 110.0).waiting_tokens == 500, (
        "the next prefill has not begun"
    )
    view.release("r/prefill", 104.0)
    assert view.estimate_load(endpoint, 105.0).waiting_tokens == 400


def test_failed_endpoint_is_unusable_until_its_next_report() -> None:
    view, endpoint = make_view()
    view.add_report(make_report("d1"), 100.0)
    view.note_failure("d1", 100.5)
    assert not view.is_usable(endpoint, 100.6)
    view.add_report(make_report("d1"), 101.0)
    assert view.is_usable(endpoint, 101.0)
