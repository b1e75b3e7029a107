"""Gives endpoints their roles: one instance at a time, by fenced orders, drained first."""

from collections.abc import Callable

import eliot
import trio

from cleatlink.clock import unix_ms
from cleatlink.core.data import Role
from cleatlink.core.errors import EndpointError
from cleatlink.core.routes import EngineTraits, RoutedEndpoint, RouteTable
from cleatlink.members.leadership import Leadership
from cleatlink.relay.endpoints.pool import FRESH_LIMIT_S, ConnectionPool
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.group import SILENCE_S, PeerGroup
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.demand import RoleDemand, StreamPromise
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.role_planner import (
    PresenceWatch,
    RoleShift,
    most_changing,
    plan_shifts,
)

__all__ = ["RoleKeeper"]

# Four times within the shortest silence that counts.
_JUDGE_S = 0.25
# Engines answer orders at once; one that is silent for so long may have taken it.
_ORDER_S = 1.0
# Far above the few bytes of an answer.
_MOST_REPLY_BYTES = 65_536
# An endpoint that does not show its new role by then has not taken the order.
_SWITCH_SLACK_S = 2.0
# A plan rests on seconds of arrivals: more often it would be the same.
_PLAN_S = 1.0
# Seconds between two shifts of a service that has few engines, and of one that has many.
_PAUSE_S = 3.0
_SHORT_PAUSE_S = 0.5
# Status of an order that was taken and is not done yet.
_UNDER_WAY = 202


