"""Test refusals by an instance that considers its route table out of date."""

import pytest
import trio

from cleatlink.relay.peers.messages import HeartbeatMessage, encode
from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.store import StoreMode

pytestmark = pytest.mark.virtual_time

# Revision of a route table that the store never holds.
MISSING_REVISION = 99


async def send_heartbeats(fleet: Fleet, seconds: float, address: str = "127.0.0.1:9") -> None:
    """Send three heartbeats per second from a peer that claims a table which does not exist."""
    host, _, port = fleet.peer_address().rpartition(":")
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sender:
        for _ in range(int(3 * seconds)):
            heartbeat = HeartbeatMessage(
                "n9", 1, "a", address, False, MISSING_REVISION, 0, [], 0, {}, "", 2
            )
            await sender.sendto(encode(heartbeat), (host, int(port)))
            await trio.sleep(1 / 3)


async def test_unknown_route_gets_final_refusal_once_service_has_no_newer_table() -> None:
    """Guards against a lost peer's claim overriding the configuration service forever."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.instances[0]._follower.note_peer_table(MISSING_REVISION, "n9")
        await trio.sleep(60.0)
        await fleet.instances[0]._follower.read_table()
        reply = await fleet.caller().ask("/nowhere/x")
        assert reply.status == 404


async def test_missing_table_is_not_requested_every_second() -> None:
    """Guards against each catch-up round reading the table and restarting the watch."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        calls_before = fleet.store.calls
        await send_heartbeats(fleet, 30.0)
        assert fleet.store.calls - calls_before <= 30


async def test_unroutable_bodies_leave_memory_during_service_outage() -> None:
    """Guards against bodies of requests without a route using up the memory for bodies."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        instance = fleet.instances[0]
        fleet.store.mode = StoreMode.SILENT
        await trio.sleep(10.0)
        size = instance._service.limits.body_bytes
        for _ in range(instance._caller_memory.limit_bytes // 2 // size):
            caller = fleet.caller()
            await caller.send("/nowhere/x", "PUT", more=(f"Content-Length: {size}",))
            assert caller._stream is not None
            await caller._stream.send_all(b"x" * (size - 1))
        reply = await fleet.caller().ask("/safe/x", "PUT", body=(size - 100) * b"b")
        assert reply.status == 200


async def test_unknown_route_gets_no_final_refusal_during_long_service_outage() -> None:
    """Guards against instances with a shared watch confirming stale tables for a minute."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        for _ in range(19):
            fleet.start_instance()
        await fleet.wait_ready()
        await trio.sleep(8.0)
        fleet.store.mode = StoreMode.SILENT
        await trio.sleep(30.0)
        reply = await fleet.caller(0).ask("/nowhere/x")
        assert reply.status == 503
