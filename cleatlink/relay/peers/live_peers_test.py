"""Tests of the number of instances that an instance assumes."""

from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import HeartbeatMessage

DATA_CENTRES = ("a", "b", "c")


def hear(peers: LivePeers, name: str, data_centre: str) -> None:
    address = f"10.0.0.{len(peers) + 1}:1"
    beat = HeartbeatMessage(name, 1, data_centre, address, False, 0, 0, [], 0, {}, "", 1)
    peers.record_heartbeat(beat, 0.0)


def test_disconnected_data_centre_takes_the_whole_retry_allowance() -> None:
    peers = LivePeers("n1", (), 0.0)
    hear(peers, "n2", "a")
    hear(peers, "n3", "a")
    assert peers.expected_instances("a", DATA_CENTRES) == 9
    hear(peers, "n4", "b")
    assert peers.expected_instances("a", DATA_CENTRES) == 7
    hear(peers, "n5", "c")
    assert peers.expected_instances("a", DATA_CENTRES) == 5


def test_peers_that_fell_silent_still_count() -> None:
    peers = LivePeers("n1", (), 0.0)
    hear(peers, "n2", "a")
    hear(peers, "n3", "b")
    peers.remove_expired(100.0)
    assert peers.expected_instances("a", ()) == 3
