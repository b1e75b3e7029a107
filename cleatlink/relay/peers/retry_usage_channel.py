"""Shares what instances used of the retry allowances, so that their next processes know it."""

from collections.abc import Callable, Mapping

import trio

from cleatlink.relay.peers.retry_messages import PredecessorRetryUsage, RetryUsageUpdate
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.request.retry_usage import RestartedPeer, RetryUsageRecords

__all__ = ["RetryUsageChannel"]

# Decimals of reported use.
_DECIMALS = 1


class RetryUsageChannel(UpdateChannel):
    """Reports this instance's use of the allowances, and remembers that of its peers.

    Each use is reported at once: a process that is killed can't report it later.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        usage: Callable[[], Mapping[str, float]],
        is_large_fleet: Callable[[], bool],
    ) -> None:
        """Initialise the channel without reports.

        Args:
            name: Name of this instance.
            incarnation: Start number of this instance; it grows with each start.
            usage: Returns what this instance used of the allowances, by service.
            is_large_fleet: Returns whether reports go only to peers of this data centre.
        """
        self._name = name
        self._incarnation = incarnation
        self._usage = usage
        self._is_large_fleet = is_large_fleet
        self._records = RetryUsageRecords()
        self._has_changes = trio.Event()

    @property
    def is_data_centre_local(self) -> bool:
        """Whether updates go only to peers of this instance's data centre."""
        return self._is_large_fleet()

    @property
    def tolerates_delay(self) -> bool:
        """Whether updates may be delayed to be sent in bundles."""
        return False

    def report_use(self) -> None:
        """Report to peers that the use of an allowance changed."""
        self._has_changes.set()

    async def next_messages(self) -> list[RetryUsageUpdate]:
        """Wait for a use of an allowance and return the message for peers."""
        await self._has_changes.wait()
        self._has_changes = trio.Event()
        return self._messages()

    def repeated_messages(self) -> list[RetryUsageUpdate]:
        """Return the current use, which each heartbeat repeats to a few peers."""
        return self._messages()

    def initial_messages(self) -> list[RetryUsageUpdate]:
        """Return the current use, for a new peer."""
        return self._messages()

    def _messages(self) -> list[RetryUsageUpdate]:
        """Return the message with the current use, if there is any."""
        usage = {name: round(use, _DECIMALS) for name, use in self._usage().items()}
        return [RetryUsageUpdate(self._name, self._incarnation, usage)] if usage else []

    def record_update(self, update: RetryUsageUpdate, now: float) -> None:
        """Record a peer's use of the allowances."""
        self._records.record_report(update.name, update.incarnation, update.used_allowance, now)

    def note_restart(self, peer: RestartedPeer, window_s: float, now: float) -> None:
        """Keep what the old process of a peer used; see ``RetryUsageRecords``."""
        self._records.note_restart(peer, window_s, now)

    def predecessor_message(
        self, peer: str, incarnation: int, instance_count: int
    ) -> PredecessorRetryUsage | None:
        """Return the message that tells a peer what its last process used; None if unknown.

        Args:
            peer: Name of the peer.
            incarnation: Start number of its process.
            instance_count: Number of instances that this instance assumes.
        """
        usage = self._records.predecessor_usage(peer, incarnation)
        if usage is None:
            return None
        return PredecessorRetryUsage(self._name, peer, incarnation, usage, instance_count)

    def remove_peer(self, peer: str) -> None:
        """Remove the reports of a peer."""
        self._records.remove(peer)
