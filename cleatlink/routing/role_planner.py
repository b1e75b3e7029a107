"""Plans role changes of endpoints as demand moves between prefill and decode.

An engine that changes its role serves neither role for some seconds. A change is therefore planned
only from measurements: measured service times, and arrivals over several seconds. From these the
planner estimates the share of streams that would be late, because of their prompt or of a missing
slot at a decode, for a given number of engines in each role. A change must save more late streams
within a fixed time than it causes; the same estimate reverses the change when later measurements
contradict it. A service without any prefill gets one, because decodes that compute prompts
themselves delay the tokens of every stream that they run.

An endpoint that stops responding often returns soon. No change is planned to replace it until
it has been away for as long as a change takes. Waiting for that time before paying the cost of
a change loses at most twice what the best choice would have cost.

Each data centre keeps at least one decode where possible, because a network partition may isolate
it: a decode can serve without a prefill, but a prefill cannot serve without a decode.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence, Set
from types import MappingProxyType
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.demand import WINDOW_S, RoleDemand

__all__ = [
    "EndpointLossTracker",
    "RoleChange",
    "choose_prefills",
    "max_simultaneous_changes",
    "plan_role_change",
    "plan_role_changes",
]

# Fewest streams on which a plan may be based.
_MIN_REQUESTS = 12
# Shortest period of arrivals, in seconds, on which a plan may be based: the start of a burst alone
# says nothing about lasting demand.
_MIN_PERIOD_S = 3
# Smallest decrease of the share of late streams that justifies a change: estimates for short
# queues have an error of about this size.
_MIN_DECREASE = 0.02
# A smaller decrease justifies a change that costs almost nothing, because little is lost if the
# estimate is wrong. Without this rule, no change is ordered on a calm day before its peak begins.
_MIN_CHEAP_DECREASE = 0.002
# Smallest ratio of benefit to cost of a change with such a small decrease.
_MIN_CHEAP_PAYBACK_FACTOR = 10.0
# Time within which a change must save more late streams than it causes, in seconds: the period
# for which arrivals are remembered.
_PAYBACK_S = WINDOW_S
# One endpoint of this many may change its role at a time.
_ENDPOINTS_PER_CHANGE = 6


class RoleChange(NamedTuple):
    """A planned change of an endpoint to another role.

    Attributes:
        endpoint: The endpoint.
        role: The role that it takes.
    """

    endpoint: RoutedEndpoint
    role: Role


class EndpointLossTracker:
    """Records when an endpoint was last lost, since a lost endpoint may return soon."""

    def __init__(self) -> None:
        self._present: Set[str] = frozenset()
        self._last_loss_at = -math.inf

    def update(self, present: Set[str], leaving: Set[str], now: float) -> None:
        """Update the set of present endpoints.

        Args:
            present: Names of the reachable endpoints.
            leaving: Names of the endpoints that announced their shutdown; they do not return.
            now: The current time.
        """
        if self._present - present - leaving:
            self._last_loss_at = now
        self._present = present

    def is_stable(self, min_stable_s: float, now: float) -> bool:
        """Check whether the last loss was at least ``min_stable_s`` seconds ago."""
        return now - self._last_loss_at >= min_stable_s


def max_simultaneous_changes(count: int) -> int:
    """Return how many of ``count`` endpoints may change their role at a time."""
    return max(1, count // _ENDPOINTS_PER_CHANGE)


def choose_prefills(prefills: int, count: int, demand: RoleDemand) -> int:
    """Return the best number of prefills among ``count`` endpoints of equal speed.

    Only the current number and its two neighbours are considered.

    Args:
        prefills: Current number of prefills.
        count: Number of all endpoints.
        demand: Demand on the endpoints.
    """
    candidates = [
        number for number in (prefills, prefills - 1, prefills + 1) if 1 <= number < count
    ]
    return min(candidates, key=lambda number: demand.late_share(number, count - number))


class _RoleSpeeds(NamedTuple):
    """Speeds of a service's endpoints by role, relative to the usual speed of the service."""

    prefills: tuple[float, ...]
    decodes: tuple[float, ...]

    def late_share(self, demand: RoleDemand) -> float:
        """Estimate the share of late streams with these roles."""
        return demand.late_share(
            len(self.prefills), len(self.decodes), _mean(self.prefills), _mean(self.decodes)
        )

    def during_change(self, speed: float, role: Role) -> "_RoleSpeeds":
        """Return the roles while an endpoint changes to ``role``: it serves in neither role."""
        if role is Role.DECODE:
            return _RoleSpeeds(_remove_speed(self.prefills, speed), self.decodes)
        return _RoleSpeeds(self.prefills, _remove_speed(self.decodes, speed))

    def after_change(self, speed: float, role: Role) -> "_RoleSpeeds":
        """Return the roles after an endpoint has changed to ``role``."""
        during = self.during_change(speed, role)
        if role is Role.DECODE:
            return _RoleSpeeds(during.prefills, (*during.decodes, speed))
        return _RoleSpeeds((*during.prefills, speed), during.decodes)


