"""Tests of membership: states of peers, owners of keys and confirmation of ownership."""

import math

from cleatlink.core.data import Instance
from cleatlink.members import Heartbeat, MembershipView, PeerState, ReportedState
from cleatlink.members.membership import DEAD_AFTER_S, OWNERSHIP_SETTLE_S, SUSPECT_AFTER_S

NAMES = ("e1", "e2", "e3", "f1")


def data_centre_of(name: str) -> str:
    return "a" if name.startswith("e") else "b"


def make_members(name: str, now: float = 0.0) -> MembershipView:
    members = MembershipView(name, data_centre_of(name), now)
    members.set_instances(tuple(Instance(n, n, data_centre_of(n)) for n in NAMES), now)
    return members


def make_heartbeat(name: str, members_hash: int, incarnation: int = 1) -> Heartbeat:
    return Heartbeat(
        name, incarnation, data_centre_of(name), name, ReportedState.READY, 1, (), members_hash
    )


def receive_heartbeats(members: MembershipView, now: float, *silent: str) -> None:
    for name in NAMES:
        if name not in (members.name, *silent):
            members.receive_heartbeat(make_heartbeat(name, members.members_hash(now)), now)


def state_of(members: MembershipView, name: str, now: float) -> PeerState:
    return next(peer.state for peer in members.peers(now) if peer.name == name)


def test_silent_peer_becomes_suspect_and_is_reported_dead_once() -> None:
    members = make_members("e1")
    receive_heartbeats(members, 0.0)
    assert state_of(members, "e2", SUSPECT_AFTER_S) is PeerState.ALIVE
    assert state_of(members, "e2", SUSPECT_AFTER_S + 0.1) is PeerState.SUSPECT
    assert members.remove_dead(DEAD_AFTER_S) == []
    assert ("e2", 1) in members.remove_dead(DEAD_AFTER_S + 0.1)
    assert members.remove_dead(DEAD_AFTER_S + 0.1) == []
    assert state_of(members, "e2", DEAD_AFTER_S + 0.2) is PeerState.NO_HEARTBEAT


def test_heartbeats_of_earlier_incarnations_and_of_itself_are_ignored() -> None:
    members = make_members("e1")
    assert members.receive_heartbeat(make_heartbeat("e2", 0, incarnation=2), 0.0)
    assert not members.receive_heartbeat(make_heartbeat("e2", 0, incarnation=1), 1.0)
    assert not members.receive_heartbeat(make_heartbeat("e1", 0), 1.0)


def test_pause_of_this_instance_restarts_silence_and_ownership_timers() -> None:
    members = make_members("e1")
    receive_heartbeats(members, 0.0)
    members.restart_silence_timers(100.0)
    assert members.remove_dead(100.0) == []
    assert members.owner_since(100.0) == math.inf


def test_all_instances_determine_the_same_owner() -> None:
    views = [make_members(name) for name in NAMES]
    for members in views:
        receive_heartbeats(members, 0.0)
    for number in range(50):
        owners = {members.owner(f"k{number}", "a", 1.0) for members in views}
        assert len({owner.name for owner in owners if owner}) == 1


def test_silent_owner_that_is_still_listed_is_not_replaced() -> None:
    members = make_members("e1")
    receive_heartbeats(members, 0.0, "e2")
    owners = {members.owner(f"k{number}", "a", 1.0) for number in range(50)}
    assert None in owners
    assert "e2" not in {owner.name for owner in owners if owner}


def test_ownership_is_confirmed_only_if_membership_is_unchanged_and_equal_at_peers() -> None:
    members = make_members("e1")
    receive_heartbeats(members, 0.0)
    assert members.owner_since(OWNERSHIP_SETTLE_S - 0.1) == math.inf
    receive_heartbeats(members, OWNERSHIP_SETTLE_S)
    assert members.owner_since(OWNERSHIP_SETTLE_S) == OWNERSHIP_SETTLE_S
    members.receive_heartbeat(make_heartbeat("e2", 12345), OWNERSHIP_SETTLE_S)
    assert members.owner_since(OWNERSHIP_SETTLE_S) == math.inf


def test_other_data_centres_do_not_affect_ownership() -> None:
    members = make_members("e1")
    receive_heartbeats(members, 0.0)
    receive_heartbeats(members, OWNERSHIP_SETTLE_S)
    members.receive_heartbeat(make_heartbeat("f1", 999), OWNERSHIP_SETTLE_S)
    assert members.owner_since(OWNERSHIP_SETTLE_S) == OWNERSHIP_SETTLE_S


def test_notes_go_to_two_peers_that_are_not_leaving_preferring_this_data_centre() -> None:
    members = make_members("e1")
    receive_heartbeats(members, 0.0)
    assert {peer.name for peer in members.choose_note_keepers("r", 1.0)} == {"e2", "e3"}
    leaving = make_heartbeat("e2", 0)._replace(state=ReportedState.LEAVING)
    members.receive_heartbeat(leaving, 1.0)
    assert {peer.name for peer in members.choose_note_keepers("r", 1.0)} == {"e3", "f1"}
