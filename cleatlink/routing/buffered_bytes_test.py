"""Tests the limits of the bytes that are buffered for slow senders and slow readers."""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind

LIMIT = 1_000_000
COUNTS = st.lists(st.integers(1, LIMIT // 3), max_size=60)


@given(COUNTS)
def test_bodies_stay_below_their_share(counts: list[int]) -> None:
    buffered_bytes = BufferedBytes(LIMIT)
    for count in counts:
        if buffered_bytes.may_buffer_body(count):
            buffered_bytes.add(BufferKind.REQUEST_BODIES, count)
    assert buffered_bytes.buffered(BufferKind.REQUEST_BODIES) <= LIMIT // 2


@given(COUNTS, COUNTS)
def test_unread_answers_and_bodies_stay_below_the_limit(
    bodies: list[int], answers: list[int]
) -> None:
    buffered_bytes = BufferedBytes(LIMIT)
    for body in bodies:
        if buffered_bytes.may_buffer_body(body):
            buffered_bytes.add(BufferKind.REQUEST_BODIES, body)
    for answer in answers:
        if buffered_bytes.may_buffer_answer(0, answer):
            buffered_bytes.add(BufferKind.UNREAD_ANSWERS, answer)
    assert buffered_bytes.total <= LIMIT


def test_one_slow_reader_leaves_memory_for_others() -> None:
    buffered_bytes = BufferedBytes(LIMIT)
    buffered = 0
    while buffered_bytes.may_buffer_answer(buffered, 1_000):
        buffered += 1_000
        buffered_bytes.add(BufferKind.UNREAD_ANSWERS, 1_000)
    assert 0 < buffered <= LIMIT // 8
    assert buffered_bytes.may_buffer_answer(0, 1_000)


@given(COUNTS)
def test_removed_bytes_are_no_longer_counted(counts: list[int]) -> None:
    buffered_bytes = BufferedBytes(LIMIT)
    for count in counts:
        buffered_bytes.add(BufferKind.UNREAD_ANSWERS, count)
    for count in counts:
        buffered_bytes.remove(BufferKind.UNREAD_ANSWERS, count)
    assert buffered_bytes.total == 0
