"""Communication with peers: heartbeats, in-flight notes, documents and idempotency keys.

The decisions are made by packages without I/O. This module sends and receives their
messages and passes them the time.
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
from cleatlink.serving.canceller import Canceller
from cleatlink.serving.change_notifier import ChangeNotifier
from cleatlink.serving.document_store import DocumentStore
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.peer_link import Message, PeerLink, encode_message
from cleatlink.serving.platform import Document, DocumentKind
from cleatlink.serving.settings import Settings

__all__ = ["ClaimRequest", "PeerComponents", "Peers", "KeyOutcome"]

_REQUEST_TIMEOUT_S = 2.0
# Documents can be large and links slow. The timeout of the link itself detects a peer that stops
# sending.
_DOCUMENTS_TIMEOUT_S = 60.0
_CLAIM_PATH = "claim"
_OUTCOME_PATH = "settle"
_DOCUMENTS_PATH = "documents"
# Maximum wait at the owner of a key for the outcome of a call that is running.
_RUNNING_CLAIM_WAIT_S = 1.0
_CHECK_INTERVAL_S = 0.25
# A longer time between two checks counts as a pause of this process.
_PROCESS_PAUSE_S = 2.0


class ClaimRequest(NamedTuple):
    """A request for permission to run a call under an idempotency key."""

    key: str
    fingerprint: str


class KeyOutcome(NamedTuple):
    """Outcome of a granted key; ``answer`` is None if the call certainly did not run."""

    key: str
    answer: StoredAnswer | None


class PeerDocuments(NamedTuple):
    """The configuration and the instance list of a peer; None if it has not received one."""

    configuration: Document | None
    instances: Document | None


class PeerComponents(NamedTuple):
    """Objects that the communication with peers shares with the rest of the instance.

    Attributes:
        settings: This instance's settings.
        link: Sends messages to peers and receives theirs.
        view: This instance's view of the fleet.
        store: Configuration and instance list.
        canceller: Sends cancellations in the background.
        metrics: The instance's metrics.
        unix_time_s: Returns the time since 1970, in seconds; keys contain such times.
    """

    settings: Settings
    link: PeerLink
    view: FleetView
    store: DocumentStore
    canceller: Canceller
    metrics: Metrics
    unix_time_s: Callable[[], float]


class Peers:
    """Communication of one instance with its peers."""

    def __init__(self, components: PeerComponents, members: MembershipView) -> None:
        self._components = components
        self._members = members
        self._notes = InFlightNotes()
        self._keys = IdempotencyKeyRegistry()
        self._state = ReportedState.STARTING
        self._unacknowledged_notes: dict[tuple[str, str], InFlightNote] = {}
        self._note_keepers: dict[str, list[Peer]] = {}
        # Highest revision of a configuration that a peer reported as in force.
        self._highest_peer_revision = 0
        self._fetching: set[str] = set()
        # Addresses of the peers for which the last fetch of documents failed.
        self._failed_fetches: set[str] = set()
        self._outcome_recorded = ChangeNotifier()
        self._last_check_at = trio.current_time()
        self._log = Log("peers")

    @property
    def members(self) -> MembershipView:
        """This instance's view of the membership."""
        return self._members

    @property
    def state(self) -> ReportedState:
        """State that this instance reports in its heartbeats."""
        return self._state

    @property
    def knows_newer_configuration(self) -> bool:
        """Whether a peer reported a configuration that this instance has not received yet."""
        return (
            self._highest_peer_revision
            > self._components.store.active_configuration.highest_validated_revision
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that send heartbeats, receive messages and check the peers."""
        self._last_check_at = trio.current_time()
        nursery.start_soon(self._send_heartbeats_periodically)
        nursery.start_soon(self._receive_messages, nursery)
        nursery.start_soon(self._check_peers_periodically)

    def set_state(self, state: ReportedState) -> None:
        """Change the reported state and send heartbeats with it immediately."""
        self._state = state
        self._send_heartbeats()

    def send_note(
        self, request_name: str, attempt: int, addresses: tuple[str, ...], expires_in_s: float
    ) -> None:
        """Send a note on a request in flight to two peers; call this before sending its order.

        Args:
            request_name: Name of the request.
            attempt: Number of the attempt.
            addresses: Addresses of the endpoints that receive its orders.
            expires_in_s: Seconds until the deadline of the request.
        """
        now = trio.current_time()
        settings = self._components.settings
        note = InFlightNote(
            request_name, settings.name, settings.incarnation, attempt, addresses, expires_in_s
        )
        if request_name not in self._note_keepers:
            self._note_keepers[request_name] = self._members.choose_note_keepers(request_name, now)
        for peer in self._note_keepers[request_name]:
            self._unacknowledged_notes[peer.address, request_name] = note
            self._send(peer.address, "note", note)

    def drop_note(self, request_name: str) -> None:
        """Tell the peers that keep a request's note that the request has ended."""
        for peer in self._note_keepers.pop(request_name, ()):
            self._unacknowledged_notes.pop((peer.address, request_name), None)
            self._send(peer.address, "drop", request_name)

    async def claim(self, claim_request: ClaimRequest, home_data_centre: str) -> ClaimResult:
        """Ask the owner of a key for permission to run a call under it."""
        owner = self._members.owner(claim_request.key, home_data_centre, trio.current_time())
        if owner is None:
            return ClaimResult(ClaimState.UNAVAILABLE)
        if owner.name == self._members.name:
            return await self._claim_locally(claim_request)
        try:
            data = await self._send_request(owner.address, _CLAIM_PATH, claim_request)
            return msgspec.msgpack.decode(data, type=ClaimResult)
        except PeerUnreachableError:
            return ClaimResult(ClaimState.UNAVAILABLE)
        except (PeerError, msgspec.MsgspecError):
            # The owner may have granted the key to this claim, and its answer may be lost.
            return ClaimResult(ClaimState.UNKNOWN)

    async def report_outcome(self, outcome: KeyOutcome, home_data_centre: str) -> None:
        """Report the outcome of a call to the owner of its key; if that fails, it stays unknown."""
        owner = self._members.owner(outcome.key, home_data_centre, trio.current_time())
        if owner is None:
            return
        if owner.name == self._members.name:
            self._record_outcome_locally(outcome)
            return
        try:
            await self._send_request(owner.address, _OUTCOME_PATH, outcome)
        except PeerError as error:
            self._log.log_message(
                "failed to report the outcome of a key to its owner",
                key=outcome.key,
                reason=repr(error),
            )

    async def fetch_documents(self, address: str) -> bool:
        """Request the documents of a peer and use those that are newer.

        Returns:
            Whether the peer answered; False also if such a request is already in progress.
        """
        if address in self._fetching:
            return False
        self._fetching.add(address)
        try:
            data = await self._send_request(address, _DOCUMENTS_PATH, None, _DOCUMENTS_TIMEOUT_S)
            documents = msgspec.msgpack.decode(data, type=PeerDocuments)
        except (PeerError, msgspec.MsgspecError) as error:
            self._log_failed_fetch(address, error)
            return False
        finally:
            self._fetching.discard(address)
        self._failed_fetches.discard(address)
        if documents.configuration is not None:
            self._components.store.offer(DocumentKind.CONFIG, documents.configuration)
        if documents.instances is not None:
            self._components.store.offer(DocumentKind.INSTANCES, documents.instances)
        return True

    def _log_failed_fetch(self, address: str, error: Exception) -> None:
        """Log a failed fetch of documents, once per peer until a fetch succeeds."""
        if address not in self._failed_fetches:
            self._failed_fetches.add(address)
            self._log.log_message(
                "failed to fetch the documents of a peer", peer=address, reason=repr(error)
            )

    async def handle_request(self, path: str, body: bytes) -> bytes:
        """Process a request of a peer and return the encoded answer.

        Raises:
            PeerError: The path is unknown or the body is invalid.
        """
        try:
            encoded = msgspec.msgpack.encode(await self._handle_request(path, body))
        except msgspec.MsgspecError as error:
            raise PeerError(f"invalid body of a peer request: {error}") from error
        self._components.metrics.count_peer_bytes("answer", len(encoded))
        return encoded

    async def _handle_request(self, path: str, body: bytes) -> object:
        if path == _DOCUMENTS_PATH:
            return self._make_documents()
        if path == _CLAIM_PATH:
            return await self._claim_locally(msgspec.msgpack.decode(body, type=ClaimRequest))
        if path == _OUTCOME_PATH:
            self._record_outcome_locally(msgspec.msgpack.decode(body, type=KeyOutcome))
            return None
        raise PeerError(f"unknown path of a peer request: {path}")

    async def _claim_locally(self, claim_request: ClaimRequest) -> ClaimResult:
        """Evaluate a claim; while a call with the key is running, wait briefly for its outcome."""
        claim = self._evaluate_claim(claim_request)
        with trio.move_on_after(_RUNNING_CLAIM_WAIT_S):
            while claim.state is ClaimState.RUNNING:
                await self._outcome_recorded.wait()
                claim = self._evaluate_claim(claim_request)
        return claim

    def _record_outcome_locally(self, outcome: KeyOutcome) -> None:
        self._keys.record_outcome(outcome.key, outcome.answer)
        self._outcome_recorded.notify_all()

    def _evaluate_claim(self, claim_request: ClaimRequest) -> ClaimResult:
        now = trio.current_time()
        owner_since = self._members.owner_since(now)
        # Keys contain wall-clock times of callers; ownership uses the monotonic clock.
        owner_since_unix_s = self._components.unix_time_s() - (now - owner_since)
        # Grants no new keys after a pause until the peers have been checked again, because another
        # instance may have become the owner, and none during a planned stop.
        was_paused = now - self._last_check_at > _PROCESS_PAUSE_S
        if was_paused or self._state is ReportedState.LEAVING:
            owner_since_unix_s = math.inf
        return self._keys.claim(
            claim_request.key,
            claim_request.fingerprint,
            owner_since_unix_s,
            self._components.unix_time_s(),
        )

    def _make_documents(self) -> PeerDocuments:
        published = self._components.store.active_configuration.published
        configuration = Document(*published) if published is not None else None
        return PeerDocuments(configuration, self._components.store.fleet_document)

    async def _send_request(
        self, address: str, path: str, content: object, timeout_s: float = _REQUEST_TIMEOUT_S
    ) -> bytes:
        body = msgspec.msgpack.encode(content)
        self._components.metrics.count_peer_bytes("question", len(body))
        with trio.move_on_after(timeout_s):
            return await self._components.link.send_request(address, path, body)
        raise PeerError("the peer did not answer within the timeout")

    def _send(self, address: str, kind: str, value: object) -> None:
        data = encode_message(Message(kind, value))
        self._components.metrics.count_peer_bytes("datagram", len(data))
        self._components.link.send(address, data)

    def _send_heartbeats(self) -> None:
        """Send a heartbeat to each peer."""
        now = trio.current_time()
        settings = self._components.settings
        heartbeat = Heartbeat(
            settings.name,
            settings.incarnation,
            settings.data_centre,
            self._components.link.address,
            self._state,
            self._components.store.active_configuration.revision,
            self._components.view.leaving_endpoints(now),
            self._members.members_hash(now),
        )
        for address in sorted(self.addresses(now) - {self._components.link.address}):
            self._send(address, "beat", heartbeat)

    def addresses(self, now: float) -> set[str]:
        """Return the addresses of all peers from the membership and the settings."""
        known_addresses = {peer.address for peer in self._members.peers(now)}
        return known_addresses | {str(address) for address in self._components.settings.peers}

    def _resend_notes(self) -> None:
        """Resend the notes that peers have not acknowledged."""
        for (address, _), note in self._unacknowledged_notes.items():
            self._send(address, "note", note)

    async def _send_heartbeats_periodically(self) -> None:
        while True:
            self._send_heartbeats()
            self._resend_notes()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def _receive_messages(self, nursery: trio.Nursery) -> None:
        while True:
            message, sender = await self._components.link.receive()
            if message is None:
                self._components.metrics.count_peer_message("not_understood")
                continue
            self._components.metrics.count_peer_message(message.kind)
            self._handle_message(message.kind, message.value, sender, nursery)

    def _handle_message(self, kind: str, value: object, sender: str, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        match value:
            case Heartbeat():
                self._handle_heartbeat(value, now, nursery)
            case InFlightNote():
                self._notes.add(value, now)
                self._send(sender, "ack", value.request)
            case str() if kind == "ack":
                self._unacknowledged_notes.pop((sender, value), None)
            case str():
                self._notes.remove(value)

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float, nursery: trio.Nursery) -> None:
        if not self._members.receive_heartbeat(heartbeat, now):
            return
        self._notes.mark_alive(heartbeat.name, heartbeat.incarnation)
        for name in heartbeat.leaving_endpoints:
            self._components.view.note_peer_leaving(name, now)
        self._highest_peer_revision = max(self._highest_peer_revision, heartbeat.revision)
        if (
            heartbeat.revision
            > self._components.store.active_configuration.highest_validated_revision
        ):
            nursery.start_soon(self.fetch_documents, heartbeat.peer_address)

    async def _check_peers_periodically(self) -> None:
        """Detect dead peers and, after a grace period, cancel their work at endpoints."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            now = trio.current_time()
            was_paused = now - self._last_check_at > _PROCESS_PAUSE_S
            self._last_check_at = now
            if was_paused:
                # Heartbeats were not processed during the pause, so the peers may be alive.
                self._members.restart_silence_timers(now)
                continue
            for name, incarnation in self._members.remove_dead(now):
                self._log.log_message("removed a peer that sent no heartbeats", peer=name)
                self._notes.mark_dead(name, incarnation, now)
            for orphan in self._notes.take_due(now):
                self._components.canceller.cancel(orphan.address, orphan.request, orphan.attempt)

    def describe(self) -> Mapping[str, object]:
        """Return the peers and their state, as seen by this instance, for the status response."""
        peers = self._members.peers(trio.current_time())
        return {
            "name": self._members.name,
            "state": self._state.value,
            "peers": {peer.name: peer.state.value for peer in peers},
            "notes": len(self._notes),
            "suspects": [peer.name for peer in peers if peer.state is not PeerState.ALIVE],
        }
