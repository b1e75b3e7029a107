"""Tests of reading the endpoint list with pages that do not advance."""

import pytest
import trio

from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.following.source import SourceTable
from cleatlink.relay.full_read import FullRead, ListPage
from cleatlink.routing.fleet_records import EndpointRecord

pytestmark = pytest.mark.virtual_time


class FakeService:
    """A service that returns prepared pages.

    Attributes:
        pages: Pages that are not read yet.
        requested_after: Key after which each requested page begins, in order of the requests.
    """

    def __init__(self, *pages: ListPage) -> None:
        self.pages = list(pages)
        self.requested_after: list[str] = []

    async def read_page(self, after: str) -> ListPage:
        """Return the next page."""
        await trio.lowlevel.checkpoint()
        self.requested_after.append(after)
        return self.pages.pop(0)

    async def read_table(self, era: int) -> SourceTable:
        """Return no table."""
        await trio.lowlevel.checkpoint()
        return SourceTable(None)


def page(number: int, *names: str, has_more: bool = False) -> ListPage:
    revision = StoreRevision(0, number)
    return ListPage(
        {name: EndpointRecord(name, revision, None) for name in names}, revision, has_more
    )


@pytest.mark.parametrize("invalid_page", [page(8, has_more=True), page(8, "a", has_more=True)])
async def test_page_that_does_not_advance_is_ignored(invalid_page: ListPage) -> None:
    service = FakeService(page(7, "a", "b", has_more=True), invalid_page, page(9, "b", "c"))
    read = FullRead(service.read_page, service.read_table)
    with pytest.raises(PlatformError, match="does not advance past the previous page"):
        await read.run()
    change = await read.run()
    assert service.requested_after == ["", "b", "b"]
    assert [record.name for record in change.records] == ["a", "b", "c"]
    assert change.revision.number == 7


async def test_first_page_that_does_not_advance_sets_no_revision() -> None:
    service = FakeService(page(7, has_more=True), page(9, "a"))
    read = FullRead(service.read_page, service.read_table)
    with pytest.raises(PlatformError, match="does not advance past the previous page"):
        await read.run()
    assert (await read.run()).revision.number == 9
