"""An instance that knows of a newer route table than its own."""

import random

import pytest
import trio

from cleatlink.core.revisions import NO_REVISION
from cleatlink.core.routes import CallerLimits, Route, RouteKind, RouteTable, ServiceShare
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.catch_up import CatchUp, KnownState
from cleatlink.relay.peers.messages import Beat, SourceNews, encode
from cleatlink.relay.peers.snapshots import Snapshot
from standins.relay import RawCall, RawServer, Worker
from standins.relay.example import start
from standins.relay.fleet import open_fleet
from standins.relay.http import answer

pytestmark = pytest.mark.virtual_time


async def test_table_whose_revision_was_told_without_it_is_read_from_the_service() -> None:
    """News of a change without its table left a peer's copy as the only way to the table."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.ready()
        await trio.sleep(1.2)
        first, second = fleet.instances
        fleet.store.forget_watches()
        version = fleet.configure()
        revision = fleet.store.revision
        second._follower.take_news(SourceNews("n1", 0, revision - 1, revision, [], 60.0))
        table = first.records.table
        assert table is not None
        first.take_table(table._replace(revision=version), "test")
        await fleet.until(lambda: second.records.table_revision == version, 0.8)
        assert b'kind="snapshot"' not in second.render_metrics()


class SlowPeer(RawServer):
    """A peer behind a narrow link: its answer comes in parts, with pauses."""

    def __init__(self, body: bytes, parts: int, pause_s: float) -> None:
        super().__init__()
        self._body = body
        self._parts = parts
        self._pause_s = pause_s

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer in parts."""
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
    return Beat("n1", 1, "a", address, False, table, 0, [], 0, {}, "", 2)


async def test_peers_copy_that_takes_longer_than_a_second_is_taken() -> None:
    """A copy was given up after a second, without a line, and begun anew from nothing."""
    taken: list[Snapshot] = []
    body = encode(Snapshot(table_of(9, 1000), [], 0))
    peer = SlowPeer(body, parts=12, pause_s=0.25)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        catch_up = CatchUp(
            lambda: KnownState(False, 9 if taken else 3, NO_REVISION),
            lambda: None,
            taken.append,
            RelayMetrics(),
            random.Random(1),
            on_table=lambda *_: None,
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
