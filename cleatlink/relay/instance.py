"""One relay instance: creates, connects, runs and stops its components."""

import math
import random

import eliot
import trio

from cleatlink import __version__
from cleatlink.core.address import Address
from cleatlink.core.errors import ListenError
from cleatlink.core.routes import RoutedEndpoint, RouteTable
from cleatlink.organisations import OrganisationGate, OrganisationLimits
from cleatlink.relay.budgets import ServiceBudgets
from cleatlink.relay.callers.server import Handler, serve_connections
from cleatlink.relay.callers.service import RelayService
from cleatlink.relay.callers.side import MetricsHandler, PeerHandler, ReadyHandler
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.calls.planned_stop import PlannedStop
from cleatlink.relay.endpoints.answer_notices import AnswerNotices
from cleatlink.relay.endpoints.crash_watch import CrashWatch
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.following.follower import Follower, FollowerHooks
from cleatlink.relay.following.source import ConfigurationSource
from cleatlink.relay.logs import LineWriter
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.orders import RoleController
from cleatlink.relay.peers.encoded_parts import EncodedParts
from cleatlink.relay.peers.group import PeerGroup
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.known_state import KnownState
from cleatlink.relay.peers.messages import HintKind
from cleatlink.relay.peers.shared_notices import SharedNotices
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.relay.peers.snapshots import Part
from cleatlink.relay.settings import RelaySettings
from cleatlink.relay.sockets import listen
from cleatlink.relay.status import InstanceStatus
from cleatlink.relay.tasks import Task, run_once, supervise
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import FleetRecords
from cleatlink.routing.held_bytes import HeldBytes
from cleatlink.routing.mechanisms import Switches
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.table_knowledge import TableKnowledge

__all__ = ["RelayInstance"]


# Mean interval between checks of idle connections and overdue work. Waiting calls are retried, too:
# the capacity that they need can become free without an event.
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
# Number of instances assumed before any peer is heard from.
_ASSUMED_INITIAL_MEMBERS = 12


