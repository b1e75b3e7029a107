"""What an instance tells its peers of what it knows, and how far it is behind them."""

from typing import NamedTuple

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.peers.messages import Beat

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

    def lacks_table(self, beat: Beat) -> bool:
        """Tell whether a peer has a newer route table."""
        return beat.table > self.table

    def is_behind(self, beat: Beat) -> bool:
        """Tell whether a peer knows something newer."""
        return self.lacks_table(beat) or beat.newest_revision > self.newest
