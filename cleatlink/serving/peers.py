"""Peers' side: heartbeats, notes on requests in flight, documents, once-only keys.

The pure parts decide; this driver only moves their messages and keeps time.
"""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec
import trio

from cleatlink.core.errors import PeerError, PeerUnreachableError
from cleatlink.members import Heartbeat, MembershipView, Peer, PeerState, ReportedState
from cleatlink.members.membership import HEARTBEAT_INTERVAL_S
from cleatlink.request import (
    ClaimResult,
    ClaimState,
    IdempotencyKeyRegistry,
    InFlightNote,
    InFlightNotes,
    StoredAnswer,
)
from cleatlink.routing import FleetView
from cleatlink.serving.cancels import Canceller
from cleatlink.serving.documents import DocumentStore
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.news import News
from cleatlink.serving.peer_link import Message, PeerLink, encode_message
from cleatlink.serving.platform import Document, DocumentKind
from cleatlink.serving.settings import Settings

__all__ = ["ClaimOrder", "PeerParts", "Peers", "Settlement"]

_ASK_TIMEOUT_S = 2.0
# Documents may be large and links slow; the link itself notices a peer that says nothing more.
_DOCUMENTS_TIMEOUT_S = 60.0
_CLAIM = "claim"
_SETTLE = "settle"
_DOCUMENTS = "documents"
_CLAIM_WAIT_S = 1.0
_TICK_S = 0.25
# A gap between two ticks that is longer than this was a pause of this process.
_PAUSE_S = 2.0


class ClaimOrder(NamedTuple):
    """A request to run a once-only key."""

    key: str
    fingerprint: str


class Settlement(NamedTuple):
    """How a granted key ended; no answer says that it surely did not run."""

    key: str
    answer: StoredAnswer | None


class PeerDocuments(NamedTuple):
    """Both documents as a peer has them."""

    configuration: Document | None
    instances: Document | None


class PeerParts(NamedTuple):
    """What the peers' side shares with the rest of the instance.

    Attributes:
        settings: This instance's settings.
        link: Moves messages to and from peers.
        view: What is known of the fleet.
        store: Configuration and instance list.
        canceller: Sends cancels in the background.
        metrics: The instance's counters.
        wall_time: Gives the time since 1970, in which keys carry theirs.
    """

    settings: Settings
    link: PeerLink
    view: FleetView
    store: DocumentStore
    canceller: Canceller
    metrics: Metrics
    wall_time: Callable[[], float]


