"""An instance among its peers: heartbeats, shared work, and what one knows for all.

Datagrams carry heartbeats and changes of work; they may be lost, and each
heartbeat repeats all work. Who is there is told by rosters, to a peer that is
new and to a few others with each heartbeat. A route table or list that a peer
knows and this instance does not is fetched over HTTP, so that one that the
configuration service turns away keeps up with the others.
"""

import math
import random
import socket
from collections import defaultdict
from collections.abc import Callable, Iterable, Set
from typing import NamedTuple

import eliot
import trio

from cleatlink.core.address import Address
from cleatlink.core.data import Role
from cleatlink.members.leadership import Hearing
from cleatlink.organisations import OrganisationLimits
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.catch_up import CatchUp, KnownState
from cleatlink.relay.peers.limit_news import LimitNews
from cleatlink.relay.peers.messages import (
    Beat,
    Changes,
    CrashNews,
    EndpointHint,
    HintKind,
    Member,
    Message,
    PaceNews,
    Roster,
    Snapshot,
    Spending,
    WorkItem,
    decode_datagram,
    encode,
)
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.relay.peers.work_news import WorkNews
from cleatlink.relay.settings import RelaySettings
from cleatlink.relay.sockets import bind
from cleatlink.routing.capacity import Capacity, Reservation
from cleatlink.routing.shared_hints import SharedHints

__all__ = ["SILENCE_S", "PeerGroup", "PeerHooks"]

# A peer that was silent for so long counts as gone for the choice of a leader.
SILENCE_S = 2.5

# Two lost heartbeats in a row still leave a peer within the silence that counts.
_BEAT_S = 1.0
# A peer that is silent for so long is gone; its work is forgotten.
_GONE_S = 4.0
# Addresses without a word are tried for so long.
_FORGET_ADDRESS_S = 60.0
# An instance that left is not taken for present on the word of others for so long.
_LEFT_S = 60.0
# Peers that get a roster with each heartbeat.
_ROSTERS = 3
# Who is new gets a whole roster; later ones only heal what was missed, with so many members.
# Whole ones would be 20 of the 37 kB that one of 195 instances sends each second (encoded
# sizes); these are 2.4.
_MEMBERS_A_ROSTER = 24
# A datagram holds no more.
_MOST_BYTES = 60_000
# Two heartbeats: work that is over is usually told before.
_WORK_SLACK_S = 2.0
# Changes that come within so long of each other go in one datagram: about the pause
# between two steps of one stream.
_GATHER_S = 0.002
# An endpoint that is still not reached is told of again after so long.
_TELL_AGAIN_S = 0.4
# Reports of peers have to come within so long of each other.
_UNREACHED_S = 1.0
_SLOW_S = 3.0


class PeerHooks(NamedTuple):
    """What the group needs of its instance.

    Attributes:
        state: Gives whether it is leaving, and the newest revisions that it knows.
        look_again: Has the configuration service asked anew.
        on_snapshot: Takes what a peer knows.
        on_work: Told that peers' work changed.
        on_placed: Told of each piece of work that a peer placed.
    """

    state: Callable[[], KnownState]
    look_again: Callable[[], None]
    on_snapshot: Callable[[Snapshot], None]
    on_work: Callable[[], None]
    on_placed: Callable[[Reservation], None]


class _Peer:
    """One peer as heard."""

    __slots__ = ("address", "beat", "heard_at")

    def __init__(self, beat: Beat, heard_at: float) -> None:
        self.beat = beat
        self.address = beat.address
        self.heard_at = heard_at


