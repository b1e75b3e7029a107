"""Which route table is in force at an instance, beside the newest that it knows to exist."""

import math
from enum import StrEnum

__all__ = ["TableKnowledge", "TableStanding"]


# A table counts as current for so long after the last word from the configuration service. Two
# heartbeats may be lost meanwhile, and a small fleet waits no longer for changes.
_CONFIRMED_S = 4.0


class TableStanding(StrEnum):
    """What the route table in force is worth as the last word on a request.

    Attributes:
        CURRENT: No newer table exists, as far as the configuration service told lately.
        BEHIND: A newer table exists.
        UNCONFIRMED: Nobody knows: neither this instance nor a peer heard the service lately.
    """

    CURRENT = "current"
    BEHIND = "behind"
    UNCONFIRMED = "unconfirmed"


class TableKnowledge:
    """What is known of route tables; every method takes the time as an argument."""

    def __init__(self) -> None:
        self._in_force = 0
        self._newest = 0
        self._behind_since = 0.0
        self._confirmed_at = -math.inf
        # Highest revision of which the service said that it does not exist there.
        self._refuted = 0

    @property
    def in_force(self) -> int:
        """Revision of the table in force; 0 before the first."""
        return self._in_force

    @property
    def newest(self) -> int:
        """Highest revision that the service or any peer told of."""
        return self._newest

    @property
    def is_behind(self) -> bool:
        """Whether a newer table than the one in force exists."""
        return self._newest > self._in_force

    def standing(self, now: float) -> TableStanding:
        """Tell whether a request may be denied finally: only by a table that is current."""
        if self.is_behind:
            return TableStanding.BEHIND
        if self._in_force == 0 or now - self._confirmed_at > _CONFIRMED_S:
            return TableStanding.UNCONFIRMED
        return TableStanding.CURRENT

    def confirm(self, now: float) -> None:
        """Note that the service was heard, by this instance or by a peer with its table."""
        self._confirmed_at = now

    def note_service(self, revision: int, now: float) -> None:
        """Note which table the service holds: its word goes before that of peers.

        Args:
            revision: Revision of its table; 0 if it has none.
            now: The time.
        """
        self.confirm(now)
        if self._newest > max(revision, self._in_force):
            self._refuted = self._newest
            self._newest = self._in_force
        self.hear(revision, now)

    def behind_s(self, now: float) -> float:
        """Give for how many seconds a newer table has been known to exist; 0 if none is."""
        return now - self._behind_since if self.is_behind else 0.0

    def hear(self, revision: int, now: float) -> bool:
        """Note that a table exists; tells whether that is news."""
        if revision <= max(self._newest, self._refuted):
            return False
        if not self.is_behind:
            self._behind_since = now
        self._newest = revision
        return True

    def use(self, revision: int, now: float) -> None:
        """Note that a table is in force from now on."""
        self.hear(revision, now)
        self._in_force = max(self._in_force, revision)
