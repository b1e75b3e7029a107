"""Who the other instances are: heard, suspect, dead, leaving.

Two sources are joined. The platform's list says who should be there but lags;
heartbeats say who is. A peer is dead only when it has been silent for long;
one that is listed but silent may just be cut off, which matters to ownership.
"""

import math
from enum import StrEnum
from typing import NamedTuple

import xxhash

from cleatlink.core.data import Instance
from cleatlink.routing.prefix import rank_names

__all__ = ["Heartbeat", "Members", "Peer", "PeerState", "State"]

# Heartbeats are so far apart; after two that were lost a peer is in doubt, and it is taken for
# dead once others had time to say otherwise.
HEARTBEAT_S = 1.0
SUSPECT_S = 2.5
DEAD_S = 4.5
# Ownership is sure once the view has not changed for this long.
SETTLE_S = 5.0


class State(StrEnum):
    """What an instance says of itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class PeerState(StrEnum):
    """What is believed of a peer."""

    UNHEARD = "unheard"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Heartbeat(NamedTuple):
    """One instance's word to another.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        data_centre: Sender's data centre.
        peer_address: Where the sender hears peers.
        state: What the sender is doing.
        revision: Configuration revision in force at the sender.
        leaving: Endpoints that the sender knows to be leaving.
        members: Hash of the sender's membership in its data centre.
    """

    name: str
    incarnation: int
    data_centre: str
    peer_address: str
    state: State
    revision: int
    leaving: tuple[str, ...]
    members: int


class Peer(NamedTuple):
    """One peer as believed now."""

    name: str
    address: str
    data_centre: str
    state: PeerState
    heartbeat: Heartbeat | None


class Members:
    """The view of one instance; times are readings of the monotonic clock."""

    def __init__(self, name: str, data_centre: str, now: float) -> None:
        self._name = name
        self._data_centre = data_centre
        self._started = now
        self._listed: dict[str, Instance] = {}
        self._heard: dict[str, tuple[Heartbeat, float]] = {}
        self._owner_since = now
        self._owner_basis: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self._name

    def set_instances(self, instances: tuple[Instance, ...], now: float) -> None:
        """Take the platform's list of instances."""
        self._listed = {instance.name: instance for instance in instances}
        self._note_change(now)

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; one of an earlier incarnation is not taken."""
        known = self._heard.get(heartbeat.name)
        if heartbeat.name == self._name:
            return False
        if known is not None and heartbeat.incarnation < known[0].incarnation:
            return False
        self._heard[heartbeat.name] = (heartbeat, now)
        self._note_change(now)
        return True

    def peers(self, now: float) -> list[Peer]:
        """Every peer that is listed or was heard, but those known to be gone."""
        names = sorted((set(self._listed) | set(self._heard)) - {self._name})
        return [peer for peer in (self._peer(name, now) for name in names) if peer is not None]

    def alive(self, now: float) -> list[Peer]:
        """Peers heard lately."""
        return [peer for peer in self.peers(now) if peer.state is PeerState.ALIVE]

    def note_keepers(self, request: str, now: float, count: int = 2) -> list[Peer]:
        """Peers that keep the notes of a request: near ones first."""
        alive = {peer.name: peer for peer in self.alive(now) if _is_staying(peer)}
        ranked = [alive[name] for name in rank_names(request, alive)]
        ranked.sort(key=lambda peer: peer.data_centre != self._data_centre)
        return ranked[:count]

    def forgive_silence(self, now: float) -> None:
        """Start all peers' silence anew, after this instance itself was paused.

        Ownership starts anew as well: others may have taken over meanwhile.
        """
        self._heard = {name: (heartbeat, now) for name, (heartbeat, _) in self._heard.items()}
        self._owner_since = now

    def take_dead(self, now: float) -> list[tuple[str, int]]:
        """Take peers that died since the last call, each with its incarnation."""
        dead = [
            (name, heartbeat.incarnation)
            for name, (heartbeat, at) in self._heard.items()
            if now - at > DEAD_S
        ]
        for name, _ in dead:
            del self._heard[name]
        if dead:
            self._note_change(now)
        return dead

    def owner(self, key: str, data_centre: str, now: float) -> Peer | None:
        """Give the owner of a key in its home data centre; None says unsure.

        The owner is ranked over all that are listed or heard there, also the
        silent: a silent one may be cut off and still serving, so nobody else
        may take its keys while the platform lists it. An instance that plans
        to stop still owns its keys until it is gone from the list.
        """
        members = {peer.name: peer for peer in self.peers(now) if peer.data_centre == data_centre}
        if data_centre == self._data_centre:
            members[self._name] = Peer(self._name, "", data_centre, PeerState.ALIVE, None)
        if not members:
            return None
        first = members[rank_names(key, members)[0]]
        return first if first.state is PeerState.ALIVE else None

    def owner_since(self, now: float) -> float:
        """Give since when this instance's ownership is sure; infinity if it is not.

        It is sure when the instances of the data centre have been the same for
        a while and all that are heard there say that they see the same ones.
        """
        self._note_change(now)
        mine = self.members_hash(now)
        for peer in self.alive(now):
            near = peer.data_centre == self._data_centre
            if near and peer.heartbeat is not None and peer.heartbeat.members != mine:
                return math.inf
        since = self._owner_since + SETTLE_S
        return since if since <= now else math.inf

    def members_hash(self, now: float) -> int:
        """Hash the membership of this data centre, to compare it with peers'."""
        names = self._members_here(now)
        return hash_names(names)

    def _members_here(self, now: float) -> tuple[str, ...]:
        here = {peer.name for peer in self.peers(now) if peer.data_centre == self._data_centre}
        return tuple(sorted(here | {self._name}))

    def _note_change(self, now: float) -> None:
        basis = self._members_here(now)
        if basis != self._owner_basis:
            self._owner_basis = basis
            self._owner_since = now

    def _peer(self, name: str, now: float) -> Peer | None:
        heard = self._heard.get(name)
        listed = self._listed.get(name)
        if heard is None:
            if listed is None:
                return None
            return Peer(name, listed.peer_address, listed.data_centre, PeerState.UNHEARD, None)
        heartbeat, at = heard
        return Peer(
            name, heartbeat.peer_address, heartbeat.data_centre, _judge(now - at), heartbeat
        )


def hash_names(names: tuple[str, ...]) -> int:
    """Hash names to 32 bits, alike on every instance."""
    return xxhash.xxh32_intdigest("/".join(names).encode())


def _judge(silence_s: float) -> PeerState:
    """Judge a peer by how long it has been silent."""
    if silence_s > DEAD_S:
        return PeerState.DEAD
    return PeerState.SUSPECT if silence_s > SUSPECT_S else PeerState.ALIVE


def _is_staying(peer: Peer) -> bool:
    return peer.heartbeat is not None and peer.heartbeat.state is not State.LEAVING
