"""Exchange heartbeats, work in progress and shared observations with peer instances.

Heartbeats and work changes are sent as datagrams. Datagrams may be lost, so all work
is sent again periodically. In a large fleet they are sent through reflectors (see
``delivery``). Rosters list the known instances; they are sent to each new peer and,
with each heartbeat, to a few others. A route table or registration list that a peer
has and this instance lacks is fetched from the peer over HTTP, so that an instance
refused by the configuration service stays up to date.
"""

import math
import random
from collections.abc import Callable, Set
from functools import partial
from typing import Any, NamedTuple

import eliot
import msgspec
import trio

from cleatlink.core.address import Address
from cleatlink.core.revisions import StoreRevision
from cleatlink.members.leadership import PeerReports
from cleatlink.members.watchers import is_watcher
from cleatlink.organisations import OrganisationLimits
from cleatlink.relay.following.source import SourceChange
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.catch_up import CatchUp
from cleatlink.relay.peers.datagrams import DatagramSocket
from cleatlink.relay.peers.delivery import Delivery
from cleatlink.relay.peers.endpoint_hints import EndpointHints
from cleatlink.relay.peers.endpoint_limit_channel import EndpointLimitChannel
from cleatlink.relay.peers.endpoint_notice_channel import EndpointNoticeChannel
from cleatlink.relay.peers.endpoint_speed_channel import EndpointSpeedChannel
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import (
    Bundle,
    BundleItem,
    CrashUpdate,
    EndpointHint,
    EndpointLimitUsage,
    EndpointNoticeUpdate,
    EndpointSpeedUpdate,
    HeartbeatMessage,
    HintKind,
    Message,
    OrganisationUsage,
    OverloadUpdate,
    PlainCallTotals,
    PredecessorRetryUsage,
    RegistrationUpdate,
    RetryUsageUpdate,
    Roster,
    ServiceTimeUpdate,
    StreamBuildAnswer,
    StreamBuildQuery,
    StreamBuildUpdate,
    WaitQueueUpdate,
    WorkChanges,
    WorkItem,
    WorkList,
    decode_datagram,
)
from cleatlink.relay.peers.organisation_usage_channel import OrganisationUsageChannel
from cleatlink.relay.peers.overload_channel import OverloadChannel
from cleatlink.relay.peers.plain_call_channel import PlainCallChannel
from cleatlink.relay.peers.registration_channel import RegistrationChannel
from cleatlink.relay.peers.retry_usage_channel import RetryUsageChannel
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.relay.peers.stream_build_directory import StreamBuildDirectory
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.relay.peers.wait_queue_channel import WaitQueueChannel
from cleatlink.relay.peers.work_updates import WorkUpdates
from cleatlink.relay.settings import RelaySettings
from cleatlink.request.retry_usage import RestartedPeer
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_sizes import MAX_DIRECT_PEERS
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.tunnel_peers import TunnelPeer

__all__ = ["PEER_SILENCE_TIMEOUT_S", "PeerGroup"]

# Time without a heartbeat after which leader election ignores a peer, in seconds.
PEER_SILENCE_TIMEOUT_S = 2.5

# Interval between heartbeats, in seconds. Two lost heartbeats in a row do not exceed the
# silence after which leader election ignores a peer.
_HEARTBEAT_INTERVAL_S = 1.0
# Number of peers that are sent a roster with each heartbeat.
_ROSTER_RECIPIENTS = 3
# Maximum number of members in a periodic roster. A new peer is sent a complete roster; the
# periodic ones only repair losses. With 195 instances, complete periodic rosters would be 20 of
# the 37 kB that an instance sends each second (encoded sizes); limited ones are 2.4 kB.
_MAX_ROSTER_MEMBERS = 24
# Time that a peer's work is kept beyond twice its expected duration, in seconds. It spans two
# heartbeats; the end of work is usually announced earlier.
_WORK_GRACE_S = 2.0
# Interval in which work changes are combined into one datagram, in seconds: about the pause
# between two steps of one stream.
_BATCH_INTERVAL_S = 0.002
# The same interval in a large fleet, where reflectors combine the changes of all instances anyway.
_LARGE_FLEET_BATCH_INTERVAL_S = 0.02
# Interval between updates of the reflector choice in a large fleet, in seconds. Every other
# update sends a heartbeat.
_TICK_INTERVAL_S = 0.5
_MS_PER_S = 1000.0
# Maximum age of the organisations' totals in a heartbeat, in seconds. Receivers treat all higher
# ages alike; the cap keeps consecutive heartbeats identical.
_MAX_REPORTED_AGE_S = 10
# Interval between checks of the share of instances that send heartbeats, in seconds.
_REACHABLE_SHARE_CHECK_INTERVAL_S = 0.2


