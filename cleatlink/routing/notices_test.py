"""Notices of endpoints: leaving lasts for the incarnation, a back-off for its time."""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.notices import EndpointNotices, NoticeSource
from cleatlink.routing.reservation import Reservation

SERVICE = "s"


def endpoint(name: str, *, leaving: bool = False) -> RoutedEndpoint:
    """Return a plain endpoint."""
    return RoutedEndpoint(name, "127.0.0.1:1", "a", SERVICE, Role.PLAIN, 4, leaving)


def candidates(capacity: Capacity, now: float) -> list[str]:
    """Return the names of the endpoints that may get a call now."""
    found = capacity.candidates(SERVICE, Role.PLAIN, now)
    return [item.name for item in found if not capacity.is_full(item.name, now)]


def test_leaving_notice_outlives_the_registration() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    assert capacity.notices.note_leaving("x", NoticeSource.ANSWER, 0.0)
    assert not capacity.notices.note_leaving("x", NoticeSource.PEER, 0.0)
    assert not capacity.accepts_work("x")
    # Its registration expires and is renewed, or is replaced by one without the notice.
    capacity.remove_endpoint("x")
    capacity.set_endpoint(endpoint("x"))
    assert not capacity.accepts_work("x")
    assert candidates(capacity, 1.0) == []
    assert capacity.accepts_work_in_s(SERVICE, Role.PLAIN, 1.0) is None


def test_backoff_lasts_to_its_end_and_the_longest_request_counts() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    capacity.set_endpoint(endpoint("y"))
    assert capacity.notices.note_backoff("x", 3.0, 0.0)
    assert not capacity.notices.note_backoff("x", 1.0, 0.5)
    assert candidates(capacity, 2.99) == ["y"]
    assert capacity.backoff_left_s("x", 1.0) == 2.0
    assert candidates(capacity, 3.0) == ["x", "y"]


def test_endpoint_that_failed_is_preferred_to_one_in_a_backoff() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    capacity.set_endpoint(endpoint("y"))
    capacity.notices.note_backoff("x", 3.0, 0.0)
    capacity.note_failure("y", 0.0)
    assert candidates(capacity, 0.1) == ["y"]


def test_first_end_is_returned_while_all_endpoints_are_in_a_backoff() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    capacity.set_endpoint(endpoint("y"))
    capacity.notices.note_backoff("x", 3.0, 0.0)
    capacity.notices.note_backoff("y", 2.0, 0.0)
    assert candidates(capacity, 0.5) == []
    assert capacity.accepts_work_in_s(SERVICE, Role.PLAIN, 0.5) == 1.5


def test_calls_after_a_backoff_start_at_one_and_double_with_each_answer() -> None:
    capacity = Capacity()
    capacity.set_endpoint(endpoint("x"))
    capacity.notices.note_backoff("x", 1.0, 0.0)
    begun = 0

    def fill() -> int:
        """Begin as many calls as are permitted; return their number."""
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


def test_answer_within_a_backoff_does_not_end_it() -> None:
    notices = EndpointNotices()
    notices.note_backoff("x", 1.0, 0.0)
    for _ in range(9):
        notices.note_served("x", 0.9)
    assert not notices.may_begin_call("x", 0.99)


def test_old_notices_are_dropped() -> None:
    notices = EndpointNotices()
    notices.note_leaving("x", NoticeSource.ANSWER, 0.0)
    notices.note_backoff("y", 1.0, 0.0)
    notices.drop_old(30.0)
    assert notices.is_leaving("x")
    assert notices.backoff_until("y") == 1.0
    notices.drop_old(600.0)
    assert not notices.is_leaving("x")
    assert notices.backoff_until("y") == 0.0


@given(st.lists(st.tuples(st.floats(0, 50), st.floats(0.01, 20)), min_size=1, max_size=20))
def test_no_call_begins_during_any_backoff(requests: list[tuple[float, float]]) -> None:
    notices = EndpointNotices()
    for requested_at, backoff_s in sorted(requests):
        notices.note_backoff("x", backoff_s, requested_at)
        notices.note_served("x", requested_at)
    last_at = max(requested_at for requested_at, _ in requests)
    for requested_at, backoff_s in requests:
        now = max(last_at, requested_at + backoff_s * 0.999)
        if now < requested_at + backoff_s:
            assert not notices.may_begin_call("x", now)
