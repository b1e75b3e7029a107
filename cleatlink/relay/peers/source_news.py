"""What watchers of the configuration service tell the others of their data centre."""

import trio

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.following.source import SourceChange
from cleatlink.relay.peers.messages import SourceNews
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.relay.peers.snapshots import RecordItem

__all__ = ["SourceNewsChannel"]

# More changes at a time don't fit a datagram; the others read them themselves.
_MOST_RECORDS = 150


class SourceNewsChannel(NewsChannel):
    """Tells changes of registrations at once; who misses one asks the service itself."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._waiting: list[SourceNews] = []
        self._wake = trio.Event()

    @property
    def is_local(self) -> bool:
        """Whether only peers of this data centre are told: each has watchers of its own."""
        return True

    def tell(self, after: StoreRevision, change: SourceChange, found_ago_s: float) -> None:
        """Have the others told of a change.

        Args:
            after: What was known completely before it.
            change: The change; one that is not of the same era, or is a whole list, is not told.
            found_ago_s: Seconds since the service was found again.
        """
        revision = change.revision
        is_next = not change.whole and revision.era == after.era and revision > after
        if not is_next or len(change.records) > _MOST_RECORDS:
            return
        records = [
            RecordItem(item.name, item.revision.number, item.endpoint, item.fault)
            for item in change.records
        ]
        news = SourceNews(
            self._name, after.era, after.number, revision.number, records, round(found_ago_s, 3)
        )
        self._waiting.append(news)
        self._wake.set()

    async def next(self) -> list[SourceNews]:
        """Wait for something to tell, and give it."""
        await self._wake.wait()
        self._wake = trio.Event()
        told, self._waiting = self._waiting, []
        return told

    def repeat(self) -> list[SourceNews]:
        """Give nothing: heartbeats tell the newest revision, and who misses it asks."""
        return []

    def introduction(self) -> list[SourceNews]:
        """Give nothing: who is new reads everything."""
        return []
