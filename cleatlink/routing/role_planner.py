"""Decides which endpoint changes its role as demand moves between prefill and decode.

Demand is counted in endpoint-seconds a second, from the sizes of the requests
themselves, so that a few requests after a change suffice. A shift is planned
only if it takes the load of the busier role down by a fair part, and for few
endpoints at a time: while one changes, it serves neither role. A service without any
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
from cleatlink.routing.pace import DIRECT_FACTOR

__all__ = [
    "MIN_GAIN",
    "DemandMeter",
    "PresenceWatch",
    "RoleDemand",
    "RoleShift",
    "choose_prefills",
    "most_changing",
    "plan_shift",
    "role_load",
]

# Requests seen lately that a plan needs.
_MIN_REQUESTS = 6.0
# Demand is that of about the last so many seconds: longer than a burst's edge, shorter than
# the hours in which it moves with the day.
_MEMORY_S = 10.0
# The busier role's load must fall by this share.
MIN_GAIN = 0.12
# One endpoint in so many may change its role at a time.
_ENDPOINTS_A_CHANGE = 6


# Shares of the prompts that decodes may compute, of which the best is taken.
_DIRECT_SHARES = tuple(step / 10 for step in range(10))


class RoleDemand(NamedTuple):
    """Demand on one service, in endpoint-seconds a second, and requests lately."""

    prefill: float
    decode: float
    requests: float


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
    numbers = range(1, count)
    return min(numbers, key=lambda number: role_load(number, count, demand), default=0)


def plan_shift(
    prefills: Sequence[RoutedEndpoint],
    decodes: Sequence[RoutedEndpoint],
    demand: RoleDemand,
    work: Mapping[str, float],
    targets: Mapping[str, Role] = MappingProxyType({}),
    *,
    settled: bool = True,
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
        settled: Whether no endpoint is away that may be back soon; without any
            decode a change does not wait for that.
    """
    endpoints = [*prefills, *decodes]
    roles = [targets.get(endpoint.name, endpoint.role) for endpoint in endpoints]
    role = _wanted_change(roles.count(Role.PREFILL), roles.count(Role.DECODE), demand)
    if role is None or (decodes and not settled):
        return None
    free = [
        endpoint
        for endpoint in endpoints
        if endpoint.role is not role and endpoint.name not in targets
    ]
    if not free:
        return None
    kept = Counter(endpoint.data_centre for endpoint in decodes)
    return RoleShift(_best_to_change(free, role, kept, work), role)


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
    """Give the load of the busier role, with prompts shared between them at the best.

    Decodes compute prompts that find every prefill busy, which takes them longer.
    """
    decodes = count - prefills
    return min(
        max(
            (1 - share) * demand.prefill / prefills,
            (demand.decode + share * demand.prefill * DIRECT_FACTOR) / decodes,
        )
        for share in _DIRECT_SHARES
    )


def _best_to_change(
    endpoints: list[RoutedEndpoint],
    role: Role,
    decodes: Mapping[str, int],
    work: Mapping[str, float],
) -> RoutedEndpoint:
    """Give the endpoint that best takes a role.

    Args:
        endpoints: Those that may.
        role: The role.
        decodes: Number of decodes by data centre.
        work: Seconds until its work is over by the name of an endpoint.
    """

    def cost(endpoint: RoutedEndpoint) -> tuple[bool, float, str]:
        here = decodes.get(endpoint.data_centre, 0)
        # A new decode is worth most where there is none; a last one is kept.
        uncovers = here > 0 if role is Role.DECODE else here < 2
        return uncovers, work.get(endpoint.name, 0.0), endpoint.name

    return min(endpoints, key=cost)
