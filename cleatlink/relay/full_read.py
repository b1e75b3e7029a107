"""Reads all data of a configuration service, and resumes after a failed call."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import NO_REVISION, StoreRevision
from cleatlink.relay.following.source import HistoryUnavailableError, SourceChange, SourceTable
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = ["ListPage", "FullRead"]


class ListPage(NamedTuple):
    """One page of the list of endpoints.

    Attributes:
        records: Records by the keys that order the list, in that order.
        revision: The service's revision when the page was read.
        has_more: Whether another page follows.
    """

    records: dict[str, EndpointRecord]
    revision: StoreRevision
    has_more: bool


class FullRead:
    """Reads the list of endpoints page by page, then the route table, all of one era.

    When a call fails, the pages that were read are kept, and the next run reads only the missing
    ones. The result has the revision of the first page: a watch from that revision returns what
    changed since.
    """

    def __init__(
        self,
        read_page: Callable[[str], Awaitable[ListPage]],
        read_table: Callable[[int], Awaitable[SourceTable]],
    ) -> None:
        """Initialise without any data.

        Args:
            read_page: Reads the page that begins after a key; an empty key reads the first page.
            read_table: Reads the route table of an era.
        """
        self._read_page = read_page
        self._read_table = read_table
        self._reset()

    async def run(self) -> SourceChange:
        """Read the missing data; after a success the next run starts from the beginning.

        Raises:
            HistoryUnavailableError: The answers have different eras; the next run starts from the
                beginning.
            PlatformError: A call failed; the next run resumes with that call.
        """
        try:
            change = await self._read_missing()
        except HistoryUnavailableError:
            self._reset()
            raise
        self._reset()
        return change

    def _reset(self) -> None:
        self._records: list[EndpointRecord] = []
        self._revision = NO_REVISION
        # Key of the last record read so far.
        self._last_key = ""
        self._has_more = True

    async def _read_missing(self) -> SourceChange:
        while self._has_more:
            self._add_page(await self._read_page(self._last_key))
        source_table = await self._read_table(self._revision.era)
        return SourceChange(
            source_table.table,
            self._records,
            self._revision,
            is_full=True,
            table_fault=source_table.fault,
        )

    def _add_page(self, page: ListPage) -> None:
        if not self._last_key:
            self._revision = page.revision
        self._require_same_era(page.revision)
        last_key = next(reversed(page.records), "")
        if page.has_more and last_key <= self._last_key:
            raise PlatformError(
                "the next page of the endpoint list does not advance past the previous page"
            )
        self._records += [record for key, record in page.records.items() if key > self._last_key]
        self._last_key = last_key
        self._has_more = page.has_more

    def _require_same_era(self, revision: StoreRevision) -> None:
        """Check that a page has the era of the first page.

        A revision before that of the first page also means that the era changed.
        """
        if revision.era != self._revision.era or revision < self._revision:
            raise HistoryUnavailableError(
                f"page of revision {revision} after first page of {self._revision}"
            )
