"""Changes the roles of endpoints.

Only the leader, one instance at a time, sends role orders. They carry fencing tokens, and an
endpoint finishes its work before it changes its role.
"""

from collections.abc import Callable

import eliot
import trio

from cleatlink.clock import unix_ms
from cleatlink.core.data import Role
from cleatlink.core.errors import EndpointError
from cleatlink.core.routes import EngineProperties, RoutedEndpoint, RouteTable
from cleatlink.members.leadership import LeaderElection
from cleatlink.relay.endpoints.pool import UNREPEATABLE_IDLE_LIMIT_S, ConnectionPool
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.group import PEER_SILENCE_TIMEOUT_S, PeerGroup
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.demand import LatencyTargets, RoleDemand
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.role_planner import (
    EndpointLossTracker,
    RoleChange,
    max_simultaneous_changes,
    plan_role_changes,
)

__all__ = ["RoleController"]

# Interval between elections: four within the shortest silence after which a peer counts as failed.
_ELECTION_INTERVAL_S = 0.25
# Timeout of an order. Engines answer at once; after a timeout the order may have been accepted.
_ORDER_TIMEOUT_S = 1.0
# Far above the size of an answer to an order, which is a few bytes.
_MAX_REPLY_BYTES = 65_536
# Allowance beyond the time of a role change. An endpoint that does not report its new role by then
# has not accepted the order.
_ROLE_CHANGE_MARGIN_S = 2.0
# Interval between plans. A plan uses seconds of arrivals, so more frequent plans would not differ.
_PLAN_INTERVAL_S = 1.0
# Seconds between two role changes of a service with few engines, and of one with many.
_FEW_ENGINES_PAUSE_S = 3.0
_MANY_ENGINES_PAUSE_S = 0.5
# Status of an order that was accepted and is not completed yet.
_STATUS_ACCEPTED = 202


