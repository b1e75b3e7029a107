"""Found in review: refusals of an instance that counts its route table as out of date."""

import pytest
import trio

from cleatlink.relay.peers.messages import Beat, encode
from standins.relay import Worker
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.store import StoreMode

pytestmark = pytest.mark.virtual_time

FAR_TABLE = 99


async def tell(fleet: Fleet, seconds: float, address: str = "127.0.0.1:9") -> None:
    """Send heartbeats of a peer with a table that nobody else has, three times a second."""
    host, _, port = fleet.peer_address().rpartition(":")
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sender:
        for _ in range(int(3 * seconds)):
            told = Beat("n9", 1, "a", address, False, FAR_TABLE, 0, [], 0, {}, "", 2)
            await sender.sendto(encode(told), (host, int(port)))
            await trio.sleep(1 / 3)


async def test_wrong_request_is_denied_once_the_service_has_told_that_no_newer_table_exists() -> (
    None
):
    """The word of a peer that is gone outweighed the service's own answers for ever."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.instances[0]._follower.note_table(FAR_TABLE, "n9")
        await trio.sleep(60.0)
        await fleet.instances[0]._follower.read_table()
        reply = await fleet.caller().ask("/nowhere/x")
        assert reply.status == 404


async def test_service_is_not_asked_each_second_for_a_table_that_it_does_not_hold() -> None:
    """Each round of catching up read the table anew, and had the watch begun anew."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        before = fleet.store.calls
        await tell(fleet, 30.0)
        assert fleet.store.calls - before <= 30


async def test_bodies_without_a_route_leave_room_for_proper_ones_while_the_service_is_away() -> (
    None
):
    """Bodies of requests that no table has a place for took the memory for bodies."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        instance = fleet.instances[0]
        fleet.store.mode = StoreMode.SILENT
        await trio.sleep(10.0)
        size = instance._service.limits.body_bytes
        for _ in range(instance._held.limit_bytes // 2 // size):
            caller = fleet.caller()
            await caller.send("/nowhere/x", "PUT", more=(f"Content-Length: {size}",))
            assert caller._stream is not None
            await caller._stream.send_all(b"x" * (size - 1))
        reply = await fleet.caller().ask("/safe/x", "PUT", body=(size - 100) * b"b")
        assert reply.status == 200


async def test_unknown_route_is_not_denied_long_after_the_service_fell_silent_for_all() -> None:
    """Instances that share a watch confirmed each other's tables for a minute of silence."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        for _ in range(19):
            fleet.start_instance()
        await fleet.ready()
        await trio.sleep(8.0)
        fleet.store.mode = StoreMode.SILENT
        await trio.sleep(30.0)
        reply = await fleet.caller(0).ask("/nowhere/x")
        assert reply.status == 503
