"""Tests that the wait queue serves urgent requests first and starves no request."""

from collections.abc import Callable
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.routing.wait_queue import DEFAULT_HEAD_START_S, WaitQueue


class Slots:
    """Slots that become free; records the requests that are placed in them."""

    def __init__(self) -> None:
        self.free = 0
        self.served: list[str] = []

    def attempt_for(self, name: str) -> Callable[[], bool]:
        def attempt() -> bool:
            if not self.free:
                return False
            self.free -= 1
            self.served.append(name)
            return True

        return attempt

    def free_slots(self, queue: WaitQueue, count: int) -> None:
        self.free = count
        queue.place_waiting()


def test_urgent_request_overtakes_recent_ones_but_no_long_waiting_one() -> None:
    queue, slots = WaitQueue(), Slots()
    queue.add("lm", 10, 0.0, slots.attempt_for("old tagging"))
    queue.add("lm", 10, 19.0, slots.attempt_for("new tagging"))
    queue.add("lm", 100, 20.0, slots.attempt_for("translation"))
    slots.free_slots(queue, 1)
    slots.free_slots(queue, 2)
    assert slots.served == ["old tagging", "translation", "new tagging"]
    assert len(queue) == 0


def test_new_request_must_wait_behind_those_that_it_does_not_overtake() -> None:
    queue = WaitQueue()
    request = queue.add("lm", 50, 10.0, lambda: False)
    assert queue.must_wait("lm", 50, 10.0)
    assert queue.must_wait("lm", 10, 11.0)
    assert not queue.must_wait("lm", 100, 10.0)
    assert not queue.must_wait("other", 10, 11.0)
    queue.remove(request)
    queue.remove(request)
    assert not queue.must_wait("lm", 10, 11.0)


def test_class_without_capacity_does_not_delay_another() -> None:
    queue, slots = WaitQueue(), Slots()
    for number in range(10):
        queue.add("full", 100, float(number), lambda: False)
    queue.add("free", 0, 50.0, slots.attempt_for("free"))
    slots.free_slots(queue, 1)
    assert slots.served == ["free"]
    assert len(queue) == 10


def test_class_that_waits_for_prefill_does_not_delay_one_that_needs_none() -> None:
    """Long requests wait for a free prefill endpoint; short ones of the same service need none."""
    queue, slots = WaitQueue(), Slots()
    for number in range(6):
        queue.add("verdict", 60, float(number), lambda: False)
    assert not queue.must_wait("question", 80, 100.0)
    queue.add("question", 80, 100.0, slots.attempt_for("question"))
    slots.free_slots(queue, 1)
    assert slots.served == ["question"]


def test_late_requests_are_served_last_in_order_of_arrival() -> None:
    queue, slots = WaitQueue(), Slots()
    queue.add("lm", 0, 0.0, slots.attempt_for("first late"), lambda: True)
    queue.add("lm", 0, 1.0, slots.attempt_for("second late"), lambda: True)
    queue.add("lm", 0, 2.0, slots.attempt_for("in time"))
    assert not queue.must_wait("lm", 0, 1.5)
    assert queue.must_wait("lm", 0, 2.5)
    slots.free_slots(queue, 2)
    assert slots.served == ["in time", "first late"]
    slots.free_slots(queue, 1)
    assert slots.served == ["in time", "first late", "second late"]


def test_lateness_is_not_checked_after_the_last_allowed_failure_of_a_class() -> None:
    queue = WaitQueue()
    checked: list[int] = []

    def is_late(number: int) -> bool:
        checked.append(number)
        return False

    for number in range(30):
        queue.add("lm", 0, float(number), lambda: False, partial(is_late, number))
    queue.place_waiting()
    assert checked == [0, 1, 2, 3]


@given(st.lists(st.integers(0, 100), min_size=1, max_size=60))
def test_no_request_waits_longer_than_the_greatest_head_start(priorities: list[int]) -> None:
    """With one arrival and one free slot a second, only a head start makes a request wait."""
    queue, slots = WaitQueue(), Slots()
    arrived: dict[str, float] = {}
    queue.add("lm", 0, 0.0, slots.attempt_for("first"))
    arrived["first"] = 0.0
    for second, priority in enumerate(priorities, 1):
        name = str(second)
        arrived[name] = float(second)
        queue.add("lm", priority, float(second), slots.attempt_for(name))
        slots.free_slots(queue, 1)
        if "first" not in slots.served:
            assert second <= 100 * DEFAULT_HEAD_START_S + 1


def test_count_of_requests_queued_ahead() -> None:
    queue = WaitQueue()
    queue.add("a", 0, 1.0, lambda: False)
    queue.add("a", 0, 3.0, lambda: False)
    queue.add("a", 0, 2.0, lambda: False, lambda: True)
    # A request in time is queued behind earlier requests that can be in time too.
    assert queue.count_ahead(0, 2.5, is_late=False) == 1
    assert queue.count_ahead(0, 3.5, is_late=False) == 2
    assert queue.count_ahead(1, 3.05, is_late=False) == 1
    # A late request is queued behind all that can be in time and behind earlier late ones.
    assert queue.count_ahead(0, 0.5, is_late=True) == 2
    assert queue.count_ahead(0, 2.5, is_late=True) == 3
