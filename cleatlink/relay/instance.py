"""One relay instance: creates, connects, runs and stops its components."""

import math
import random
from collections.abc import Mapping

import eliot
import trio

from cleatlink import __version__
from cleatlink.core.address import Address
from cleatlink.core.errors import ListenError
from cleatlink.core.routes import RoutedEndpoint, RouteTable
from cleatlink.organisations import OrganisationAccess, OrganisationLimits
from cleatlink.relay.callers.intake import CallerIntake
from cleatlink.relay.callers.internal_pages import MetricsHandler, PeerHandler, ReadyHandler
from cleatlink.relay.callers.server import Handler, serve_connections
from cleatlink.relay.callers.service import RelayService
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.calls.planned_stop import PlannedStop
from cleatlink.relay.endpoints.crash_detector import CrashDetector
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.endpoints.response_notices import ResponseNoticeReader
from cleatlink.relay.endpoints.streams import Connector, TcpConnector
from cleatlink.relay.following.follower import Follower, FollowerHooks
from cleatlink.relay.following.source import ConfigurationSource
from cleatlink.relay.logs import LogWriter
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.advertised_state import AdvertisedState
from cleatlink.relay.peers.encoded_parts import EncodedParts
from cleatlink.relay.peers.endpoint_notice_channel import EndpointNoticeChannel
from cleatlink.relay.peers.group import PeerGroup
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import HintKind
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.relay.peers.snapshots import SnapshotPart
from cleatlink.relay.retry_budgets import ServiceBudgets
from cleatlink.relay.role_controller import RoleController
from cleatlink.relay.settings import RelaySettings
from cleatlink.relay.sockets import listen
from cleatlink.relay.status import InstanceStatus
from cleatlink.relay.tasks import Task, run_and_log_errors, run_with_restarts
from cleatlink.relay.tunnels.service import TunnelHooks, TunnelService
from cleatlink.request.stream_builds import StreamBuild
from cleatlink.routing.buffered_bytes import BufferedBytes
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import FleetRecords
from cleatlink.routing.mechanisms import MechanismSwitches
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.table_tracker import TableTracker

__all__ = ["RelayInstance"]


# Mean interval between checks of idle connections and overdue work. The checks also retry waiting
# calls: the capacity that they need can become free without an event.
_HOUSEKEEPING_S = 0.25
# The platform checks readiness every second and removes an instance after two failed checks.
_MIN_STOP_S = 2.2
# Interval between checks for the end of the last request.
_STOP_POLL_S = 0.05
# Margin to exit before the platform kills the process at the end of the grace period.
_EXIT_MARGIN_S = 0.5
# Largest number of unusable registrations, and of notices of endpoints, in a status. They come from
# outside, so their number has no other limit.
_MAX_REPORTED_ITEMS = 100
# Share of the machine's memory for data of callers. The instance itself uses up to half of the
# smallest machine; a part of the rest is left for the kernel.
_CALLER_MEMORY_SHARE = 0.25
# Memory of a small machine, assumed if the machine's memory is not known.
_DEFAULT_MEMORY_MB = 128.0
_BYTES_PER_MB = 1_000_000
# Number of instances assumed until the first heartbeat of a peer arrives.
_ASSUMED_INITIAL_INSTANCES = 12


