"""Tests of the builds that an instance has seen."""

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.build_history import BuildHistory


def endpoint(build: str, service: str = "s") -> RoutedEndpoint:
    return RoutedEndpoint("e", "127.0.0.1:1", "a", service, Role.DECODE, 4, build=build)


def test_only_build_is_certain_after_it_was_seen_alone_for_the_time() -> None:
    history = BuildHistory()
    history.note_present([endpoint("v1")], 100.0)
    assert not history.covers(10.0, 105.0)
    history.note_present([endpoint("v1")], 110.0)
    assert history.covers(10.0, 110.0)
    assert history.builds_within("s", 10.0, 110.0) == {"v1"}
    assert history.builds_within("other", 10.0, 110.0) == set()


def test_build_that_left_within_the_time_still_counts() -> None:
    history = BuildHistory()
    history.note_present([endpoint("v1"), endpoint("v2")], 100.0)
    history.note_present([endpoint("v2")], 109.0)
    assert history.covers(9.0, 109.0)
    assert history.builds_within("s", 9.0, 109.0) == {"v1", "v2"}
    history.note_present([endpoint("v2")], 111.0)
    assert history.builds_within("s", 9.0, 111.0) == {"v2"}
    assert history.absent_s("s", "v1", 111.0) == 11.0
    assert history.absent_s("s", "v3", 111.0) == float("inf")
