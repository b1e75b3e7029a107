"""How an instance follows the configuration service."""

import random

import pytest
import trio
import trio.testing

from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.following.follower import Follower, FollowerHooks
from cleatlink.relay.following.source import (
    ConfigurationSource,
    HistoryGoneError,
    SourceChange,
    SourceTable,
)
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import SourceNews
from cleatlink.relay.peers.source_news import SourceNewsChannel
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import EndpointRecord
from cleatlink.routing.table_knowledge import TableKnowledge

pytestmark = pytest.mark.virtual_time


class QuietSource(ConfigurationSource):
    """A source without any change, which notes how long it may take to say so."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []

    @property
    def is_answering(self) -> bool:
        return False

    async def read(self) -> SourceChange:
        return SourceChange(None, [], StoreRevision(0, 1), whole=True)

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self.waits_s.append(wait_s)
        await trio.sleep(0.001)
        return SourceChange(None, [], after, whole=False)

    async def read_table(self) -> SourceTable:
        return SourceTable(None)

    def close(self) -> None:
        """Nothing is open."""


def follower_of(
    source: ConfigurationSource, members: int, leaving_s: float = 2.0, seed: int = 1
) -> Follower:
    """Make a follower that believes in so many instances."""
    hooks = FollowerHooks(
        lambda table: None, lambda: None, lambda: None, lambda *_: None, lambda: members
    )
    return Follower(
        source,
        Capacity(),
        ConnectionPool(),
        RelayMetrics(),
        tables=TableKnowledge(),
        rng=random.Random(seed),
        hooks=hooks,
        leaving_s=leaving_s,
    )


@pytest.mark.parametrize(
    ("members", "shortest_s", "longest_s"),
    [(1, 1.4, 2.0), (8, 1.4, 2.0), (62, 4.2, 6.0), (195, 10.5, 15.0), (1000, 14.0, 20.0)],
)
async def test_more_instances_ask_less_often_each(
    members: int, shortest_s: float, longest_s: float
) -> None:
    source = QuietSource()
    with trio.move_on_after(0.2):
        await follower_of(source, members).run()
    assert len(source.waits_s) > 20
    assert shortest_s <= min(source.waits_s)
    assert max(source.waits_s) <= longest_s
    assert max(source.waits_s) - min(source.waits_s) > 0.2 * longest_s


class BusySource(QuietSource):
    """A source with a change in each answer."""

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self.waits_s.append(wait_s)
        await trio.sleep(0.001)
        later = after._replace(number=after.number + 1)
        return SourceChange(None, [EndpointRecord("e1", later, None)], later, whole=False)


@pytest.mark.parametrize(
    ("members", "leaving_s", "fewest", "most"),
    [(8, 2.0, 20, 1000), (62, 2.0, 1, 3), (195, 4.0, 1, 1), (195, 2.0, 2, 3)],
)
async def test_changes_gather_where_there_are_many_instances(
    members: int, leaving_s: float, fewest: int, most: int
) -> None:
    source = BusySource()
    with trio.move_on_after(0.4):
        await follower_of(source, members, leaving_s).run()
    assert fewest <= len(source.waits_s) <= most


class RestoredSource(QuietSource):
    """A source that has come back from a copy, and notes when it is called."""

    def __init__(self, calls: list[float], *, always: bool = False) -> None:
        super().__init__()
        self.era = 1
        self.restored = trio.Event()
        self._calls = calls
        self._always = always

    async def read(self) -> SourceChange:
        # The list and the table are a call each.
        self._calls += [trio.current_time()] * 2
        return SourceChange(None, [], StoreRevision(self.era, 1), whole=True)

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self._calls.append(trio.current_time())
        if after.era != self.era or self._always:
            raise HistoryGoneError("it came back from a copy")
        with trio.move_on_after(wait_s):
            await self.restored.wait()
            # All waits of all instances end at the same moment.
            self.restored = trio.Event()
            raise PlatformError("cut")
        return SourceChange(None, [], after, whole=False)


async def restore_all(members: int, seconds: float, *, always: bool) -> list[float]:
    """Have the source of many instances come back; gives when it was called since."""
    calls: list[float] = []
    sources = [RestoredSource(calls, always=always) for _ in range(members)]
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for seed, source in enumerate(sources):
                nursery.start_soon(follower_of(source, members, seed=seed).run)
            await trio.sleep(0.01)
            for source in sources:
                source.era = 2
                source.restored.set()
            await trio.sleep(30.0)
    return [at for at in calls if at > calls[0] + 0.01]


def most_in_a_second(calls: list[float]) -> int:
    """Give the most calls within a second."""
    return max(sum(0 <= at - first < 1.0 for at in calls) for first in calls)


@pytest.mark.parametrize("members", [8, 60, 195, 360])
async def test_restore_costs_each_instance_one_whole_read(
    members: int, autojump_clock: trio.testing.MockClock
) -> None:
    calls = await restore_all(members, 28.0, always=False)
    assert sum(at < calls[0] + 1.3 for at in calls) <= 5 * members
    # The wait that is cut, the one that finds it out, the list, the table, and the next wait.
    assert most_in_a_second(calls) <= 5 * members


@pytest.mark.parametrize("members", [8, 60, 195, 360])
async def test_source_without_any_history_is_asked_seldom(
    members: int, autojump_clock: trio.testing.MockClock
) -> None:
    calls = await restore_all(members, 28.0, always=True)
    # Three calls each time, at the longest pause.
    settled = [at for at in calls if at > calls[0] + 8.0]
    assert len(settled) / 20.0 <= 3 * members / 2.0 + 1


class ChangingSource(ConfigurationSource):
    """A source whose registrations change, and which counts the calls of all instances."""

    def __init__(self) -> None:
        self.calls = 0
        self.revision = 1
        self._changed = trio.Event()

    @property
    def is_answering(self) -> bool:
        return False

    async def read(self) -> SourceChange:
        return SourceChange(None, [], StoreRevision(0, self.revision), whole=True)

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self.calls += 1
        with trio.move_on_after(wait_s):
            while self.revision <= after.number:
                await self._changed.wait()
        numbers = range(after.number + 1, self.revision + 1)
        records = [EndpointRecord(f"e{n}", StoreRevision(0, n), None) for n in numbers]
        return SourceChange(None, records, StoreRevision(0, self.revision), whole=False)

    def change(self) -> None:
        """Change a registration: all waits end."""
        self.revision += 1
        self._changed.set()
        self._changed = trio.Event()

    async def read_table(self) -> SourceTable:
        return SourceTable(None)

    def close(self) -> None:
        """Nothing is open."""


class Fleet:
    """Followers of one source, some of which watch; what they tell is lost at times."""

    def __init__(self, members: int, watching: int, lost_share: float = 0.0) -> None:
        self.source = ChangingSource()
        self.watching = set(range(watching))
        self._lost_share = lost_share
        self._rng = random.Random(3)
        self._channels = [SourceNewsChannel(f"i{number}") for number in range(members)]
        self.followers = [self._open(number, members) for number in range(members)]

    def _open(self, number: int, members: int) -> Follower:
        hooks = FollowerHooks(
            lambda table: None,
            lambda: None,
            lambda: None,
            lambda *_: None,
            lambda: members,
            lambda: number in self.watching,
            self._channels[number].tell,
        )
        return Follower(
            self.source,
            Capacity(),
            ConnectionPool(),
            RelayMetrics(),
            tables=TableKnowledge(),
            rng=random.Random(number),
            hooks=hooks,
            leaving_s=3.0,
        )

    async def run(self) -> None:
        """Run all followers, and carry what they tell."""
        async with trio.open_nursery() as nursery:
            for number, follower in enumerate(self.followers):
                nursery.start_soon(follower.run)
                nursery.start_soon(self._carry, number)

    async def _carry(self, number: int) -> None:
        while True:
            for news in await self._channels[number].next():
                for other, follower in enumerate(self.followers):
                    if other != number and self._rng.random() >= self._lost_share:
                        follower.take_news(news)

    def complete(self) -> int:
        """Give how many know all changes."""
        return sum(
            follower.records.revision.number == self.source.revision for follower in self.followers
        )


async def play_changes(fleet: Fleet, changes: int) -> int:
    """Play changes a second apart; gives the calls that they cost."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(30.0)
        before = fleet.source.calls
        for _ in range(changes):
            fleet.source.change()
            await trio.sleep(1.0)
            assert fleet.complete() == len(fleet.followers)
        nursery.cancel_scope.cancel()
    return fleet.source.calls - before


