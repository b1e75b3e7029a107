"""Which instances reflect.

In a fleet of 90 each instance told each other one by itself, and most of what a process cost was
hearing 89 heartbeats a second. Two of each data centre pass on now what the others tell; these
tests say which two, and that a silent or mute one is left at once.
"""

from cleatlink.members.reflectors import Candidate, ReflectorChoice, rank


def candidates(silent_s: float = 0.5) -> list[Candidate]:
    return [
        Candidate(f"{place}{number}", place, 0.5 + number, silent_s)
        for place in ("a", "b")
        for number in range(4)
    ]


def test_largest_two_of_each_data_centre_reflect() -> None:
    choice = ReflectorChoice("a")
    assert choice.choose(candidates(), 0.0)
    assert choice.chosen == {"a": ["a3", "a2"], "b": ["b3", "b2"]}
    assert not choice.choose(candidates(), 0.5)


def test_alike_ones_are_ranked_alike_by_all() -> None:
    alike = [Candidate(f"n{number}", "a", 1.0, 0.0) for number in range(20)]
    names = [item.name for item in rank(alike)]
    assert names == [item.name for item in rank(reversed(alike))]
    assert names != sorted(names)


def test_one_that_takes_no_bundles_never_reflects() -> None:
    choice = ReflectorChoice("a")
    choice.choose([Candidate("old", "b", 0.0, 0.0)], 0.0)
    assert choice.chosen == {}


def test_silent_one_is_replaced_by_the_next() -> None:
    choice = ReflectorChoice("a")
    choice.choose(candidates(), 0.0)
    silent = [item._replace(silent_s=1.7) if item.name == "b3" else item for item in candidates()]
    assert choice.choose(silent, 1.7)
    assert choice.chosen["b"] == ["b2", "b1"]
    assert choice.choose(candidates(), 2.2)
    assert choice.chosen["b"] == ["b3", "b2"]


def test_all_silent_leaves_none() -> None:
    choice = ReflectorChoice("a")
    choice.choose(candidates(1.7), 0.0)
    assert choice.chosen == {}


def test_near_one_that_brings_nothing_back_is_left_for_a_while() -> None:
    """A link that is cut in one direction: it is heard, and hears nothing."""
    choice = ReflectorChoice("a")
    for step in range(5):
        now = step * 0.5
        choice.choose(candidates(), now)
        choice.note_echo("a2", now)
    assert choice.choose(candidates(), 2.5)
    assert choice.chosen["a"] == ["a2", "a1"]
    # Others' data centres bring nothing back here, and are not expected to.
    assert choice.chosen["b"] == ["b3", "b2"]
    choice.note_echo("a2", 17.0)
    choice.note_echo("a1", 17.0)
    choice.choose(candidates(), 17.6)
    assert choice.chosen["a"] == ["a3", "a2"]
