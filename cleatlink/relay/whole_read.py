"""Reads everything that a configuration service knows, and goes on after a call that failed."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import NO_REVISION, StoreRevision
from cleatlink.relay.following.source import HistoryGoneError, SourceChange, SourceTable
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = ["ListPage", "WholeRead"]


class ListPage(NamedTuple):
    """A part of the list of endpoints.

    Attributes:
        records: Records by the keys that the list is ordered by, in that order.
        revision: The service's revision when it was read.
        has_more: Whether another page follows.
    """

    records: dict[str, EndpointRecord]
    revision: StoreRevision
    has_more: bool


class WholeRead:
    """Reads the list of endpoints page by page, then the route table, all of one era.

    What was read stays when a later call fails, and only what is missing is asked for then. It
    is given as of the revision of the first page: a watch from there tells what changed since.
    """

    def __init__(
        self,
        read_page: Callable[[str], Awaitable[ListPage]],
        read_table: Callable[[int], Awaitable[SourceTable]],
    ) -> None:
        """Start with nothing read.

        Args:
            read_page: Reads the page that begins after a key; the first one after none.
            read_table: Reads the route table, of an era.
        """
        self._read_page = read_page
        self._read_table = read_table
        self._begin_anew()

    async def run(self) -> SourceChange:
        """Read what is missing; the next call begins anew.

        Raises:
            HistoryGoneError: The answers are of different eras; the next call begins anew.
            PlatformError: A call failed; the next one goes on from there.
        """
        try:
            change = await self._read_rest()
        except HistoryGoneError:
            self._begin_anew()
            raise
        self._begin_anew()
        return change

    def _begin_anew(self) -> None:
        self._records: list[EndpointRecord] = []
        self._revision = NO_REVISION
        # Key of the last record so far.
        self._after = ""
        self._has_more = True

    async def _read_rest(self) -> SourceChange:
        while self._has_more:
            self._take(await self._read_page(self._after))
        found = await self._read_table(self._revision.era)
        return SourceChange(
            found.table, self._records, self._revision, whole=True, table_fault=found.fault
        )

    def _take(self, page: ListPage) -> None:
        if not self._after:
            self._revision = page.revision
        self._require_same_era(page.revision)
        last = next(reversed(page.records), "")
        if page.has_more and last <= self._after:
            raise PlatformError("the list of endpoints does not go on")
        self._records += [record for key, record in page.records.items() if key > self._after]
        self._after = last
        self._has_more = page.has_more

    def _require_same_era(self, revision: StoreRevision) -> None:
        """See that a page is of the era of the first; one that goes back is of another, too."""
        if revision.era != self._revision.era or revision < self._revision:
            raise HistoryGoneError(f"{revision} after {self._revision}")