async def test_change_costs_the_calls_of_those_who_watch(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Each change of a registration ended the wait of each of 82 instances.

    On a heavy day the fleet made 40 to 80 calls a second to its configuration service, one of
    the largest costs of the day; nothing that they read differed.
    """
    assert await play_changes(Fleet(82, 82), 20) >= 20 * 82
    assert await play_changes(Fleet(82, 2), 20) <= 20 * 2 + 40


async def test_lost_news_are_read_from_the_service(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = Fleet(30, 2, lost_share=0.2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(5.0)
        for _ in range(40):
            fleet.source.change()
            await trio.sleep(1.0)
        # Who missed the last one learns by a heartbeat that there is a newer revision.
        for follower in fleet.followers:
            if follower.records.revision.number < fleet.source.revision:
                follower.look_again()
        await trio.sleep(0.2)
        assert fleet.complete() == len(fleet.followers)
        assert all(len(item.records.records) == 40 for item in fleet.followers)
        nursery.cancel_scope.cancel()


async def test_those_who_watch_no_more_are_replaced(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = Fleet(30, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(5.0)
        fleet.watching = {7, 8}
        fleet.source.change()
        await trio.sleep(1.0)
        assert fleet.complete() == len(fleet.followers)
        nursery.cancel_scope.cancel()


async def test_news_of_another_era_are_left_to_a_whole_read(
    autojump_clock: trio.testing.MockClock,
) -> None:
    follower = follower_of(QuietSource(), 30)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(1.0)
        follower.take_news(SourceNews("peer", 1, 0, 9, [], 60.0))
        assert follower.records.revision == StoreRevision(0, 1)
        follower.take_news(SourceNews("peer", 0, 1, 9, [], 60.0))
        assert follower.records.revision == StoreRevision(0, 9)
        nursery.cancel_scope.cancel()


class SlowSource(QuietSource):
    """A source whose changes take two seconds on their way."""

    def __init__(self) -> None:
        super().__init__()
        self._is_answering = False

    @property
    def is_answering(self) -> bool:
        return self._is_answering

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self.waits_s.append(wait_s)
        self._is_answering = True
        try:
            await trio.sleep(2.0)
        finally:
            self._is_answering = False
        later = after._replace(number=9)
        return SourceChange(None, [EndpointRecord("e1", later, None)], later, whole=False)


async def test_answer_on_its_way_is_not_begun_anew_by_a_peers_word(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Each heartbeat that told of something newer cut the answer that brought it."""
    source = SlowSource()
    follower = follower_of(source, 8)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        for _ in range(6):
            await trio.sleep(0.5)
            follower.look_again()
        assert follower.records.revision.number == 9
        nursery.cancel_scope.cancel()
