"""Track peers by their heartbeats, and the instances and addresses that peers report."""

import math
from collections import defaultdict
from collections.abc import Iterable, Set
from typing import NamedTuple

from cleatlink.members.leadership import PeerReports
from cleatlink.members.reflectors import ReflectorCandidate
from cleatlink.relay.peers.messages import HeartbeatMessage, Member, Roster
from cleatlink.routing.tunnel_peers import TunnelPeer

__all__ = ["LivePeers", "RemovedPeer", "StreamKeeper"]

# Time without a heartbeat after which a peer and its work are removed, in seconds.
_PEER_EXPIRY_S = 4.0
# Time for which an address without heartbeats is still tried, in seconds.
_ADDRESS_EXPIRY_S = 60.0
# Time for which rosters of other peers do not add an instance again after it left, in seconds.
_LEFT_RETENTION_S = 60.0


class RemovedPeer(NamedTuple):
    """A removed peer, and the seconds since its last heartbeat."""

    name: str
    silent_s: float


class StreamKeeper(NamedTuple):
    """A peer that remembers the builds of streams."""

    name: str
    address: str
    data_centre: str


class _LivePeer(NamedTuple):
    """The last heartbeat of a peer, and when it was sent."""

    heartbeat: HeartbeatMessage
    last_heartbeat_at: float


