"""Tests which share of new connections a late instance serves."""

import itertools

from cleatlink.routing.intake_control import IntakeControl

_STEP_S = 0.11


def update(control: IntakeControl, delay_s: float, since: float, duration_s: float) -> float:
    """Report a constant delay for a while; return the time at its end."""
    now = since
    for _ in range(round(duration_s / _STEP_S)):
        now += _STEP_S
        control.update(delay_s, now)
    return now


def test_instance_that_stays_late_serves_fewer_connections_but_never_none() -> None:
    control = IntakeControl(0.0)
    now = update(control, 0.1, 0.0, 1.0)
    assert control.share < 0.5
    now = update(control, 0.1, now, 60.0)
    assert control.share == 0.05
    assert control.admits(now, 0.04)
    assert not control.admits(now, 0.06)


def test_few_callers_of_a_late_instance_are_not_all_turned_away() -> None:
    """The balancer takes an instance for dead that serves no connection for some seconds."""
    control = IntakeControl(0.0)
    began_at = update(control, 0.1, 0.0, 60.0)
    times = [began_at + 0.1 * number for number in range(40)]
    served = [now for now in times if control.admits(now, 0.99)]
    assert all(later - earlier < 0.5 for earlier, later in itertools.pairwise(served))
    assert len(served) >= 10


def test_short_delay_closes_no_connections() -> None:
    """A pause, or callers that all come back after a restart, must not cost them connections."""
    control = IntakeControl(0.0)
    now = update(control, 0.5, 0.0, 0.22)
    update(control, 0.0, now, 0.11)
    assert not control.is_limiting


def test_all_connections_are_served_again_after_the_delay() -> None:
    control = IntakeControl(0.0)
    now = update(control, 0.1, 0.0, 5.0)
    now = update(control, 0.0, now, 2.5)
    assert not control.is_limiting
    assert control.admits(now, 0.999)


def test_measurements_in_quick_succession_count_once() -> None:
    control = IntakeControl(0.0)
    now = update(control, 0.1, 0.0, 0.5)
    share = control.share
    for _ in range(100):
        control.update(0.1, now)
    assert control.share == share
