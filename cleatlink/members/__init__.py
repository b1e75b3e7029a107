"""Membership: who the other instances are and what each owns; no I/O."""

from cleatlink.members.view import Heartbeat, Members, Peer, PeerState, State

__all__ = ["Heartbeat", "Members", "Peer", "PeerState", "State"]
