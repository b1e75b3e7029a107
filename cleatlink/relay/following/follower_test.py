"""Tests of how an instance follows the configuration service."""

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
    HistoryUnavailableError,
    SourceChange,
    SourceTable,
)
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import RegistrationUpdate
from cleatlink.relay.peers.registration_channel import RegistrationChannel
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import EndpointRecord
from cleatlink.routing.table_tracker import TableTracker

pytestmark = pytest.mark.virtual_time


class UnchangedSource(ConfigurationSource):
    """A source without changes, which records the requested wait of each watch."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []

    @property
    def is_receiving(self) -> bool:
        return False

    async def read(self) -> SourceChange:
        return SourceChange(None, [], StoreRevision(0, 1), is_full=True)

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self.waits_s.append(wait_s)
        await trio.sleep(0.001)
        return SourceChange(None, [], after, is_full=False)

    async def read_table(self) -> SourceTable:
        return SourceTable(None)

    def close(self) -> None:
        """Nothing is open."""


def create_follower(
    source: ConfigurationSource, members: int, endpoint_leave_s: float = 2.0, seed: int = 1
) -> Follower:
    """Create a follower in a fleet of ``members`` instances."""
    hooks = FollowerHooks(
        lambda table: None, lambda: None, lambda: None, lambda *_: None, lambda: members
    )
    return Follower(
        source,
        Capacity(),
        ConnectionPool(),
        RelayMetrics(),
        table_tracker=TableTracker(),
        rng=random.Random(seed),
        hooks=hooks,
        endpoint_leave_s=endpoint_leave_s,
    )


@pytest.mark.parametrize(
    ("members", "min_wait_s", "max_wait_s"),
    [(1, 1.4, 2.0), (8, 1.4, 2.0), (62, 4.2, 6.0), (195, 10.5, 15.0), (1000, 14.0, 20.0)],
)
async def test_watch_of_each_instance_is_longer_in_larger_fleet(
    members: int, min_wait_s: float, max_wait_s: float
) -> None:
    source = UnchangedSource()
    with trio.move_on_after(0.2):
        await create_follower(source, members).run()
    assert len(source.waits_s) > 20
    assert min_wait_s <= min(source.waits_s)
    assert max(source.waits_s) <= max_wait_s
    assert max(source.waits_s) - min(source.waits_s) > 0.2 * max_wait_s


class ChangingEachCallSource(UnchangedSource):
    """A source that returns a change in each answer."""

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self.waits_s.append(wait_s)
        await trio.sleep(0.001)
        later = after._replace(number=after.number + 1)
        return SourceChange(None, [EndpointRecord("e1", later, None)], later, is_full=False)


@pytest.mark.parametrize(
    ("members", "endpoint_leave_s", "min_calls", "max_calls"),
    [(8, 2.0, 20, 1000), (62, 2.0, 1, 3), (195, 4.0, 1, 1), (195, 2.0, 2, 3)],
)
async def test_large_fleet_delays_calls_to_batch_changes(
    members: int, endpoint_leave_s: float, min_calls: int, max_calls: int
) -> None:
    source = ChangingEachCallSource()
    with trio.move_on_after(0.4):
        await create_follower(source, members, endpoint_leave_s).run()
    assert min_calls <= len(source.waits_s) <= max_calls


class RestoredSource(UnchangedSource):
    """A source that is restored from a copy, and records the time of each call."""

    def __init__(self, calls: list[float], *, always: bool = False) -> None:
        super().__init__()
        self.era = 1
        self.restored = trio.Event()
        self._calls = calls
        self._always = always

    async def read(self) -> SourceChange:
        # One call for the list and one for the table.
        self._calls += [trio.current_time()] * 2
        return SourceChange(None, [], StoreRevision(self.era, 1), is_full=True)

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self._calls.append(trio.current_time())
        if after.era != self.era or self._always:
            raise HistoryUnavailableError("the source was restored from a copy")
        with trio.move_on_after(wait_s):
            await self.restored.wait()
            # All waits of all instances end at the same moment.
            self.restored = trio.Event()
            raise PlatformError("the connection was closed")
        return SourceChange(None, [], after, is_full=False)


async def restore_source(members: int, seconds: float, *, always: bool) -> list[float]:
    """Restore the source of many instances; return the times of the calls after that."""
    calls: list[float] = []
    sources = [RestoredSource(calls, always=always) for _ in range(members)]
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for seed, source in enumerate(sources):
                nursery.start_soon(create_follower(source, members, seed=seed).run)
            await trio.sleep(0.01)
            for source in sources:
                source.era = 2
                source.restored.set()
            await trio.sleep(30.0)
    return [at for at in calls if at > calls[0] + 0.01]


def max_calls_per_second(calls: list[float]) -> int:
    """Return the highest number of calls within any second."""
    return max(sum(0 <= at - first < 1.0 for at in calls) for first in calls)


@pytest.mark.parametrize("members", [8, 60, 195, 360])
async def test_restore_causes_one_full_read_per_instance(
    members: int, autojump_clock: trio.testing.MockClock
) -> None:
    calls = await restore_source(members, 28.0, always=False)
    assert sum(at < calls[0] + 1.3 for at in calls) <= 5 * members
    # The watch that fails, the watch that finds the history missing, the list, the table and the
    # next watch.
    assert max_calls_per_second(calls) <= 5 * members


@pytest.mark.parametrize("members", [8, 60, 195, 360])
async def test_source_without_history_is_called_at_longest_delay(
    members: int, autojump_clock: trio.testing.MockClock
) -> None:
    calls = await restore_source(members, 28.0, always=True)
    # Each full read takes three calls, at the longest delay.
    settled = [at for at in calls if at > calls[0] + 8.0]
    assert len(settled) / 20.0 <= 3 * members / 2.0 + 1


class ChangingSource(ConfigurationSource):
    """A source whose registrations change, which counts the watches of all instances."""

    def __init__(self) -> None:
        self.calls = 0
        self.revision = 1
        self._changed = trio.Event()

    @property
    def is_receiving(self) -> bool:
        return False

    async def read(self) -> SourceChange:
        return SourceChange(None, [], StoreRevision(0, self.revision), is_full=True)

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self.calls += 1
        with trio.move_on_after(wait_s):
            while self.revision <= after.number:
                await self._changed.wait()
        numbers = range(after.number + 1, self.revision + 1)
        records = [EndpointRecord(f"e{n}", StoreRevision(0, n), None) for n in numbers]
        return SourceChange(None, records, StoreRevision(0, self.revision), is_full=False)

    def change_registration(self) -> None:
        """Change a registration, which ends all waits."""
        self.revision += 1
        self._changed.set()
        self._changed = trio.Event()

    async def read_table(self) -> SourceTable:
        return SourceTable(None)

    def close(self) -> None:
        """Nothing is open."""


class FollowerFleet:
    """Followers of one source, of which some watch; a share of their updates is lost."""

    def __init__(self, members: int, watching: int, lost_share: float = 0.0) -> None:
        self.source = ChangingSource()
        self.watching = set(range(watching))
        self._lost_share = lost_share
        self._rng = random.Random(3)
        self._channels = [RegistrationChannel(f"i{number}") for number in range(members)]
        self.followers = [self._create_follower(number, members) for number in range(members)]

    def _create_follower(self, number: int, members: int) -> Follower:
        hooks = FollowerHooks(
            lambda table: None,
            lambda: None,
            lambda: None,
            lambda *_: None,
            lambda: members,
            lambda: number in self.watching,
            self._channels[number].report_change,
        )
        return Follower(
            self.source,
            Capacity(),
            ConnectionPool(),
            RelayMetrics(),
            table_tracker=TableTracker(),
            rng=random.Random(number),
            hooks=hooks,
            endpoint_leave_s=3.0,
        )

    async def run(self) -> None:
        """Run all followers and deliver their updates."""
        async with trio.open_nursery() as nursery:
            for number, follower in enumerate(self.followers):
                nursery.start_soon(follower.run)
                nursery.start_soon(self._deliver_updates, number)

    async def _deliver_updates(self, number: int) -> None:
        while True:
            for update in await self._channels[number].next_messages():
                for other, follower in enumerate(self.followers):
                    if other != number and self._rng.random() >= self._lost_share:
                        follower.apply_peer_update(update)

    def count_up_to_date(self) -> int:
        """Return the number of followers that know all changes."""
        return sum(
            follower.records.complete_revision.number == self.source.revision
            for follower in self.followers
        )


async def count_calls_for_changes(fleet: FollowerFleet, changes: int) -> int:
    """Make changes one second apart; return the number of watches that they cause."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(30.0)
        before = fleet.source.calls
        for _ in range(changes):
            fleet.source.change_registration()
            await trio.sleep(1.0)
            assert fleet.count_up_to_date() == len(fleet.followers)
        nursery.cancel_scope.cancel()
    return fleet.source.calls - before


