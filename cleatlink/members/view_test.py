"""Membership: who is dead, who owns what, and when nobody may be sure of it."""

import math

from cleatlink.core.data import Instance
from cleatlink.members import Heartbeat, Members, PeerState, State
from cleatlink.members.view import DEAD_S, SETTLE_S, SUSPECT_S

NAMES = ("e1", "e2", "e3", "f1")


def place_of(name: str) -> str:
    return "a" if name.startswith("e") else "b"


def make(name: str, now: float = 0.0) -> Members:
    members = Members(name, place_of(name), now)
    members.set_instances(tuple(Instance(n, n, place_of(n)) for n in NAMES), now)
    return members


def beat(name: str, members_hash: int, incarnation: int = 1) -> Heartbeat:
    return Heartbeat(name, incarnation, place_of(name), name, State.READY, 1, (), members_hash)


def hear_all(members: Members, now: float, *silent: str) -> None:
    for name in NAMES:
        if name not in (members.name, *silent):
            members.hear(beat(name, members.members_hash(now)), now)


def state_of(members: Members, name: str, now: float) -> PeerState:
    return next(peer.state for peer in members.peers(now) if peer.name == name)


def test_silence_makes_suspect_then_dead_once() -> None:
    members = make("e1")
    hear_all(members, 0.0)
    assert state_of(members, "e2", SUSPECT_S) is PeerState.ALIVE
    assert state_of(members, "e2", SUSPECT_S + 0.1) is PeerState.SUSPECT
    assert members.take_dead(DEAD_S) == []
    assert ("e2", 1) in members.take_dead(DEAD_S + 0.1)
    assert members.take_dead(DEAD_S + 0.1) == []
    assert state_of(members, "e2", DEAD_S + 0.2) is PeerState.UNHEARD


def test_earlier_incarnation_is_not_heard() -> None:
    members = make("e1")
    assert members.hear(beat("e2", 0, incarnation=2), 0.0)
    assert not members.hear(beat("e2", 0, incarnation=1), 1.0)
    assert not members.hear(beat("e1", 0), 1.0)


def test_own_pause_makes_no_deaths_and_unsures_ownership() -> None:
    members = make("e1")
    hear_all(members, 0.0)
    members.forgive_silence(100.0)
    assert members.take_dead(100.0) == []
    assert members.owner_since(100.0) == math.inf


def test_all_agree_on_the_owner() -> None:
    everyone = [make(name) for name in NAMES]
    for members in everyone:
        hear_all(members, 0.0)
    for number in range(50):
        owners = {members.owner(f"k{number}", "a", 1.0) for members in everyone}
        assert len({owner.name for owner in owners if owner}) == 1


def test_silent_but_listed_owner_is_replaced_by_nobody() -> None:
    members = make("e1")
    hear_all(members, 0.0, "e2")
    owners = {members.owner(f"k{number}", "a", 1.0) for number in range(50)}
    assert None in owners
    assert "e2" not in {owner.name for owner in owners if owner}


def test_ownership_is_sure_only_when_settled_and_agreed() -> None:
    members = make("e1")
    hear_all(members, 0.0)
    assert members.owner_since(SETTLE_S - 0.1) == math.inf
    hear_all(members, SETTLE_S)
    assert members.owner_since(SETTLE_S) == SETTLE_S
    members.hear(beat("e2", 12345), SETTLE_S)
    assert members.owner_since(SETTLE_S) == math.inf


def test_other_data_centres_do_not_unsettle() -> None:
    members = make("e1")
    hear_all(members, 0.0)
    hear_all(members, SETTLE_S)
    members.hear(beat("f1", 999), SETTLE_S)
    assert members.owner_since(SETTLE_S) == SETTLE_S


def test_notes_go_to_two_near_peers_that_stay() -> None:
    members = make("e1")
    hear_all(members, 0.0)
    assert {peer.name for peer in members.note_keepers("r", 1.0)} == {"e2", "e3"}
    leaving = beat("e2", 0)._replace(state=State.LEAVING)
    members.hear(leaving, 1.0)
    assert {peer.name for peer in members.note_keepers("r", 1.0)} == {"e3", "f1"}
