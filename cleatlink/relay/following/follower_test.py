"""How an instance follows the configuration service."""

import random

import pytest
import trio

from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.following.follower import Follower, FollowerHooks
from cleatlink.relay.following.source import ConfigurationSource, SourceChange
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import EndpointRecord


class QuietSource(ConfigurationSource):
    """A source without any change, which notes how long it may take to say so."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []

    async def read(self) -> SourceChange:
        return SourceChange(None, [], 1, whole=True)

    async def watch(self, after: int, wait_s: float) -> SourceChange:
        self.waits_s.append(wait_s)
        await trio.sleep(0.001)
        return SourceChange(None, [], after, whole=False)

    def close(self) -> None:
        """Nothing is open."""


def follower_of(source: ConfigurationSource, members: int, leaving_s: float = 2.0) -> Follower:
    """Make a follower that believes in so many instances."""
    hooks = FollowerHooks(
        lambda table: None, lambda: None, lambda: None, lambda *_: None, lambda: members
    )
    return Follower(
        source,
        Capacity(),
        ConnectionPool(),
        RelayMetrics(),
        rng=random.Random(1),
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

    async def watch(self, after: int, wait_s: float) -> SourceChange:
        self.waits_s.append(wait_s)
        await trio.sleep(0.001)
        return SourceChange(None, [EndpointRecord("e1", after + 1, None)], after + 1, whole=False)


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
