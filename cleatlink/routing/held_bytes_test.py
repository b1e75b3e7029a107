"""What an instance holds for slow readers and slow senders."""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.routing.held_bytes import HeldBytes, HeldKind

LIMIT = 1_000_000
COUNTS = st.lists(st.integers(1, LIMIT // 3), max_size=60)


@given(COUNTS)
def test_bodies_stay_below_their_share(counts: list[int]) -> None:
    held = HeldBytes(LIMIT)
    for count in counts:
        if held.admits_body(count):
            held.add(HeldKind.REQUEST_BODIES, count)
    assert held.held(HeldKind.REQUEST_BODIES) <= LIMIT // 2


@given(COUNTS, COUNTS)
def test_unread_answers_and_bodies_stay_below_the_limit(
    bodies: list[int], answers: list[int]
) -> None:
    held = HeldBytes(LIMIT)
    for body in bodies:
        if held.admits_body(body):
            held.add(HeldKind.REQUEST_BODIES, body)
    for answer in answers:
        if held.admits_unread(0, answer):
            held.add(HeldKind.UNREAD_ANSWERS, answer)
    assert held.total <= LIMIT


def test_no_caller_takes_what_others_need() -> None:
    held = HeldBytes(LIMIT)
    own = 0
    while held.admits_unread(own, 1_000):
        own += 1_000
        held.add(HeldKind.UNREAD_ANSWERS, 1_000)
    assert 0 < own <= LIMIT // 8
    assert held.admits_unread(0, 1_000)


@given(COUNTS)
def test_what_is_given_back_is_free_again(counts: list[int]) -> None:
    held = HeldBytes(LIMIT)
    for count in counts:
        held.add(HeldKind.UNREAD_ANSWERS, count)
    for count in counts:
        held.remove(HeldKind.UNREAD_ANSWERS, count)
    assert held.total == 0
