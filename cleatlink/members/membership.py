"""Tracks the other instances and their state: alive, suspect, dead or leaving.

The view combines two sources. The platform's list names the instances that should
run, with a delay; heartbeats show which instances do run. A peer counts as dead only after
a long silence. A peer that is listed but silent may be running and only disconnected
from this instance; this matters for the ownership of keys.
"""

import math
from enum import StrEnum
from typing import NamedTuple

import xxhash

from cleatlink.core.data import Instance
from cleatlink.routing.hashing import rank_names

__all__ = ["Heartbeat", "MembershipView", "Peer", "PeerState", "ReportedState"]

# Interval between heartbeats. A peer is suspect after two lost heartbeats, and dead after a further
# delay in which other instances can report that it is alive.
HEARTBEAT_INTERVAL_S = 1.0
SUSPECT_AFTER_S = 2.5
DEAD_AFTER_S = 4.5
# Time without a change of the membership after which ownership is confirmed, in seconds.
OWNERSHIP_SETTLE_S = 5.0


class ReportedState(StrEnum):
    """State that an instance reports in its heartbeats."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class PeerState(StrEnum):
    """Assumed state of a peer; ``NO_HEARTBEAT`` if it is listed but no heartbeat is stored."""

    NO_HEARTBEAT = "unheard"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Heartbeat(NamedTuple):
    """A heartbeat message from one instance to another.

    Attributes:
        name: Name of the sender.
        incarnation: Number that increases with each start of the sender.
        data_centre: Data centre of the sender.
        peer_address: Address at which the sender receives messages of peers.
        state: State of the sender.
        revision: Configuration revision in force at the sender.
        leaving_endpoints: Endpoints that are leaving, as known to the sender.
        members_hash: Hash of the names of the instances that the sender sees in its data centre.
    """

    name: str
    incarnation: int
    data_centre: str
    peer_address: str
    state: ReportedState
    revision: int
    leaving_endpoints: tuple[str, ...]
    members_hash: int


class Peer(NamedTuple):
    """Assumed current state of one peer."""

    name: str
    address: str
    data_centre: str
    state: PeerState
    heartbeat: Heartbeat | None


class MembershipView:
    """One instance's view of the membership; times are readings of the monotonic clock."""

    def __init__(self, name: str, data_centre: str, now: float) -> None:
        self._name = name
        self._data_centre = data_centre
        self._started = now
        self._listed: dict[str, Instance] = {}
        self._received: dict[str, tuple[Heartbeat, float]] = {}
        self._unchanged_since = now
        self._local_members: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self._name

    def set_instances(self, instances: tuple[Instance, ...], now: float) -> None:
        """Replace the platform's list of instances."""
        self._listed = {instance.name: instance for instance in instances}
        self._update_local_members(now)

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Process a heartbeat; return False for one of this instance or an earlier incarnation."""
        previous = self._received.get(heartbeat.name)
        if heartbeat.name == self._name:
            return False
        if previous is not None and heartbeat.incarnation < previous[0].incarnation:
            return False
        self._received[heartbeat.name] = (heartbeat, now)
        self._update_local_members(now)
        return True

    def peers(self, now: float) -> list[Peer]:
        """Return all peers that are listed or sent a heartbeat, except removed dead peers."""
        names = sorted((set(self._listed) | set(self._received)) - {self._name})
        return [
            peer for peer in (self._describe_peer(name, now) for name in names) if peer is not None
        ]

    def alive_peers(self, now: float) -> list[Peer]:
        """Return the peers with a recent heartbeat."""
        return [peer for peer in self.peers(now) if peer.state is PeerState.ALIVE]

    def choose_note_keepers(self, request: str, now: float, count: int = 2) -> list[Peer]:
        """Return the peers that store the notes of a request, preferring this data centre."""
        alive = {peer.name: peer for peer in self.alive_peers(now) if _is_staying(peer)}
        candidates = [alive[name] for name in rank_names(request, alive)]
        candidates.sort(key=lambda peer: peer.data_centre != self._data_centre)
        return candidates[:count]

    def restart_silence_timers(self, now: float) -> None:
        """Restart the silence timers of all peers after a pause of this instance.

        Confirmation of ownership restarts as well because another instance may have
        taken over during the pause.
        """
        self._received = {name: (heartbeat, now) for name, (heartbeat, _) in self._received.items()}
        self._unchanged_since = now

    def remove_dead(self, now: float) -> list[tuple[str, int]]:
        """Remove the peers that died and return them, each with its incarnation."""
        dead = [
            (name, heartbeat.incarnation)
            for name, (heartbeat, received_at) in self._received.items()
            if now - received_at > DEAD_AFTER_S
        ]
        for name, _ in dead:
            del self._received[name]
        if dead:
            self._update_local_members(now)
        return dead

    def owner(self, key: str, data_centre: str, now: float) -> Peer | None:
        """Return the owner of a key in its home data centre; None if it is not certain.

        The owner is chosen from all instances that are listed or sent a heartbeat
        there, including silent ones: a silent instance may be disconnected and still
        serve requests, so no other instance may take over its keys while the platform
        lists it. An instance with a planned stop owns its keys until it is removed
        from the list.
        """
        members = {peer.name: peer for peer in self.peers(now) if peer.data_centre == data_centre}
        if data_centre == self._data_centre:
            members[self._name] = Peer(self._name, "", data_centre, PeerState.ALIVE, None)
        if not members:
            return None
        owner = members[rank_names(key, members)[0]]
        return owner if owner.state is PeerState.ALIVE else None

    def owner_since(self, now: float) -> float:
        """Return when this instance's ownership was confirmed; infinity if it is not confirmed.

        Ownership is confirmed when the instances of the data centre have not changed
        for ``OWNERSHIP_SETTLE_S`` and all live peers there report the same instances.
        """
        self._update_local_members(now)
        own_hash = self.members_hash(now)
        for peer in self.alive_peers(now):
            is_local = peer.data_centre == self._data_centre
            if is_local and peer.heartbeat is not None and peer.heartbeat.members_hash != own_hash:
                return math.inf
        confirmed_at = self._unchanged_since + OWNERSHIP_SETTLE_S
        return confirmed_at if confirmed_at <= now else math.inf

    def members_hash(self, now: float) -> int:
        """Return a hash of this data centre's membership, for comparison with peers."""
        names = self._list_local_members(now)
        return hash_names(names)

    def _list_local_members(self, now: float) -> tuple[str, ...]:
        local_peers = {
            peer.name for peer in self.peers(now) if peer.data_centre == self._data_centre
        }
        return tuple(sorted(local_peers | {self._name}))

    def _update_local_members(self, now: float) -> None:
        local_members = self._list_local_members(now)
        if local_members != self._local_members:
            self._local_members = local_members
            self._unchanged_since = now

    def _describe_peer(self, name: str, now: float) -> Peer | None:
        received = self._received.get(name)
        listed = self._listed.get(name)
        if received is None:
            if listed is None:
                return None
            return Peer(name, listed.peer_address, listed.data_centre, PeerState.NO_HEARTBEAT, None)
        heartbeat, received_at = received
        return Peer(
            name,
            heartbeat.peer_address,
            heartbeat.data_centre,
            _assess_silence(now - received_at),
            heartbeat,
        )


def hash_names(names: tuple[str, ...]) -> int:
    """Return a 32-bit hash of names that is the same on every instance."""
    return xxhash.xxh32_intdigest("/".join(names).encode())


def _assess_silence(silence_s: float) -> PeerState:
    """Return the state of a peer from the time since its last heartbeat."""
    if silence_s > DEAD_AFTER_S:
        return PeerState.DEAD
    return PeerState.SUSPECT if silence_s > SUSPECT_AFTER_S else PeerState.ALIVE


def _is_staying(peer: Peer) -> bool:
    return peer.heartbeat is not None and peer.heartbeat.state is not ReportedState.LEAVING
