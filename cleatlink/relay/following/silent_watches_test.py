"""Tests of watches that go silent while packets on their connections are still acknowledged."""

import pytest
import trio
import trio.testing

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.following import follower_test
from cleatlink.relay.following.source import ConnectionLostError, SourceChange

pytestmark = pytest.mark.virtual_time

# Longest time until a removal is known after all watches went silent, in seconds: requests that
# reach a removed endpoint later break a rule.
NOTICE_S = 3.0
# Delay of an answer after which its connection counts as silent, in seconds.
ANSWER_TIMEOUT_S = 1.0


class SilencedSource(follower_test.ChangingSource):
    """A source whose present watches go silent at some moment; new ones work."""

    def __init__(self) -> None:
        super().__init__()
        self._silence = 0

    def silence(self) -> None:
        """Send nothing more on the connections that are open now."""
        self._silence += 1

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        silence, until = self._silence, trio.current_time() + wait_s + ANSWER_TIMEOUT_S
        change = await super().watch(after, wait_s)
        if silence != self._silence:
            await trio.sleep_until(until)
            raise ConnectionLostError("the connection is silent")
        return change


class SilencedFleet(follower_test.FollowerFleet):
    """Followers of a source that goes silent; all of them watch."""

    def __init__(self, members: int) -> None:
        super().__init__(members, members)
        self.silenced = SilencedSource()
        for follower in self.followers:
            follower._source = self.silenced
        self.source = self.silenced


async def notice_s(members: int) -> float:
    """Return how long it takes until all followers know of a removal after their watches ended."""
    fleet = SilencedFleet(members)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(10.0)
        fleet.source.change_registration()
        await trio.sleep(0.5)
        fleet.silenced.silence()
        began_at = trio.current_time()
        fleet.source.change_registration()
        while fleet.count_up_to_date() < members:
            await trio.sleep(0.01)
        seconds = trio.current_time() - began_at
        nursery.cancel_scope.cancel()
    return seconds


async def test_removal_is_noticed_in_time_by_a_small_fleet_whose_watches_go_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    assert await notice_s(8) < NOTICE_S


async def test_removal_is_noticed_too_late_by_a_large_fleet_whose_watches_go_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    assert await notice_s(24) < NOTICE_S