class Peers:
    """This instance among the others."""

    def __init__(self, parts: PeerParts, members: MembershipView) -> None:
        self._parts = parts
        self._members = members
        self._notes = InFlightNotes()
        self._keys = IdempotencyKeyRegistry()
        self._state = ReportedState.STARTING
        self._unconfirmed: dict[tuple[str, str], InFlightNote] = {}
        self._keepers: dict[str, list[Peer]] = {}
        # Highest revision of a configuration that peers have in force.
        self._newest_told = 0
        self._fetching: set[str] = set()
        # Addresses of peers that gave no documents when they were asked last.
        self._not_fetched: set[str] = set()
        self._settled = News()
        self._last_tick = trio.current_time()
        self._log = Log("peers")

    @property
    def members(self) -> MembershipView:
        """The membership as this instance sees it."""
        return self._members

    @property
    def state(self) -> ReportedState:
        """What this instance says of itself."""
        return self._state

    @property
    def knows_newer_configuration(self) -> bool:
        """Whether a peer told of a configuration that this instance has not seen yet."""
        return self._newest_told > self._parts.store.adopter.highest_validated_revision

    def start(self, nursery: trio.Nursery) -> None:
        """Beat and listen in a nursery from now on."""
        self._last_tick = trio.current_time()
        nursery.start_soon(self._beat_always)
        nursery.start_soon(self._listen_always, nursery)
        nursery.start_soon(self._watch_always)

    def set_state(self, state: ReportedState) -> None:
        """Say something else of this instance, and say it at once."""
        self._state = state
        self._beat()

    def send_note(
        self, name: str, attempt: int, endpoints: tuple[str, ...], expires_in_s: float
    ) -> None:
        """Tell two peers of a request in flight, before its order leaves."""
        now = trio.current_time()
        settings = self._parts.settings
        note = InFlightNote(
            name, settings.name, settings.incarnation, attempt, endpoints, expires_in_s
        )
        if name not in self._keepers:
            self._keepers[name] = self._members.choose_note_keepers(name, now)
        for peer in self._keepers[name]:
            self._unconfirmed[peer.address, name] = note
            self._send(peer.address, "note", note)

    def drop_note(self, name: str) -> None:
        """Tell the peers that a request is over."""
        for peer in self._keepers.pop(name, ()):
            self._unconfirmed.pop((peer.address, name), None)
            self._send(peer.address, "drop", name)

    async def claim(self, order: ClaimOrder, home: str) -> ClaimResult:
        """Ask a key's owner for leave to run it."""
        owner = self._members.owner(order.key, home, trio.current_time())
        if owner is None:
            return ClaimResult(ClaimState.UNAVAILABLE)
        if owner.name == self._members.name:
            return await self._claim_here(order)
        try:
            data = await self._ask(owner.address, _CLAIM, order)
            return msgspec.msgpack.decode(data, type=ClaimResult)
        except PeerUnreachableError:
            return ClaimResult(ClaimState.UNAVAILABLE)
        except (PeerError, msgspec.MsgspecError):
            # The owner may have granted the key to this claim and its answer was lost.
            return ClaimResult(ClaimState.UNKNOWN)

    async def settle(self, settlement: Settlement, home: str) -> None:
        """Tell a key's owner how the call ended; a loss leaves it unknown."""
        owner = self._members.owner(settlement.key, home, trio.current_time())
        if owner is None:
            return
        if owner.name == self._members.name:
            self._settle_here(settlement)
            return
        try:
            await self._ask(owner.address, _SETTLE, settlement)
        except PeerError as error:
            self._log.say("settlement lost.", key=settlement.key, reason=repr(error))

    async def fetch_documents(self, address: str) -> bool:
        """Ask a peer for its documents and take those that are newer.

        Returns:
            Whether it answered; False as well if it is being asked already.
        """
        if address in self._fetching:
            return False
        self._fetching.add(address)
        try:
            data = await self._ask(address, _DOCUMENTS, None, _DOCUMENTS_TIMEOUT_S)
            documents = msgspec.msgpack.decode(data, type=PeerDocuments)
        except (PeerError, msgspec.MsgspecError) as error:
            self._note_not_fetched(address, error)
            return False
        finally:
            self._fetching.discard(address)
        self._not_fetched.discard(address)
        if documents.configuration is not None:
            self._parts.store.offer(DocumentKind.CONFIG, documents.configuration)
        if documents.instances is not None:
            self._parts.store.offer(DocumentKind.INSTANCES, documents.instances)
        return True

    def _note_not_fetched(self, address: str, error: Exception) -> None:
        """Log that a peer gave no documents, once until it gives some."""
        if address not in self._not_fetched:
            self._not_fetched.add(address)
            self._log.say("documents not fetched.", peer=address, reason=repr(error))

    async def answer(self, path: str, body: bytes) -> bytes:
        """Answer what a peer asks.

        Raises:
            PeerError: Nobody of ours asks that.
        """
        try:
            answer = msgspec.msgpack.encode(await self._answer(path, body))
        except msgspec.MsgspecError as error:
            raise PeerError(f"not understood: {error}") from error
        self._parts.metrics.count_peer_bytes("answer", len(answer))
        return answer

    async def _answer(self, path: str, body: bytes) -> object:
        if path == _DOCUMENTS:
            return self._documents()
        if path == _CLAIM:
            return await self._claim_here(msgspec.msgpack.decode(body, type=ClaimOrder))
        if path == _SETTLE:
            self._settle_here(msgspec.msgpack.decode(body, type=Settlement))
            return None
        raise PeerError(f"no such question: {path}")

    async def _claim_here(self, order: ClaimOrder) -> ClaimResult:
        """Judge a claim; one for a key that is being run waits a little."""
        claim = self._judge_claim(order)
        with trio.move_on_after(_CLAIM_WAIT_S):
            while claim.state is ClaimState.RUNNING:
                await self._settled.wait()
                claim = self._judge_claim(order)
        return claim

    def _settle_here(self, settlement: Settlement) -> None:
        self._keys.record_outcome(settlement.key, settlement.answer)
        self._settled.spread()

    def _judge_claim(self, order: ClaimOrder) -> ClaimResult:
        now = trio.current_time()
        since = self._members.owner_since(now)
        # Keys carry callers' wall-clock times; ownership is kept on the monotonic one.
        wall_since = self._parts.wall_time() - (now - since)
        just_woken = now - self._last_tick > _PAUSE_S
        if just_woken or self._state is ReportedState.LEAVING:
            wall_since = math.inf
        return self._keys.claim(order.key, order.fingerprint, wall_since, self._parts.wall_time())

    def _documents(self) -> PeerDocuments:
        published = self._parts.store.adopter.published
        configuration = Document(*published) if published is not None else None
        return PeerDocuments(configuration, self._parts.store.fleet)

    async def _ask(
        self, address: str, path: str, question: object, timeout_s: float = _ASK_TIMEOUT_S
    ) -> bytes:
        body = msgspec.msgpack.encode(question)
        self._parts.metrics.count_peer_bytes("question", len(body))
        with trio.move_on_after(timeout_s):
            return await self._parts.link.ask(address, path, body)
        raise PeerError("no answer in time")

    def _send(self, address: str, kind: str, value: object) -> None:
        data = encode_message(Message(kind, value))
        self._parts.metrics.count_peer_bytes("datagram", len(data))
        self._parts.link.send(address, data)

    def _beat(self) -> None:
        """Send a heartbeat to every peer."""
        now = trio.current_time()
        settings = self._parts.settings
        heartbeat = Heartbeat(
            settings.name,
            settings.incarnation,
            settings.data_centre,
            self._parts.link.address,
            self._state,
            self._parts.store.adopter.revision,
            self._parts.view.leaving_endpoints(now),
            self._members.members_hash(now),
        )
        for address in sorted(self.addresses(now) - {self._parts.link.address}):
            self._send(address, "beat", heartbeat)

    def addresses(self, now: float) -> set[str]:
        """Give the addresses of all peers, known or named in the settings."""
        known = {peer.address for peer in self._members.peers(now)}
        return known | {str(address) for address in self._parts.settings.peers}

    def _repeat_notes(self) -> None:
        """Send the notes again that no peer has confirmed yet."""
        for (address, _), note in self._unconfirmed.items():
            self._send(address, "note", note)

    async def _beat_always(self) -> None:
        while True:
            self._beat()
            self._repeat_notes()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def _listen_always(self, nursery: trio.Nursery) -> None:
        while True:
            message, sender = await self._parts.link.receive()
            if message is None:
                self._parts.metrics.count_peer_message("not_understood")
                continue
            self._parts.metrics.count_peer_message(message.kind)
            self._take(message.kind, message.value, sender, nursery)

    def _take(self, kind: str, value: object, sender: str, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        match value:
            case Heartbeat():
                self._take_heartbeat(value, now, nursery)
            case InFlightNote():
                self._notes.add(value, now)
                self._send(sender, "ack", value.request)
            case str() if kind == "ack":
                self._unconfirmed.pop((sender, value), None)
            case str():
                self._notes.remove(value)

    def _take_heartbeat(self, heartbeat: Heartbeat, now: float, nursery: trio.Nursery) -> None:
        if not self._members.receive_heartbeat(heartbeat, now):
            return
        self._notes.mark_alive(heartbeat.name, heartbeat.incarnation)
        for name in heartbeat.leaving_endpoints:
            self._parts.view.note_peer_leaving(name, now)
        self._newest_told = max(self._newest_told, heartbeat.revision)
        if heartbeat.revision > self._parts.store.adopter.highest_validated_revision:
            nursery.start_soon(self.fetch_documents, heartbeat.peer_address)

    async def _watch_always(self) -> None:
        """Notice deaths, and cancel what the dead left behind after a grace."""
        while True:
            await trio.sleep(_TICK_S)
            now = trio.current_time()
            paused = now - self._last_tick > _PAUSE_S
            self._last_tick = now
            if paused:
                # Silence during an own pause says nothing of the others.
                self._members.restart_silence_timers(now)
                continue
            for name, incarnation in self._members.remove_dead(now):
                self._log.say("peer is dead.", peer=name)
                self._notes.mark_dead(name, incarnation, now)
            for orphan in self._notes.take_due(now):
                self._parts.canceller.cancel(orphan.address, orphan.request, orphan.attempt)

    def describe(self) -> Mapping[str, object]:
        """Describe the peers as this instance sees them."""
        peers = self._members.peers(trio.current_time())
        return {
            "name": self._members.name,
            "state": self._state.value,
            "peers": {peer.name: peer.state.value for peer in peers},
            "notes": len(self._notes),
            "suspects": [peer.name for peer in peers if peer.state is not PeerState.ALIVE],
        }