class LivePeers:
    """Tracks the peers of one instance; methods that depend on the time take it as an argument.

    A peer is live from its first heartbeat until it has been silent for ``_PEER_EXPIRY_S``.
    """

    def __init__(self, name: str, configured_addresses: Iterable[str], now: float) -> None:
        """Start without peers.

        Args:
            name: This instance's name.
            configured_addresses: Peer addresses from the settings; they never expire.
            now: Current time.
        """
        self._name = name
        self._configured_addresses = frozenset(configured_addresses)
        self._peers: dict[str, _LivePeer] = {}
        # When each address was last in a heartbeat, or else first in the settings or a roster.
        self._addresses = dict.fromkeys(self._configured_addresses, now)
        self._peak_live_instances = 1
        # The highest number of simultaneously live peers of each data centre.
        self._peak_by_data_centre: dict[str, int] = {}
        # Instances listed in rosters, and when instances announced that they leave.
        self._reported_names: set[str] = set()
        self._left_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._peers)

    @property
    def names(self) -> set[str]:
        """Names of the live peers."""
        return set(self._peers)

    @property
    def heartbeats(self) -> list[HeartbeatMessage]:
        """The last heartbeats of the live peers."""
        return [peer.heartbeat for peer in self._peers.values()]

    @property
    def peak_live_instances(self) -> int:
        """The highest number of simultaneously live instances, including this one."""
        return self._peak_live_instances

    def expected_instances(self, own_data_centre: str, data_centres: Iterable[str]) -> int:
        """Return the assumed number of instances, including those that were never heard.

        A data centre without any heartbeat so far is assumed to be as large as the largest other
        one: it may be disconnected from this instance.

        Args:
            own_data_centre: Data centre of this instance.
            data_centres: All data centres with instances.
        """
        peaks = dict(self._peak_by_data_centre)
        peaks[own_data_centre] = peaks.get(own_data_centre, 0) + 1
        largest = max(peaks.values())
        unheard = set(data_centres) - peaks.keys()
        return max(self._peak_live_instances, sum(peaks.values()) + len(unheard) * largest)

    @property
    def known_addresses(self) -> list[str]:
        """All addresses that heartbeats are sent to, with or without a live peer."""
        return list(self._addresses)

    @property
    def addresses(self) -> list[str]:
        """Addresses of the live peers."""
        return [peer.heartbeat.address for peer in self._peers.values()]

    def addresses_by_data_centre(self) -> dict[str, list[str]]:
        """Return the addresses of the live peers by data centre."""
        addresses: dict[str, list[str]] = defaultdict(list)
        for peer in self._peers.values():
            addresses[peer.heartbeat.data_centre].append(peer.heartbeat.address)
        return addresses

    def addresses_without_live_peer(self) -> list[str]:
        """Return the known addresses without a live peer."""
        return list(self._addresses.keys() - set(self.addresses))

    def addresses_without_bundle_support(self, data_centres: Set[str] | None = None) -> list[str]:
        """Return the addresses of live peers whose builds do not support bundles.

        Args:
            data_centres: Only peers in these data centres; None for all.
        """
        heartbeats = (peer.heartbeat for peer in self._peers.values())
        return [
            heartbeat.address
            for heartbeat in heartbeats
            if not heartbeat.size
            and (data_centres is None or heartbeat.data_centre in data_centres)
        ]

    def addresses_with_bundle_support(self, data_centre: str | None = None) -> list[str]:
        """Return the addresses of live peers that support bundles.

        Args:
            data_centre: Only peers in this data centre; None for all.
        """
        heartbeats = (peer.heartbeat for peer in self._peers.values())
        return [
            heartbeat.address
            for heartbeat in heartbeats
            if heartbeat.size and (data_centre is None or heartbeat.data_centre == data_centre)
        ]

    def address(self, name: str) -> str | None:
        """Return the address of a peer; None if it is not live."""
        peer = self._peers.get(name)
        return None if peer is None else peer.heartbeat.address

    def reflector_candidates(self, now: float) -> list[ReflectorCandidate]:
        """Return the peers that may act as reflectors."""
        return [
            ReflectorCandidate(
                name, peer.heartbeat.data_centre, peer.heartbeat.size, now - peer.last_heartbeat_at
            )
            for name, peer in self._peers.items()
            if not peer.heartbeat.leaving
        ]

    def incarnation(self, name: str) -> int | None:
        """Return the incarnation of a peer; None if it is not live."""
        peer = self._peers.get(name)
        return None if peer is None else peer.heartbeat.incarnation

    def last_heartbeat(self, name: str) -> HeartbeatMessage | None:
        """Return the last heartbeat of a peer; None if it is not live."""
        peer = self._peers.get(name)
        return None if peer is None else peer.heartbeat

    def silent_s(self, name: str, now: float) -> float:
        """Return the seconds since the last heartbeat of a peer; infinite if it is not live."""
        peer = self._peers.get(name)
        return math.inf if peer is None else now - peer.last_heartbeat_at

    def seen_within(self, seconds: float, now: float) -> set[str]:
        """Return the peers whose last heartbeat is at most this many seconds old."""
        return {
            name for name, peer in self._peers.items() if now - peer.last_heartbeat_at <= seconds
        }

    def watch_candidates(self, data_centre: str, silence_s: float, now: float) -> list[str]:
        """Return the peers of a data centre that can watch the configuration service."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.heartbeat.source_is_reachable
            and peer.heartbeat.data_centre == data_centre
            and not peer.heartbeat.leaving
            and now - peer.last_heartbeat_at <= silence_s
        ]

    def tunnel_peers(self, silence_s: float, now: float) -> list[TunnelPeer]:
        """Return the recently seen peers that carry tunnels and are not leaving."""
        peers = []
        for name, peer in self._peers.items():
            heartbeat = peer.heartbeat
            if not heartbeat.tunnel_port or heartbeat.leaving:
                continue
            if now - peer.last_heartbeat_at <= silence_s:
                host = heartbeat.address.rpartition(":")[0]
                address = f"{host}:{heartbeat.tunnel_port}"
                lost_services = frozenset(heartbeat.lost_services)
                peers.append(TunnelPeer(name, address, heartbeat.data_centre, lost_services))
        return peers

    def stream_keepers(self) -> list[StreamKeeper]:
        """Return the peers that remember the builds of streams and are not leaving."""
        heartbeats = (peer.heartbeat for peer in self._peers.values())
        return [
            StreamKeeper(item.name, item.address, item.data_centre)
            for item in heartbeats
            if item.keeps_stream_builds and not item.leaving
        ]

    def leader_election_input(self, silence_s: float, now: float) -> PeerReports:
        """Return what recently seen peers reported for leader election."""
        heartbeats = {
            name: self._peers[name].heartbeat for name in self.seen_within(silence_s, now)
        }
        return PeerReports(
            {name: heartbeat.leader_vote for name, heartbeat in heartbeats.items()},
            set(self._reported_names),
            max((heartbeat.member_count for heartbeat in heartbeats.values()), default=0),
            set(self._left_at),
            {name for name, heartbeat in heartbeats.items() if heartbeat.is_cut_off},
        )

    def is_outdated(self, heartbeat: HeartbeatMessage) -> bool:
        """Check whether a later heartbeat of the same sender was already received."""
        peer = self._peers.get(heartbeat.name)
        if peer is None:
            return False
        last = peer.heartbeat
        if heartbeat.incarnation != last.incarnation:
            return heartbeat.incarnation < last.incarnation
        return 0 < heartbeat.number < last.number

    def is_latest(self, heartbeat: HeartbeatMessage) -> bool:
        """Check whether this is the heartbeat recorded for its sender."""
        peer = self._peers.get(heartbeat.name)
        return peer is not None and peer.heartbeat is heartbeat

    def record_repeated_heartbeat(self, name: str, now: float) -> HeartbeatMessage | None:
        """Record a repetition of a peer's last heartbeat.

        Args:
            name: Name of the peer.
            now: When the repetition was sent.

        Returns:
            The last heartbeat; None if the peer is not live or is leaving.
        """
        peer = self._peers.get(name)
        if peer is None or peer.heartbeat.leaving:
            return None
        if now > peer.last_heartbeat_at:
            self._peers[name] = _LivePeer(peer.heartbeat, now)
        self._addresses[peer.heartbeat.address] = now
        return peer.heartbeat

    def record_heartbeat(self, heartbeat: HeartbeatMessage, now: float) -> bool:
        """Record a heartbeat and return whether its sender is new.

        Args:
            heartbeat: The heartbeat; no later one of its sender was received.
            now: When it was sent.
        """
        previous = self._peers.get(heartbeat.name)
        is_new = previous is None
        last_heartbeat_at = now if previous is None else max(now, previous.last_heartbeat_at)
        self._peers[heartbeat.name] = _LivePeer(heartbeat, last_heartbeat_at)
        self._peak_live_instances = max(self._peak_live_instances, len(self._peers) + 1)
        if is_new:
            self._note_peak(heartbeat.data_centre)
        self._addresses[heartbeat.address] = now
        if heartbeat.leaving:
            self._left_at[heartbeat.name] = now
            self._reported_names.discard(heartbeat.name)
        else:
            self._left_at.pop(heartbeat.name, None)
        return is_new

    def _note_peak(self, data_centre: str) -> None:
        live = sum(peer.heartbeat.data_centre == data_centre for peer in self._peers.values())
        last_peak = self._peak_by_data_centre.get(data_centre, 0)
        self._peak_by_data_centre[data_centre] = max(last_peak, live)

    def record_roster(self, roster: Roster, now: float) -> list[str]:
        """Record the instances that a peer knows and return the addresses that are new."""
        new_addresses = []
        for member in roster.members:
            if member.name in self._left_at or member.name == self._name:
                continue
            self._reported_names.add(member.name)
            if member.address and member.address not in self._addresses:
                self._addresses[member.address] = now
                new_addresses.append(member.address)
        return new_addresses

    def roster_entry(self, name: str) -> Member:
        """Return the roster entry of an instance; without an address if it is not live."""
        peer = self._peers.get(name)
        return Member(name, "" if peer is None else peer.heartbeat.address)

    def remove_expired(self, now: float) -> list[RemovedPeer]:
        """Remove expired peers, addresses and departures, and return the removed peers."""
        removed = [
            RemovedPeer(name, now - peer.last_heartbeat_at)
            for name, peer in self._peers.items()
            if now - peer.last_heartbeat_at > _PEER_EXPIRY_S
        ]
        for peer in removed:
            del self._peers[peer.name]
        self._addresses = {
            address: seen_at
            for address, seen_at in self._addresses.items()
            if now - seen_at <= _ADDRESS_EXPIRY_S or address in self._configured_addresses
        }
        self._left_at = {
            name: at for name, at in self._left_at.items() if now - at <= _LEFT_RETENTION_S
        }
        return removed
