"""Estimates the delay that this instance and its network link add to every exchange.

The kernel of an endpoint confirms a new connection at once, however busy the endpoint is. If the
connections to several endpoints take longer than usual, the delay is on this side: the event loop
is late or the link is full. It must not be taken for slowness of the endpoints.
"""

import math
from collections import deque
from collections.abc import Collection
from statistics import median
from typing import NamedTuple

__all__ = ["OwnDelay"]

# Window of recent connections, in seconds.
_WINDOW_S = 0.5
# Smallest numbers of recent connections, and of endpoints that they were opened to, for an
# estimate: a single endpoint may be far away or unreachable for a moment.
_MIN_CONNECTIONS = 3
_MIN_ENDPOINTS = 2
# Most recent connections that are considered: bounds the cost of an estimate.
_MAX_CONNECTIONS = 64
# Smallest delay, in seconds: below it, the times of connections vary without a reason.
_MIN_DELAY_S = 0.01
# Time for which connections are opened for an estimate after a doubt, in seconds.
_DOUBT_S = 1.0
# Time for which an estimate is used again, in seconds.
_ESTIMATE_LIFETIME_S = 0.05


class _Connection(NamedTuple):
    """A connection that was opened.

    Attributes:
        endpoint: Incarnation of the endpoint.
        opened_at: When it was open.
        delay_s: Seconds by which it took longer than the fastest one to this endpoint.
    """

    endpoint: str
    opened_at: float
    delay_s: float


class OwnDelay:
    """Delay on this instance's side of its connections; methods take the current time."""

    def __init__(self) -> None:
        """Start without connections."""
        self._recent: deque[_Connection] = deque(maxlen=_MAX_CONNECTIONS)
        # Shortest time that a connection to each endpoint took, in seconds.
        self._shortest_s: dict[str, float] = {}
        self._estimate_s = 0.0
        self._estimated_at = -math.inf
        self._doubted_until = -math.inf

    def note_connection(self, endpoint: str, took_s: float, now: float) -> None:
        """Record that a direct connection was opened.

        Args:
            endpoint: Incarnation of the endpoint.
            took_s: Seconds from its start until it was open.
            now: The current time.
        """
        shortest_s = min(took_s, self._shortest_s.get(endpoint, math.inf))
        self._shortest_s[endpoint] = shortest_s
        self._recent.append(_Connection(endpoint, now, took_s - shortest_s))

    def note_doubt(self, now: float) -> None:
        """Record that calls are held back because endpoints seem full or slow."""
        self._doubted_until = now + _DOUBT_S

    def needs_connection(self, now: float) -> bool:
        """Check whether an estimate is wanted and too few connections were opened for one."""
        if now >= self._doubted_until:
            return False
        self._remove_old(now)
        return len(self._recent) < _MIN_CONNECTIONS

    def seconds(self, now: float) -> float:
        """Return the delay of one round trip in seconds; 0 if it is unknown."""
        if now - self._estimated_at >= _ESTIMATE_LIFETIME_S:
            self._estimate_s = self._estimate(now)
            self._estimated_at = now
        return self._estimate_s

    def _estimate(self, now: float) -> float:
        self._remove_old(now)
        recent = self._recent
        if len(recent) < _MIN_CONNECTIONS:
            return 0.0
        if len({item.endpoint for item in recent}) < _MIN_ENDPOINTS:
            return 0.0
        delay_s = median(item.delay_s for item in recent)
        return delay_s if delay_s >= _MIN_DELAY_S else 0.0

    def _remove_old(self, now: float) -> None:
        while self._recent and self._recent[0].opened_at <= now - _WINDOW_S:
            self._recent.popleft()

    def remove_stale(self, registered: Collection[str]) -> None:
        """Forget endpoints that are not registered any more."""
        if len(self._shortest_s) > len(registered):
            self._shortest_s = {
                name: shortest_s
                for name, shortest_s in self._shortest_s.items()
                if name in registered
            }