class PeerGroup:
    """This instance's peers."""

    def __init__(
        self,
        settings: RelaySettings,
        incarnation: int,
        capacity: Capacity,
        limits: OrganisationLimits,
        *,
        quarantine: SharedQuarantine,
        metrics: RelayMetrics,
        hooks: PeerHooks,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._capacity = capacity
        self._limits = limits
        self._limit_news = LimitNews(settings.name, incarnation, limits)
        self._quarantine = quarantine
        self._metrics = metrics
        self._hooks = hooks
        self._address = str(settings.peer_listen)
        self._peers: dict[str, _Peer] = {}
        self._addresses: dict[str, float] = {}
        self._changed: set[str] = set()
        self._news = WorkNews(settings.name, incarnation, settings.data_centre, capacity)
        self._wake = trio.Event()
        self._hints = {
            HintKind.UNREACHED: SharedHints(_UNREACHED_S),
            HintKind.SLOW: SharedHints(_SLOW_S),
        }
        self._told_hints: dict[tuple[str, HintKind], float] = {}
        self._most_members = 1
        self._rng = random.Random(incarnation)
        # Instances that peers told of, with the time at which others left.
        self._told: set[str] = set()
        self._left: dict[str, float] = {}
        self._catch_up = CatchUp(
            hooks.state, hooks.look_again, hooks.on_snapshot, metrics, self._rng
        )
        self.fence = 0
        self.vote = ""
        self.members: Set[str] = frozenset({settings.name})
        self._spawn: Callable[..., None] = _drop_task
        self._socket = self._bind()

    def _bind(self) -> trio.socket.SocketType:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        bind(sock, self._settings.peer_listen.host, self._settings.peer_listen.port)
        return trio.socket.from_stdlib_socket(sock)

    @property
    def listen(self) -> Address:
        """Where this instance hears its peers."""
        return self._settings.peer_listen

    def hearing(self) -> Hearing:
        """Give what is heard, for the choice of a leader."""
        beats = {name: self._peers[name].beat for name in self.heard_within(SILENCE_S)}
        return Hearing(
            {name: beat.vote for name, beat in beats.items()},
            self._told,
            max((beat.members for beat in beats.values()), default=0),
            set(self._left),
        )

    def heard_within(self, seconds: float) -> set[str]:
        """Give the peers that were heard lately."""
        now = trio.current_time()
        return {name for name, peer in self._peers.items() if now - peer.heard_at <= seconds}

    @property
    def alive(self) -> int:
        """Instances that are heard now, this one included."""
        return len(self._peers) + 1

    @property
    def most_members(self) -> int:
        """Most instances that were heard at a time, this one included."""
        return self._most_members

    def start(self, keep: Callable[..., None], spawn: Callable[..., None]) -> None:
        """Start to hear and tell.

        Args:
            keep: Runs a task for as long as the instance runs.
            spawn: Runs a task once.
        """
        self._spawn = spawn
        now = trio.current_time()
        for peer in self._settings.peers:
            if str(peer) != self._address:
                self._addresses[str(peer)] = now
        for task in (
            self._receive,
            self._beat_always,
            self._tell_changes,
            self._tell_spending,
            self._tell_crashes,
        ):
            keep(task)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def note_work(self, *keys: str) -> None:
        """Tell peers that own work changed."""
        self._changed.update(keys)
        self._wake.set()

    def note_spending(self) -> None:
        """Tell peers soon what was let pass: little is left of an organisation's limit."""
        self._limit_news.note_spending()

    async def _tell_spending(self) -> None:
        while True:
            spending = await self._limit_news.next()
            self._send(spending, [peer.address for peer in self._peers.values()])

    async def _tell_crashes(self) -> None:
        while True:
            for news in await self._quarantine.next():
                self._send(news, [peer.address for peer in self._peers.values()])

    def send_beat(self) -> None:
        """Send a heartbeat to every known address."""
        state = self._hooks.state()
        now = trio.current_time()
        beat = Beat(
            self._settings.name,
            self._incarnation,
            self._settings.data_centre,
            self._address,
            state.leaving,
            state.table,
            state.newest,
            [WorkItem.of(key, item, now) for key, item in self._shared_work()],
            self.fence,
            {name: round(left, 2) for name, left in self._capacity.switching(now).items()},
            self.vote,
            len(self.members),
            self._limits.totals(now),
            self._limits.spenders,
            int(self._limits.age_s(now)),
        )
        self._send(beat, self._addresses)

    def _send_rosters(self) -> None:
        """Tell a few peers, picked anew each time, who is there and what was measured."""
        addresses = [peer.address for peer in self._peers.values()]
        chosen = self._rng.sample(addresses, min(_ROSTERS, len(addresses)))
        self._send(self._roster(_MEMBERS_A_ROSTER), chosen)
        paces = self._capacity.pace_summaries(trio.current_time())
        if paces:
            self._send(PaceNews(self._settings.name, paces), chosen)
        for news in self._quarantine.repeat():
            self._send(news, chosen)

    def _roster(self, most: int | None = None) -> Roster:
        """Give the instances that are known here, or at the most some of them."""
        names = sorted(self.members | self._peers.keys())
        if most is not None and len(names) > most:
            names = self._rng.sample(names, most)
        members = [
            Member(name, self._peers[name].address if name in self._peers else "") for name in names
        ]
        return Roster(self._settings.name, members)

    def _shared_work(self) -> list[tuple[str, Reservation]]:
        own = self._capacity.own.items()
        return [(key, item) for key, item in own if item.role is not Role.PLAIN]

    def _send(self, message: Message, addresses: Iterable[str]) -> None:
        data = encode(message)
        if len(data) > _MOST_BYTES:
            self._metrics.count_message("too_long")
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                self._socket_send(data, host, int(port))
            except OSError:
                self._metrics.count_message("not_sent")

    def _socket_send(self, data: bytes, host: str, port: int) -> None:
        # A full buffer loses the datagram, as the network might.
        self._socket._sock.sendto(data, (host, port))  # type: ignore[attr-defined]

    async def _beat_always(self) -> None:
        while True:
            self._forget_silent()
            self.send_beat()
            self._send_rosters()
            await trio.sleep(_BEAT_S)

    async def _tell_changes(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            changed, self._changed = self._changed, set()
            addresses: dict[str, list[str]] = defaultdict(list)
            for peer in self._peers.values():
                addresses[peer.beat.data_centre].append(peer.address)
            now = trio.current_time()
            told = self._news.changes(changed, addresses, len(self._peers), now)
            for data_centre, changes in told.items():
                self._send(changes, addresses[data_centre])
            await trio.sleep(_GATHER_S)

    def _forget_silent(self) -> None:
        now = trio.current_time()
        self._limit_news.look(now)
        self._capacity.expire_peers(now, _WORK_SLACK_S)
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at > _GONE_S:
                del self._peers[name]
                self._capacity.forget_peer(name)
                eliot.log_message(
                    message_type="peers: lost a peer",
                    peer=name,
                    silent_s=round(now - peer.heard_at, 2),
                    alive=len(self._peers) + 1,
                )
        first = {str(peer) for peer in self._settings.peers}
        for address, heard_at in list(self._addresses.items()):
            if now - heard_at > _FORGET_ADDRESS_S and address not in first:
                del self._addresses[address]
        for name, left_at in list(self._left.items()):
            if now - left_at > _LEFT_S:
                del self._left[name]

    async def _receive(self) -> None:
        while True:
            try:
                data, _ = await self._socket.recvfrom(65_536)
            except OSError:
                # An earlier datagram met a closed port.
                continue
            message = decode_datagram(data)
            if isinstance(message, Beat):
                self._take_beat(message)
            elif isinstance(message, Changes):
                self._take_changes(message)
            elif isinstance(message, EndpointHint):
                self._take_hint(message)
            elif isinstance(message, Roster):
                self._take_roster(message)
            elif isinstance(message, PaceNews):
                self._take_paces(message)
            elif isinstance(message, CrashNews):
                self._metrics.count_message("crashes")
                self._quarantine.take(message)
            elif isinstance(message, Spending):
                self._metrics.count_message("spending")
                self._limit_news.take_spending(message, trio.current_time())
            else:
                self._metrics.count_message("not_understood")

    def _take_beat(self, beat: Beat) -> None:
        if beat.name == self._settings.name:
            return
        self._metrics.count_message("beat")
        now = trio.current_time()
        known = self._peers.get(beat.name)
        if known is not None and beat.incarnation < known.beat.incarnation:
            return
        self._peers[beat.name] = _Peer(beat, now)
        if known is None:
            eliot.log_message(
                message_type="peers: heard a peer", peer=beat.name, alive=len(self._peers) + 1
            )
            self._send(self._roster(), [beat.address])
            spending = self._limit_news.introduction(now)
            if spending is not None:
                self._send(spending, [beat.address])
            for news in self._quarantine.introduction():
                self._send(news, [beat.address])
        self._most_members = max(self._most_members, len(self._peers) + 1)
        self._addresses[beat.address] = now
        self._note_presence(beat, now)
        self._limit_news.take_beat(beat, now)
        self.fence = max(self.fence, beat.fence)
        for endpoint, left_s in beat.switching.items():
            self._capacity.note_switching(endpoint, now + left_s)
        if beat.work or self._capacity.has_work_of(beat.name):
            self._take_work(beat, now)
        self._catch_up.note(beat, self._spawn)

    def _take_work(self, beat: Beat, now: float) -> None:
        """Take all the work of a peer; most instances of a large fleet have none."""
        work = {item.key: item.reservation(now) for item in beat.work}
        for key, item in work.items():
            self._note_placed(beat.name, key, item)
        self._capacity.peer_replace(beat.name, work)
        self._hooks.on_work()

    def _note_presence(self, beat: Beat, now: float) -> None:
        """Note whether a peer stays or leaves, by its own word."""
        if beat.leaving:
            self._left[beat.name] = now
            self._told.discard(beat.name)
        else:
            self._left.pop(beat.name, None)

    def _take_roster(self, roster: Roster) -> None:
        """Take the names and addresses that a peer knows."""
        self._metrics.count_message("roster")
        now = trio.current_time()
        for member in roster.members:
            if member.name in self._left or member.name == self._settings.name:
                continue
            self._told.add(member.name)
            if member.address and member.address not in self._addresses:
                self._addresses[member.address] = now

    def _take_paces(self, news: PaceNews) -> None:
        """Take over what a peer measured, where this instance has not."""
        self._metrics.count_message("paces")
        now = trio.current_time()
        for service, (summary, age_s) in news.paces.items():
            self._capacity.pace(service).adopt(summary, age_s, now)

    def tell_hint(self, endpoint: str, kind: HintKind) -> None:
        """Tell peers of an endpoint that was slow, or in this data centre not reached."""
        now = trio.current_time()
        if now - self._told_hints.get((endpoint, kind), -math.inf) < _TELL_AGAIN_S:
            return
        self._told_hints[endpoint, kind] = now
        here = self._settings.data_centre
        addresses = [
            peer.address
            for peer in self._peers.values()
            if kind is HintKind.SLOW or peer.beat.data_centre == here
        ]
        self._send(EndpointHint(self._settings.name, endpoint, kind), addresses)
        self._take_hint(EndpointHint(self._settings.name, endpoint, kind))

    def _take_hint(self, hint: EndpointHint) -> None:
        self._metrics.count_message(hint.kind.value)
        now = trio.current_time()
        if not self._hints[hint.kind].note(hint.endpoint, hint.name, now):
            return
        if hint.kind is HintKind.SLOW:
            self._capacity.note_slow(hint.endpoint, now)
        else:
            self._capacity.note_unreached_by_peers(hint.endpoint, now)

    def _take_changes(self, changes: Changes) -> None:
        known = self._peers.get(changes.name)
        if known is None or known.beat.incarnation != changes.incarnation:
            return
        now = trio.current_time()
        for item in changes.placed:
            work = item.reservation(now)
            self._note_placed(changes.name, item.key, work)
            self._capacity.peer_reserve(changes.name, item.key, work)
        for key in changes.over:
            self._capacity.peer_release(changes.name, key)
        self._hooks.on_work()

    def _note_placed(self, peer: str, key: str, item: Reservation) -> None:
        if not self._capacity.knows(peer, key):
            self._hooks.on_placed(item)


def _drop_task(*_: object) -> None:
    """Stand for a nursery before the start."""
