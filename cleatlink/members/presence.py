"""Tracks the share of instances that are currently sending heartbeats."""

__all__ = ["InstancePresence"]

# Time for which a silent instance still counts, in seconds, unless it reported that it stops. A
# network cut is repaired or an instance replaced within minutes.
_RETENTION_S = 300.0


class InstancePresence:
    """Records when each of the other instances last sent a heartbeat."""

    def __init__(self) -> None:
        self._received_at: dict[str, float] = {}

    def record_heartbeat(self, name: str, now: float) -> None:
        """Record a heartbeat of an instance."""
        self._received_at[name] = now

    def record_leaving(self, name: str) -> None:
        """Remove an instance that reported that it stops."""
        self._received_at.pop(name, None)

    def live_share(self, silence_s: float, now: float) -> float:
        """Return the share of instances that sent a recent heartbeat, including this one.

        Args:
            silence_s: Maximum age of a recent heartbeat.
            now: The current time.
        """
        for name, received_at in list(self._received_at.items()):
            if now - received_at > _RETENTION_S:
                del self._received_at[name]
        recent = sum(now - received_at <= silence_s for received_at in self._received_at.values())
        return (1 + recent) / (1 + len(self._received_at))
