"""What watchers of the configuration service tell the others of their data centre."""

from itertools import groupby
from operator import attrgetter

import msgspec
import trio

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.following.source import SourceChange
from cleatlink.relay.peers.messages import SourceNews
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.relay.peers.snapshots import RecordItem

__all__ = ["SourceNewsChannel"]

# Bytes of records in one message, below what a bundle holds.
_MOST_BYTES = 16_000
_ENCODER = msgspec.msgpack.Encoder()


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
        if not is_next:
            return
        records = [
            RecordItem(item.name, item.revision.number, item.endpoint, item.fault)
            for item in change.records
        ]
        *others, last = _split(records)
        known = after.number
        for part in others:
            self._add(after.era, known, part[-1].revision, part, found_ago_s)
            known = part[-1].revision
        self._add(after.era, known, revision.number, last, found_ago_s)
        self._wake.set()

    def _add(
        self, era: int, after: int, revision: int, records: list[RecordItem], found_ago_s: float
    ) -> None:
        news = SourceNews(self._name, era, after, revision, records, round(found_ago_s, 3))
        self._waiting.append(news)

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


def _split(records: list[RecordItem]) -> list[list[RecordItem]]:
    """Split records, in the order of their revisions, into parts that fit a message each.

    Those of one revision stay together: who knows a part counts its revisions as known.
    """
    by_revision = attrgetter("revision")
    parts: list[list[RecordItem]] = [[]]
    size = 0
    for _, group in groupby(sorted(records, key=by_revision), by_revision):
        items = list(group)
        length = len(_ENCODER.encode(items))
        if parts[-1] and size + length > _MOST_BYTES:
            parts.append([])
            size = 0
        parts[-1] += items
        size += length
    return parts