class _WorkSequence(NamedTuple):
    """Sequence number of a work announcement, ordered first by the sender's incarnation."""

    incarnation: int
    number: int


_NO_WORK_SEQUENCE = _WorkSequence(0, 0)


class PeerGroup:
    """Sends this instance's state to its peers and applies the state that they send."""

    def __init__(
        self,
        settings: RelaySettings,
        incarnation: int,
        capacity: Capacity,
        limits: OrganisationLimits,
        *,
        quarantine: SharedQuarantine,
        notices: EndpointNoticeChannel,
        metrics: RelayMetrics,
        hooks: PeerHooks,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._capacity = capacity
        self._organisation_limits = limits
        self._organisation_usage_channel = OrganisationUsageChannel(
            settings.name, incarnation, limits, capacity.endpoint_limits
        )
        self._endpoint_limit_channel = EndpointLimitChannel(
            settings.name, incarnation, capacity.endpoint_limits
        )
        self._endpoint_speed_channel = EndpointSpeedChannel(
            settings.name, incarnation, capacity.endpoint_speeds, metrics
        )
        self._wait_queue_channel = WaitQueueChannel(
            settings.name, incarnation, settings.data_centre, capacity.shared_wait_queues
        )
        self._quarantine = quarantine
        self._notice_channel = notices
        self._registration_channel = RegistrationChannel(settings.name)
        self._overload_channel = OverloadChannel(settings.name)
        self._plain_call_channel = PlainCallChannel(settings.name, incarnation, capacity)
        self._retry_usage_channel = RetryUsageChannel(
            settings.name,
            incarnation,
            hooks.retry_usage,
            lambda: self._delivery.uses_reflectors,
        )
        self._channels: tuple[UpdateChannel, ...] = (
            self._plain_call_channel,
            self._organisation_usage_channel,
            self._endpoint_limit_channel,
            self._endpoint_speed_channel,
            quarantine,
            notices,
            self._registration_channel,
            self._overload_channel,
            self._wait_queue_channel,
            self._retry_usage_channel,
        )
        self._metrics = metrics
        self._hooks = hooks
        self._address = str(settings.peer_listen)
        configured = (str(peer) for peer in settings.peers if str(peer) != self._address)
        self._peers = LivePeers(settings.name, configured, trio.current_time())
        self.stream_builds = StreamBuildDirectory(
            settings.name, settings.data_centre, self._peers, lambda: self._socket
        )
        self._changed_work: set[str] = set()
        self._work_updates = WorkUpdates(settings.name, incarnation, settings.data_centre, capacity)
        self._work_changed = trio.Event()
        self._endpoint_hints = EndpointHints(capacity)
        self._rng = random.Random(incarnation)
        self._catch_up = CatchUp(
            settings.data_centre,
            hooks,
            self._peers,
            metrics,
            self._rng,
            must_watch=self.must_watch,
        )
        self.fence = 0
        self.vote = ""
        self.members: Set[str] = frozenset({settings.name})
        self._spawn: Callable[..., None] = _ignore_task
        self._socket = DatagramSocket(settings.peer_listen, metrics)
        self._handlers = self._message_handlers()
        self._delivery = Delivery(settings, incarnation, self._peers, self._socket, metrics)
        # The last sequence number of each peer's work announcements.
        self._last_work_sequences: dict[str, _WorkSequence] = {}
        self._is_heartbeat_due = False
        self._announced_table_revision = 0
        self._heartbeat_number = 0
        self._last_heartbeat: HeartbeatMessage | None = None
        # The last encoded heartbeat by sender. Most heartbeats repeat the previous one and
        # need no decoding.
        self._encoded_heartbeats: dict[str, bytes] = {}
        self._reachable_share_checked_at = -math.inf
        self._has_peer_work_changed = False

    @property
    def listen(self) -> Address:
        """The address at which this instance receives datagrams from its peers."""
        return self._settings.peer_listen

    def leader_election_input(self) -> PeerReports:
        """Return what live peers reported for leader election: votes, members and departures."""
        return self._peers.leader_election_input(PEER_SILENCE_TIMEOUT_S, trio.current_time())

    def peers_seen_within(self, seconds: float) -> set[str]:
        """Return the names of the peers whose last heartbeat is at most this many seconds old."""
        return self._peers.seen_within(seconds, trio.current_time())

    def tunnel_peers(self) -> list[TunnelPeer]:
        """Return the peers that connect to endpoints on behalf of this instance."""
        return self._peers.tunnel_peers(PEER_SILENCE_TIMEOUT_S, trio.current_time())

    def is_peer(self, name: str, host: str) -> bool:
        """Check whether a live peer has this name and sends from this IP address."""
        address = self._peers.address(name)
        return address is not None and address.rpartition(":")[0] == host

    @property
    def live_instances(self) -> int:
        """The number of live instances, including this one."""
        return len(self._peers) + 1

    @property
    def peak_live_instances(self) -> int:
        """The highest number of simultaneously live instances, including this one."""
        return self._peers.peak_live_instances

    @property
    def expected_instances(self) -> int:
        """The assumed number of instances, including those of data centres not heard so far."""
        return self._peers.expected_instances(
            self._settings.data_centre, self._settings.data_centres
        )

    def start(self, supervise: Callable[..., None], spawn: Callable[..., None]) -> None:
        """Start to send and receive.

        Args:
            supervise: Runs a task until the instance stops.
            spawn: Runs a task once.
        """
        self._spawn = spawn
        for task in (
            self._receive,
            self._send_heartbeats,
            self._send_work_changes,
            self._delivery.run,
        ):
            supervise(task)
        for channel in self._channels:
            supervise(partial(self._send_channel_updates, channel))

    @property
    def is_watch_shared(self) -> bool:
        """Whether some instances watch the configuration service on behalf of the others."""
        is_large = len(self._peers) > MAX_DIRECT_PEERS
        return is_large and self._capacity.switches.is_enabled(Mechanism.SHARED_WATCH)

    def must_watch(self) -> bool:
        """Check whether this instance has to watch the configuration service itself."""
        if not self.is_watch_shared or not self._hooks.state().is_service_reachable:
            return True
        now = trio.current_time()
        data_centre = self._settings.data_centre
        others = self._peers.watch_candidates(data_centre, PEER_SILENCE_TIMEOUT_S, now)
        return is_watcher(self._settings.name, others)

    def announce_registration(
        self, after: StoreRevision, change: SourceChange, reachable_for_s: float
    ) -> None:
        """Send a change read from the configuration service to the peers of this data centre."""
        if self.is_watch_shared:
            self._registration_channel.report_change(after, change, reachable_for_s)

    def close(self) -> None:
        """Close the datagram socket."""
        self._socket.close()

    def announce_work(self, *keys: str) -> None:
        """Announce changes of this instance's work to peers.

        Args:
            keys: Keys of the work that changed.
        """
        self._changed_work.update(keys)
        self._work_changed.set()

    def announce_usage(self) -> None:
        """Announce the admitted units soon, since an organisation's limit is nearly used up."""
        self._organisation_usage_channel.request_usage_report()

    def announce_rejection(self, endpoint: str, tokens: int) -> None:
        """Announce immediately that a decode endpoint rejected a stream of this many tokens."""
        self._overload_channel.report_rejection(endpoint, tokens)

    def announce_retry(self) -> None:
        """Announce immediately that this instance took a retry from a budget."""
        self._retry_usage_channel.report_use()

    def announce_limit(self, endpoint_incarnation: str) -> None:
        """Announce immediately that an endpoint changed or removed its limit."""
        self._endpoint_limit_channel.report_limit(endpoint_incarnation)

    async def _send_channel_updates(self, channel: UpdateChannel) -> None:
        while True:
            for update in await channel.next_messages():
                data_centres = (
                    [self._settings.data_centre] if channel.is_data_centre_local else None
                )
                if self._delivery.uses_reflectors and channel.tolerates_delay:
                    self._delivery.send(update, data_centres, legacy_message=update)
                elif channel.is_data_centre_local:
                    by_data_centre = self._peers.addresses_by_data_centre()
                    self._socket.send(update, by_data_centre.get(self._settings.data_centre, []))
                else:
                    self._socket.send(update, self._peers.addresses)

    def send_heartbeat(self) -> None:
        """Send a heartbeat to every known address.

        In a large fleet it is sent with the next tick, unless this instance is leaving or has a
        new route table.
        """
        if not self._delivery.uses_reflectors:
            self._socket.send(self._make_heartbeat(), self._peers.known_addresses)
        elif self._hooks.state().leaving or self._has_unannounced_table():
            self._send_heartbeat_to_fleet(urgent=True)
        else:
            self._is_heartbeat_due = True

    def _has_unannounced_table(self) -> bool:
        """Check whether this instance watches for others and has a table that it has not announced.

        The table counts as announced afterwards.
        """
        table = self._hooks.state().table_revision
        is_new, self._announced_table_revision = table != self._announced_table_revision, table
        return is_new and self.must_watch()

    def _send_heartbeat_to_fleet(self, *, urgent: bool = False) -> HeartbeatMessage:
        """Send a heartbeat through reflectors.

        Peers of earlier builds, which accept no bundles, receive it directly with all work in it.
        """
        now = trio.current_time()
        heartbeat = self._make_heartbeat(work_apart=True)
        legacy_heartbeat = None
        if self._peers.addresses_without_bundle_support():
            legacy_heartbeat = msgspec.structs.replace(
                heartbeat, work=self._work_updates.work_items(now), work_apart=False
            )
        self._is_heartbeat_due = False
        self._delivery.send(heartbeat, legacy_message=legacy_heartbeat, is_urgent=urgent)
        return heartbeat

    def _make_heartbeat(self, *, work_apart: bool = False) -> HeartbeatMessage:
        """Return a heartbeat with the current state.

        Its number changes only when its content, apart from work, changes.

        Args:
            work_apart: Whether work is sent in separate messages instead of the heartbeat.
        """
        state = self._hooks.state()
        now = trio.current_time()
        heartbeat = HeartbeatMessage(
            self._settings.name,
            self._incarnation,
            self._settings.data_centre,
            self._address,
            state.leaving,
            state.table_revision,
            state.newest_revision.number,
            [],
            self.fence,
            {
                name: round(left_s, 2)
                for name, left_s in self._capacity.role_changes_left_s(now).items()
            },
            self.vote,
            len(self.members),
            self._organisation_limits.totals(now),
            self._organisation_limits.used_name_count,
            min(int(self._organisation_limits.uptime_s(now)), _MAX_REPORTED_AGE_S),
            state.newest_revision.era,
            self._capacity.endpoint_limits.used_name_count,
            state.is_service_reachable,
            self._delivery.announced_size,
            self._heartbeat_number,
            True,
            state.tunnel_port,
            list(state.lost_services),
            state.is_cut_off,
            state.knows_retry_usage,
            keeps_stream_builds=True,
        )
        if heartbeat != self._last_heartbeat:
            self._heartbeat_number = self._delivery.next_message_number()
            heartbeat = msgspec.structs.replace(heartbeat, number=self._heartbeat_number)
            self._last_heartbeat = heartbeat
        if work_apart:
            return heartbeat
        return msgspec.structs.replace(
            heartbeat, work=self._work_updates.work_items(now), work_apart=False
        )

    def _send_to_random_peers(self, *first_messages: Message) -> None:
        """Send a roster, service times and repeated updates to a few randomly chosen peers.

        Args:
            first_messages: Messages to send before these.
        """
        addresses = self._peers.addresses
        chosen = self._rng.sample(addresses, min(_ROSTER_RECIPIENTS, len(addresses)))
        messages = [*first_messages, self._roster(_MAX_ROSTER_MEMBERS)]
        summaries = self._capacity.service_time_summaries(trio.current_time())
        if summaries:
            messages.append(ServiceTimeUpdate(self._settings.name, summaries))
        for channel in self._channels:
            messages += channel.repeated_messages()
        self._delivery.send_directly(messages, chosen)

    def _roster(self, max_members: int | None = None) -> Roster:
        """Return the instances that this instance knows.

        Args:
            max_members: Maximum number of instances, chosen at random; None for all.
        """
        names = sorted(self.members | self._peers.names)
        if max_members is not None and len(names) > max_members:
            names = self._rng.sample(names, max_members)
        return Roster(self._settings.name, [self._peers.roster_entry(name) for name in names])

    async def _send_heartbeats(self) -> None:
        while True:
            self._remove_silent_peers()
            if self._delivery.uses_reflectors:
                self._tick(is_heartbeat_due=True)
                await trio.sleep(_TICK_INTERVAL_S)
                self._tick(is_heartbeat_due=False)
                await trio.sleep(_HEARTBEAT_INTERVAL_S - _TICK_INTERVAL_S)
            else:
                self._delivery.tick(trio.current_time())
                self.send_heartbeat()
                self._send_to_random_peers()
                await trio.sleep(_HEARTBEAT_INTERVAL_S)

    def _tick(self, *, is_heartbeat_due: bool) -> None:
        """Send peers of a large fleet the messages that are due or that a new reflector missed."""
        now = trio.current_time()
        has_new_reflector = self._delivery.tick(now)
        if not (is_heartbeat_due or has_new_reflector or self._is_heartbeat_due):
            return
        heartbeat = self._send_heartbeat_to_fleet()
        if is_heartbeat_due:
            self._socket.send(self._make_heartbeat(), self._peers.addresses_without_live_peer())
            self._send_to_random_peers(heartbeat)
        due = self._work_updates.take_due_data_centres(self._peers.addresses_by_data_centre(), now)
        if due:
            self._delivery.send(
                self._work_updates.work_list(now),
                due,
                is_urgent=False,
                reflectors_per_data_centre=1,
            )

    async def _send_work_changes(self) -> None:
        while True:
            await self._work_changed.wait()
            self._work_changed = trio.Event()
            is_large = self._delivery.uses_reflectors
            if is_large:
                await trio.sleep(_LARGE_FLEET_BATCH_INTERVAL_S)
            changed, self._changed_work = self._changed_work, set()
            addresses = self._peers.addresses_by_data_centre()
            now = trio.current_time()
            announced = self._work_updates.changes_by_data_centre(
                changed, addresses, len(self._peers), now
            )
            for data_centre, changes in announced.items():
                if is_large:
                    self._delivery.send(
                        changes, [data_centre], legacy_message=changes, reflectors_per_data_centre=1
                    )
                else:
                    self._socket.send(changes, addresses[data_centre])
            if not is_large:
                await trio.sleep(_BATCH_INTERVAL_S)

    def _remove_silent_peers(self) -> None:
        now = trio.current_time()
        self._organisation_usage_channel.update_reachable_share(now)
        self._capacity.expire_peers(now, _WORK_GRACE_S)
        self._capacity.shared_wait_queues.set_peer_count(len(self._peers))
        self._capacity.spill_over.set_peer_count(len(self._peers))
        for removed in self._peers.remove_expired(now):
            self._capacity.remove_peer(removed.name)
            self._last_work_sequences.pop(removed.name, None)
            self._capacity.shared_wait_queues.remove_report(removed.name)
            self._encoded_heartbeats.pop(removed.name, None)
            self._retry_usage_channel.remove_peer(removed.name)
            eliot.log_message(
                message_type="peers: removed a peer that sent no heartbeats",
                peer=removed.name,
                silent_s=round(removed.silent_s, 2),
                alive=self.live_instances,
            )

    async def _receive(self) -> None:
        while True:
            for message in await self._socket.receive():
                self._handle_message(message, 0.0)
            self._check_reachable_share()
            if self._has_peer_work_changed:
                self._has_peer_work_changed = False
                self._hooks.on_work_change()

    def _message_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each message type."""
        return {
            Bundle: self._handle_bundle,
            WorkChanges: self._handle_work_changes,
            EndpointHint: self._handle_hint,
            PlainCallTotals: self._handle_plain_calls,
            Roster: self._handle_roster,
            ServiceTimeUpdate: self._handle_service_times,
            CrashUpdate: self._handle_crashes,
            EndpointNoticeUpdate: self._handle_notices,
            EndpointSpeedUpdate: self._handle_endpoint_speeds,
            EndpointLimitUsage: self._handle_endpoint_limit_usage,
            OverloadUpdate: self._handle_overload_update,
            RegistrationUpdate: self._handle_registration_update,
            OrganisationUsage: self._handle_organisation_usage,
            WorkList: self._handle_work_list,
            WaitQueueUpdate: self._handle_wait_queue_update,
            RetryUsageUpdate: self._handle_retry_usage,
            PredecessorRetryUsage: self._handle_predecessor_usage,
            StreamBuildUpdate: self._handle_stream_builds,
            StreamBuildQuery: self._handle_stream_build_query,
            StreamBuildAnswer: self._handle_stream_build_answer,
        }

    def _handle_plain_calls(self, update: PlainCallTotals) -> None:
        self._metrics.count_peer_message("plain_calls")
        self._plain_call_channel.record_totals(update)

    def _handle_hint(self, hint: EndpointHint) -> None:
        self._metrics.count_peer_message(hint.kind.value)
        self._endpoint_hints.record_hint(hint, trio.current_time())

    def _handle_roster(self, roster: Roster) -> None:
        self._metrics.count_peer_message("roster")
        new_addresses = self._peers.record_roster(roster, trio.current_time())
        if new_addresses and len(self._peers) + len(new_addresses) > MAX_DIRECT_PEERS:
            # An instance that joins a large fleet and its peers then discover each other one
            # heartbeat earlier.
            self._socket.send(self._make_heartbeat(), new_addresses)

    def _handle_crashes(self, update: CrashUpdate) -> None:
        self._metrics.count_peer_message("crashes")
        self._quarantine.record_update(update)

    def _handle_notices(self, update: EndpointNoticeUpdate) -> None:
        self._metrics.count_peer_message("notices")
        for endpoint_incarnation in self._notice_channel.record_notices(update):
            self._hooks.on_endpoint_leaving(endpoint_incarnation)

    def _handle_endpoint_limit_usage(self, update: EndpointLimitUsage) -> None:
        self._metrics.count_peer_message("endpoint_limits")
        self._endpoint_limit_channel.record_limits(update)

    def _handle_endpoint_speeds(self, update: EndpointSpeedUpdate) -> None:
        self._metrics.count_peer_message("endpoint_paces")
        self._endpoint_speed_channel.record_measurements(update)

    def _handle_overload_update(self, update: OverloadUpdate) -> None:
        self._metrics.count_peer_message("shed")
        now = trio.current_time()
        for endpoint, tokens in update.rejections:
            self._capacity.note_memory_refusal(endpoint, tokens, now)

    def _handle_registration_update(self, update: RegistrationUpdate) -> None:
        self._metrics.count_peer_message("source")
        self._hooks.on_registration_update(update)

    def _handle_wait_queue_update(self, update: WaitQueueUpdate) -> None:
        self._metrics.count_peer_message("waiting")
        self._wait_queue_channel.record_queue(update)

    def _handle_retry_usage(self, update: RetryUsageUpdate) -> None:
        self._metrics.count_peer_message("retry_usage")
        self._retry_usage_channel.record_update(update, trio.current_time())

    def _handle_predecessor_usage(self, report: PredecessorRetryUsage) -> None:
        self._metrics.count_peer_message("predecessor_retry_usage")
        is_for_this_process = report.incarnation == self._incarnation
        if report.receiver == self._settings.name and is_for_this_process:
            self._hooks.on_predecessor_usage(report.used_allowance, report.instance_count)

    def _handle_stream_builds(self, update: StreamBuildUpdate) -> None:
        self._metrics.count_peer_message("stream_builds")
        self.stream_builds.handle_update(update)

    def _handle_stream_build_query(self, query: StreamBuildQuery) -> None:
        self._metrics.count_peer_message("stream_build_query")
        self.stream_builds.handle_query(query)

    def _handle_stream_build_answer(self, answer: StreamBuildAnswer) -> None:
        self._metrics.count_peer_message("stream_build_answer")
        self.stream_builds.handle_answer(answer)

    def _send_predecessor_usage(self, heartbeat: HeartbeatMessage) -> None:
        """Tell a peer what the process used that it replaced, if that is known."""
        report = self._retry_usage_channel.predecessor_message(
            heartbeat.name, heartbeat.incarnation, self.expected_instances
        )
        if report is not None:
            self._socket.send(report, [heartbeat.address])

    def _handle_organisation_usage(self, update: OrganisationUsage) -> None:
        self._metrics.count_peer_message("spending")
        self._organisation_usage_channel.record_usage(update, trio.current_time())

    def _check_reachable_share(self) -> None:
        """Periodically adjust the limits to the share of instances that send heartbeats."""
        now = trio.current_time()
        if now - self._reachable_share_checked_at >= _REACHABLE_SHARE_CHECK_INTERVAL_S:
            self._reachable_share_checked_at = now
            self._organisation_usage_channel.update_reachable_share(now)

    def _handle_message(self, message: Message | None, age_s: float) -> None:
        """Process a message.

        Args:
            message: The message; None if it could not be decoded.
            age_s: Seconds since it was sent.
        """
        if isinstance(message, HeartbeatMessage):
            self._handle_heartbeat(message, age_s)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._metrics.count_peer_message("not_understood")
        else:
            handler(message)

    def _handle_bundle(self, bundle: Bundle) -> None:
        """Process the messages of a bundle, each only once even if it is received repeatedly."""
        self._metrics.count_peer_message("bundle")
        now = trio.current_time()
        for item in bundle.items:
            is_new = self._delivery.accept_item(item, bundle.forward, now)
            if item.origin == self._settings.name:
                self._delivery.record_echo(bundle.name, now)
            elif is_new:
                self._handle_bundle_item(item, now)

    def _handle_bundle_item(self, item: BundleItem, now: float) -> None:
        """Process one message of a bundle; a repeated heartbeat is not decoded again."""
        age_s = max(0, item.age_ms) / _MS_PER_S
        if self._encoded_heartbeats.get(item.origin) == item.data:
            heartbeat = self._peers.record_repeated_heartbeat(item.origin, now - age_s)
            if heartbeat is not None and self._organisation_usage_channel.record_repeated_heartbeat(
                item.origin, now - age_s, now
            ):
                self._catch_up.handle_heartbeat(heartbeat, self._spawn)
                return
        message = decode_datagram(item.data)
        # Instances never nest bundles; a nested bundle would be forwarded endlessly.
        self._handle_message(None if isinstance(message, Bundle) else message, age_s)
        if isinstance(message, HeartbeatMessage) and self._peers.is_latest(message):
            self._encoded_heartbeats[message.name] = item.data

    def _handle_heartbeat(self, heartbeat: HeartbeatMessage, age_s: float) -> None:
        if heartbeat.name == self._settings.name or self._peers.is_outdated(heartbeat):
            return
        self._metrics.count_peer_message("beat")
        self._encoded_heartbeats.pop(heartbeat.name, None)
        has_restarted = self._peers.incarnation(heartbeat.name) not in (None, heartbeat.incarnation)
        if has_restarted:
            # The peer restarted: its earlier work has ended.
            self._capacity.remove_peer(heartbeat.name)
            self._has_peer_work_changed = True
            self._note_restart(heartbeat)
        now = trio.current_time()
        if self._peers.record_heartbeat(heartbeat, now - age_s):
            eliot.log_message(
                message_type="peers: discovered a peer",
                peer=heartbeat.name,
                alive=self.live_instances,
            )
            self._send_introduction(heartbeat)
        elif has_restarted:
            # Its process knows nothing of what this instance told the last one.
            self._send_introduction(heartbeat)
        if not heartbeat.knows_retry_usage:
            self._send_predecessor_usage(heartbeat)
        self._organisation_usage_channel.record_heartbeat(heartbeat, now - age_s, now)
        self.fence = max(self.fence, heartbeat.highest_fence)
        for endpoint, left_s in heartbeat.switching_endpoints.items():
            self._capacity.note_role_change(endpoint, now - age_s + left_s)
        if not heartbeat.work_apart and (
            heartbeat.work or self._capacity.has_peer_reservations(heartbeat.name)
        ):
            self._replace_peer_work(heartbeat.name, heartbeat.work, now)
        self._catch_up.handle_heartbeat(heartbeat, self._spawn)

    def _note_restart(self, heartbeat: HeartbeatMessage) -> None:
        """Keep what is known of a peer's last process, for the one that replaced it."""
        now = trio.current_time()
        last = self._peers.last_heartbeat(heartbeat.name)
        if last is None:
            return
        peer = RestartedPeer(
            heartbeat.name,
            last.incarnation,
            heartbeat.incarnation,
            self._peers.silent_s(heartbeat.name, now),
            last.knows_retry_usage,
        )
        self._retry_usage_channel.note_restart(peer, self._settings.retry_window_s, now)

    def _handle_work_list(self, work_list: WorkList) -> None:
        """Process a list of all work of a peer that is sent separately from its heartbeat."""
        self._metrics.count_peer_message("work")
        if self._is_newer(work_list):
            self._replace_peer_work(work_list.name, work_list.work, trio.current_time())

    def _is_newer(self, announcement: WorkChanges | WorkList) -> bool:
        """Check whether a work announcement is newer than the last one of its sender."""
        if self._peers.incarnation(announcement.name) != announcement.incarnation:
            return False
        if announcement.number:
            sequence = _WorkSequence(announcement.incarnation, announcement.number)
            if sequence <= self._last_work_sequences.get(announcement.name, _NO_WORK_SEQUENCE):
                return False
            self._last_work_sequences[announcement.name] = sequence
        return True

    def _replace_peer_work(self, peer: str, items: list[WorkItem], now: float) -> None:
        """Replace all known work of a peer; in a large fleet, most instances have none."""
        work = {item.key: item.to_reservation(now) for item in items}
        for key, item in work.items():
            self._report_new_placement(peer, key, item)
        self._capacity.replace_peer_reservations(peer, work)
        self._has_peer_work_changed = True

    def _send_introduction(self, heartbeat: HeartbeatMessage) -> None:
        """Send a new peer the roster, service times and the full state of all channels."""
        messages: list[Message] = []
        known_count = len(self.members | self._peers.names)
        if not self._delivery.uses_reflectors or heartbeat.member_count < known_count:
            messages.append(self._roster())
        summaries = self._capacity.service_time_summaries(trio.current_time())
        if summaries:
            messages.append(ServiceTimeUpdate(self._settings.name, summaries))
        for channel in self._channels:
            messages += channel.initial_messages()
        if (
            self._delivery.uses_reflectors
            and heartbeat.size
            and self._work_updates.work_items(trio.current_time())
        ):
            messages.append(self._work_updates.work_list(trio.current_time()))
        if messages:
            self._delivery.send_directly(messages, [heartbeat.address])

    def _handle_service_times(self, update: ServiceTimeUpdate) -> None:
        """Adopt a peer's service times for services that this instance has not measured."""
        self._metrics.count_peer_message("paces")
        now = trio.current_time()
        for service, (summary, age_s) in update.service_times.items():
            self._capacity.service_times(service).adopt_peer_summary(summary, age_s, now)

    def announce_hint(self, endpoint: str, kind: HintKind) -> None:
        """Announce an endpoint that was slow or could not be reached.

        Unreachable endpoints are announced only in this data centre.
        """
        now = trio.current_time()
        if not self._endpoint_hints.record_if_due(endpoint, kind, now):
            return
        own_data_centre = self._settings.data_centre
        local_addresses = self._peers.addresses_by_data_centre().get(own_data_centre, [])
        addresses = self._peers.addresses if kind is HintKind.SLOW else local_addresses
        hint = EndpointHint(self._settings.name, endpoint, kind)
        if self._delivery.uses_reflectors:
            self._delivery.send(
                hint, None if kind is HintKind.SLOW else [own_data_centre], legacy_message=hint
            )
        else:
            self._socket.send(hint, addresses)
        self._endpoint_hints.record_hint(hint, now)

    def _handle_work_changes(self, changes: WorkChanges) -> None:
        if not self._is_newer(changes):
            return
        now = trio.current_time()
        for item in changes.placed:
            work = item.to_reservation(now)
            self._report_new_placement(changes.name, item.key, work)
            self._capacity.add_peer_reservation(changes.name, item.key, work)
        for key in changes.ended:
            self._capacity.remove_peer_reservation(changes.name, key)
        self._has_peer_work_changed = self._has_peer_work_changed or bool(changes.ended)

    def _report_new_placement(self, peer: str, key: str, item: Reservation) -> None:
        if not self._capacity.has_peer_reservation(peer, key):
            self._hooks.on_placement(item)


def _ignore_task(*_: object) -> None:
    """Ignore a task; it replaces the callback that spawns tasks until the group is started."""
