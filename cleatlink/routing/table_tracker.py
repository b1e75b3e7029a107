"""Tracks the route table in force at an instance and the newest one that is known to exist.

A request may be refused for good only by a table that is current.
"""

import math
from enum import StrEnum

__all__ = ["TableTracker", "TableFreshness"]


# Seconds for which a table counts as current after the last response of the configuration service.
# Two heartbeats may be lost in this time, and a small fleet waits no longer for changes.
_CONFIRMATION_LIFETIME_S = 4.0


class TableFreshness(StrEnum):
    """Whether the route table in force is the newest one.

    Attributes:
        CURRENT: The configuration service recently confirmed that no newer table exists.
        BEHIND: A newer table exists.
        UNCONFIRMED: Unknown, because neither this instance nor a peer has recently received a
            response of the service.
    """

    CURRENT = "current"
    BEHIND = "behind"
    UNCONFIRMED = "unconfirmed"


class TableTracker:
    """The known revisions of route tables; methods that depend on time take it as an argument."""

    def __init__(self) -> None:
        self._in_force = 0
        self._newest = 0
        self._behind_since = 0.0
        self._confirmed_at = -math.inf
        # Highest revision that peers reported and the service does not have.
        self._absent_at_service = 0

    @property
    def revision_in_force(self) -> int:
        """Revision of the table in force; 0 before the first one."""
        return self._in_force

    @property
    def newest_revision(self) -> int:
        """Highest revision that the service or any peer reported."""
        return self._newest

    @property
    def is_behind(self) -> bool:
        """Whether a newer table than the one in force exists."""
        return self._newest > self._in_force

    def freshness(self, now: float) -> TableFreshness:
        """Return whether the table in force is current, so that it may refuse requests for good."""
        if self.is_behind:
            return TableFreshness.BEHIND
        if self._in_force == 0 or now - self._confirmed_at > _CONFIRMATION_LIFETIME_S:
            return TableFreshness.UNCONFIRMED
        return TableFreshness.CURRENT

    def note_service_response(self, now: float) -> None:
        """Record a response of the service to this instance, or to a peer with no older table."""
        self._confirmed_at = now

    def note_service_revision(self, revision: int, now: float) -> None:
        """Record the revision that the service holds; it overrides the reports of peers.

        Args:
            revision: Revision of the service's table; 0 if it has none.
            now: The current time.
        """
        self.note_service_response(now)
        if self._newest > max(revision, self._in_force):
            self._absent_at_service = self._newest
            self._newest = self._in_force
        self.note_revision(revision, now)

    def behind_s(self, now: float) -> float:
        """Return the seconds since a newer table became known; 0 if there is none."""
        return now - self._behind_since if self.is_behind else 0.0

    def note_revision(self, revision: int, now: float) -> bool:
        """Record that a revision exists; return whether it is the newest known one."""
        if revision <= max(self._newest, self._absent_at_service):
            return False
        if not self.is_behind:
            self._behind_since = now
        self._newest = revision
        return True

    def set_in_force(self, revision: int, now: float) -> None:
        """Record that a table is in force from now on."""
        self.note_revision(revision, now)
        self._in_force = max(self._in_force, revision)
