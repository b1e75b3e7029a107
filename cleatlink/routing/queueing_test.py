"""The share of work that is served in time by a number of servers."""

from cleatlink.routing.queueing import in_time_share


def test_service_that_takes_next_to_nothing_is_counted_at_once() -> None:
    """Prompts that take next to nothing kept an instance busy without an end.

    It planned roles in a test whose time passes only while it waits. Waiting places were counted
    one by one: as many as are served in the time for which a wait is no loss.
    """
    assert in_time_share(10.0, 1e-15, 2, 1.0) == 1.0


def test_service_that_takes_long_is_served_in_part() -> None:
    assert 0.4 < in_time_share(20.0, 0.1, 1, 1.0) < 0.6
    assert in_time_share(20.0, 0.1, 4, 1.0) > 0.99