def _mean(speeds: Sequence[float]) -> float:
    return sum(speeds) / len(speeds) if speeds else 1.0


def _remove_speed(speeds: tuple[float, ...], speed: float) -> tuple[float, ...]:
    """Return ``speeds`` without one item of the given speed, else without the first item."""
    position = speeds.index(speed) if speed in speeds else 0
    return speeds[:position] + speeds[position + 1 :]


def plan_role_change(
    prefills: Sequence[RoutedEndpoint],
    decodes: Sequence[RoutedEndpoint],
    demand: RoleDemand | None,
    remaining_work_s: Mapping[str, float],
    target_roles: Mapping[str, Role] = MappingProxyType({}),
    *,
    change_s: float = 0.0,
    is_stable: bool = True,
    speeds: Mapping[str, float] = MappingProxyType({}),
) -> RoleChange | None:
    """Return the role change to make now; None if no change is justified.

    Args:
        prefills: Endpoints with the prefill role.
        decodes: Endpoints with the decode role.
        demand: Demand on the service; None while its service times are unknown.
        remaining_work_s: Seconds until an endpoint has finished its work, by endpoint name;
            endpoints that finish sooner are preferred.
        target_roles: New roles of the endpoints that are changing already, by endpoint name; these
            endpoints count in their new roles and are not changed again.
        change_s: Seconds that a change takes after an endpoint has finished its work.
        is_stable: Whether no endpoint was lost recently, since a lost endpoint may return soon;
            a service without any decode does not wait for this.
        speeds: Speeds of endpoints relative to the usual speed of the service, where known.
    """
    endpoints = [*prefills, *decodes]
    if decodes and not is_stable:
        return None
    changes = {
        role: _candidate_change(
            endpoints,
            decodes,
            role,
            remaining_work_s=remaining_work_s,
            target_roles=target_roles,
            speeds=speeds,
        )
        for role in (Role.DECODE, Role.PREFILL)
    }
    roles = _RoleSpeeds(
        _speeds_in(Role.PREFILL, endpoints, target_roles, speeds),
        _speeds_in(Role.DECODE, endpoints, target_roles, speeds),
    )
    return _choose_change(roles, changes, demand, change_s, speeds)


def _speeds_in(
    role: Role,
    endpoints: Sequence[RoutedEndpoint],
    target_roles: Mapping[str, Role],
    speeds: Mapping[str, float],
) -> tuple[float, ...]:
    """Return the speeds of the endpoints that have a role, or are changing to it."""
    return tuple(
        speeds.get(endpoint.name, 1.0)
        for endpoint in endpoints
        if target_roles.get(endpoint.name, endpoint.role) is role
    )


def _candidate_change(
    endpoints: Sequence[RoutedEndpoint],
    decodes: Sequence[RoutedEndpoint],
    role: Role,
    *,
    remaining_work_s: Mapping[str, float],
    target_roles: Mapping[str, Role],
    speeds: Mapping[str, float],
) -> RoleChange | None:
    """Return the best change to a role; None if no endpoint can take it."""
    eligible = [
        endpoint
        for endpoint in endpoints
        if endpoint.role is not role and endpoint.name not in target_roles
    ]
    if not eligible:
        return None
    decode_counts = Counter(endpoint.data_centre for endpoint in decodes)
    return RoleChange(_best_endpoint(eligible, role, decode_counts, remaining_work_s, speeds), role)


