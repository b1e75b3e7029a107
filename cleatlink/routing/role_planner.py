"""Decides which endpoint changes its role as demand moves between prefill and decode.

A change costs seconds of an engine, which serves neither role meanwhile. It is planned
only on what was seen: learned paces, and the arrivals of some seconds at the least. From
them follows how many streams are late, for their prompt or for a place at a decode, with so
many engines in each role. A change has to win back within some time what it costs, and the
same estimate takes it back when what is seen later contradicts it. A service without any
prefill gets one: decodes that compute prompts themselves hold up the tokens of
every stream they run.

An endpoint that fell silent is often back soon. Nothing is planned around it until it
has been away for as long as a change takes: whoever waits so long before paying a
price loses at most twice what the best choice would have cost.

Each data centre keeps a decode where it can, since a cut may leave it alone: a
decode serves without a prefill, a prefill not without a decode.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence, Set
from types import MappingProxyType
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.demand import MEMORY_S, RoleDemand

__all__ = [
    "PresenceWatch",
    "RoleShift",
    "choose_prefills",
    "most_changing",
    "plan_shift",
    "plan_shifts",
]

# Streams that a plan rests on at the least.
_MIN_REQUESTS = 12
# Seconds of arrivals that a plan rests on at the least: a burst's edge is no demand yet.
_MIN_SECONDS = 3
# A change has to spare at least this share of the streams from being late: what is estimated
# of short queues is off by about as much.
_MIN_GAIN = 0.02
# A smaller share is enough for a change that costs next to nothing, so that little is lost if the
# estimate is wrong: otherwise a calm day has no order until its peak is there.
_MIN_CHEAP_GAIN = 0.002
# By how many times what such a change wins back has to pass what it costs.
_CHEAP_FACTOR = 10.0
# A change wins back its cost within the time for which demand has been seen.
_WIN_BACK_S = MEMORY_S
# One endpoint in so many may change its role at a time.
_ENDPOINTS_A_CHANGE = 6


class RoleShift(NamedTuple):
    """An endpoint that is to take another role."""

    endpoint: RoutedEndpoint
    role: Role


class PresenceWatch:
    """Tells whether an endpoint fell away so lately that it may be back soon."""

    def __init__(self) -> None:
        self._present: Set[str] = frozenset()
        self._lost_at = -math.inf

    def note(self, present: Set[str], leaving: Set[str], now: float) -> None:
        """Take which endpoints are there.

        Args:
            present: Those that are reached.
            leaving: Those that said that they go; they won't be back.
            now: The time.
        """
        if self._present - present - leaving:
            self._lost_at = now
        self._present = present

    def settled(self, patience_s: float, now: float) -> bool:
        """Tell whether the last loss was at least so long ago."""
        return now - self._lost_at >= patience_s


def most_changing(count: int) -> int:
    """Give how many of ``count`` endpoints may change their role at a time."""
    return max(1, count // _ENDPOINTS_A_CHANGE)


def choose_prefills(prefills: int, count: int, demand: RoleDemand) -> int:
    """Give how many of ``count`` endpoints of one speed best serve prefill, at most one from now.

    Args:
        prefills: How many serve it now.
        count: All endpoints.
        demand: Demand on them.
    """
    numbers = [number for number in (prefills, prefills - 1, prefills + 1) if 1 <= number < count]
    return min(numbers, key=lambda number: demand.late_share(number, count - number))


class _Roles(NamedTuple):
    """Speeds of a service's endpoints in each role, beside its usual one."""

    prefills: tuple[float, ...]
    decodes: tuple[float, ...]

    def late_share(self, demand: RoleDemand) -> float:
        """Estimate the share of streams that are late with these roles."""
        return demand.late_share(
            len(self.prefills), len(self.decodes), _mean(self.prefills), _mean(self.decodes)
        )

    def without(self, speed: float, role: Role) -> "_Roles":
        """Give the roles while an endpoint changes to another: it serves neither."""
        if role is Role.DECODE:
            return _Roles(_less(self.prefills, speed), self.decodes)
        return _Roles(self.prefills, _less(self.decodes, speed))

    def after(self, speed: float, role: Role) -> "_Roles":
        """Give the roles once an endpoint has changed."""
        during = self.without(speed, role)
        if role is Role.DECODE:
            return _Roles(during.prefills, (*during.decodes, speed))
        return _Roles((*during.prefills, speed), during.decodes)


