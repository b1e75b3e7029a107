"""The state that an instance advertises to its peers."""

from typing import NamedTuple

from cleatlink.core.revisions import StoreRevision

__all__ = ["KnownState"]


class KnownState(NamedTuple):
    """The state that an instance advertises to its peers.

    Attributes:
        leaving: Whether the instance is stopping.
        table: Revision of its route table.
        newest: Revision of the newest registration that it knows.
        finds_source: Whether its last request to the configuration service was answered.
    """

    leaving: bool
    table: int
    newest: StoreRevision
    finds_source: bool = False
