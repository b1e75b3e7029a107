"""One relay instance, put together: sources, peers, callers' side and planned stop."""

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
from cleatlink.relay.orders import RoleKeeper
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


# Idle connections and overdue work are looked at so often, and calls that wait try again:
# the room that they need may open with time alone.
_HOUSEKEEPING_S = 0.25
# The platform asks for readiness each second and takes out who fails twice.
_MIN_STOP_S = 2.2
# How soon the end of the last request is noticed.
_STOP_POLL_S = 0.05
# An exit in time of its own: the platform kills what is left at the end of the grace.
_EXIT_S = 0.5
# Registrations that can't be used, and words of endpoints, are told up to so many of each: anybody
# may have written them.
_MOST_TOLD = 100
# An instance itself takes up to half of the smallest machine; a part of the rest is left for what
# the kernel holds.
_HELD_SHARE = 0.25
# Where the machine's memory is not known, that of a small one.
_SMALL_MEMORY_MB = 128.0
_BYTES_A_MB = 1_000_000
# Instances that may exist before any were heard.
_FIRST_MEMBERS = 12


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
            on_leaving=self._note_leaving,
            on_rest=self._note_rest,
            on_limit=self._note_limit,
        )
        self._pool = ConnectionPool(
            self._allowed_connections,
            self._answer_notices.note_head,
            notices.is_leaving,
            self._note_sent,
        )
        self._budgets = ServiceBudgets(settings)
        self._held = HeldBytes(_held_limit_bytes(settings.memory_mb))
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
            self._members,
            self._note_work,
            self._note_spending,
            self._tell_hint,
            self._tell_shed,
            self._crash_watch,
            self._quarantine,
            self._spawn,
        )
        self._service = RelayService(self._parts)
        follower_hooks = FollowerHooks(
            self._service.use_table,
            self._tell_news,
            self._offer_room,
            self._spawn,
            lambda: self._peers.alive,
            lambda: self._peers.must_watch(),  # noqa: PLW0108
            lambda *told: self._peers.tell_source(*told),  # noqa: PLW0108
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
            self._state,
            self._follower.look_again,
            self._follower.take_snapshot,
            self._offer_room,
            self._note_peer_demand,
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
        self._roles = RoleKeeper(
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
        """Whether this instance takes new connections."""
        return self._follower.complete and not self._planned_stop.has_begun

    @property
    def leads(self) -> bool:
        """Whether this instance gives orders."""
        return self._roles.leads

    @property
    def service(self) -> RelayService:
        """The callers' side."""
        return self._service

    @property
    def records(self) -> FleetRecords:
        """What is known of routes and endpoints."""
        return self._follower.records

    @property
    def capacity(self) -> Capacity:
        """What is believed of endpoints' capacity."""
        return self._capacity

    async def run(self, stop: trio.Event) -> None:
        """Serve until ``stop`` is set, then finish what is in progress.

        Raises:
            ListenError: An address of the settings can't be listened on.
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
        """Listen on all addresses.

        Raises:
            ListenError: One can't be had; none is kept then.
        """
        settings = self._settings
        wanted: list[tuple[Address | None, Handler]] = [
            (settings.ready_listen, ReadyHandler(self)),
            (settings.peer_listen, PeerHandler(self)),
            (settings.listen, self._service),
            (settings.metrics_listen, MetricsHandler(self)),
        ]
        listeners: list[tuple[trio.SocketListener, Handler]] = []
        try:
            for address, handler in wanted:
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
            self._peers.start(self._keep, self._spawn)
            for task in (self._follower.run, self._keep_house, self._roles.run):
                self._keep(task)
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
        """Use settings that may change while running."""
        self._settings = settings
        self._budgets.change(settings)
        self._capacity.spill_over.crossing_share = settings.crossing_share
        self._gate.limits.change_tolerance(settings.limit_tolerance)
        eliot.log_message(message_type="instance: reloads its settings", name=settings.name)

    async def _stop(self) -> None:
        """Stop as planned: no longer ready, then finish everything that was taken."""
        stop = self._planned_stop
        stop.begin(trio.current_time(), self._settings.drain_s - _EXIT_S)
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
        """Put a table in force if it is newer, wherever it came from."""
        self._follower.take_table(table, source)

    def _tell_news(self) -> None:
        self._peers.send_beat()
        self._offer_room()

    def _allowed_connections(self, endpoint: RoutedEndpoint) -> float:
        """Give this instance's part of the connections that an endpoint takes."""
        table = self._follower.records.table
        service = table.services.get(endpoint.service) if table is not None else None
        if service is None or not service.connection_limit:
            return math.inf
        return service.connection_limit / self._members()

    def _close_connections(self, life: str) -> None:
        self._pool.forget(life)

    def _note_leaving(self, life: str) -> None:
        self._close_connections(life)
        self._shared_notices.tell_leaving(life)

    def _note_rest(self, life: str) -> None:
        self._shared_notices.tell_rest(life)

    def _note_limit(self, life: str) -> None:
        self._peers.tell_limit(life)

    def _note_sent(self, endpoint: RoutedEndpoint) -> None:
        self._capacity.limits.note_sent(endpoint.name, trio.current_time())

    def _members(self) -> int:
        most = self._peers.most_members
        return max(most + 1, _FIRST_MEMBERS if most == 1 else 0)

    def _note_work(self, *keys: str) -> None:
        self._peers.note_work(*keys)

    def _note_spending(self) -> None:
        self._peers.note_spending()

    def _tell_shed(self, endpoint: str, tokens: int) -> None:
        self._peers.tell_shed(endpoint, tokens)

    def _tell_hint(self, endpoint: str, kind: HintKind) -> None:
        self._peers.tell_hint(endpoint, kind)

    def _offer_room(self) -> None:
        self._service.room.offer()

    def _keep(self, task: Task) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(supervise, task)

    def _spawn(self, task: Task, *args: object) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(run_once, task, *args)

    def _state(self) -> KnownState:
        records = self._follower.records
        return KnownState(
            self._planned_stop.has_begun,
            records.table_revision,
            records.newest,
            self._follower.connected,
        )

    def _note_peer_demand(self, work: Reservation) -> None:
        """Count work that a peer placed as demand."""
        self._capacity.note_demand(work, trio.current_time())

    def snapshot(self, part: Part, *, is_compressed: bool) -> bytes:
        """Give a part of what this instance knows, encoded for a peer."""
        return self._encoded_parts.get(part, is_compressed=is_compressed)

    def status(self) -> InstanceStatus:
        """Give what is known just now, for an operator."""
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
            unusable=dict(sorted(unusable.items())[:_MOST_TOLD]),
            instances=self._peers.alive,
            leads=self.leads,
            quarantine=self._quarantine.held_requests(),
            leaving=self._capacity.notices.leaving_sources(_MOST_TOLD),
            limits=self._capacity.limits.rates_per_s(_MOST_TOLD),
        )

    def render_metrics(self) -> bytes:
        """Give the metrics as text."""
        if self._writer is not None:
            self._metrics.set_dropped(self._writer.dropped)
        self._metrics.set_held(self._held)
        return self._metrics.render()

    async def _sleep_watching(self, seconds: float) -> None:
        """Sleep, and note if this instance did not run as it should have woken."""
        pauses = self._capacity.own_pauses
        pauses.expect_look(trio.current_time() + seconds)
        await trio.sleep(seconds)
        paused_s = pauses.look(trio.current_time())
        if paused_s:
            eliot.log_message(message_type="instance: did not run", paused_ms=int(1000 * paused_s))

    async def _keep_house(self) -> None:
        rng = random.Random(self._incarnation)
        while True:
            # Instances that start together do not look at the same moments.
            await self._sleep_watching(_HOUSEKEEPING_S * (0.5 + rng.random()))
            self._pool.prune()
            self._service.room.keep_house()
            self._quarantine.keep_house()
            self._capacity.notices.forget(trio.current_time())
            self._capacity.limits.forget(trio.current_time())
            self._capacity.plain.forget(self._capacity.endpoints.keys(), trio.current_time())
            self._capacity.plain_returns.forget(trio.current_time())
            if self._writer is not None:
                self._writer.flush()


def _held_limit_bytes(memory_mb: float) -> int:
    """Give what may be held for callers on a machine."""
    return int(_HELD_SHARE * (memory_mb or _SMALL_MEMORY_MB) * _BYTES_A_MB)
