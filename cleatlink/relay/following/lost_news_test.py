"""What an instance knows of registrations when news of a change were lost."""

import pytest
import trio
import trio.testing

from cleatlink.core.data import Role
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.following import follower_test
from cleatlink.relay.following.follower import Follower
from cleatlink.relay.peers.messages import SourceNews
from cleatlink.relay.peers.snapshots import RecordItem
from standins.relay import Worker
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time


def endpoint(name: str) -> RoutedEndpoint:
    """Make an endpoint."""
    return RoutedEndpoint(name, "127.0.0.1:1", "a", "plain", Role.PLAIN, 4)


async def start_two_and_turn_one_away(fleet: Fleet) -> None:
    """Start two instances that hear each other; the service then refuses the second."""
    await start(fleet, Worker("plain"))
    fleet.start_instance()
    await fleet.ready()
    await fleet.until(lambda: all(item._peers.alive == 2 for item in fleet.instances))
    fleet.turn_away(1)


async def test_registration_whose_news_were_lost_is_had_from_a_peer() -> None:
    """A later change's news hid that an earlier one was missing, and no peer was asked for it."""
    async with open_fleet() as fleet:
        await start_two_and_turn_one_away(fleet)
        second = fleet.instances[1]
        known = fleet.store.revision
        missed, told = Worker("plain"), Worker("plain")
        await fleet.add_worker(missed)
        middle = fleet.store.revision
        await fleet.add_worker(told)
        # It comes before any heartbeat can tell of the two.
        item = RecordItem(told.name, fleet.store.revision, endpoint(told.name))
        assert second.records.revision == StoreRevision(0, known)
        second._follower.take_news(SourceNews("n1", 0, middle, fleet.store.revision, [item], 60.0))
        assert second.records.get(told.name) is not None
        await fleet.until(lambda: second.records.get(missed.name) is not None, 4.0)


class DisorderedFleet(follower_test.Fleet):
    """Followers that hear news late, twice, and in another order."""

    async def _carry(self, number: int) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                for news in await self._channels[number].next():
                    for other, follower in enumerate(self.followers):
                        if other != number:
                            nursery.start_soon(self._bring, follower, news)
                            nursery.start_soon(self._bring, follower, news)

    async def _bring(self, follower: Follower, news: SourceNews) -> None:
        await trio.sleep(self._rng.random())
        follower.take_news(news)


@pytest.mark.parametrize("members", [62, 195])
async def test_news_in_any_order_leave_nothing_out(
    members: int, autojump_clock: trio.testing.MockClock
) -> None:
    fleet = DisorderedFleet(members, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(5.0)
        for _ in range(40):
            fleet.source.change()
            await trio.sleep(0.1)
        await trio.sleep(2.0)
        assert fleet.complete() == members
        assert all(len(item.records.records) == 40 for item in fleet.followers)
        assert all(item.records.newest == item.records.revision for item in fleet.followers)
        nursery.cancel_scope.cancel()
