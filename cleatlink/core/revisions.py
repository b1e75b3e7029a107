"""Order of writes to a store that may be restored from an older backup."""

from typing import NamedTuple

__all__ = ["NO_REVISION", "StoreRevision"]


class StoreRevision(NamedTuple):
    """A revision of a store within one epoch (era) of the store.

    A store that is restored from a backup issues the same revision numbers again; each
    restore increments the era by one. A revision of a later era is newer, whatever the numbers.

    Attributes:
        era: Number of restores so far; 0 if the store does not report it.
        number: Revision number within the era.
    """

    era: int
    number: int


NO_REVISION = StoreRevision(0, 0)