def _mean(speeds: Sequence[float]) -> float:
    return sum(speeds) / len(speeds) if speeds else 1.0


def _less(speeds: tuple[float, ...], speed: float) -> tuple[float, ...]:
    """Give some speeds without one of them, or without the first if it is not there."""
    at = speeds.index(speed) if speed in speeds else 0
    return speeds[:at] + speeds[at + 1 :]


def plan_shift(
    prefills: Sequence[RoutedEndpoint],
    decodes: Sequence[RoutedEndpoint],
    demand: RoleDemand | None,
    work: Mapping[str, float],
    targets: Mapping[str, Role] = MappingProxyType({}),
    *,
    change_s: float = 0.0,
    settled: bool = True,
    speeds: Mapping[str, float] = MappingProxyType({}),
) -> RoleShift | None:
    """Give the endpoint that is to change its role now, if any.

    Args:
        prefills: Endpoints in the role of prefill.
        decodes: Endpoints in the role of decode.
        demand: Demand on their service; None while its paces are not known.
        work: Seconds until its work is over by the name of an endpoint; the one that
            is free first changes.
        targets: The roles of those that are changing by the names of the endpoints;
            they count there and are left alone.
        change_s: Seconds that a change takes once an endpoint is free.
        settled: Whether no endpoint is away that may be back soon; without any
            decode a change does not wait for that.
        speeds: Speeds of endpoints beside their service's usual one, where known.
    """
    endpoints = [*prefills, *decodes]
    if decodes and not settled:
        return None
    shifts = {
        role: _candidate(endpoints, decodes, role, work=work, targets=targets, speeds=speeds)
        for role in (Role.DECODE, Role.PREFILL)
    }
    roles = _Roles(
        _speeds_in(Role.PREFILL, endpoints, targets, speeds),
        _speeds_in(Role.DECODE, endpoints, targets, speeds),
    )
    return _wanted_change(roles, shifts, demand, change_s, speeds)


def _speeds_in(
    role: Role,
    endpoints: Sequence[RoutedEndpoint],
    targets: Mapping[str, Role],
    speeds: Mapping[str, float],
) -> tuple[float, ...]:
    """Give the speeds of the endpoints that have a role, or will have it."""
    return tuple(
        speeds.get(endpoint.name, 1.0)
        for endpoint in endpoints
        if targets.get(endpoint.name, endpoint.role) is role
    )


def _candidate(
    endpoints: Sequence[RoutedEndpoint],
    decodes: Sequence[RoutedEndpoint],
    role: Role,
    *,
    work: Mapping[str, float],
    targets: Mapping[str, Role],
    speeds: Mapping[str, float],
) -> RoleShift | None:
    """Give the endpoint that would best take a role; None if none can."""
    free = [
        endpoint
        for endpoint in endpoints
        if endpoint.role is not role and endpoint.name not in targets
    ]
    if not free:
        return None
    kept = Counter(endpoint.data_centre for endpoint in decodes)
    return RoleShift(_best_to_change(free, role, kept, work, speeds), role)


