"""Tests that an instance that lacks a route table or registrations fetches them without delay."""

import random

import pytest
import trio
from msgspec.structs import replace

from cleatlink.core.revisions import NO_REVISION
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.newer_route_table_test import SlowPeer, make_heartbeat, make_route_table
from cleatlink.relay.peers.advertised_state import AdvertisedState
from cleatlink.relay.peers.catch_up import CatchUp
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import HeartbeatMessage, encode
from cleatlink.relay.peers.snapshots import Snapshot

pytestmark = pytest.mark.virtual_time

_TABLE = encode(Snapshot(make_route_table(9, 10), [], 0))


class OutdatedInstance:
    """An instance with table 3 and no registrations that does not watch the service."""

    def __init__(self, *heartbeats: HeartbeatMessage, read_s: float = 0.0, seed: int = 1) -> None:
        self.snapshots: list[Snapshot] = []
        self.polled_at: list[float] = []
        self.read_at: list[float] = []
        self._read_s = read_s
        self._live_peers = LivePeers("n2", [], trio.current_time())
        for item in heartbeats:
            self._live_peers.record_heartbeat(item, trio.current_time())
        hooks = PeerHooks(
            self._state,
            lambda: self.polled_at.append(trio.current_time()),
            self.snapshots.append,
            lambda: None,
            lambda work: None,
            lambda incarnation: None,
            lambda update: None,
            read_table=self._read,
        )
        self.catch_up = CatchUp(
            "a",
            hooks,
            self._live_peers,
            RelayMetrics(),
            random.Random(seed),
            must_watch=lambda: False,
        )

    @property
    def has_table(self) -> bool:
        """Whether a table was copied from a peer."""
        return any(item.table is not None for item in self.snapshots)

    def _state(self) -> AdvertisedState:
        return AdvertisedState(False, 9 if self.has_table else 3, NO_REVISION)

    async def _read(self) -> None:
        self.read_at.append(trio.current_time())
        await trio.sleep(self._read_s)

    async def receive_heartbeats(
        self, nursery: trio.Nursery, item: HeartbeatMessage, seconds: int
    ) -> None:
        """Pass a heartbeat to the catch-up twice a second."""
        for _ in range(2 * seconds):
            self.catch_up.handle_heartbeat(item, nursery.start_soon)
            await trio.sleep(0.5)


async def test_table_is_copied_from_a_leaving_peer_while_the_service_is_down() -> None:
    """Guards against skipping leaving peers, which still answer requests for a table."""
    peer = SlowPeer(_TABLE, parts=1, pause_s=0.0)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        heartbeat = replace(make_heartbeat(peer.address, 9), leaving=True)
        instance = OutdatedInstance(heartbeat)
        await instance.receive_heartbeats(nursery, heartbeat, 5)
        peer.close()
        nursery.cancel_scope.cancel()
    assert instance.has_table


async def test_registrations_are_requested_while_a_table_copy_is_running() -> None:
    """Guards against requesting registrations only after a running table fetch has ended."""
    peer = SlowPeer(_TABLE, parts=10, pause_s=0.8)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        heartbeat = replace(make_heartbeat(peer.address, 9), newest_registration=7)
        instance = OutdatedInstance(heartbeat)
        await instance.receive_heartbeats(nursery, heartbeat, 3)
        peer.close()
        nursery.cancel_scope.cancel()
    assert instance.polled_at


async def test_peer_in_another_data_centre_is_asked_while_the_service_responds_slowly() -> None:
    """Guards against a slow response of the service delaying requests to peers elsewhere.

    It affects an instance that is alone in its data centre.
    """
    peer = SlowPeer(_TABLE, parts=1, pause_s=0.0)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        heartbeat = replace(make_heartbeat(peer.address, 9), data_centre="b")
        instance = OutdatedInstance(heartbeat, read_s=10.0)
        await instance.receive_heartbeats(nursery, heartbeat, 3)
        peer.close()
        nursery.cancel_scope.cancel()
    assert instance.has_table


async def test_second_local_peer_is_asked_while_the_first_responds_slowly() -> None:
    """Guards against waiting ten seconds for one slow peer's copy before asking another peer.

    It affects an instance that the configuration service refuses.
    """
    slow = SlowPeer(_TABLE, parts=30, pause_s=0.9)
    fast = SlowPeer(_TABLE, parts=1, pause_s=0.0)
    async with trio.open_nursery() as nursery:
        await slow.start(nursery)
        await fast.start(nursery)
        heartbeats = [
            make_heartbeat(slow.address, 9),
            replace(make_heartbeat(fast.address, 9), name="n8"),
        ]
        for seed in range(4):
            instance = OutdatedInstance(*heartbeats, seed=seed)
            await instance.receive_heartbeats(nursery, heartbeats[0], 4)
            assert instance.has_table
        slow.close()
        fast.close()
        nursery.cancel_scope.cancel()
    # With some of the seeds the slow peer is asked first.
    assert slow.accepted_connections


async def test_newer_table_reported_during_a_round_starts_another_round() -> None:
    """Guards against a table reported during the fetch of an older one waiting for a heartbeat."""
    async with trio.open_nursery() as nursery:
        heartbeat = make_heartbeat("127.0.0.1:9", 9)
        instance = OutdatedInstance(heartbeat)
        instance.catch_up.handle_heartbeat(heartbeat, nursery.start_soon)
        await trio.sleep(0.1)
        instance.catch_up.handle_heartbeat(
            replace(heartbeat, table_revision=11), nursery.start_soon
        )
        instance.snapshots.append(Snapshot(make_route_table(9, 1), [], 0))
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    assert instance.read_at


async def test_copy_of_an_already_known_table_does_not_delay_a_newer_one() -> None:
    """Guards against an obsolete copy delaying the fetch of a newer table.

    The copy of a table continued for ten seconds after a watch had delivered that table.
    """
    slow = SlowPeer(_TABLE, parts=30, pause_s=0.9)
    async with trio.open_nursery() as nursery:
        await slow.start(nursery)
        heartbeat = make_heartbeat(slow.address, 9)
        instance = OutdatedInstance(heartbeat)
        instance.catch_up.handle_heartbeat(heartbeat, nursery.start_soon)
        await trio.sleep(1.2)
        instance.snapshots.append(Snapshot(make_route_table(9, 1), [], 0))
        reads_before = len(instance.read_at)
        await instance.receive_heartbeats(
            nursery, replace(heartbeat, name="n8", table_revision=11), 4
        )
        slow.close()
        nursery.cancel_scope.cancel()
    assert len(instance.read_at) > reads_before
