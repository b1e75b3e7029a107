"""Membership without I/O: state of the other instances, ownership of keys, leader election."""

from cleatlink.members.view import Heartbeat, Members, Peer, PeerState, State

__all__ = ["Heartbeat", "Members", "Peer", "PeerState", "State"]
