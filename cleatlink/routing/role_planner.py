"""Decides which endpoint changes its role as demand moves between prefill and decode.

Demand is counted in endpoint-seconds a second, from the sizes of the requests
themselves, so that a few requests after a change suffice. A shift is planned
only if it takes the load of the busier role down by a fair part, and for few
endpoints at a time: while one changes, it serves neither role. A service without any
prefill gets one at once: decodes that compute prompts themselves hold up the
tokens of every stream they run.
"""

import math
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint

__all__ = [
    "MIN_GAIN",
    "DemandMeter",
    "RoleDemand",
    "RoleShift",
    "choose_prefills",
    "most_changing",
    "plan_shift",
    "role_load",
]

# Requests seen lately that a plan needs.
_MIN_REQUESTS = 6.0
_MEMORY_S = 10.0
# The busier role's load must fall by this share.
MIN_GAIN = 0.12
# One endpoint in so many may change its role at a time.
_ENDPOINTS_A_CHANGE = 6
# From so many endpoints on no plan leaves a role with one that can't be spared.
_SPARE_FROM = 5


class RoleDemand(NamedTuple):
    """Demand on one service, in endpoint-seconds a second, and requests lately."""

    prefill: float
    decode: float
    requests: float


class RoleShift(NamedTuple):
    """An endpoint that is to take another role."""

    endpoint: RoutedEndpoint
    role: Role


class DemandMeter:
    """Sums demand, and forgets it with time."""

    def __init__(self) -> None:
        self._prefill_s = 0.0
        self._decode_s = 0.0
        self._requests = 0.0
        self._at = 0.0

    def note(self, role: Role, endpoint_s: float, now: float) -> None:
        """Count work that takes an endpoint so many seconds."""
        self._forget(now)
        if role is Role.PREFILL:
            self._prefill_s += endpoint_s
        elif role is Role.DECODE:
            self._decode_s += endpoint_s
            self._requests += 1.0

    def demand(self, now: float) -> RoleDemand:
        """Give the demand lately."""
        self._forget(now)
        return RoleDemand(self._prefill_s / _MEMORY_S, self._decode_s / _MEMORY_S, self._requests)

    def _forget(self, now: float) -> None:
        share = math.exp(-max(0.0, now - self._at) / _MEMORY_S)
        self._prefill_s *= share
        self._decode_s *= share
        self._requests *= share
        self._at = max(self._at, now)


def most_changing(count: int) -> int:
    """Give how many of ``count`` endpoints may change their role at a time."""
    return max(1, count // _ENDPOINTS_A_CHANGE)


def choose_prefills(count: int, demand: RoleDemand) -> int:
    """Give how many of ``count`` endpoints best serve prefill."""
    least = 1 if count < _SPARE_FROM else 2
    numbers = range(least, count - least + 1)
    return min(numbers, key=lambda number: role_load(number, count, demand), default=0)


def plan_shift(
    prefills: Sequence[RoutedEndpoint],
    decodes: Sequence[RoutedEndpoint],
    demand: RoleDemand,
    work: Mapping[str, float],
    targets: Mapping[str, Role] = MappingProxyType({}),
) -> RoleShift | None:
    """Give the endpoint that is to change its role now, if any.

    Args:
        prefills: Endpoints in the role of prefill.
        decodes: Endpoints in the role of decode.
        demand: Demand on their service.
        work: Seconds until its work is over by the name of an endpoint; the one that
            is free first changes.
        targets: The roles of those that are changing by the names of the endpoints;
            they count there and are left alone.
    """
    endpoints = [*prefills, *decodes]
    roles = [targets.get(endpoint.name, endpoint.role) for endpoint in endpoints]
    role = _wanted_change(roles.count(Role.PREFILL), roles.count(Role.DECODE), demand)
    if role is None:
        return None
    free = [
        endpoint
        for endpoint in endpoints
        if endpoint.role is not role and endpoint.name not in targets
    ]
    return RoleShift(_freest(free, work), role) if free else None


def _wanted_change(prefills: int, decodes: int, demand: RoleDemand) -> Role | None:
    """Give the role that one more endpoint is to take, if any."""
    count = prefills + decodes
    if count < 2:
        return Role.DECODE if prefills else None
    if not decodes:
        return Role.DECODE
    if not prefills:
        return Role.PREFILL
    if demand.requests < _MIN_REQUESTS:
        return None
    wanted = choose_prefills(count, demand)
    before, after = role_load(prefills, count, demand), role_load(wanted, count, demand)
    if wanted == prefills or after > (1 - MIN_GAIN) * before:
        return None
    return Role.DECODE if wanted < prefills else Role.PREFILL


def role_load(prefills: int, count: int, demand: RoleDemand) -> float:
    """Give the load of the busier role."""
    decodes = count - prefills
    return max(demand.prefill / prefills, demand.decode / decodes)


def _freest(endpoints: list[RoutedEndpoint], work: Mapping[str, float]) -> RoutedEndpoint:
    return min(endpoints, key=lambda endpoint: (work.get(endpoint.name, 0.0), endpoint.name))