class RoleController:
    """Elects the leader; on the leader, plans role changes and sends role orders."""

    def __init__(
        self,
        settings: RelaySettings,
        protocol: Protocol,
        *,
        pool: ConnectionPool,
        capacity: Capacity,
        peers: PeerGroup,
        metrics: RelayMetrics,
        get_table: Callable[[], RouteTable | None],
        is_stopping: Callable[[], bool],
        is_cut_off: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._protocol = protocol
        self._pool = pool
        self._capacity = capacity
        self._peers = peers
        self._metrics = metrics
        self._get_table = get_table
        self._is_stopping = is_stopping
        self._is_cut_off = is_cut_off
        self._is_leader = False
        self._next_plan_at: dict[str, float] = {}
        self._target_roles: dict[str, Role] = {}
        self._loss_trackers: dict[str, EndpointLossTracker] = {}

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader now, which sends role orders."""
        return self._is_leader

    async def run(self) -> None:
        """Elect the leader, and plan and order role changes, until cancelled."""
        now = trio.current_time()
        settings = self._settings
        alone = all(peer == settings.peer_listen for peer in settings.peers)
        leadership = LeaderElection(
            settings.name, settings.lease_s, PEER_SILENCE_TIMEOUT_S, now, alone=alone
        )
        while True:
            await trio.sleep(_ELECTION_INTERVAL_S)
            peer_reports = self._peers.leader_election_input()
            is_elected = leadership.update(
                peer_reports, trio.current_time(), is_cut_off=self._is_cut_off()
            )
            leads = is_elected and not self._is_stopping()
            self._peers.members, self._peers.vote = leadership.known, leadership.vote
            if leads is not self._is_leader:
                self._is_leader = leads
                eliot.log_message(
                    message_type="orders: became the leader"
                    if leads
                    else "orders: is no longer the leader",
                    heard=len(peer_reports.votes),
                    members=len(leadership.known),
                    vote=leadership.vote,
                )
                if leads:
                    self._renew_fence()
                    self._target_roles.clear()
            if leads and self._capacity.switches.is_enabled(Mechanism.ROLE_CHANGES):
                await self._plan_all()

    def _renew_fence(self) -> None:
        """Choose a fencing token above all known ones, also after a restart of all instances."""
        self._peers.fence = max(self._peers.fence + 1, unix_ms())

    async def _plan_all(self) -> None:
        table = self._get_table()
        if table is None:
            return
        for service in table.services.values():
            if service.engine is None:
                continue
            changes = self._plan_service(service.name, service.engine, table)
            async with trio.open_nursery() as nursery:
                for change in changes:
                    nursery.start_soon(self._send_order, service.name, change, service.engine)

    def _plan_service(
        self, service: str, engine: EngineProperties, table: RouteTable
    ) -> list[RoleChange]:
        capacity, now = self._capacity, trio.current_time()
        prefills = capacity.reachable_endpoints(service, Role.PREFILL, now)
        decodes = capacity.reachable_endpoints(service, Role.DECODE, now)
        endpoints = [*prefills, *decodes]
        loss_tracker = self._loss_trackers.setdefault(service, EndpointLossTracker())
        loss_tracker.update({item.name for item in endpoints}, capacity.leaving(service), now)
        if now < self._next_plan_at.get(service, 0.0):
            return []
        self._next_plan_at[service] = now + _PLAN_INTERVAL_S
        changing = capacity.role_changes_left_s(now).keys() & {item.name for item in endpoints}
        # The target role of an engine that an earlier leader ordered to change is not known here.
        unknown_targets = changing - self._target_roles.keys()
        max_changes = max_simultaneous_changes(len(endpoints)) - len(changing)
        if unknown_targets or max_changes <= 0:
            return []
        target_roles = {name: self._target_roles[name] for name in changing}
        work_left_s = {endpoint.name: self._work_left_s(endpoint, now) for endpoint in endpoints}
        demand = capacity.demand(service, engine, _latency_targets(service, table), now)
        requires_stability = capacity.switches.is_enabled(Mechanism.ROLE_CHANGE_DELAY)
        is_stable = not requires_stability or loss_tracker.is_stable(engine.role_switch_s, now)
        change_s = engine.role_switch_s
        planned = plan_role_changes(
            prefills,
            decodes,
            demand,
            work_left_s,
            target_roles,
            max_changes=max_changes,
            change_s=change_s,
            is_stable=is_stable,
            speeds={
                endpoint.name: capacity.relative_speed(endpoint.name, now) for endpoint in endpoints
            },
        )
        # Like all other calls, no order is sent to an endpoint during its back-off.
        changes = [
            item for item in planned if capacity.accepts_work_at(item.endpoint.name, now) <= now
        ]
        for change in changes:
            self._log_plan(change, len(prefills), len(decodes), demand)
        return changes

    def _log_plan(
        self, change: RoleChange, prefills: int, decodes: int, demand: RoleDemand | None
    ) -> None:
        """Log a planned role change, and the numbers of engines and the demand behind it."""
        demand_fields: dict[str, float] = {}
        if demand is not None:
            demand_fields = {
                "rate": round(demand.rate, 2),
                "most_rate": round(max(demand.rates, default=0.0), 2),
                "prompt_s": round(demand.prompt_s, 4),
                "stream_s": round(demand.stream_s, 3),
                "places": round(demand.streams_per_decode, 1),
                "late_share": round(demand.late_share(prefills, decodes), 3),
                "seconds": demand.window_s,
            }
        eliot.log_message(
            message_type="orders: plans a role change",
            endpoint=change.endpoint.name,
            role=change.role.value,
            speed=round(
                self._capacity.relative_speed(change.endpoint.name, trio.current_time()), 2
            ),
            prefills=prefills,
            decodes=decodes,
            **demand_fields,
        )

    def _work_left_s(self, endpoint: RoutedEndpoint, now: float) -> float:
        """Return the seconds until an endpoint has finished its work; it changes its role then."""
        return max(0.0, self._capacity.free_at(endpoint.name, endpoint.role, now) - now)

    async def _send_order(self, service: str, change: RoleChange, engine: EngineProperties) -> None:
        """Order a role change; an order without an answer may have been accepted."""
        fence = self._peers.fence
        endpoint = change.endpoint
        request = self._protocol.make_role_change_request(
            endpoint, change.role, self._settings.name, fence
        )
        status = 0
        now = trio.current_time()
        engine_count = len(self._capacity.in_role(service, Role.PREFILL))
        engine_count += len(self._capacity.in_role(service, Role.DECODE))
        self._next_plan_at[service] = now + (
            _MANY_ENGINES_PAUSE_S
            if max_simultaneous_changes(engine_count) > 1
            else _FEW_ENGINES_PAUSE_S
        )
        try:
            with trio.fail_after(_ORDER_TIMEOUT_S):
                reply = await self._pool.call(
                    endpoint,
                    UNREPEATABLE_IDLE_LIMIT_S,
                    lambda: request,
                    _MAX_REPLY_BYTES,
                    must_be_direct=True,
                )
            status = reply.head.status
        except (EndpointError, trio.TooSlowError) as error:
            eliot.log_message(
                message_type="orders: got no answer to a role order", error=repr(error)
            )
        if status == 412:
            self._peers.fence = max(fence + 1, unix_ms())
        if status in (0, 200, 202):
            left_s = self._work_left_s(endpoint, now) if status == _STATUS_ACCEPTED else 0.0
            expected_by = now + left_s + engine.role_switch_s + _ROLE_CHANGE_MARGIN_S
            self._target_roles[endpoint.name] = change.role
            self._capacity.note_role_change(endpoint.name, expected_by)
            self._peers.send_heartbeat()
        self._metrics.count_role_order(str(status))
        eliot.log_message(
            message_type="orders: sent a role order",
            endpoint=endpoint.name,
            role=change.role.value,
            fence=fence,
            status=status,
        )


def _latency_targets(service: str, table: RouteTable) -> LatencyTargets:
    """Return the latency targets of the routes of a service."""
    return LatencyTargets.strictest(
        route for route in table.routes if any(share.service == service for share in route.shares)
    )
