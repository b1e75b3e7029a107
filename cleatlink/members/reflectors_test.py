"""Tests of the choice of reflectors.

In a fleet of 90 without reflectors, every instance sent its messages to every other one, and most
of the cost of a process was receiving 89 heartbeats a second. With reflectors, two instances of
each data centre forward the messages of the others. The tests check which two are chosen and that
a reflector that is silent or returns no messages is replaced at once.
"""

from cleatlink.members.reflectors import ReflectorCandidate, ReflectorSelector, rank_candidates


def make_candidates(silent_s: float = 0.5) -> list[ReflectorCandidate]:
    return [
        ReflectorCandidate(f"{data_centre}{number}", data_centre, 0.5 + number, silent_s)
        for data_centre in ("a", "b")
        for number in range(4)
    ]


def test_two_largest_instances_of_each_data_centre_are_chosen() -> None:
    selector = ReflectorSelector("a")
    assert selector.choose(make_candidates(), 0.0)
    assert selector.chosen == {"a": ["a3", "a2"], "b": ["b3", "b2"]}
    assert not selector.choose(make_candidates(), 0.5)


def test_rank_of_equal_candidates_does_not_depend_on_their_order() -> None:
    equal_candidates = [ReflectorCandidate(f"n{number}", "a", 1.0, 0.0) for number in range(20)]
    names = [candidate.name for candidate in rank_candidates(equal_candidates)]
    assert names == [candidate.name for candidate in rank_candidates(reversed(equal_candidates))]
    assert names != sorted(names)


def test_instance_that_does_not_accept_bundles_is_not_chosen() -> None:
    selector = ReflectorSelector("a")
    selector.choose([ReflectorCandidate("old", "b", 0.0, 0.0)], 0.0)
    assert selector.chosen == {}


def test_silent_reflector_is_replaced_by_the_next_candidate() -> None:
    selector = ReflectorSelector("a")
    selector.choose(make_candidates(), 0.0)
    silent = [
        candidate._replace(silent_s=1.7) if candidate.name == "b3" else candidate
        for candidate in make_candidates()
    ]
    assert selector.choose(silent, 1.7)
    assert selector.chosen["b"] == ["b2", "b1"]
    assert selector.choose(make_candidates(), 2.2)
    assert selector.chosen["b"] == ["b3", "b2"]


def test_no_reflector_is_chosen_if_all_candidates_are_silent() -> None:
    selector = ReflectorSelector("a")
    selector.choose(make_candidates(1.7), 0.0)
    assert selector.chosen == {}


def test_local_reflector_that_returns_nothing_is_avoided_for_a_limited_time() -> None:
    """A link that is cut in one direction: the reflector sends messages but receives none."""
    selector = ReflectorSelector("a")
    for step in range(5):
        now = step * 0.5
        selector.choose(make_candidates(), now)
        selector.record_echo("a2", now)
    assert selector.choose(make_candidates(), 2.5)
    assert selector.chosen["a"] == ["a2", "a1"]
    # Reflectors of other data centres are not expected to return messages.
    assert selector.chosen["b"] == ["b3", "b2"]
    selector.record_echo("a2", 17.0)
    selector.record_echo("a1", 17.0)
    selector.choose(make_candidates(), 17.6)
    assert selector.chosen["a"] == ["a3", "a2"]