def plan_shifts(
    prefills: Sequence[RoutedEndpoint],
    decodes: Sequence[RoutedEndpoint],
    demand: RoleDemand | None,
    work: Mapping[str, float],
    targets: Mapping[str, Role] = MappingProxyType({}),
    *,
    most: int,
    change_s: float = 0.0,
    settled: bool = True,
    speeds: Mapping[str, float] = MappingProxyType({}),
) -> list[RoleShift]:
    """Give the endpoints that are to change their role now, all to the same one.

    Each has to be worth its change by itself once those before it have changed. Ordered one
    after the other, ten changes would come a change's time and several seconds after they
    were seen to be needed.

    Args:
        prefills: Endpoints in the role of prefill.
        decodes: Endpoints in the role of decode.
        demand: Demand on their service; None while its paces are not known.
        work: Seconds until its work is over by the name of an endpoint.
        targets: The roles of those that are changing by the names of the endpoints.
        most: How many may begin to change.
        change_s: Seconds that a change takes once an endpoint is free.
        settled: Whether no endpoint is away that may be back soon.
        speeds: Speeds of endpoints beside their service's usual one, where known.
    """
    shifts: list[RoleShift] = []
    expected = dict(targets)
    while len(shifts) < most:
        shift = plan_shift(
            prefills,
            decodes,
            demand,
            work,
            expected,
            change_s=change_s,
            settled=settled,
            speeds=speeds,
        )
        if shift is None or (shifts and shift.role is not shifts[0].role):
            break
        shifts.append(shift)
        expected[shift.endpoint.name] = shift.role
    return shifts


def _wanted_change(
    roles: _Roles,
    shifts: Mapping[Role, RoleShift | None],
    demand: RoleDemand | None,
    change_s: float,
    speeds: Mapping[str, float],
) -> RoleShift | None:
    """Give the one of some changes that is to be made, if any."""
    if len(roles.prefills) + len(roles.decodes) < 2:
        return shifts[Role.DECODE] if roles.prefills else None
    if not roles.decodes:
        return shifts[Role.DECODE]
    if not roles.prefills:
        return shifts[Role.PREFILL]
    if demand is None or demand.requests < _MIN_REQUESTS or demand.seconds < _MIN_SECONDS:
        return None
    late = roles.late_share(demand)
    best: RoleShift | None = None
    for role, shift in shifts.items():
        # A role that nobody is free to take may be the one that is short all the same.
        speed = 1.0 if shift is None else speeds.get(shift.endpoint.name, 1.0)
        after = roles.after(speed, role)
        if not after.prefills or not after.decodes:
            continue
        found = after.late_share(demand)
        if found < late:
            best, late = shift, found
    if best is None or not _wins_back(roles, best, demand, change_s, speeds):
        return None
    return best


def _wins_back(
    roles: _Roles,
    shift: RoleShift,
    demand: RoleDemand,
    change_s: float,
    speeds: Mapping[str, float],
) -> bool:
    """Tell whether a change spares more streams from being late than it costs while it lasts."""
    speed = speeds.get(shift.endpoint.name, 1.0)
    before = roles.late_share(demand)
    gain = before - roles.after(speed, shift.role).late_share(demand)
    during = roles.without(speed, shift.role).late_share(demand)
    won, cost = gain * _WIN_BACK_S, (during - before) * change_s
    if gain < _MIN_GAIN:
        return gain >= _MIN_CHEAP_GAIN and won > _CHEAP_FACTOR * cost
    return won > cost


def _best_to_change(
    endpoints: list[RoutedEndpoint],
    role: Role,
    decodes: Mapping[str, int],
    work: Mapping[str, float],
    speeds: Mapping[str, float],
) -> RoutedEndpoint:
    """Give the endpoint that best takes a role.

    Args:
        endpoints: Those that may.
        role: The role.
        decodes: Number of decodes by data centre.
        work: Seconds until its work is over by the name of an endpoint.
        speeds: Speeds of endpoints beside their service's usual one, where known.
    """

    def cost(endpoint: RoutedEndpoint) -> tuple[bool, float, float, str]:
        here = decodes.get(endpoint.data_centre, 0)
        # A new decode is worth most where there is none; a last one is kept.
        uncovers = here > 0 if role is Role.DECODE else here < 2
        left_s = work.get(endpoint.name, 0.0)
        # What it would get done in the new role, in the time that a change has to win.
        done = speeds.get(endpoint.name, 1.0) * (_WIN_BACK_S - left_s)
        return uncovers, -done, left_s, endpoint.name

    return min(endpoints, key=cost)
