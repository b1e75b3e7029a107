"""Tests that a message forwarded by two reflectors is processed once, in any order of arrival.

Urgent messages can arrive before earlier heartbeats, and one reflector can be faster than the
other, so the highest number received does not show which messages were received.
"""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.members.duplicates import DuplicateFilter


@given(st.permutations(list(range(1, 60)) * 2))
def test_each_message_is_new_once_in_any_order(order: list[int]) -> None:
    duplicates = DuplicateFilter()
    assert sorted(number for number in order if duplicates.record_if_new("n", 1, number)) == list(
        range(1, 60)
    )


def test_new_incarnation_resets_the_numbers_and_earlier_ones_are_ignored() -> None:
    duplicates = DuplicateFilter()
    assert duplicates.record_if_new("n", 1, 500)
    assert duplicates.record_if_new("n", 2, 1)
    assert not duplicates.record_if_new("n", 1, 501)
    assert not duplicates.record_if_new("n", 2, 1)


def test_number_below_the_window_counts_as_received() -> None:
    duplicates = DuplicateFilter()
    assert duplicates.record_if_new("n", 1, 1_000)
    assert not duplicates.record_if_new("n", 1, 1)
    assert duplicates.record_if_new("n", 1, 999)


def test_senders_that_are_not_kept_are_removed() -> None:
    duplicates = DuplicateFilter()
    for name in ("n1", "n2"):
        duplicates.record_if_new(name, 1, 1)
    duplicates.retain_senders({"n2"})
    assert len(duplicates) == 1
