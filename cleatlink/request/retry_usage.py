"""What instances used of the retry allowances, as their peers remember it.

A process that is killed forgets what it sent. Its peers know it from its last report, and tell the
process that replaces it.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["RestartedPeer", "RetryUsageRecords"]

# Longest time without a heartbeat of an instance, in seconds, after which its last report still
# tells all that it used. A partitioned instance goes on without its peers.
_MAX_SILENCE_S = 2.5


class RestartedPeer(NamedTuple):
    """A peer whose process was replaced by another one.

    Attributes:
        name: Name of the peer.
        last_incarnation: Start number of the process that was replaced.
        incarnation: Start number of the new process.
        silent_s: Seconds from the last heartbeat of the old process to the first of the new one.
        knew_usage: Whether the old process knew what earlier ones had used.
    """

    name: str
    last_incarnation: int
    incarnation: int
    silent_s: float
    knew_usage: bool


class _Report(NamedTuple):
    """The last report of a process, by service, and when it arrived."""

    incarnation: int
    used_allowance: dict[str, float]
    reported_at: float


class _Predecessor(NamedTuple):
    """What a process used that another one replaced."""

    incarnation: int
    used_allowance: dict[str, float]


class RetryUsageRecords:
    """What each peer reported, and what the processes used that peers have replaced."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._predecessors: dict[str, _Predecessor] = {}

    def record_report(
        self, name: str, incarnation: int, used_allowance: Mapping[str, float], now: float
    ) -> None:
        """Record a report of a peer.

        Args:
            name: Name of the peer.
            incarnation: Start number of the process that sent the report.
            used_allowance: What it used of the allowances, by service.
            now: The current time.
        """
        last = self._reports.get(name)
        if last is None or last.incarnation <= incarnation:
            self._reports[name] = _Report(incarnation, dict(used_allowance), now)

    def note_restart(self, peer: RestartedPeer, window_s: float, now: float) -> None:
        """Keep what the old process of a peer used, if it is known.

        Args:
            peer: The peer.
            window_s: Length of the window of the retry budgets in seconds.
            now: The current time.
        """
        self._predecessors.pop(peer.name, None)
        if not peer.knew_usage or peer.silent_s > _MAX_SILENCE_S:
            return
        report = self._reports.get(peer.name)
        used: dict[str, float] = {}
        if report is not None and report.incarnation == peer.last_incarnation:
            # A use after the last report would have been reported at once.
            used = report.used_allowance if now - report.reported_at < window_s else {}
        self._predecessors[peer.name] = _Predecessor(peer.incarnation, used)

    def predecessor_usage(self, name: str, incarnation: int) -> dict[str, float] | None:
        """Return what the process used that a process of a peer replaced; None if unknown."""
        predecessor = self._predecessors.get(name)
        if predecessor is None or predecessor.incarnation != incarnation:
            return None
        return predecessor.used_allowance

    def remove(self, name: str) -> None:
        """Remove what is known of a peer."""
        self._reports.pop(name, None)
        self._predecessors.pop(name, None)
