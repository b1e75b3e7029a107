"""Decides which share of new connections an instance serves while it is late.

Every request that a late instance takes in delays all others. Connections that it closes unread
cost it little, and their callers can retry at another instance at once.
"""

__all__ = ["IntakeControl"]

# Delay of a round trip from which the instance is late, in seconds. A request has several of them.
_LATE_S = 0.03
# Time for which the instance must be late before it closes connections, in seconds: a pause of the
# process, or connections that come back at once after a restart, are over sooner.
_LATE_DURATION_S = 0.3
# Shortest interval between two changes of the share, in seconds.
_UPDATE_INTERVAL_S = 0.1
# Factor by which the share shrinks with each change while the instance is late.
_DECREASE = 0.7
# Increase of the share per second while the instance is not late.
_INCREASE_PER_S = 0.5
# Smallest share: some connections show whether the instance is still late.
_MIN_SHARE = 0.05
# Longest time without a served connection while there are new ones, in seconds: an instance that
# the balancer uses must not turn all callers away.
_MAX_GAP_S = 0.25


class IntakeControl:
    """Share of new connections that are served; methods take the current time."""

    def __init__(self, now: float) -> None:
        """Start with all connections served."""
        self._share = 1.0
        self._updated_at = now
        self._late_since: float | None = None
        self._admitted_at = now

    @property
    def share(self) -> float:
        """Share of new connections that are served."""
        return self._share

    @property
    def is_limiting(self) -> bool:
        """Whether any connections are closed unread."""
        return self._share < 1.0

    def update(self, delay_s: float, now: float) -> None:
        """Adjust the share to a measurement; does nothing shortly after the last change.

        Args:
            delay_s: Delay of the event loop or of the connections, in seconds.
            now: The current time.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s < _UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        if delay_s < _LATE_S:
            self._late_since = None
            self._share = min(1.0, self._share + _INCREASE_PER_S * elapsed_s)
            return
        if self._late_since is None:
            self._late_since = now
        if now - self._late_since >= _LATE_DURATION_S:
            self._share = max(_MIN_SHARE, self._share * _DECREASE)

    def admits(self, now: float, random_fraction: float) -> bool:
        """Decide whether a new connection is served.

        Args:
            now: The current time.
            random_fraction: A random number from 0 to 1, a new one for each connection.
        """
        if random_fraction >= self._share and now - self._admitted_at < _MAX_GAP_S:
            return False
        self._admitted_at = now
        return True