class RoleKeeper:
    """Judges who leads; on the leader, plans shifts and gives orders."""

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
        self._not_before: dict[str, float] = {}
        self._targets: dict[str, Role] = {}
        self._watches: dict[str, PresenceWatch] = {}

    @property
    def leads(self) -> bool:
        """Whether this instance gives orders now."""
        return self._leads

    async def run(self) -> None:
        """Judge and order for ever."""
        now = trio.current_time()
        settings = self._settings
        alone = all(peer == settings.peer_listen for peer in settings.peers)
        leadership = Leadership(settings.name, settings.lease_s, SILENCE_S, now, alone=alone)
        while True:
            await trio.sleep(_JUDGE_S)
            hearing = self._peers.hearing()
            leads = leadership.judge(hearing, trio.current_time()) and not self._stopping()
            self._peers.members, self._peers.vote = leadership.known, leadership.vote
            if leads is not self._leads:
                self._leads = leads
                eliot.log_message(
                    message_type="orders: leads" if leads else "orders: leads no more",
                    heard=len(hearing.votes),
                    members=len(leadership.known),
                    vote=leadership.vote,
                )
                if leads:
                    self._take_fence()
                    self._targets.clear()
            if leads and self._capacity.switches.uses(Mechanism.ROLE_SHIFTS):
                await self._plan_all()

    def _take_fence(self) -> None:
        """Take a fence above every one that is known, also after all were restarted."""
        self._peers.fence = max(self._peers.fence + 1, unix_ms())

    async def _plan_all(self) -> None:
        table = self._table()
        if table is None:
            return
        for service in table.services.values():
            if service.engine is None:
                continue
            shifts = self._plan(service.name, service.engine, table)
            async with trio.open_nursery() as nursery:
                for shift in shifts:
                    nursery.start_soon(self._order, service.name, shift, service.engine)

    def _plan(self, service: str, traits: EngineTraits, table: RouteTable) -> list[RoleShift]:
        capacity, now = self._capacity, trio.current_time()
        prefills = capacity.reached(service, Role.PREFILL, now)
        decodes = capacity.reached(service, Role.DECODE, now)
        endpoints = [*prefills, *decodes]
        watch = self._watches.setdefault(service, PresenceWatch())
        watch.note({item.name for item in endpoints}, capacity.leaving(service), now)
        if now < self._not_before.get(service, 0.0):
            return []
        self._not_before[service] = now + _PLAN_S
        changing = capacity.switching(now).keys() & {item.name for item in endpoints}
        # Where an engine goes that an earlier leader ordered to change is not known here.
        unknown = changing - self._targets.keys()
        most = most_changing(len(endpoints)) - len(changing)
        if unknown or most <= 0:
            return []
        targets = {name: self._targets[name] for name in changing}
        work = {endpoint.name: self._work_left_s(endpoint, now) for endpoint in endpoints}
        demand = capacity.demand(service, traits, _promise(service, table), now)
        waits = capacity.switches.uses(Mechanism.SHIFT_PATIENCE)
        settled = not waits or watch.settled(traits.role_switch_s, now)
        change_s = traits.role_switch_s
        planned = plan_shifts(
            prefills,
            decodes,
            demand,
            work,
            targets,
            most=most,
            change_s=change_s,
            settled=settled,
            speeds={endpoint.name: capacity.speed(endpoint.name, now) for endpoint in endpoints},
        )
        # An order is a call like any other: at an endpoint that rests it can wait.
        shifts = [item for item in planned if capacity.opens_at(item.endpoint.name, now) <= now]
        for shift in shifts:
            self._log_plan(shift, len(prefills), len(decodes), demand)
        return shifts

    def _log_plan(
        self, shift: RoleShift, prefills: int, decodes: int, demand: RoleDemand | None
    ) -> None:
        """Log a shift with what it rests on."""
        seen: dict[str, float] = {}
        if demand is not None:
            seen = {
                "rate": round(demand.rate, 2),
                "most_rate": round(max(demand.rates, default=0.0), 2),
                "prompt_s": round(demand.prompt_s, 4),
                "stream_s": round(demand.stream_s, 3),
                "places": round(demand.places, 1),
                "late_share": round(demand.late_share(prefills, decodes), 3),
                "seconds": demand.seconds,
            }
        eliot.log_message(
            message_type="orders: plans a shift",
            endpoint=shift.endpoint.name,
            role=shift.role.value,
            speed=round(self._capacity.speed(shift.endpoint.name, trio.current_time()), 2),
            prefills=prefills,
            decodes=decodes,
            **seen,
        )

    def _work_left_s(self, endpoint: RoutedEndpoint, now: float) -> float:
        """Give how long an endpoint still works on what it has; it changes after that."""
        return max(0.0, self._capacity.free_at(endpoint.name, endpoint.role, now) - now)

    async def _order(self, service: str, shift: RoleShift, traits: EngineTraits) -> None:
        """Order a shift; an order without an answer may have been taken."""
        fence = self._peers.fence
        endpoint = shift.endpoint
        request = self._protocol.role_order(endpoint, shift.role, self._settings.name, fence)
        status = 0
        now = trio.current_time()
        count = len(self._capacity.in_role(service, Role.PREFILL))
        count += len(self._capacity.in_role(service, Role.DECODE))
        self._not_before[service] = now + (_SHORT_PAUSE_S if most_changing(count) > 1 else _PAUSE_S)
        try:
            with trio.fail_after(_ORDER_S):
                reply = await self._pool.call(
                    endpoint, FRESH_LIMIT_S, lambda: request, _MOST_REPLY_BYTES
                )
            status = reply.head.status
        except (EndpointError, trio.TooSlowError) as error:
            eliot.log_message(message_type="orders: got no answer", error=repr(error))
        if status == 412:
            self._peers.fence = max(fence + 1, unix_ms())
        if status in (0, 200, 202):
            left_s = self._work_left_s(endpoint, now) if status == _UNDER_WAY else 0.0
            until = now + left_s + traits.role_switch_s + _SWITCH_SLACK_S
            self._targets[endpoint.name] = shift.role
            self._capacity.note_switching(endpoint.name, until)
            self._peers.send_beat()
        self._metrics.count_order(str(status))
        eliot.log_message(
            message_type="orders: gave an order",
            endpoint=endpoint.name,
            role=shift.role.value,
            fence=fence,
            status=status,
        )


def _promise(service: str, table: RouteTable) -> StreamPromise:
    """Give what the routes of a service promise."""
    return StreamPromise.of(
        route for route in table.routes if any(share.service == service for share in route.shares)
    )
