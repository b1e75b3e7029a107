"""Tests the estimated share of work that a number of servers serves in time."""

from cleatlink.routing.queueing_model import estimate_in_time_share


def test_almost_no_service_time_is_estimated_without_delay() -> None:
    """Prompts with almost no service time kept an instance in an endless loop.

    It was planning roles in a test whose clock advances only while tasks wait. The estimate looped
    over every position of the queue, and the queue is as long as the number of requests that are
    served in the time that a request may wait and still be in time.
    """
    assert estimate_in_time_share(10.0, 1e-15, 2, 1.0) == 1.0


def test_share_served_in_time_depends_on_the_load() -> None:
    assert 0.4 < estimate_in_time_share(20.0, 0.1, 1, 1.0) < 0.6
    assert estimate_in_time_share(20.0, 0.1, 4, 1.0) > 0.99
