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
# Far above the size of an answer, which is a few bytes.
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
        table: Callable[[], RouteTable | None],
        stopping: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._protocol = protocol
        self._pool = pool
        self._capacity = capacity
        self._peers = peers
        self._metrics = metrics
        self._table = table
        self._stopping = stopping
        self._leads = False
        self._next_plan_at: dict[str, float] = {}
        self._target_roles: dict[str, Role] = {}
        self._presence_watches: dict[str, EndpointLossTracker] = {}

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader now, which sends role orders."""
        return self._leads

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
            heard_state = self._peers.leader_election_input()
            leads = leadership.update(heard_state, trio.current_time()) and not self._stopping()
            self._peers.members, self._peers.vote = leadership.known, leadership.vote
            if leads is not self._leads:
                self._leads = leads
                eliot.log_message(
                    message_type="orders: became the leader"
                    if leads
                    else "orders: is no longer the leader",
                    heard=len(heard_state.votes),
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
        table = self._table()
        if table is None:
            return
        for service in table.services.values():
            if service.engine is None:
                continue
            shifts = self._plan_service(service.name, service.engine, table)
            async with trio.open_nursery() as nursery:
                for shift in shifts:
                    nursery.start_soon(self._send_order, service.name, shift, service.engine)

    def _plan_service(
        self, service: str, traits: EngineProperties, table: RouteTable
    ) -> list[RoleChange]:
        capacity, now = self._capacity, trio.current_time()
        prefills = capacity.reachable_endpoints(service, Role.PREFILL, now)
        decodes = capacity.reachable_endpoints(service, Role.DECODE, now)
        endpoints = [*prefills, *decodes]
        watch = self._presence_watches.setdefault(service, EndpointLossTracker())
        watch.update({item.name for item in endpoints}, capacity.leaving(service), now)
        if now < self._next_plan_at.get(service, 0.0):
            return []
        self._next_plan_at[service] = now + _PLAN_INTERVAL_S
        changing = capacity.role_changes_left_s(now).keys() & {item.name for item in endpoints}
        # The target role of an engine that an earlier leader ordered to change is not known here.
        unknown = changing - self._target_roles.keys()
        max_changes = max_simultaneous_changes(len(endpoints)) - len(changing)
        if unknown or max_changes <= 0:
            return []
        target_roles = {name: self._target_roles[name] for name in changing}
        work = {endpoint.name: self._work_left_s(endpoint, now) for endpoint in endpoints}
        demand = capacity.demand(service, traits, _latency_targets(service, table), now)
        requires_stability = capacity.switches.is_enabled(Mechanism.ROLE_CHANGE_DELAY)
        settled = not requires_stability or watch.is_stable(traits.role_switch_s, now)
        change_s = traits.role_switch_s
        planned = plan_role_changes(
            prefills,
            decodes,
            demand,
            work,
            target_roles,
            max_changes=max_changes,
            change_s=change_s,
            is_stable=settled,
            speeds={
                endpoint.name: capacity.relative_speed(endpoint.name, now) for endpoint in endpoints
            },
        )
        # Orders obey back-off as all calls do: no order is sent to an endpoint in back-off.
        shifts = [
            item for item in planned if capacity.accepts_work_at(item.endpoint.name, now) <= now
        ]
        for shift in shifts:
            self._log_plan(shift, len(prefills), len(decodes), demand)
        return shifts

    def _log_plan(
        self, shift: RoleChange, prefills: int, decodes: int, demand: RoleDemand | None
    ) -> None:
        """Log a planned role change with the figures it is based on."""
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
            endpoint=shift.endpoint.name,
            role=shift.role.value,
            speed=round(self._capacity.relative_speed(shift.endpoint.name, trio.current_time()), 2),
            prefills=prefills,
            decodes=decodes,
            **demand_fields,
        )

    def _work_left_s(self, endpoint: RoutedEndpoint, now: float) -> float:
        """Return the seconds until an endpoint has finished its work; it changes its role then."""
        return max(0.0, self._capacity.free_at(endpoint.name, endpoint.role, now) - now)

    async def _send_order(self, service: str, shift: RoleChange, traits: EngineProperties) -> None:
        """Order a role change; an order without an answer may have been accepted."""
        fence = self._peers.fence
        endpoint = shift.endpoint
        request = self._protocol.make_role_change_request(
            endpoint, shift.role, self._settings.name, fence
        )
        status = 0
        now = trio.current_time()
        count = len(self._capacity.in_role(service, Role.PREFILL))
        count += len(self._capacity.in_role(service, Role.DECODE))
        self._next_plan_at[service] = now + (
            _MANY_ENGINES_PAUSE_S if max_simultaneous_changes(count) > 1 else _FEW_ENGINES_PAUSE_S
        )
        try:
            with trio.fail_after(_ORDER_TIMEOUT_S):
                reply = await self._pool.call(
                    endpoint, UNREPEATABLE_IDLE_LIMIT_S, lambda: request, _MAX_REPLY_BYTES
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
            until = now + left_s + traits.role_switch_s + _ROLE_CHANGE_MARGIN_S
            self._target_roles[endpoint.name] = shift.role
            self._capacity.note_role_change(endpoint.name, until)
            self._peers.send_heartbeat()
        self._metrics.count_role_order(str(status))
        eliot.log_message(
            message_type="orders: sent a role order",
            endpoint=endpoint.name,
            role=shift.role.value,
            fence=fence,
            status=status,
        )


def _latency_targets(service: str, table: RouteTable) -> LatencyTargets:
    """Return the latency targets of the routes of a service."""
    return LatencyTargets.strictest(
        route for route in table.routes if any(share.service == service for share in route.shares)
    )
