"""Pauses of a process, detected by a periodic check that runs late."""

from cleatlink.routing.process_pauses import ProcessPauses


def test_check_on_time_shows_no_pause() -> None:
    pauses = ProcessPauses()
    assert not pauses.has_paused_since(0.0, 10.0)
    pauses.schedule_check(1.0)
    assert pauses.check(1.05) == 0.0
    assert not pauses.has_paused_since(0.0, 1.05)


def test_pause_is_reported_for_times_that_began_before_its_end() -> None:
    pauses = ProcessPauses()
    pauses.schedule_check(1.0)
    assert pauses.check(1.5) == 0.5
    pauses.schedule_check(1.7)
    assert pauses.has_paused_since(0.9, 1.6)
    assert not pauses.has_paused_since(1.6, 1.65)


def test_pause_is_detected_before_the_delayed_check_runs() -> None:
    """Tasks run in any order after a pause: a response may be read before the check runs."""
    pauses = ProcessPauses()
    pauses.schedule_check(1.0)
    assert pauses.has_paused_since(1.3, 1.4)
