"""What an instance tells its peers of what it knows."""

from typing import NamedTuple

from cleatlink.core.revisions import StoreRevision

__all__ = ["KnownState"]


class KnownState(NamedTuple):
    """What an instance tells of itself.

    Attributes:
        leaving: Whether it is stopping.
        table: Revision of its route table.
        newest: Revision of the newest registration that it knows.
        finds_source: Whether the configuration service answered it last.
    """

    leaving: bool
    table: int
    newest: StoreRevision
    finds_source: bool = False
