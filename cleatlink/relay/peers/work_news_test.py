"""Who is told at once of work that an instance places."""

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.peers.work_news import WorkNews
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.reservation import Reservation

PLACES = ("a", "b", "c")


def fleet() -> Capacity:
    capacity = Capacity()
    for place in PLACES:
        endpoint = RoutedEndpoint(f"e-{place}", "127.0.0.1:1", place, "s", Role.DECODE, 8)
        capacity.set_endpoint(endpoint)
    return capacity


def work(endpoint: str) -> Reservation:
    return Reservation(endpoint, Role.DECODE, 100, 5.0, 5.0)


def test_few_peers_are_all_told_of_all() -> None:
    capacity = fleet()
    news = WorkNews("n", 1, "a", capacity)
    capacity.reserve("k", work("e-a"))
    assert set(news.changes(["k"], PLACES, 6, 0.0)) == set(PLACES)


def test_many_peers_are_told_of_work_near_them_and_of_its_end() -> None:
    capacity = fleet()
    news = WorkNews("n", 1, "a", capacity)
    capacity.reserve("here", work("e-a"))
    capacity.reserve("there", work("e-b"))
    told = news.changes(["here", "there"], PLACES, 57, 0.0)
    assert {place: [item.key for item in changes.placed] for place, changes in told.items()} == {
        "a": ["here", "there"],
        "b": ["there"],
    }
    capacity.release("here")
    capacity.release("there")
    told = news.changes(["here", "there"], PLACES, 57, 1.0)
    assert {place: changes.over for place, changes in told.items()} == {
        "a": ["here", "there"],
        "b": ["there"],
    }


def test_work_of_no_endpoint_is_told_here() -> None:
    capacity = fleet()
    capacity.reserve("k", work("returns to s"))
    assert set(WorkNews("n", 1, "a", capacity).changes(["k"], PLACES, 57, 0.0)) == {"a"}


def test_nothing_is_told_where_nothing_changed() -> None:
    assert WorkNews("n", 1, "a", fleet()).changes([], PLACES, 57, 0.0) == {}
