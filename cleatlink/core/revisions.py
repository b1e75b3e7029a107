"""What orders the writes of a store that may come back from an older copy of itself."""

from typing import NamedTuple

__all__ = ["NO_REVISION", "StoreRevision"]


class StoreRevision(NamedTuple):
    """A revision of a store in one of its eras.

    A store that comes back from a copy gives revisions out again, and tells so by an era that
    is higher by one. Of two revisions the one of the later era is later, whatever the numbers.

    Attributes:
        era: How often the store came back from a copy; 0 where it does not tell.
        number: Its revision within the era.
    """

    era: int
    number: int


NO_REVISION = StoreRevision(0, 0)
