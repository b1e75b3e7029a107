"""What endpoints say of themselves, kept by life: leaving to its end, rests for their time."""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.notices import EndpointNotices, NoticeSource
from cleatlink.routing.reservation import Reservation

SERVICE = "s"


def endpoint(name: str, *, leaving: bool = False) -> RoutedEndpoint:
    """Give a plain endpoint."""
    return RoutedEndpoint(name, "127.0.0.1:1", "a", SERVICE, Role.PLAIN, 4, leaving)


def candidates(capacity: Capacity, now: float) -> list[str]:
    """Give the names of those that may get a call now."""
    found = capacity.candidates(SERVICE, Role.PLAIN, now)
    return [item.name for item in found if not capacity.is_full(item.name, now)]


def test_leaving_outlives_registrations() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    assert capacity.notices.note_leaving("x", NoticeSource.ANSWER, 0.0)
    assert not capacity.notices.note_leaving("x", NoticeSource.PEER, 0.0)
    assert not capacity.takes_work("x")
    # Its entry lapses and returns, or is written anew without the word.
    capacity.remove_endpoint("x")
    capacity.set_endpoint(endpoint("x"))
    assert not capacity.takes_work("x")
    assert candidates(capacity, 1.0) == []
    assert capacity.opens_in_s(SERVICE, Role.PLAIN, 1.0) is None


def test_rest_is_kept_to_its_end_and_the_longest_counts() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    capacity.set_endpoint(endpoint("y"))
    assert capacity.notices.note_rest("x", 3.0, 0.0)
    assert not capacity.notices.note_rest("x", 1.0, 0.5)
    assert candidates(capacity, 2.99) == ["y"]
    assert capacity.rest_left_s("x", 1.0) == 2.0
    assert candidates(capacity, 3.0) == ["x", "y"]


def test_endpoint_that_failed_is_tried_rather_than_one_that_rests() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    capacity.set_endpoint(endpoint("y"))
    capacity.notices.note_rest("x", 3.0, 0.0)
    capacity.note_failure("y", 0.0)
    assert candidates(capacity, 0.1) == ["y"]


def test_where_all_rest_the_first_end_is_told() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    capacity.set_endpoint(endpoint("y"))
    capacity.notices.note_rest("x", 3.0, 0.0)
    capacity.notices.note_rest("y", 2.0, 0.0)
    assert candidates(capacity, 0.5) == []
    assert capacity.opens_in_s(SERVICE, Role.PLAIN, 0.5) == 1.5


def test_after_a_rest_one_call_goes_first_then_twice_as_many_with_each_answer() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    capacity.notices.note_rest("x", 1.0, 0.0)
    begun = 0

    def fill() -> int:
        """Begin calls while one may; gives how many."""
        nonlocal begun
        first = begun
        while candidates(capacity, 1.5) == ["x"] and begun - first < 50:
            capacity.reserve(f"{begun}", Reservation("x", Role.PLAIN, 0, 2.0))
            begun += 1
        return begun - first

    assert fill() == 1
    capacity.release("0")
    assert fill() == 1
    capacity.notices.note_served("x", 1.5)
    assert fill() == 1
    for _ in range(2):
        capacity.notices.note_served("x", 1.5)
    assert fill() == 6
    for _ in range(2):
        capacity.notices.note_served("x", 1.5)
    assert fill() == 50


def test_answer_within_a_rest_does_not_end_it() -> None:
    notices = EndpointNotices()
    notices.note_rest("x", 1.0, 0.0)
    for _ in range(9):
        notices.note_served("x", 0.9)
    assert not notices.may_begin("x", 0.99)


def test_what_is_long_ago_is_forgotten() -> None:
    notices = EndpointNotices()
    notices.note_leaving("x", NoticeSource.ANSWER, 0.0)
    notices.note_rest("y", 1.0, 0.0)
    notices.forget(30.0)
    assert notices.is_leaving("x")
    assert notices.rests_until("y") == 1.0
    notices.forget(600.0)
    assert not notices.is_leaving("x")
    assert notices.rests_until("y") == 0.0


@given(st.lists(st.tuples(st.floats(0, 50), st.floats(0.01, 20)), min_size=1, max_size=20))
def test_no_call_begins_in_any_rest(words: list[tuple[float, float]]) -> None:
    notices = EndpointNotices()
    for said_at, rest_s in sorted(words):
        notices.note_rest("x", rest_s, said_at)
        notices.note_served("x", said_at)
    last_at = max(said_at for said_at, _ in words)
    for said_at, rest_s in words:
        now = max(last_at, said_at + rest_s * 0.999)
        if now < said_at + rest_s:
            assert not notices.may_begin("x", now)
