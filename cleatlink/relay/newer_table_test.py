"""An instance that knows of a newer route table than its own."""

import math
import random

import pytest
import trio

from cleatlink.core.revisions import NO_REVISION
from cleatlink.core.routes import CallerLimits, Route, RouteKind, RouteTable, ServiceShare
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.catch_up import CatchUp
from cleatlink.relay.peers.heard import HeardPeers
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.known_state import KnownState
from cleatlink.relay.peers.messages import Beat, SourceNews, encode
from cleatlink.relay.peers.snapshots import Snapshot
from standins.relay import RawCall, RawServer, Worker
from standins.relay.example import start
from standins.relay.fleet import open_fleet
from standins.relay.http import answer

pytestmark = pytest.mark.virtual_time


async def test_table_whose_revision_was_told_without_it_is_read_from_the_service() -> None:
    """News of a change without its table left a peer's copy as the only way to the table."""
    silent = SlowPeer(b"", parts=1, pause_s=math.inf)
    async with trio.open_nursery() as nursery, open_fleet() as fleet:
        await silent.start(nursery)
        await start(fleet, Worker("plain"))
        await fleet.until(lambda: fleet.store.watching)
        instance = fleet.instances[0]
        fleet.store.forget_watches()
        version = fleet.configure()
        revision = fleet.store.revision
        instance._follower.take_news(SourceNews("n9", 0, revision - 1, revision, [], 60.0))
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sender:
            host, _, port = fleet.peer_address().rpartition(":")
            await sender.sendto(encode(beat(silent.address, version)), (host, int(port)))
            await fleet.until(lambda: instance.records.table_revision == version, 2.0)
        silent.close()
        nursery.cancel_scope.cancel()


class SlowPeer(RawServer):
    """A peer behind a narrow link: its answer comes in parts, with pauses, or never at all."""

    def __init__(self, body: bytes, parts: int, pause_s: float) -> None:
        super().__init__()
        self._body = body
        self._parts = parts
        self._pause_s = pause_s

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer in parts."""
        if self._pause_s == math.inf:
            await trio.sleep_forever()
        data = answer(200, {}, self._body)
        size = -(-len(data) // self._parts)
        for begin in range(0, len(data), size):
            await stream.send_all(data[begin : begin + size])
            await trio.sleep(self._pause_s)
        return True


def table_of(revision: int, routes: int) -> RouteTable:
    """Make a table of many routes."""
    made = [
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
    return RouteTable(revision, tuple(made), {}, CallerLimits())


def beat(address: str, table: int) -> Beat:
    """Make a peer's heartbeat."""
    return Beat("n9", 1, "a", address, False, table, 0, [], 0, {}, "", 2)


async def test_peers_copy_that_takes_longer_than_a_second_is_taken() -> None:
    """A copy was given up after a second, without a line, and begun anew from nothing."""
    taken: list[Snapshot] = []
    body = encode(Snapshot(table_of(9, 1000), [], 0))
    peer = SlowPeer(body, parts=12, pause_s=0.25)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        hooks = PeerHooks(
            lambda: KnownState(False, 9 if taken else 3, NO_REVISION),
            lambda: None,
            taken.append,
            lambda: None,
            lambda work: None,
            lambda life: None,
            lambda news: None,
        )
        heard = HeardPeers("n2", [], trio.current_time())
        heard.note_beat(beat(peer.address, 9), trio.current_time())
        catch_up = CatchUp(
            "a", hooks, heard, RelayMetrics(), random.Random(1), must_watch=lambda: False
        )
        for _ in range(5):
            catch_up.note(beat(peer.address, 9), nursery.start_soon)
            await trio.sleep(1.0)
        peer.close()
        nursery.cancel_scope.cancel()
    assert [item.table.revision for item in taken if item.table is not None] == [9]


async def test_route_of_a_table_that_is_still_to_come_is_not_denied() -> None:
    """An instance that knew of a newer table answered 404 out of its own."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.instances[0]._follower.note_table(99, "n2")
        reply = await fleet.caller().ask("/new/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0.0
