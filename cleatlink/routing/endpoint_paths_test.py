"""Tests of the paths from an instance to endpoints."""

import math

import pytest

from cleatlink.routing.endpoint_paths import EndpointPaths


def lose(paths: EndpointPaths, name: str, now: float) -> None:
    paths.note_failed(name, now)
    assert paths.note_reached_by_peer(name, now + 0.01)


def test_failed_connection_alone_is_no_lost_path() -> None:
    paths = EndpointPaths()
    paths.note_failed("e", 1.0)
    paths.note_unreached_by_peer("e", 1.1)
    assert not paths.is_lost("e")
    assert paths.unreachable() == ["e"]


def test_peer_that_reaches_an_unreachable_endpoint_shows_a_lost_path() -> None:
    paths = EndpointPaths()
    lose(paths, "e", 1.0)
    assert paths.lost == ["e"]
    assert not paths.note_reached_by_peer("e", 1.02)
    assert paths.note_connected("e", 3.01) == pytest.approx(2.0)
    assert (paths.lost, paths.unreachable(), paths.lost_count) == ([], [], 0)


def test_old_failure_or_a_later_connection_shows_no_lost_path() -> None:
    paths = EndpointPaths()
    paths.note_failed("old", 1.0)
    assert not paths.note_reached_by_peer("old", 3.0)
    paths.note_failed("back", 1.0)
    assert paths.note_connected("back", 1.1) is None
    assert not paths.note_reached_by_peer("back", 1.2)


def test_tunnel_starts_at_once_on_a_lost_path_and_never_to_a_dead_endpoint() -> None:
    paths = EndpointPaths()
    usual_s = paths.tunnel_delay_s("other", 0.5)
    lose(paths, "e", 1.0)
    assert paths.tunnel_delay_s("e", 1.1) == 0.0
    assert 0.0 < paths.tunnel_delay_s("other", 1.1) < usual_s
    paths.note_connected("other", 1.2)
    assert paths.tunnel_delay_s("other", 1.3) == usual_s
    paths.note_unreached_by_peer("dead", 1.3)
    assert paths.tunnel_delay_s("dead", 1.4) == math.inf
    assert paths.tunnel_delay_s("dead", 3.0) < usual_s


def test_lost_paths_are_probed_in_turn_and_not_too_often() -> None:
    paths = EndpointPaths()
    for number, name in enumerate("abc"):
        lose(paths, name, 1.0 + 0.001 * number)
    assert paths.take_due_probes(1.05, 2) == []
    assert paths.take_due_probes(1.3, 2) == ["a", "b"]
    assert paths.take_due_probes(1.35, 2) == ["c"]
    assert paths.take_due_probes(1.4, 2) == []


def test_endpoint_that_was_connected_last_is_the_control_of_others() -> None:
    paths = EndpointPaths()
    assert paths.find_control("a") is None
    for number, name in enumerate("abc"):
        paths.note_connected(name, 1.0 + number)
    assert (paths.find_control("a"), paths.find_control("c")) == ("c", "b")
    lose(paths, "c", 5.0)
    assert paths.find_control("a") == "b"


def test_instance_without_paths_to_most_endpoints_is_cut_off() -> None:
    paths = EndpointPaths()
    assert not paths.is_cut_off_from(["a", "b", "c"])
    lose(paths, "a", 1.0)
    assert not paths.is_cut_off_from(["a", "b", "c"])
    lose(paths, "b", 1.0)
    assert paths.is_cut_off_from(["a", "b", "c"])
    paths.track(["a", "c"])
    assert paths.lost == ["a"]
    assert not paths.is_cut_off_from([])


def test_endpoints_that_no_request_tried_are_checked_once_several_paths_are_lost() -> None:
    paths = EndpointPaths()
    paths.track("abcd")
    paths.note_connected("d", 0.5)
    lose(paths, "a", 1.0)
    assert paths.take_due_checks(1.05, 9) == []
    lose(paths, "b", 1.1)
    assert paths.take_due_checks(1.15, 9) == ["c", "d"]
    assert paths.take_due_checks(1.2, 9) == []


def test_failed_connection_is_checked_once_unless_peers_were_asked() -> None:
    paths = EndpointPaths()
    paths.note_failed("e", 1.0)
    assert paths.take_due_checks(1.05, 9) == ["e"]
    paths.note_failed("e", 1.1)
    paths.note_checked("e", 1.1)
    assert paths.take_due_checks(1.15, 9) == []
    paths.note_failed("e", 2.0)
    paths.note_unreached_by_peer("e", 2.1)
    assert paths.take_due_checks(2.15, 9) == []
