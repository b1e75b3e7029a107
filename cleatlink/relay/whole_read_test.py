"""Pages that fit and pages that don't."""

import pytest
import trio

from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.following.source import SourceTable
from cleatlink.relay.whole_read import ListPage, WholeRead
from cleatlink.routing.fleet_records import EndpointRecord

pytestmark = pytest.mark.virtual_time


class PreparedService:
    """A service with prepared pages.

    Attributes:
        pages: Pages still to be read.
        asked_after: Keys that pages were asked for after.
    """

    def __init__(self, *pages: ListPage) -> None:
        self.pages = list(pages)
        self.asked_after: list[str] = []

    async def read_page(self, after: str) -> ListPage:
        """Give the next page."""
        await trio.lowlevel.checkpoint()
        self.asked_after.append(after)
        return self.pages.pop(0)

    async def read_table(self, era: int) -> SourceTable:
        """Give no table."""
        await trio.lowlevel.checkpoint()
        return SourceTable(None)


def page(number: int, *names: str, has_more: bool = False) -> ListPage:
    revision = StoreRevision(0, number)
    return ListPage(
        {name: EndpointRecord(name, revision, None) for name in names}, revision, has_more
    )


@pytest.mark.parametrize("bad", [page(8, has_more=True), page(8, "a", has_more=True)])
async def test_page_that_does_not_go_on_changes_nothing(bad: ListPage) -> None:
    service = PreparedService(page(7, "a", "b", has_more=True), bad, page(9, "b", "c"))
    read = WholeRead(service.read_page, service.read_table)
    with pytest.raises(PlatformError, match="does not go on"):
        await read.run()
    change = await read.run()
    assert service.asked_after == ["", "b", "b"]
    assert [record.name for record in change.records] == ["a", "b", "c"]
    assert change.revision.number == 7


async def test_first_page_that_does_not_go_on_gives_no_revision() -> None:
    service = PreparedService(page(7, has_more=True), page(9, "a"))
    read = WholeRead(service.read_page, service.read_table)
    with pytest.raises(PlatformError, match="does not go on"):
        await read.run()
    assert (await read.run()).revision.number == 9
