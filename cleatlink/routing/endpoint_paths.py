"""Tracks from which endpoints this instance is cut off while its peers still reach them.

A failed connection alone can't tell a dead endpoint from a lost network path. A peer that connects
to the endpoint at the same time can: then the path counts as lost, until a direct connection
succeeds again.
"""

import math
from collections.abc import Iterable

__all__ = ["EndpointPaths"]

# Time from the start of a direct connection to the start of a tunnel beside it, in seconds. Direct
# connections within a region open much faster.
_TUNNEL_DELAY_S = 0.05
# The same while the path to another endpoint is lost and this one is not known to work.
_SUSPECT_TUNNEL_DELAY_S = 0.01
# A direct connection that failed at most this long before a peer reached the endpoint shows that
# the path is lost, in seconds.
_FAILURE_RELEVANCE_S = 1.0
# Time for which an endpoint that peers could not reach either is not tried by tunnel, in seconds.
_UNREACHED_RETENTION_S = 0.5
# Interval between direct probes of an endpoint whose path is lost, in seconds.
_PROBE_INTERVAL_S = 0.25
# Number of lost paths from which on the paths to all other endpoints are checked.
_SUSPICIOUS_LOSSES = 2
# Share of a service's endpoints from which on an instance without paths to them is cut off.
_CUT_OFF_SHARE = 0.5


class _Path:
    """What is known of the path to one endpoint; all times are in seconds."""

    __slots__ = ("connected_at", "failed_at", "lost_since", "probed_at", "unreached_at")

    def __init__(self) -> None:
        self.connected_at = -math.inf
        self.failed_at = -math.inf
        # Time at which peers reached the endpoint and this instance did not; None if not lost.
        self.lost_since: float | None = None
        self.probed_at = -math.inf
        self.unreached_at = -math.inf


class EndpointPaths:
    """The paths from this instance to endpoints; methods take the current time as an argument."""

    def __init__(self) -> None:
        self._paths: dict[str, _Path] = {}
        self._last_loss_at = -math.inf
        self._last_failure_at = -math.inf
        # Number of lost paths, so that the common case needs no scan.
        self._lost_count = 0

    @property
    def lost(self) -> list[str]:
        """Names of the endpoints to which the path is lost."""
        if not self._lost_count:
            return []
        return [name for name, path in self._paths.items() if path.lost_since is not None]

    @property
    def lost_count(self) -> int:
        """Number of endpoints to which the path is lost."""
        return self._lost_count

    def is_lost(self, name: str) -> bool:
        """Check whether the path to an endpoint is lost."""
        path = self._paths.get(name)
        return path is not None and path.lost_since is not None

    def unreachable(self) -> list[str]:
        """Return the endpoints to which the last direct connection failed."""
        return [name for name, path in self._paths.items() if path.failed_at > path.connected_at]

    def is_cut_off_from(self, names: Iterable[str]) -> bool:
        """Check whether the paths to a large share of some endpoints are lost."""
        if not self._lost_count:
            return False
        lost = [self.is_lost(name) for name in names]
        return bool(lost) and sum(lost) >= _CUT_OFF_SHARE * len(lost)

    def note_connected(self, name: str, now: float) -> float | None:
        """Record a direct connection.

        Returns:
            The seconds for which the path was lost; None if it was not lost.
        """
        path = self._of(name)
        path.connected_at = now
        if path.lost_since is None:
            return None
        lost_s = now - path.lost_since
        path.lost_since = None
        self._lost_count -= 1
        return lost_s

    def note_failed(self, name: str, now: float) -> None:
        """Record that a direct connection failed, or takes unusually long."""
        self._of(name).failed_at = self._last_failure_at = now

    def note_reached_by_peer(self, name: str, now: float) -> bool:
        """Record that a peer reached an endpoint; return whether that shows a lost path."""
        path = self._of(name)
        path.unreached_at = -math.inf
        has_failed = (
            path.failed_at > path.connected_at and now - path.failed_at <= _FAILURE_RELEVANCE_S
        )
        if path.lost_since is not None or not has_failed:
            return False
        path.lost_since = path.probed_at = self._last_loss_at = now
        self._lost_count += 1
        return True

    def note_unreached_by_peer(self, name: str, now: float) -> None:
        """Record that a peer could not connect to an endpoint either."""
        self._of(name).unreached_at = now

    def find_control(self, name: str) -> str | None:
        """Return another endpoint to which a direct connection should succeed; None if unknown.

        It is the one that was connected last.
        """
        others = [other for other in self._paths if other != name and not self.is_lost(other)]
        return max(others, key=lambda other: self._paths[other].connected_at, default=None)

    def tunnel_delay_s(self, name: str, now: float) -> float:
        """Return how long after a direct connection a tunnel to an endpoint is started.

        Returns:
            Seconds; infinite if no tunnel is started because peers do not reach the endpoint.
        """
        path = self._of(name)
        if path.lost_since is not None:
            return 0.0
        if now - path.unreached_at < _UNREACHED_RETENTION_S:
            return math.inf
        if self._lost_count and path.connected_at < self._last_loss_at:
            return _SUSPECT_TUNNEL_DELAY_S
        return _TUNNEL_DELAY_S

    def take_due_probes(self, now: float, max_count: int) -> list[str]:
        """Return the endpoints whose lost path is probed now, the longest unprobed first."""
        due = [name for name in self.lost if now - self._paths[name].probed_at >= _PROBE_INTERVAL_S]
        due.sort(key=lambda name: self._paths[name].probed_at)
        for name in due[:max_count]:
            self._paths[name].probed_at = now
        return due[:max_count]

    def take_due_checks(self, now: float, max_count: int) -> list[str]:
        """Return the endpoints whose path may be lost, although no request has shown it.

        These are endpoints to which a direct connection failed while no peer was asked, and, once
        several paths are lost, all endpoints that were not connected since.
        """
        if not self._lost_count and now - self._last_failure_at > _FAILURE_RELEVANCE_S:
            return []
        due = [
            name
            for name, path in self._paths.items()
            if path.lost_since is None and (_is_unexplained(path, now) or self._is_suspect(path))
        ][:max_count]
        for name in due:
            self._paths[name].probed_at = now
        return due

    def note_checked(self, name: str, now: float) -> None:
        """Record that a check of an endpoint ended, so that its failure is not checked again."""
        self._of(name).probed_at = now

    def _is_suspect(self, path: _Path) -> bool:
        """Check whether a path may be lost because several others are."""
        last_known_at = max(path.connected_at, path.failed_at, path.probed_at)
        return self._lost_count >= _SUSPICIOUS_LOSSES and last_known_at < self._last_loss_at

    def track(self, names: Iterable[str]) -> None:
        """Track the paths to these endpoints, and forget all others."""
        self._paths = {name: self._paths.get(name) or _Path() for name in names}
        self._lost_count = sum(path.lost_since is not None for path in self._paths.values())

    def _of(self, name: str) -> _Path:
        path = self._paths.get(name)
        if path is None:
            path = self._paths[name] = _Path()
        return path


def _is_unexplained(path: _Path, now: float) -> bool:
    """Check whether a direct connection failed just now, and peers were not asked why."""
    is_recent = now - path.failed_at <= _FAILURE_RELEVANCE_S
    return is_recent and path.failed_at > max(path.connected_at, path.unreached_at, path.probed_at)
