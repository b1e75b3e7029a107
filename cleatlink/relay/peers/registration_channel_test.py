"""Tests reports of registration changes with different numbers and sizes of records."""

import pytest
import trio
import trio.testing

from cleatlink.core.data import Role
from cleatlink.core.decoding import ReadFault, ReadFaultKind
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.following.follower_test import FollowerFleet
from cleatlink.relay.following.source import SourceChange
from cleatlink.relay.peers.messages import RegistrationUpdate, encode
from cleatlink.relay.peers.registration_channel import RegistrationChannel
from cleatlink.routing.fleet_records import EndpointRecord

pytestmark = pytest.mark.virtual_time

DATAGRAM_BYTES = 60_000
FIRST_REVISION = 10


def create_record(number: int, size: int) -> EndpointRecord:
    """Create a registration whose texts have ``size`` characters."""
    name = f"e{number}"
    endpoint = RoutedEndpoint(name, "127.0.0.1:1", size * "z", size * "s", Role.PLAIN, 4)
    return EndpointRecord(name, StoreRevision(1, number), endpoint)


def create_change(records: list[EndpointRecord], revision: int) -> SourceChange:
    """Create a change that is not a whole list."""
    return SourceChange(None, records, StoreRevision(1, revision), is_full=False)


async def report_change(change: SourceChange) -> list[RegistrationUpdate]:
    """Return the messages that report a change."""
    channel = RegistrationChannel("n1")
    channel.report_change(StoreRevision(1, FIRST_REVISION), change, 60.0)
    with trio.move_on_after(1.0):
        return await channel.next_messages()
    return []


@pytest.mark.parametrize(("count", "size"), [(1, 5), (151, 5), (2_000, 5), (150, 256), (600, 256)])
async def test_change_of_any_size_is_reported(count: int, size: int) -> None:
    """Guards against dropped large changes, after which each instance would call the service."""
    records = [create_record(FIRST_REVISION + 1 + number, size) for number in range(count)]
    last = FIRST_REVISION + count + 3
    messages = await report_change(create_change(records[::-1], last))
    assert max(len(encode(message)) for message in messages) < DATAGRAM_BYTES / 2
    assert [message.base_revision for message in messages] == [
        FIRST_REVISION,
        *(message.revision for message in messages[:-1]),
    ]
    assert messages[-1].revision == last
    assert [item for message in messages for item in message.endpoint_records()] == records


async def test_records_of_one_revision_are_in_one_message() -> None:
    """Guards against a split revision, of which a receiver of one part would miss the others."""
    first = [
        create_record(FIRST_REVISION + 1, 256)._replace(name=f"e{number}") for number in range(40)
    ]
    records = [*first, create_record(FIRST_REVISION + 2, 256)]
    messages = await report_change(create_change(records, FIRST_REVISION + 2))
    assert [message.revision for message in messages] == [FIRST_REVISION + 1, FIRST_REVISION + 2]


async def test_change_without_records_or_with_unreadable_record_is_reported() -> None:
    fault = ReadFault(ReadFaultKind.JSON, "no JSON")
    unreadable = EndpointRecord("e", StoreRevision(1, FIRST_REVISION + 1), None, fault)
    for records in ([], [unreadable]):
        (message,) = await report_change(create_change(records, FIRST_REVISION + 1))
        assert (message.base_revision, message.revision, message.endpoint_records()) == (
            FIRST_REVISION,
            FIRST_REVISION + 1,
            records,
        )


@pytest.mark.parametrize("members", [62, 195])
async def test_only_watching_instances_call_the_service_after_a_large_change(
    members: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a call of every instance at once after a change with over 150 records."""
    fleet = FollowerFleet(members, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(30.0)
        before = fleet.source.calls
        fleet.source.revision += 1_000
        fleet.source.change_registration()
        await trio.sleep(1.0)
        assert fleet.count_up_to_date() == members
        assert fleet.source.calls - before <= 4
        nursery.cancel_scope.cancel()
