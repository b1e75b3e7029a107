"""Tests of an instance's records after updates from peers were lost or reordered."""

import pytest
import trio
import trio.testing

from cleatlink.core.data import Role
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.following import follower_test
from cleatlink.relay.following.follower import Follower
from cleatlink.relay.peers.messages import RegistrationUpdate
from cleatlink.relay.peers.snapshots import RegistrationRecord
from cleatlink.routing.fleet_records import EndpointRecord
from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time


def endpoint(name: str) -> RoutedEndpoint:
    """Create an endpoint."""
    return RoutedEndpoint(name, "127.0.0.1:1", "a", "plain", Role.PLAIN, 4)


async def start_two_instances_and_refuse_second(fleet: Fleet) -> None:
    """Start two instances that are connected as peers; the service then refuses the second."""
    await start(fleet, Worker("plain"))
    fleet.start_instance()
    await fleet.wait_ready()
    await fleet.wait_until(lambda: all(item._peers.live_instances == 2 for item in fleet.instances))
    fleet.refuse_store_access(1)


async def test_registration_with_lost_update_is_read_from_peer() -> None:
    """Guards against a registration that stays unknown after its update was lost.

    The update of a later change hid that an earlier one was missing, and no peer was asked for it.
    """
    async with open_fleet() as fleet:
        await start_two_instances_and_refuse_second(fleet)
        second = fleet.instances[1]
        known = fleet.store.revision
        missed, announced = Worker("plain"), Worker("plain")
        await fleet.add_worker(missed)
        middle = fleet.store.revision
        await fleet.add_worker(announced)
        # The update arrives before any heartbeat can announce the two changes.
        revision = StoreRevision(0, fleet.store.revision)
        record = EndpointRecord(announced.name, revision, endpoint(announced.name))
        item = RegistrationRecord.from_record(record)
        assert second.records.complete_revision == StoreRevision(0, known)
        second._follower.apply_peer_update(
            RegistrationUpdate("n1", 0, middle, fleet.store.revision, [item], 60.0)
        )
        assert second.records.get(announced.name) is not None
        await fleet.wait_until(lambda: second.records.get(missed.name) is not None, 4.0)


class ReorderingFleet(follower_test.FollowerFleet):
    """Followers that receive updates late, twice and out of order."""

    async def _deliver_updates(self, number: int) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                for update in await self._channels[number].next_messages():
                    for other, follower in enumerate(self.followers):
                        if other != number:
                            nursery.start_soon(self._deliver_late, follower, update)
                            nursery.start_soon(self._deliver_late, follower, update)

    async def _deliver_late(self, follower: Follower, update: RegistrationUpdate) -> None:
        await trio.sleep(self._rng.random())
        follower.apply_peer_update(update)


@pytest.mark.parametrize("members", [62, 195])
async def test_reordered_updates_leave_no_change_out(
    members: int, autojump_clock: trio.testing.MockClock
) -> None:
    fleet = ReorderingFleet(members, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(5.0)
        for _ in range(40):
            fleet.source.change_registration()
            await trio.sleep(0.1)
        await trio.sleep(2.0)
        assert fleet.count_up_to_date() == members
        assert all(len(item.records.records) == 40 for item in fleet.followers)
        assert all(
            item.records.newest_record_revision == item.records.complete_revision
            for item in fleet.followers
        )
        nursery.cancel_scope.cancel()
