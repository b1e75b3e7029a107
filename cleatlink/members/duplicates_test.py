"""What two reflectors both pass on counts once, in whatever order it comes.

Urgent messages overtake heartbeats, and one reflector the other: the highest number heard does
not tell what was heard.
"""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.members.duplicates import Duplicates


@given(st.permutations(list(range(1, 60)) * 2))
def test_each_message_counts_once_in_any_order(order: list[int]) -> None:
    seen = Duplicates()
    assert sorted(number for number in order if seen.is_new("n", 1, number)) == list(range(1, 60))


def test_later_start_counts_anew_and_an_earlier_one_no_more() -> None:
    seen = Duplicates()
    assert seen.is_new("n", 1, 500)
    assert seen.is_new("n", 2, 1)
    assert not seen.is_new("n", 1, 501)
    assert not seen.is_new("n", 2, 1)


def test_what_is_far_behind_counts_as_heard() -> None:
    seen = Duplicates()
    assert seen.is_new("n", 1, 1_000)
    assert not seen.is_new("n", 1, 1)
    assert seen.is_new("n", 1, 999)


def test_those_that_are_gone_are_forgotten() -> None:
    seen = Duplicates()
    for name in ("n1", "n2"):
        seen.is_new(name, 1, 1)
    seen.keep({"n2"})
    assert len(seen) == 1
