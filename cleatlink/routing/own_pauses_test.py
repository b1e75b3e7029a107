"""Pauses of an instance, as looks that come late show them."""

from cleatlink.routing.own_pauses import OwnPauses


def test_look_in_time_shows_no_pause() -> None:
    pauses = OwnPauses()
    assert not pauses.any_since(0.0, 10.0)
    pauses.expect_look(1.0)
    assert pauses.look(1.05) == 0.0
    assert not pauses.any_since(0.0, 1.05)


def test_what_was_measured_across_a_pause_does_not_count() -> None:
    pauses = OwnPauses()
    pauses.expect_look(1.0)
    assert pauses.look(1.5) == 0.5
    pauses.expect_look(1.7)
    assert pauses.any_since(0.9, 1.6)
    assert not pauses.any_since(1.6, 1.65)


def test_pause_is_known_before_the_look_that_it_delays() -> None:
    """Tasks run in any order after a pause: an answer may be read before the look comes."""
    pauses = OwnPauses()
    pauses.expect_look(1.0)
    assert pauses.any_since(1.3, 1.4)
