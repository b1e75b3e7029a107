"""Which peers are heard, where, and which ones others told of."""

from collections import defaultdict
from collections.abc import Iterable, Set
from typing import NamedTuple

from cleatlink.members.leadership import Hearing
from cleatlink.members.reflectors import Candidate
from cleatlink.relay.peers.messages import Beat, Member, Roster

__all__ = ["HeardPeers", "LostPeer"]

# A peer that is silent for so long is gone; its work is forgotten.
_GONE_S = 4.0
# Addresses without a word are tried for so long.
_FORGET_ADDRESS_S = 60.0
# An instance that left is not taken for present on the word of others for so long.
_LEFT_S = 60.0


class LostPeer(NamedTuple):
    """A peer that is no longer heard, and for how long it has been silent."""

    name: str
    silent_s: float


class _Peer(NamedTuple):
    """One peer as heard."""

    beat: Beat
    heard_at: float


class HeardPeers:
    """The peers of one instance; every method takes the time as an argument."""

    def __init__(self, name: str, first: Iterable[str], now: float) -> None:
        """Start without any.

        Args:
            name: This instance's name.
            first: Addresses that the settings name; they are tried for ever.
            now: The time.
        """
        self._name = name
        self._first = frozenset(first)
        self._peers: dict[str, _Peer] = {}
        self._addresses = dict.fromkeys(self._first, now)
        self._most_members = 1
        # Instances that peers told of, and when others left by their own word.
        self._told: set[str] = set()
        self._left: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._peers)

    @property
    def names(self) -> set[str]:
        """Names of the peers that are heard."""
        return set(self._peers)

    @property
    def beats(self) -> list[Beat]:
        """The last heartbeats of the peers that are heard."""
        return [peer.beat for peer in self._peers.values()]

    @property
    def most_members(self) -> int:
        """Most instances that were heard at a time, this one included."""
        return self._most_members

    @property
    def known_addresses(self) -> list[str]:
        """Addresses at which a peer is, or may be."""
        return list(self._addresses)

    @property
    def addresses(self) -> list[str]:
        """Addresses of the peers that are heard."""
        return [peer.beat.address for peer in self._peers.values()]

    def addresses_by_data_centre(self) -> dict[str, list[str]]:
        """Give the addresses of the peers that are heard, by data centre."""
        found: dict[str, list[str]] = defaultdict(list)
        for peer in self._peers.values():
            found[peer.beat.data_centre].append(peer.beat.address)
        return found

    def unheard_addresses(self) -> list[str]:
        """Give the addresses at which a peer may be that is not heard."""
        return list(self._addresses.keys() - set(self.addresses))

    def earlier_addresses(self, data_centres: Set[str] | None = None) -> list[str]:
        """Give the addresses of peers that take no bundles, in some data centres or in all."""
        beats = (peer.beat for peer in self._peers.values())
        return [
            beat.address
            for beat in beats
            if not beat.size and (data_centres is None or beat.data_centre in data_centres)
        ]

    def bundle_addresses(self, data_centre: str | None = None) -> list[str]:
        """Give the addresses of peers that take bundles, in one data centre or in all."""
        beats = (peer.beat for peer in self._peers.values())
        return [
            beat.address
            for beat in beats
            if beat.size and (data_centre is None or beat.data_centre == data_centre)
        ]

    def address(self, name: str) -> str | None:
        """Give the address of a peer; None for one that is not heard."""
        peer = self._peers.get(name)
        return None if peer is None else peer.beat.address

    def candidates(self, now: float) -> list[Candidate]:
        """Give the peers that may reflect."""
        return [
            Candidate(name, peer.beat.data_centre, peer.beat.size, now - peer.heard_at)
            for name, peer in self._peers.items()
            if not peer.beat.leaving
        ]

    def incarnation(self, name: str) -> int | None:
        """Give the incarnation of a peer; None for one that is not heard."""
        peer = self._peers.get(name)
        return None if peer is None else peer.beat.incarnation

    def heard_within(self, seconds: float, now: float) -> set[str]:
        """Give the peers that were heard lately."""
        return {name for name, peer in self._peers.items() if now - peer.heard_at <= seconds}

    def watch_candidates(self, data_centre: str, silence_s: float, now: float) -> list[str]:
        """Give the peers of a data centre that can watch the configuration service."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.beat.finds_source
            and peer.beat.data_centre == data_centre
            and not peer.beat.leaving
            and now - peer.heard_at <= silence_s
        ]

    def hearing(self, silence_s: float, now: float) -> Hearing:
        """Give what is heard, for the choice of a leader."""
        beats = {name: self._peers[name].beat for name in self.heard_within(silence_s, now)}
        return Hearing(
            {name: beat.vote for name, beat in beats.items()},
            set(self._told),
            max((beat.members for beat in beats.values()), default=0),
            set(self._left),
        )

    def is_old(self, beat: Beat) -> bool:
        """Tell whether a heartbeat was overtaken by a later one of its sender."""
        peer = self._peers.get(beat.name)
        if peer is None:
            return False
        known = peer.beat
        if beat.incarnation != known.incarnation:
            return beat.incarnation < known.incarnation
        return 0 < beat.number < known.number

    def is_last(self, beat: Beat) -> bool:
        """Tell whether a heartbeat is the one that its sender is known by."""
        peer = self._peers.get(beat.name)
        return peer is not None and peer.beat is beat

    def note_again(self, name: str, now: float) -> Beat | None:
        """Note that a peer says the same as before, and give it; None for one not heard.

        Args:
            name: The peer.
            now: When it was told.
        """
        peer = self._peers.get(name)
        if peer is None or peer.beat.leaving:
            return None
        if now > peer.heard_at:
            self._peers[name] = _Peer(peer.beat, now)
        self._addresses[peer.beat.address] = now
        return peer.beat

    def note_beat(self, beat: Beat, now: float) -> bool:
        """Take a heartbeat; tells whether its sender is new.

        Args:
            beat: The heartbeat, which is not old.
            now: When it was told.
        """
        known = self._peers.get(beat.name)
        is_new = known is None
        heard_at = now if known is None else max(now, known.heard_at)
        self._peers[beat.name] = _Peer(beat, heard_at)
        self._most_members = max(self._most_members, len(self._peers) + 1)
        self._addresses[beat.address] = now
        if beat.leaving:
            self._left[beat.name] = now
            self._told.discard(beat.name)
        else:
            self._left.pop(beat.name, None)
        return is_new

    def note_roster(self, roster: Roster, now: float) -> list[str]:
        """Take the names and addresses that a peer knows; gives the addresses that are new."""
        found = []
        for member in roster.members:
            if member.name in self._left or member.name == self._name:
                continue
            self._told.add(member.name)
            if member.address and member.address not in self._addresses:
                self._addresses[member.address] = now
                found.append(member.address)
        return found

    def member(self, name: str) -> Member:
        """Describe an instance for a roster; without an address if it is not heard."""
        peer = self._peers.get(name)
        return Member(name, "" if peer is None else peer.beat.address)

    def forget_silent(self, now: float) -> list[LostPeer]:
        """Forget those that have been silent for long; gives the peers among them."""
        lost = [
            LostPeer(name, now - peer.heard_at)
            for name, peer in self._peers.items()
            if now - peer.heard_at > _GONE_S
        ]
        for peer in lost:
            del self._peers[peer.name]
        self._addresses = {
            address: heard_at
            for address, heard_at in self._addresses.items()
            if now - heard_at <= _FORGET_ADDRESS_S or address in self._first
        }
        self._left = {name: at for name, at in self._left.items() if now - at <= _LEFT_S}
        return lost
