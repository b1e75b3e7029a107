"""Tests the reports of peers on unreachable or slow endpoints."""

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.report_quorum import ReportQuorum


def make_capacity(*names: str) -> Capacity:
    capacity = Capacity()
    for name in names:
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", "a", "s", Role.PLAIN, 6))
    return capacity


def candidate_names(capacity: Capacity, now: float) -> set[str]:
    return {endpoint.name for endpoint in capacity.candidates("s", Role.PLAIN, now)}


def test_two_peers_have_to_agree_within_the_window() -> None:
    quorum = ReportQuorum(1.0)
    assert not quorum.add_report("e1", "n1", 0.0)
    assert not quorum.add_report("e1", "n1", 0.5)
    assert not quorum.add_report("e1", "n2", 1.8)
    assert quorum.add_report("e1", "n3", 2.0)
    assert not quorum.add_report("e2", "n2", 2.0)


def test_unreachable_endpoint_is_avoided_unless_it_has_just_answered() -> None:
    capacity = make_capacity("e1", "e2")
    capacity.note_success("e2", 9.9)
    capacity.note_unreachable_from_peers("e1", 10.0)
    capacity.note_unreachable_from_peers("e2", 10.0)
    assert candidate_names(capacity, 10.1) == {"e2"}
    assert candidate_names(capacity, 12.0) == {"e1", "e2"}


def test_all_endpoints_stay_candidates_if_all_are_reported_unreachable() -> None:
    capacity = make_capacity("e1", "e2")
    for name in ("e1", "e2"):
        capacity.note_unreachable_from_peers(name, 10.0)
    assert candidate_names(capacity, 10.1) == {"e1", "e2"}


def test_slow_endpoint_gets_no_new_work_unless_all_are_slow() -> None:
    capacity = make_capacity("e1", "e2")
    capacity.note_reported_slow("e1", 10.0)
    # A late answer does not show that the endpoint is fast again.
    capacity.note_success("e1", 10.1)
    assert candidate_names(capacity, 10.2) == {"e2"}
    capacity.note_reported_slow("e2", 10.2)
    assert candidate_names(capacity, 10.3) == {"e1", "e2"}
    assert candidate_names(capacity, 13.0) == {"e1", "e2"}
