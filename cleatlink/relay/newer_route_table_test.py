"""Test an instance that knows of a newer route table than its own."""

import math
import random

import pytest
import trio

from cleatlink.core.revisions import NO_REVISION
from cleatlink.core.routes import CallerLimits, Route, RouteKind, RouteTable, ServiceShare
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.advertised_state import AdvertisedState
from cleatlink.relay.peers.catch_up import CatchUp
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import HeartbeatMessage, RegistrationUpdate, encode
from cleatlink.relay.peers.snapshots import Snapshot
from standins.relay import RawCall, RawServer, Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import open_fleet
from standins.relay.raw_server import answer

pytestmark = pytest.mark.virtual_time


async def test_table_missing_from_peer_update_is_read_from_service() -> None:
    """Guards against depending on a peer's copy after an update that lacked the table."""
    silent_peer = SlowPeer(b"", parts=1, pause_s=math.inf)
    async with trio.open_nursery() as nursery, open_fleet() as fleet:
        await silent_peer.start(nursery)
        await start(fleet, Worker("plain"))
        await fleet.wait_until(lambda: fleet.store.open_watches)
        instance = fleet.instances[0]
        fleet.store.abandon_watches()
        version = fleet.configure()
        revision = fleet.store.revision
        instance._follower.apply_peer_update(
            RegistrationUpdate("n9", 0, revision - 1, revision, [], 60.0)
        )
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sender:
            host, _, port = fleet.peer_address().rpartition(":")
            await sender.sendto(
                encode(make_heartbeat(silent_peer.address, version)), (host, int(port))
            )
            await fleet.wait_until(lambda: instance.records.table_revision == version, 2.0)
        silent_peer.close()
        nursery.cancel_scope.cancel()


class SlowPeer(RawServer):
    """A peer on a slow link that answers in parts with pauses, or never."""

    def __init__(self, body: bytes, parts: int, pause_s: float) -> None:
        super().__init__()
        self._body = body
        self._parts = parts
        self._pause_s = pause_s

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Send the answer in parts, or never if the pause is infinite."""
        if self._pause_s == math.inf:
            await trio.sleep_forever()
        data = answer(200, {}, self._body)
        size = -(-len(data) // self._parts)
        for offset in range(0, len(data), size):
            await stream.send_all(data[offset : offset + size])
            await trio.sleep(self._pause_s)
        return True


def make_route_table(revision: int, routes: int) -> RouteTable:
    """Build a route table with the given number of routes."""
    table_routes = [
        Route(
            f"r{number}",
            "h.example",
            f"/r{number}/",
            RouteKind.SAFE,
            2.0,
            0.4,
            1,
            (ServiceShare("plain", 1),),
        )
        for number in range(routes)
    ]
    return RouteTable(revision, tuple(table_routes), {}, CallerLimits())


def make_heartbeat(address: str, table: int) -> HeartbeatMessage:
    """Build a peer's heartbeat that names its table revision."""
    return HeartbeatMessage("n9", 1, "a", address, False, table, 0, [], 0, {}, "", 2)


async def test_peer_copy_slower_than_one_second_is_used() -> None:
    """Guards against aborting a copy after one second, without a log line, and starting over."""
    snapshots: list[Snapshot] = []
    body = encode(Snapshot(make_route_table(9, 1000), [], 0))
    peer = SlowPeer(body, parts=12, pause_s=0.25)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        hooks = PeerHooks(
            lambda: AdvertisedState(False, 9 if snapshots else 3, NO_REVISION),
            lambda: None,
            snapshots.append,
            lambda: None,
            lambda work: None,
            lambda incarnation: None,
            lambda update: None,
        )
        live_peers = LivePeers("n2", [], trio.current_time())
        live_peers.record_heartbeat(make_heartbeat(peer.address, 9), trio.current_time())
        catch_up = CatchUp(
            "a", hooks, live_peers, RelayMetrics(), random.Random(1), must_watch=lambda: False
        )
        for _ in range(5):
            catch_up.handle_heartbeat(make_heartbeat(peer.address, 9), nursery.start_soon)
            await trio.sleep(1.0)
        peer.close()
        nursery.cancel_scope.cancel()
    assert [item.table.revision for item in snapshots if item.table is not None] == [9]


async def test_unknown_route_gets_no_final_refusal_while_newer_table_is_missing() -> None:
    """Guards against a 404 from a table that is known to be outdated."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.instances[0]._follower.note_peer_table(99, "n2")
        reply = await fleet.caller().ask("/new/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0.0