def plan_role_changes(
    prefills: Sequence[RoutedEndpoint],
    decodes: Sequence[RoutedEndpoint],
    demand: RoleDemand | None,
    remaining_work_s: Mapping[str, float],
    target_roles: Mapping[str, Role] = MappingProxyType({}),
    *,
    max_changes: int,
    change_s: float = 0.0,
    is_stable: bool = True,
    speeds: Mapping[str, float] = MappingProxyType({}),
) -> list[RoleChange]:
    """Return the role changes to make now, all to the same role.

    Each change must be justified by itself, given that the changes before it are made. Changes
    that were ordered one after another would come too late: ten of them would take the time of a
    change and several seconds more after the need was detected.

    Args:
        prefills: Endpoints with the prefill role.
        decodes: Endpoints with the decode role.
        demand: Demand on the service; None while its service times are unknown.
        remaining_work_s: Seconds until an endpoint has finished its current work, by endpoint name.
        target_roles: New roles of the endpoints that are changing already, by endpoint name.
        max_changes: Maximum number of changes that may begin now.
        change_s: Seconds that a change takes after an endpoint has finished its work.
        is_stable: Whether no endpoint was lost recently, since a lost endpoint may return soon.
        speeds: Speeds of endpoints relative to the usual speed of the service, where known.
    """
    changes: list[RoleChange] = []
    planned_targets = dict(target_roles)
    while len(changes) < max_changes:
        change = plan_role_change(
            prefills,
            decodes,
            demand,
            remaining_work_s,
            planned_targets,
            change_s=change_s,
            is_stable=is_stable,
            speeds=speeds,
        )
        if change is None or (changes and change.role is not changes[0].role):
            break
        changes.append(change)
        planned_targets[change.endpoint.name] = change.role
    return changes


def _choose_change(
    roles: _RoleSpeeds,
    changes: Mapping[Role, RoleChange | None],
    demand: RoleDemand | None,
    change_s: float,
    speeds: Mapping[str, float],
) -> RoleChange | None:
    """Return the best of the candidate changes; None if none is justified."""
    if len(roles.prefills) + len(roles.decodes) < 2:
        return changes[Role.DECODE] if roles.prefills else None
    if not roles.decodes:
        return changes[Role.DECODE]
    if not roles.prefills:
        return changes[Role.PREFILL]
    if demand is None or demand.requests < _MIN_REQUESTS or demand.window_s < _MIN_PERIOD_S:
        return None
    lowest_late = roles.late_share(demand)
    best: RoleChange | None = None
    for role, change in changes.items():
        # A role may need another endpoint even if no endpoint can take it now: then the best
        # choice is to make no change, rather than to change to the other role.
        speed = 1.0 if change is None else speeds.get(change.endpoint.name, 1.0)
        after_change = roles.after_change(speed, role)
        if not after_change.prefills or not after_change.decodes:
            continue
        late_after = after_change.late_share(demand)
        if late_after < lowest_late:
            best, lowest_late = change, late_after
    if best is None or not _pays_back(roles, best, demand, change_s, speeds):
        return None
    return best


def _pays_back(
    roles: _RoleSpeeds,
    change: RoleChange,
    demand: RoleDemand,
    change_s: float,
    speeds: Mapping[str, float],
) -> bool:
    """Check whether a change saves more late streams than it causes while it is in progress."""
    speed = speeds.get(change.endpoint.name, 1.0)
    before = roles.late_share(demand)
    decrease = before - roles.after_change(speed, change.role).late_share(demand)
    during = roles.during_change(speed, change.role).late_share(demand)
    benefit, cost = decrease * _PAYBACK_S, (during - before) * change_s
    if decrease < _MIN_DECREASE:
        return decrease >= _MIN_CHEAP_DECREASE and benefit > _MIN_CHEAP_PAYBACK_FACTOR * cost
    return benefit > cost


def _best_endpoint(
    endpoints: list[RoutedEndpoint],
    role: Role,
    decode_counts: Mapping[str, int],
    remaining_work_s: Mapping[str, float],
    speeds: Mapping[str, float],
) -> RoutedEndpoint:
    """Return the endpoint that is best suited to change to a role.

    Args:
        endpoints: Endpoints that may change.
        role: The new role.
        decode_counts: Number of decodes by data centre.
        remaining_work_s: Seconds until an endpoint has finished its current work, by endpoint name.
        speeds: Speeds of endpoints relative to the usual speed of the service, where known.
    """

    def sort_key(endpoint: RoutedEndpoint) -> tuple[bool, float, float, str]:
        local_decodes = decode_counts.get(endpoint.data_centre, 0)
        # A new decode is preferred in a data centre without one; the last decode of a data
        # centre is the last choice for a change to prefill.
        is_unfavourable = local_decodes > 0 if role is Role.DECODE else local_decodes < 2
        left_s = remaining_work_s.get(endpoint.name, 0.0)
        # Work that the endpoint would do in the new role within the payback time, in seconds at the
        # usual speed.
        new_work_s = speeds.get(endpoint.name, 1.0) * (_PAYBACK_S - left_s)
        return is_unfavourable, -new_work_s, left_s, endpoint.name

    return min(endpoints, key=sort_key)
