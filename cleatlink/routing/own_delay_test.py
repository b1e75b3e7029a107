"""Tests the estimate of the delay on this instance's side."""

from cleatlink.routing.own_delay import OwnDelay


def open_connections(delay: OwnDelay, took_s: float, now: float, *endpoints: str) -> None:
    for endpoint in endpoints:
        delay.note_connection(endpoint, took_s, now)


def test_connections_that_take_longer_than_before_show_a_delay() -> None:
    delay = OwnDelay()
    open_connections(delay, 0.002, 0.0, "a", "b", "c")
    assert delay.seconds(0.1) == 0.0
    open_connections(delay, 0.102, 2.0, "a", "b", "c")
    assert abs(delay.seconds(2.1) - 0.1) < 1e-9


def test_slow_connections_to_one_endpoint_show_no_delay() -> None:
    delay = OwnDelay()
    open_connections(delay, 0.002, 0.0, "a", "b")
    open_connections(delay, 0.5, 2.0, "a", "a", "a")
    assert delay.seconds(2.1) == 0.0


def test_distant_endpoints_show_no_delay() -> None:
    delay = OwnDelay()
    for now in (0.0, 0.5):
        open_connections(delay, 0.002, now, "near", "near2")
        open_connections(delay, 0.03, now, "far", "far2")
    assert delay.seconds(0.6) == 0.0


def test_delay_ends_with_its_window() -> None:
    delay = OwnDelay()
    open_connections(delay, 0.002, 0.0, "a", "b", "c")
    open_connections(delay, 0.102, 1.5, "a", "b", "c")
    assert delay.seconds(1.6) > 0
    assert delay.seconds(2.6) == 0.0


def test_usual_variation_of_connections_is_no_delay() -> None:
    """Durations of a few milliseconds were measured too short, and roles were changed later."""
    delay = OwnDelay()
    open_connections(delay, 0.001, 0.0, "a", "b", "c")
    open_connections(delay, 0.004, 1.0, "a", "b", "c")
    assert delay.seconds(1.1) == 0.0


def test_connections_are_wanted_only_while_the_estimate_matters() -> None:
    """Connections were opened on calm days, although idle ones could be used."""
    delay = OwnDelay()
    assert not delay.needs_connection(0.0)
    delay.note_doubt(0.0)
    assert delay.needs_connection(0.1)
    open_connections(delay, 0.002, 0.2, "a", "b", "c")
    assert not delay.needs_connection(0.3)
    assert not delay.needs_connection(2.0)


def test_endpoints_that_are_gone_are_forgotten() -> None:
    delay = OwnDelay()
    open_connections(delay, 0.002, 0.0, "a", "b", "c")
    delay.remove_stale({"b"})
    open_connections(delay, 0.102, 2.0, "a", "b", "c")
    # Only the connection to b is known to have taken longer than before.
    assert delay.seconds(2.1) == 0.0