class RelayInstance:
    """One relay instance."""

    def __init__(
        self,
        settings: RelaySettings,
        protocol: Protocol,
        source: ConfigurationSource,
        incarnation: int,
        writer: LogWriter | None = None,
        *,
        connector: Connector | None = None,
        measures_loop: bool = True,
    ) -> None:
        """Create the components of an instance without starting it.

        Args:
            settings: Settings of the instance.
            protocol: Names of headers and paths on the wire.
            source: Client of the configuration service.
            incarnation: Number of this start; it grows with each start.
            writer: Writes the log; None in tests.
            connector: Opens connections to endpoints; None for TCP connections.
            measures_loop: Whether the lateness of the event loop is the instance's own; not if
                other components of a test share the loop, or if its clock is virtual.
        """
        self._settings = settings
        self._source = source
        self._incarnation = incarnation
        self._writer = writer
        self._capacity = Capacity(MechanismSwitches(settings.without), trio.current_time())
        self._capacity.spill_over.crossing_share = settings.crossing_share
        self._metrics = RelayMetrics()
        notices = self._capacity.notices
        self._notice_reader = ResponseNoticeReader(
            protocol,
            notices,
            self._capacity.endpoint_limits,
            metrics=self._metrics,
            on_leaving=self._handle_leaving,
            on_backoff=self._announce_backoff,
            on_limit_changed=self._announce_limit,
        )
        rng = random.Random(incarnation)
        self._tunnels = TunnelService(
            settings,
            self._capacity,
            self._metrics,
            connector=connector or TcpConnector(),
            rng=rng,
            hooks=TunnelHooks(
                lambda: self._peers.tunnel_peers(),  # noqa: PLW0108
                lambda *sender: self._peers.is_peer(*sender),  # noqa: PLW0108
                lambda: self._planned_stop.has_begun,
                self._handle_path_change,
                lambda: self._peers.send_heartbeat(),  # noqa: PLW0108
            ),
        )
        self._caller_memory = BufferedBytes(_caller_memory_limit_bytes(settings.memory_mb))
        self._pool = ConnectionPool(
            self._connection_limit,
            self._notice_reader.process_head,
            notices.is_leaving,
            self._count_sent_call,
            dialer=self._tunnels.dialer,
            protocol=protocol,
            memory=self._caller_memory,
        )
        self._budgets = ServiceBudgets(settings, trio.current_time())
        if settings.is_first_start:
            self._budgets.inherit({})
        # Highest number of instances that a peer reported to this process after its start.
        self._reported_instance_count = 0
        self._intake = CallerIntake(
            self._capacity.own_delay,
            self._metrics,
            self._capacity.switches,
            random.Random(incarnation),
            measures_loop=measures_loop,
        )
        self._planned_stop = PlannedStop()
        limits = OrganisationLimits(settings.limit_tolerance, trio.current_time())
        self._organisation_access = OrganisationAccess(limits)
        self._table_tracker = TableTracker()
        self._quarantine = SharedQuarantine(settings.name, rng)
        self._notice_channel = EndpointNoticeChannel(settings.name, notices, rng)
        self._crash_detector = CrashDetector(
            self._pool, self._metrics, spawn=self._spawn, on_crash=self._quarantine.record_crash
        )
        self._components = RelayComponents(
            settings.data_centre,
            protocol,
            self._pool,
            self._caller_memory,
            self._capacity,
            self._planned_stop,
            self._organisation_access,
            self._table_tracker,
            self._metrics,
            rng,
            self._budgets.get_budget,
            self._estimate_instance_count,
            self._announce_retry,
            self._announce_work,
            self._announce_usage,
            self._send_hint,
            self._announce_rejected_tokens,
            self._announce_stream,
            self._find_stream_builds,
            self._crash_detector,
            self._quarantine,
            self._tunnels.paths,
            self._spawn,
        )
        self._service = RelayService(self._components, lambda: self._intake.is_limiting)
        follower_hooks = FollowerHooks(
            self._service.use_table,
            self._announce_new_table,
            self._place_waiting_streams,
            self._spawn,
            lambda: self._peers.live_instances,
            lambda: self._peers.must_watch(),  # noqa: PLW0108
            lambda *change: self._peers.announce_registration(*change),  # noqa: PLW0108
        )
        self._follower = Follower(
            source,
            self._capacity,
            self._pool,
            self._metrics,
            table_tracker=self._table_tracker,
            rng=self._components.rng,
            hooks=follower_hooks,
            endpoint_leave_s=settings.endpoint_leave_s,
        )
        self._encoded_parts = EncodedParts(self._follower.records)
        hooks = PeerHooks(
            self._advertised_state,
            self._follower.poll_service,
            self._follower.apply_snapshot,
            self._place_waiting_streams,
            self._record_peer_demand,
            self._close_connections,
            self._follower.apply_peer_update,
            self._follower.note_peer_table,
            self._follower.read_table,
            self._retry_usage,
            self._inherit_retry_usage,
        )
        self._peers = PeerGroup(
            settings,
            incarnation,
            self._capacity,
            self._organisation_access.limits,
            quarantine=self._quarantine,
            notices=self._notice_channel,
            metrics=self._metrics,
            hooks=hooks,
        )
        self._role_controller = RoleController(
            settings,
            protocol,
            pool=self._pool,
            capacity=self._capacity,
            peers=self._peers,
            metrics=self._metrics,
            get_table=lambda: self._follower.records.table,
            is_stopping=lambda: self._planned_stop.has_begun,
            is_cut_off=self._tunnels.is_cut_off,
        )
        self._nursery: trio.Nursery | None = None

    @property
    def ready(self) -> bool:
        """Whether this instance accepts new connections."""
        return self._follower.has_table_and_endpoints and not self._planned_stop.has_begun

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader, which sends role orders."""
        return self._role_controller.is_leader

    @property
    def service(self) -> RelayService:
        """The service that handles callers' requests."""
        return self._service

    @property
    def records(self) -> FleetRecords:
        """Known routes and endpoints."""
        return self._follower.records

    @property
    def capacity(self) -> Capacity:
        """Estimated capacity of the endpoints."""
        return self._capacity

    async def run(self, stop: trio.Event) -> None:
        """Serve until ``stop`` is set, then finish the requests in progress.

        Raises:
            ListenError: An address of the settings can't be bound.
        """
        try:
            listeners = self._listen()
            self._intake.start()
            try:
                await self._run(listeners, stop)
            finally:
                self._intake.close()
        finally:
            self._tunnels.close()
            self._peers.close()
            self._pool.close()
            self._source.close()
            if self._writer is not None:
                self._writer.flush()

    def _listen(self) -> list[tuple[trio.SocketListener, Handler]]:
        """Listen on all addresses of the settings.

        Raises:
            ListenError: An address can't be bound. The listeners opened so far are closed.
        """
        settings = self._settings
        addresses: list[tuple[Address | None, Handler]] = [
            (settings.ready_listen, ReadyHandler(self)),
            (settings.peer_listen, PeerHandler(self)),
            (settings.listen, self._service),
            (settings.metrics_listen, MetricsHandler(self)),
        ]
        listeners: list[tuple[trio.SocketListener, Handler]] = []
        try:
            for address, handler in addresses:
                if address is not None:
                    listeners.append((listen(address.host, address.port), handler))
            self._tunnels.listen()
        except ListenError:
            for listener, _ in listeners:
                listener.socket.close()
            raise
        return listeners

    async def _run(
        self, listeners: list[tuple[trio.SocketListener, Handler]], stop: trio.Event
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for listener, handler in listeners:
                serves_callers = handler is self._service
                memory = self._caller_memory if serves_callers else None
                intake = self._intake if serves_callers else None
                nursery.start_soon(serve_connections, listener, handler, memory, intake)
            self._tunnels.start(nursery, self._start_supervised)
            self._peers.start(self._start_supervised, self._spawn)
            for task in (self._follower.run, self._run_housekeeping, self._role_controller.run):
                self._start_supervised(task)
            eliot.log_message(
                message_type="instance: starts",
                name=self._settings.name,
                data_centre=self._settings.data_centre,
                incarnation=self._incarnation,
                version=__version__,
                without=self._capacity.switches.disabled_names,
            )
            await stop.wait()
            await self._stop()
            nursery.cancel_scope.cancel()

    def reload(self, settings: RelaySettings) -> None:
        """Apply the settings that may change at run time."""
        self._settings = settings
        self._budgets.apply_settings(settings)
        self._capacity.spill_over.crossing_share = settings.crossing_share
        self._organisation_access.limits.set_tolerance(settings.limit_tolerance)
        eliot.log_message(message_type="instance: applies reloaded settings", name=settings.name)

    async def _stop(self) -> None:
        """Stop as planned: report not ready, then finish all accepted requests."""
        stop = self._planned_stop
        stop.begin(trio.current_time(), self._settings.drain_s - _EXIT_MARGIN_S)
        eliot.log_message(
            message_type="instance: begins a planned stop",
            in_flight=self._service.in_flight,
            waiting=self._service.decode_admission.waiting_count,
            grace_s=self._settings.drain_s,
        )
        self._service.begin_stop()
        self._peers.send_heartbeat()
        self._peers.stream_builds.hand_over()
        while (now := trio.current_time()) < stop.ends_at:
            in_progress = self._service.in_flight + self._tunnels.carried_count
            if stop.age_s(now) >= _MIN_STOP_S and in_progress == 0:
                break
            await trio.sleep(_STOP_POLL_S)
        stop.end()
        eliot.log_message(
            message_type="instance: completed its planned stop",
            in_flight=self._service.in_flight,
            took_ms=int(1000 * stop.age_s(trio.current_time())),
        )

    def apply_newer_table(self, table: RouteTable, source: str) -> None:
        """Put a route table in force if it is newer than the current one, whatever its source."""
        self._follower.apply_table_if_newer(table, source)

    def _announce_new_table(self) -> None:
        self._peers.send_heartbeat()
        self._place_waiting_streams()

    def _connection_limit(self, endpoint: RoutedEndpoint) -> float:
        """Return this instance's share of an endpoint's connection limit."""
        table = self._follower.records.table
        service = table.services.get(endpoint.service) if table is not None else None
        if service is None or not service.connection_limit:
            return math.inf
        return service.connection_limit / self._estimate_instance_count()

    def _close_connections(self, incarnation: str) -> None:
        self._pool.close_idle(incarnation)

    def _handle_leaving(self, incarnation: str) -> None:
        self._close_connections(incarnation)
        self._notice_channel.report_leaving(incarnation)

    def _announce_backoff(self, incarnation: str) -> None:
        self._notice_channel.report_backoff(incarnation)

    def _announce_limit(self, incarnation: str) -> None:
        self._peers.announce_limit(incarnation)

    def _count_sent_call(self, endpoint: RoutedEndpoint) -> None:
        self._capacity.endpoint_limits.count_sent_call(endpoint.name, trio.current_time())

    def _estimate_instance_count(self) -> int:
        """Return the assumed number of instances: one more than are expected.

        Until a heartbeat of a peer has arrived, a larger number is assumed.
        """
        expected = max(self._peers.expected_instances, self._reported_instance_count)
        is_alone = self._peers.peak_live_instances == 1
        return max(expected + 1, _ASSUMED_INITIAL_INSTANCES if is_alone else 0)

    def _retry_usage(self) -> dict[str, float]:
        return self._budgets.usage(self._estimate_instance_count(), trio.current_time())

    def _inherit_retry_usage(
        self, used_allowance: Mapping[str, float], instance_count: int
    ) -> None:
        """Take over what the process that this one replaced used of the retry allowances."""
        was_known = self._budgets.knows_usage(trio.current_time())
        self._reported_instance_count = max(self._reported_instance_count, instance_count)
        self._budgets.inherit(used_allowance)
        if not was_known:
            eliot.log_message(
                message_type="instance: learned what its last process used of the retry budgets",
                used=dict(used_allowance),
                instances=instance_count,
            )
            self._announce_retry()
            self._peers.send_heartbeat()

    def _announce_retry(self) -> None:
        self._peers.announce_retry()

    def _announce_work(self, *keys: str) -> None:
        self._peers.announce_work(*keys)

    def _announce_usage(self) -> None:
        self._peers.announce_usage()

    def _announce_rejected_tokens(self, endpoint: str, tokens: int) -> None:
        self._peers.announce_rejection(endpoint, tokens)

    def _announce_stream(self, stream: StreamBuild) -> None:
        self._peers.stream_builds.announce(stream)

    async def _find_stream_builds(self, key: bytes) -> tuple[str, ...]:
        return await self._peers.stream_builds.find(key)

    def _send_hint(self, endpoint: str, kind: HintKind) -> None:
        self._peers.announce_hint(endpoint, kind)

    def _place_waiting_streams(self) -> None:
        self._service.decode_admission.place_waiting()

    def _start_supervised(self, task: Task) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(run_with_restarts, task)

    def _spawn(self, task: Task, *args: object) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(run_and_log_errors, task, *args)

    def _advertised_state(self) -> AdvertisedState:
        records = self._follower.records
        return AdvertisedState(
            self._planned_stop.has_begun,
            records.table_revision,
            records.newest_record_revision,
            self._follower.is_connected,
            self._tunnels.port,
            self._tunnels.lost_services,
            self._tunnels.is_cut_off(),
            self._budgets.knows_usage(trio.current_time()),
        )

    def _handle_path_change(self, endpoint: RoutedEndpoint) -> None:
        """Stop using idle connections over the other path."""
        self._pool.close_idle(endpoint.name)

    def _record_peer_demand(self, work: Reservation) -> None:
        """Count work that a peer assigned to an endpoint as demand."""
        self._capacity.count_demand(work, trio.current_time())

    def snapshot(self, part: SnapshotPart, *, is_compressed: bool) -> bytes:
        """Return a part of this instance's state, encoded for a peer."""
        return self._encoded_parts.get(part, is_compressed=is_compressed)

    def status(self) -> InstanceStatus:
        """Return the current status, for an operator."""
        unusable = {
            record.label: record.fault.detail
            for record in self.records.records
            if record.fault is not None
        }
        return InstanceStatus(
            name=self._settings.name,
            version=__version__,
            table_revision=self.records.table_revision,
            store_era=self.records.complete_revision.era,
            endpoints=len(self._capacity.endpoints),
            unusable=dict(sorted(unusable.items())[:_MAX_REPORTED_ITEMS]),
            instances=self._peers.live_instances,
            leads=self.is_leader,
            quarantine=self._quarantine.quarantined_requests(),
            quarantined_parts=self._quarantine.quarantined_parts(),
            leaving=self._capacity.notices.leaving_sources(_MAX_REPORTED_ITEMS),
            limits=self._capacity.endpoint_limits.rates_per_s(_MAX_REPORTED_ITEMS),
            unreachable=sorted(self._tunnels.paths.unreachable())[:_MAX_REPORTED_ITEMS],
            lost_paths=sorted(self._tunnels.paths.lost)[:_MAX_REPORTED_ITEMS],
        )

    def render_metrics(self) -> bytes:
        """Return the metrics as text."""
        if self._writer is not None:
            self._metrics.set_dropped_log_lines(self._writer.dropped_lines)
        self._metrics.set_held_bytes(self._caller_memory)
        self._metrics.set_lost_paths(self._tunnels.paths.lost_count)
        self._intake.update_metrics()
        return self._metrics.render()

    async def _sleep_and_detect_pause(self, seconds: float) -> None:
        """Sleep, and log a pause if the process was not running when it should have woken."""
        pauses = self._capacity.process_pauses
        pauses.schedule_check(trio.current_time() + seconds)
        await trio.sleep(seconds)
        paused_s = pauses.check(trio.current_time())
        if paused_s:
            eliot.log_message(
                message_type="instance: its process was paused", paused_ms=int(1000 * paused_s)
            )

    async def _run_housekeeping(self) -> None:
        rng = random.Random(self._incarnation)
        while True:
            # Random intervals, so that instances that start together do not check at the same time.
            await self._sleep_and_detect_pause(_HOUSEKEEPING_S * (0.5 + rng.random()))
            self._pool.close_expired()
            self._intake.update()
            self._service.decode_admission.run_maintenance()
            self._quarantine.remove_expired()
            self._peers.stream_builds.remove_expired()
            self._tunnels.track_endpoints()
            self._capacity.build_history.note_present(
                self._capacity.endpoints.values(), trio.current_time()
            )
            self._capacity.notices.drop_old(trio.current_time())
            self._capacity.endpoint_limits.expire(trio.current_time())
            self._capacity.own_delay.remove_stale(self._capacity.endpoints.keys())
            self._capacity.plain_load.remove_stale(
                self._capacity.endpoints.keys(), trio.current_time()
            )
            self._capacity.expected_plain_retries.remove_expired(trio.current_time())
            if self._writer is not None:
                self._writer.flush()


def _caller_memory_limit_bytes(memory_mb: float) -> int:
    """Return the memory limit in bytes for data of callers."""
    return int(_CALLER_MEMORY_SHARE * (memory_mb or _DEFAULT_MEMORY_MB) * _BYTES_PER_MB)
