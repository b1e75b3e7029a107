"""Membership without I/O: state of the other instances, ownership of keys, leader election."""

from cleatlink.members.membership import Heartbeat, MembershipView, Peer, PeerState, ReportedState

__all__ = ["Heartbeat", "MembershipView", "Peer", "PeerState", "ReportedState"]
