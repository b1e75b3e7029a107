"""Tests of the choice of peers that connect to an endpoint on behalf of an instance."""

import random

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.tunnel_peers import TunnelPeer, TunnelPeerChoice, order_tunnel_peers

ENDPOINT = RoutedEndpoint("e", "127.0.0.1:1", "c", "s", Role.PLAIN, 6)
CHOICE = TunnelPeerChoice("a", ENDPOINT, {}, set(), set())
RNG = random.Random(1)


def make_peer(name: str, data_centre: str = "a", *lost_services: str) -> TunnelPeer:
    return TunnelPeer(name, "127.0.0.1:1", data_centre, frozenset(lost_services))


def order(peers: list[TunnelPeer], choice: TunnelPeerChoice = CHOICE) -> list[str]:
    return [peer.name for peer in order_tunnel_peers(peers, choice, RNG)]


def test_own_data_centre_comes_before_the_endpoints_and_others() -> None:
    assert order([make_peer("x", "b"), make_peer("y", "c"), make_peer("z")]) == ["z", "y", "x"]


def test_peer_with_a_path_comes_before_nearer_ones_without() -> None:
    peers = [make_peer("lost", "a", "s"), make_peer("told"), make_peer("far", "b")]
    assert order(peers, CHOICE._replace(without_path={"told"}))[0] == "far"
    assert order([make_peer("near"), make_peer("next"), make_peer("far", "b")])[1] == "far"
    assert order([make_peer("other", "a", "t"), make_peer("far", "b")])[0] == "other"


def test_unresponsive_peer_comes_after_far_ones_and_before_those_without_path() -> None:
    peers = [make_peer("lost", "a", "s"), make_peer("silent"), make_peer("far", "b")]
    assert order(peers, CHOICE._replace(unresponsive={"silent"})) == ["far", "silent", "lost"]


def test_tunnels_are_spread_over_equal_peers() -> None:
    peers = [make_peer(name) for name in "xyz"]
    assert order(peers, CHOICE._replace(open_tunnels={"x": 2, "y": 1, "z": 3})) == ["y", "x", "z"]
    assert len({order(peers)[0] for _ in range(50)}) == 3
