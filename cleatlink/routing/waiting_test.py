"""The waiting room: priority goes first, and nobody starves."""

from collections.abc import Callable
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.routing.waiting import PRIORITY_S, WaitingRoom


class Places:
    """Places that open now and then; those who get one are noted."""

    def __init__(self) -> None:
        self.free = 0
        self.served: list[str] = []

    def waiting(self, name: str) -> Callable[[], bool]:
        def attempt() -> bool:
            if not self.free:
                return False
            self.free -= 1
            self.served.append(name)
            return True

        return attempt

    def open(self, room: WaitingRoom, count: int) -> None:
        self.free = count
        room.offer()


def test_priority_overtakes_but_not_what_has_waited_long() -> None:
    room, places = WaitingRoom(), Places()
    room.add("lm", 10, 0.0, places.waiting("old tagging"))
    room.add("lm", 10, 19.0, places.waiting("new tagging"))
    room.add("lm", 100, 20.0, places.waiting("translation"))
    places.open(room, 1)
    places.open(room, 2)
    assert places.served == ["old tagging", "translation", "new tagging"]
    assert len(room) == 0


def test_newcomer_stands_behind_whom_it_does_not_overtake() -> None:
    room = WaitingRoom()
    ticket = room.add("lm", 50, 10.0, lambda: False)
    assert room.must_wait("lm", 50, 10.0)
    assert room.must_wait("lm", 10, 11.0)
    assert not room.must_wait("lm", 100, 10.0)
    assert not room.must_wait("other", 10, 11.0)
    room.remove(ticket)
    room.remove(ticket)
    assert not room.must_wait("lm", 10, 11.0)


def test_one_full_class_does_not_hold_up_another() -> None:
    room, places = WaitingRoom(), Places()
    for number in range(10):
        room.add("full", 100, float(number), lambda: False)
    room.add("free", 0, 50.0, places.waiting("free"))
    places.open(room, 1)
    assert places.served == ["free"]
    assert len(room) == 10


def test_class_that_lacks_something_else_does_not_stand_in_the_way() -> None:
    """Long ones wait for a free prefill; short ones of the same service need none."""
    room, places = WaitingRoom(), Places()
    for number in range(6):
        room.add("verdict", 60, float(number), lambda: False)
    assert not room.must_wait("question", 80, 100.0)
    room.add("question", 80, 100.0, places.waiting("question"))
    places.open(room, 1)
    assert places.served == ["question"]


def test_those_that_will_be_late_go_last_in_their_order() -> None:
    room, places = WaitingRoom(), Places()
    room.add("lm", 0, 0.0, places.waiting("first late"), lambda: True)
    room.add("lm", 0, 1.0, places.waiting("second late"), lambda: True)
    room.add("lm", 0, 2.0, places.waiting("in time"))
    assert not room.must_wait("lm", 0, 1.5)
    assert room.must_wait("lm", 0, 2.5)
    places.open(room, 2)
    assert places.served == ["in time", "first late"]
    places.open(room, 1)
    assert places.served == ["in time", "first late", "second late"]


def test_nobody_is_judged_once_enough_of_a_class_have_tried_in_vain() -> None:
    room = WaitingRoom()
    judged: list[int] = []

    def is_late(number: int) -> bool:
        judged.append(number)
        return False

    for number in range(30):
        room.add("lm", 0, float(number), lambda: False, partial(is_late, number))
    room.offer()
    assert judged == [0, 1, 2, 3]


@given(st.lists(st.integers(0, 100), min_size=1, max_size=60))
def test_nobody_waits_longer_than_the_greatest_head_start(priorities: list[int]) -> None:
    """One arrival and one place a second: all wait at most for those with a head start."""
    room, places = WaitingRoom(), Places()
    arrived: dict[str, float] = {}
    room.add("lm", 0, 0.0, places.waiting("first"))
    arrived["first"] = 0.0
    for second, priority in enumerate(priorities, 1):
        name = str(second)
        arrived[name] = float(second)
        room.add("lm", priority, float(second), places.waiting(name))
        places.open(room, 1)
        if "first" not in places.served:
            assert second <= 100 * PRIORITY_S + 1


def test_who_goes_before_a_request() -> None:
    room = WaitingRoom()
    room.add("a", 0, 1.0, lambda: False)
    room.add("a", 0, 3.0, lambda: False)
    room.add("a", 0, 2.0, lambda: False, lambda: True)
    # In time: behind what came before it and can be in time too.
    assert room.count_ahead(0, 2.5, is_late=False) == 1
    assert room.count_ahead(0, 3.5, is_late=False) == 2
    assert room.count_ahead(1, 3.05, is_late=False) == 1
    # Late: behind all that can be in time, and what is late and asked before.
    assert room.count_ahead(0, 0.5, is_late=True) == 2
    assert room.count_ahead(0, 2.5, is_late=True) == 3
