"""What watchers tell of changes, whatever the number and size of the records in one."""

import pytest
import trio
import trio.testing

from cleatlink.core.data import Role
from cleatlink.core.decoding import FaultKind, ReadFault
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.following.follower_test import Fleet
from cleatlink.relay.following.source import SourceChange
from cleatlink.relay.peers.messages import SourceNews, encode
from cleatlink.relay.peers.source_news import SourceNewsChannel
from cleatlink.routing.fleet_records import EndpointRecord

pytestmark = pytest.mark.virtual_time

DATAGRAM_BYTES = 60_000
FIRST = 10


def record(number: int, size: int) -> EndpointRecord:
    """Make a registration whose texts have a size."""
    name = f"e{number}"
    endpoint = RoutedEndpoint(name, "127.0.0.1:1", size * "z", size * "s", Role.PLAIN, 4)
    return EndpointRecord(name, StoreRevision(1, number), endpoint)


def change_of(records: list[EndpointRecord], revision: int) -> SourceChange:
    """Make a change."""
    return SourceChange(None, records, StoreRevision(1, revision), whole=False)


async def told_of(change: SourceChange) -> list[SourceNews]:
    """Give what is told of a change."""
    channel = SourceNewsChannel("n1")
    channel.tell(StoreRevision(1, FIRST), change, 60.0)
    with trio.move_on_after(1.0):
        return await channel.next()
    return []


@pytest.mark.parametrize(("count", "size"), [(1, 5), (151, 5), (2_000, 5), (150, 256), (600, 256)])
async def test_change_of_any_size_is_told(count: int, size: int) -> None:
    """A change with many or large records was told nobody, and each instance asked the service."""
    records = [record(FIRST + 1 + number, size) for number in range(count)]
    last = FIRST + count + 3
    told = await told_of(change_of(records[::-1], last))
    assert max(len(encode(news)) for news in told) < DATAGRAM_BYTES / 2
    assert [news.after for news in told] == [FIRST, *(news.revision for news in told[:-1])]
    assert told[-1].revision == last
    assert [item for news in told for item in news.changes()] == records


async def test_records_of_one_revision_are_told_together() -> None:
    """Who had one part of a revision would count all of it as known."""
    first = [record(FIRST + 1, 256)._replace(name=f"e{number}") for number in range(40)]
    records = [*first, record(FIRST + 2, 256)]
    told = await told_of(change_of(records, FIRST + 2))
    assert [news.revision for news in told] == [FIRST + 1, FIRST + 2]


async def test_change_without_records_or_with_an_unreadable_one_is_told() -> None:
    fault = ReadFault(FaultKind.JSON, "no JSON")
    unreadable = EndpointRecord("e", StoreRevision(1, FIRST + 1), None, fault)
    for records in ([], [unreadable]):
        (news,) = await told_of(change_of(records, FIRST + 1))
        assert (news.after, news.revision, news.changes()) == (FIRST, FIRST + 1, records)


@pytest.mark.parametrize("members", [62, 195])
async def test_large_change_costs_the_calls_of_those_who_watch(
    members: int, autojump_clock: trio.testing.MockClock
) -> None:
    """A change with more than 150 records cost a call of each instance, all at one moment."""
    fleet = Fleet(members, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(30.0)
        before = fleet.source.calls
        fleet.source.revision += 1_000
        fleet.source.change()
        await trio.sleep(1.0)
        assert fleet.complete() == members
        assert fleet.source.calls - before <= 4
        nursery.cancel_scope.cancel()