class RelayInstance:
    """One relay instance."""

    def __init__(
        self,
        settings: RelaySettings,
        protocol: Protocol,
        source: ConfigurationSource,
        incarnation: int,
        writer: LineWriter | None = None,
    ) -> None:
        self._settings = settings
        self._source = source
        self._incarnation = incarnation
        self._writer = writer
        self._capacity = Capacity(Switches(settings.without), trio.current_time())
        self._capacity.spill_over.crossing_share = settings.crossing_share
        self._metrics = RelayMetrics()
        notices = self._capacity.notices
        self._answer_notices = AnswerNotices(
            protocol,
            notices,
            self._capacity.limits,
            metrics=self._metrics,
            on_leaving=self._handle_leaving,
            on_rest=self._announce_back_off,
            on_limit=self._announce_limit,
        )
        self._pool = ConnectionPool(
            self._connection_limit,
            self._answer_notices.note_head,
            notices.is_leaving,
            self._record_sent,
        )
        self._budgets = ServiceBudgets(settings)
        self._held = HeldBytes(_caller_memory_limit_bytes(settings.memory_mb))
        self._planned_stop = PlannedStop()
        limits = OrganisationLimits(settings.limit_tolerance, trio.current_time())
        self._gate = OrganisationGate(limits)
        self._tables = TableKnowledge()
        rng = random.Random(incarnation)
        self._quarantine = SharedQuarantine(settings.name, rng)
        self._shared_notices = SharedNotices(settings.name, notices, rng)
        self._crash_watch = CrashWatch(
            self._pool, self._metrics, spawn=self._spawn, on_crash=self._quarantine.note_crash
        )
        self._parts = RelayParts(
            settings.data_centre,
            protocol,
            self._pool,
            self._capacity,
            self._planned_stop,
            self._gate,
            self._tables,
            self._metrics,
            rng,
            self._budgets.of,
            self._estimate_members,
            self._announce_work,
            self._announce_spending,
            self._send_hint,
            self._announce_rejected_tokens,
            self._crash_watch,
            self._quarantine,
            self._spawn,
        )
        self._service = RelayService(self._parts)
        follower_hooks = FollowerHooks(
            self._service.use_table,
            self._announce_new_table,
            self._offer_capacity,
            self._spawn,
            lambda: self._peers.alive,
            lambda: self._peers.must_watch(),  # noqa: PLW0108
            lambda *change: self._peers.tell_source(*change),  # noqa: PLW0108
        )
        self._follower = Follower(
            source,
            self._capacity,
            self._pool,
            self._metrics,
            tables=self._tables,
            rng=self._parts.rng,
            hooks=follower_hooks,
            leaving_s=settings.leaving_s,
        )
        self._encoded_parts = EncodedParts(self._follower.records)
        hooks = PeerHooks(
            self._known_state,
            self._follower.look_again,
            self._follower.take_snapshot,
            self._offer_capacity,
            self._record_peer_demand,
            self._close_connections,
            self._follower.take_news,
            self._follower.note_table,
            self._follower.read_table,
        )
        self._peers = PeerGroup(
            settings,
            incarnation,
            self._capacity,
            self._gate.limits,
            quarantine=self._quarantine,
            notices=self._shared_notices,
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
            table=lambda: self._follower.records.table,
            stopping=lambda: self._planned_stop.has_begun,
        )
        self._nursery: trio.Nursery | None = None

    @property
    def ready(self) -> bool:
        """Whether this instance accepts new connections."""
        return self._follower.complete and not self._planned_stop.has_begun

    @property
    def leads(self) -> bool:
        """Whether this instance is the leader, which sends role orders."""
        return self._role_controller.leads

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
            await self._run(listeners, stop)
        finally:
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
                held = self._held if handler is self._service else None
                nursery.start_soon(serve_connections, listener, handler, held)
            self._peers.start(self._start_supervised, self._spawn)
            for task in (self._follower.run, self._run_housekeeping, self._role_controller.run):
                self._start_supervised(task)
            eliot.log_message(
                message_type="instance: starts",
                name=self._settings.name,
                data_centre=self._settings.data_centre,
                incarnation=self._incarnation,
                version=__version__,
                without=self._capacity.switches.without,
            )
            await stop.wait()
            await self._stop()
            nursery.cancel_scope.cancel()

    def reload(self, settings: RelaySettings) -> None:
        """Apply the settings that may change at run time."""
        self._settings = settings
        self._budgets.change(settings)
        self._capacity.spill_over.crossing_share = settings.crossing_share
        self._gate.limits.change_tolerance(settings.limit_tolerance)
        eliot.log_message(message_type="instance: reloads its settings", name=settings.name)

    async def _stop(self) -> None:
        """Stop as planned: report not ready, then finish all accepted requests."""
        stop = self._planned_stop
        stop.begin(trio.current_time(), self._settings.drain_s - _EXIT_MARGIN_S)
        eliot.log_message(
            message_type="instance: stops",
            in_flight=self._service.in_flight,
            waiting=self._service.room.waiting,
            grace_s=self._settings.drain_s,
        )
        self._service.begin_stop()
        self._peers.send_beat()
        while (now := trio.current_time()) < stop.ends_at:
            if stop.age_s(now) >= _MIN_STOP_S and self._service.in_flight == 0:
                break
            await trio.sleep(_STOP_POLL_S)
        stop.end()
        eliot.log_message(
            message_type="instance: has stopped",
            in_flight=self._service.in_flight,
            took_ms=int(1000 * stop.age_s(trio.current_time())),
        )

    def take_table(self, table: RouteTable, source: str) -> None:
        """Put a route table in force if it is newer than the current one, whatever its source."""
        self._follower.take_table(table, source)

    def _announce_new_table(self) -> None:
        self._peers.send_beat()
        self._offer_capacity()

    def _connection_limit(self, endpoint: RoutedEndpoint) -> float:
        """Return this instance's share of an endpoint's connection limit."""
        table = self._follower.records.table
        service = table.services.get(endpoint.service) if table is not None else None
        if service is None or not service.connection_limit:
            return math.inf
        return service.connection_limit / self._estimate_members()

    def _close_connections(self, incarnation: str) -> None:
        self._pool.forget(incarnation)

    def _handle_leaving(self, incarnation: str) -> None:
        self._close_connections(incarnation)
        self._shared_notices.tell_leaving(incarnation)

    def _announce_back_off(self, incarnation: str) -> None:
        self._shared_notices.tell_rest(incarnation)

    def _announce_limit(self, incarnation: str) -> None:
        self._peers.tell_limit(incarnation)

    def _record_sent(self, endpoint: RoutedEndpoint) -> None:
        self._capacity.limits.note_sent(endpoint.name, trio.current_time())

    def _estimate_members(self) -> int:
        known = self._peers.most_members
        return max(known + 1, _ASSUMED_INITIAL_MEMBERS if known == 1 else 0)

    def _announce_work(self, *keys: str) -> None:
        self._peers.note_work(*keys)

    def _announce_spending(self) -> None:
        self._peers.note_spending()

    def _announce_rejected_tokens(self, endpoint: str, tokens: int) -> None:
        self._peers.tell_shed(endpoint, tokens)

    def _send_hint(self, endpoint: str, kind: HintKind) -> None:
        self._peers.tell_hint(endpoint, kind)

    def _offer_capacity(self) -> None:
        self._service.room.offer()

    def _start_supervised(self, task: Task) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(supervise, task)

    def _spawn(self, task: Task, *args: object) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(run_once, task, *args)

    def _known_state(self) -> KnownState:
        records = self._follower.records
        return KnownState(
            self._planned_stop.has_begun,
            records.table_revision,
            records.newest,
            self._follower.connected,
        )

    def _record_peer_demand(self, work: Reservation) -> None:
        """Count work that a peer assigned to an endpoint as demand."""
        self._capacity.note_demand(work, trio.current_time())

    def snapshot(self, part: Part, *, is_compressed: bool) -> bytes:
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
            store_era=self.records.revision.era,
            endpoints=len(self._capacity.endpoints),
            unusable=dict(sorted(unusable.items())[:_MAX_REPORTED_ITEMS]),
            instances=self._peers.alive,
            leads=self.leads,
            quarantine=self._quarantine.held_requests(),
            leaving=self._capacity.notices.leaving_sources(_MAX_REPORTED_ITEMS),
            limits=self._capacity.limits.rates_per_s(_MAX_REPORTED_ITEMS),
        )

    def render_metrics(self) -> bytes:
        """Return the metrics as text."""
        if self._writer is not None:
            self._metrics.set_dropped_log_lines(self._writer.dropped)
        self._metrics.set_held_bytes(self._held)
        return self._metrics.render()

    async def _sleep_and_detect_pause(self, seconds: float) -> None:
        """Sleep, and log a pause if the process was not running when it should have woken."""
        pauses = self._capacity.own_pauses
        pauses.expect_look(trio.current_time() + seconds)
        await trio.sleep(seconds)
        paused_s = pauses.look(trio.current_time())
        if paused_s:
            eliot.log_message(message_type="instance: did not run", paused_ms=int(1000 * paused_s))

    async def _run_housekeeping(self) -> None:
        rng = random.Random(self._incarnation)
        while True:
            # Random intervals, so that instances that start together do not check at the same time.
            await self._sleep_and_detect_pause(_HOUSEKEEPING_S * (0.5 + rng.random()))
            self._pool.prune()
            self._service.room.keep_house()
            self._quarantine.keep_house()
            self._capacity.notices.forget(trio.current_time())
            self._capacity.limits.forget(trio.current_time())
            self._capacity.plain.forget(self._capacity.endpoints.keys(), trio.current_time())
            self._capacity.plain_returns.forget(trio.current_time())
            if self._writer is not None:
                self._writer.flush()


def _caller_memory_limit_bytes(memory_mb: float) -> int:
    """Return the memory limit in bytes for data of callers."""
    return int(_CALLER_MEMORY_SHARE * (memory_mb or _DEFAULT_MEMORY_MB) * _BYTES_PER_MB)