async def test_change_causes_calls_of_watching_instances_only(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a call of every instance for each change of a registration.

    With 82 instances that all watched, the fleet made 40 to 80 calls a second to its configuration
    service on a busy day, one of the largest costs of that day, and all of them read the same data.
    """
    assert await count_calls_for_changes(FollowerFleet(82, 82), 20) >= 20 * 82
    assert await count_calls_for_changes(FollowerFleet(82, 2), 20) <= 20 * 2 + 40


async def test_lost_update_is_read_from_service(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = FollowerFleet(30, 2, lost_share=0.2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(5.0)
        for _ in range(40):
            fleet.source.change_registration()
            await trio.sleep(1.0)
        # An instance that missed the last update learns of a newer revision from a heartbeat.
        for follower in fleet.followers:
            if follower.records.complete_revision.number < fleet.source.revision:
                follower.poll_service()
        await trio.sleep(0.2)
        assert fleet.count_up_to_date() == len(fleet.followers)
        assert all(len(item.records.records) == 40 for item in fleet.followers)
        nursery.cancel_scope.cancel()


async def test_new_watching_instances_replace_previous_ones(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = FollowerFleet(30, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(5.0)
        fleet.watching = {7, 8}
        fleet.source.change_registration()
        await trio.sleep(1.0)
        assert fleet.count_up_to_date() == len(fleet.followers)
        nursery.cancel_scope.cancel()


async def test_update_of_another_era_is_ignored(
    autojump_clock: trio.testing.MockClock,
) -> None:
    follower = create_follower(UnchangedSource(), 30)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(1.0)
        follower.apply_peer_update(RegistrationUpdate("peer", 1, 0, 9, [], 60.0))
        assert follower.records.complete_revision == StoreRevision(0, 1)
        follower.apply_peer_update(RegistrationUpdate("peer", 0, 1, 9, [], 60.0))
        assert follower.records.complete_revision == StoreRevision(0, 9)
        nursery.cancel_scope.cancel()


class SlowAnswerSource(UnchangedSource):
    """A source whose answer takes two seconds to arrive."""

    def __init__(self) -> None:
        super().__init__()
        self._is_answering = False

    @property
    def is_receiving(self) -> bool:
        return self._is_answering

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        self.waits_s.append(wait_s)
        self._is_answering = True
        try:
            await trio.sleep(2.0)
        finally:
            self._is_answering = False
        later = after._replace(number=9)
        return SourceChange(None, [EndpointRecord("e1", later, None)], later, is_full=False)


async def test_heartbeat_does_not_cancel_arriving_answer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against heartbeats that prevent an update.

    Each heartbeat with a newer revision cancelled the answer that contained that revision.
    """
    source = SlowAnswerSource()
    follower = create_follower(source, 8)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        for _ in range(6):
            await trio.sleep(0.5)
            follower.poll_service()
        assert follower.records.complete_revision.number == 9
        nursery.cancel_scope.cancel()
