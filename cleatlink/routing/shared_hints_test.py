"""Hints of peers on what is out of reach or slow."""

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.shared_hints import SharedHints


def capacity_of(*names: str) -> Capacity:
    capacity = Capacity()
    for name in names:
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", "a", "s", Role.PLAIN, 6))
    return capacity


def trusted(capacity: Capacity, now: float) -> set[str]:
    return {endpoint.name for endpoint in capacity.candidates("s", Role.PLAIN, now)}


def test_two_peers_have_to_agree_within_a_second() -> None:
    hints = SharedHints(1.0)
    assert not hints.note("e1", "n1", 0.0)
    assert not hints.note("e1", "n1", 0.5)
    assert not hints.note("e1", "n2", 1.8)
    assert hints.note("e1", "n3", 2.0)
    assert not hints.note("e2", "n2", 2.0)


def test_hint_keeps_work_away_for_a_while_unless_it_was_reached_just_now() -> None:
    capacity = capacity_of("e1", "e2")
    capacity.note_success("e2", 9.9)
    capacity.note_unreached_by_peers("e1", 10.0)
    capacity.note_unreached_by_peers("e2", 10.0)
    assert trusted(capacity, 10.1) == {"e2"}
    assert trusted(capacity, 12.0) == {"e1", "e2"}


def test_hints_on_all_endpoints_leave_all_to_be_tried() -> None:
    capacity = capacity_of("e1", "e2")
    for name in ("e1", "e2"):
        capacity.note_unreached_by_peers(name, 10.0)
    assert trusted(capacity, 10.1) == {"e1", "e2"}


def test_slow_endpoint_gets_nothing_new_for_a_while_unless_all_are_slow() -> None:
    capacity = capacity_of("e1", "e2")
    capacity.note_slow("e1", 10.0)
    # An answer that came in the end says nothing against it.
    capacity.note_success("e1", 10.1)
    assert trusted(capacity, 10.2) == {"e2"}
    capacity.note_slow("e2", 10.2)
    assert trusted(capacity, 10.3) == {"e1", "e2"}
    assert trusted(capacity, 13.0) == {"e1", "e2"}
