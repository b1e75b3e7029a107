"""Tests which peers receive changes of an instance's work at once."""

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.peers.work_updates import WorkUpdates
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.reservation import Reservation

DATA_CENTRES = ("a", "b", "c")


def create_capacity() -> Capacity:
    capacity = Capacity()
    for data_centre in DATA_CENTRES:
        endpoint = RoutedEndpoint(
            f"e-{data_centre}", "127.0.0.1:1", data_centre, "s", Role.DECODE, 8
        )
        capacity.set_endpoint(endpoint)
    return capacity


def decode_work(endpoint: str) -> Reservation:
    return Reservation(endpoint, Role.DECODE, 100, 5.0, 5.0)


def test_small_group_reports_all_changes_to_all_data_centres() -> None:
    capacity = create_capacity()
    updates = WorkUpdates("n", 1, "a", capacity)
    capacity.reserve("k", decode_work("e-a"))
    assert set(updates.changes_by_data_centre(["k"], DATA_CENTRES, 6, 0.0)) == set(DATA_CENTRES)


def test_large_group_reports_changes_to_data_centres_of_endpoint_and_instance() -> None:
    capacity = create_capacity()
    updates = WorkUpdates("n", 1, "a", capacity)
    capacity.reserve("here", decode_work("e-a"))
    capacity.reserve("there", decode_work("e-b"))
    sent = updates.changes_by_data_centre(["here", "there"], DATA_CENTRES, 57, 0.0)
    assert {
        data_centre: [item.key for item in changes.placed] for data_centre, changes in sent.items()
    } == {
        "a": ["here", "there"],
        "b": ["there"],
    }
    capacity.release("here")
    capacity.release("there")
    sent = updates.changes_by_data_centre(["here", "there"], DATA_CENTRES, 57, 1.0)
    assert {data_centre: changes.ended for data_centre, changes in sent.items()} == {
        "a": ["here", "there"],
        "b": ["there"],
    }


def test_work_without_known_endpoint_is_reported_in_own_data_centre() -> None:
    capacity = create_capacity()
    capacity.reserve("k", decode_work("returns to s"))
    assert set(
        WorkUpdates("n", 1, "a", capacity).changes_by_data_centre(["k"], DATA_CENTRES, 57, 0.0)
    ) == {"a"}


def test_no_message_without_changes() -> None:
    assert (
        WorkUpdates("n", 1, "a", create_capacity()).changes_by_data_centre(
            [], DATA_CENTRES, 57, 0.0
        )
        == {}
    )
