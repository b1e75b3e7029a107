"""Tests of copying a peer's state: from this and earlier builds, over slow and broken links."""

import hashlib
import zlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.errors import PeerError
from cleatlink.core.routes import CallerLimits, RouteTable
from cleatlink.relay.peers import peer_copy
from cleatlink.relay.peers.messages import encode
from cleatlink.relay.peers.peer_copy import SnapshotPart, fetch_snapshot
from cleatlink.relay.peers.snapshots import RegistrationRecord, Snapshot, decode_snapshot
from standins.relay import RawCall, RawServer, Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, free_address, open_fleet
from standins.relay.raw_client import Caller
from standins.relay.raw_server import answer

pytestmark = pytest.mark.virtual_time

SNAPSHOT = Snapshot(RouteTable(9, (), {}, CallerLimits()), [RegistrationRecord("one", 7, None)], 8)
ENCODED = encode(SNAPSHOT)
DEFLATE_HEADERS = {"Content-Encoding": "deflate"}
COMPRESSED_ZEROS = zlib.compress(b"\x00" * 100_000)


class FixedResponsePeer(RawServer):
    """A peer that sends the same response to every request: its body in parts, with pauses."""

    def __init__(
        self, data: bytes, parts: int = 1, pause_s: float = 0.0, *, head_delay_s: float = 0.0
    ) -> None:
        super().__init__()
        self.requests: list[RawCall] = []
        head, end, self._body = data.partition(b"\r\n\r\n")
        self._head = head + end
        self._parts = parts
        self._pause_s = pause_s
        self._head_delay_s = head_delay_s

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Send the response in parts."""
        self.requests.append(call)
        await trio.sleep(self._head_delay_s)
        await stream.send_all(self._head)
        size = max(1, -(-len(self._body) // self._parts))
        for begin in range(0, len(self._body), size):
            await trio.sleep(self._pause_s)
            await stream.send_all(self._body[begin : begin + size])
        return False


@asynccontextmanager
async def running(peer: FixedResponsePeer) -> AsyncIterator[FixedResponsePeer]:
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        try:
            yield peer
        finally:
            peer.close()
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def fleet_of_one() -> AsyncIterator[Fleet]:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        await fleet.wait_ready()
        yield fleet


@pytest.mark.parametrize("part", SnapshotPart)
async def test_instance_sends_only_the_requested_part_compressed(part: SnapshotPart) -> None:
    async with fleet_of_one() as fleet:
        records = fleet.instances[0].records
        copy = await fetch_snapshot(fleet.peer_address(), part)
        assert copy.snapshot.table == (
            None if part is SnapshotPart.REGISTRATIONS else records.table
        )
        expected = [] if part is SnapshotPart.TABLE else list(records.records)
        assert copy.snapshot.endpoint_records() == expected
        assert copy.transferred_bytes < len(encode(copy.snapshot))


@pytest.mark.parametrize("path", ["/snapshot", "/"])
async def test_request_of_an_earlier_build_gets_the_whole_state_uncompressed(path: str) -> None:
    """Earlier builds send no ``Accept-Encoding`` and ignore ``Content-Encoding``."""
    async with fleet_of_one() as fleet:
        records = fleet.instances[0].records
        caller = Caller(fleet.peer_address())
        fleet.callers.append(caller)
        reply = await caller.ask(path)
        assert reply.status == 200
        assert "content-encoding" not in reply.headers
        assert reply.body == encode(
            Snapshot.from_records(records.table, records.records, records.complete_revision)
        )
        assert decode_snapshot(reply.body).table == records.table


@pytest.mark.parametrize("part", SnapshotPart)
async def test_uncompressed_whole_snapshot_of_an_earlier_build_is_accepted(
    part: SnapshotPart,
) -> None:
    async with running(FixedResponsePeer(answer(200, {}, ENCODED))) as peer:
        copy = await fetch_snapshot(peer.address, part)
        assert copy.snapshot == SNAPSHOT
        assert copy.transferred_bytes == len(ENCODED)
        assert peer.requests[0].target == part.value.decode()
        assert peer.requests[0].headers["accept-encoding"] == "deflate"


async def test_slow_fetch_is_not_aborted_while_bytes_arrive() -> None:
    names = [hashlib.sha256(b"%d" % number).hexdigest() for number in range(100)]
    large = Snapshot(SNAPSHOT.table, [RegistrationRecord(name, 7, None) for name in names], 8)
    data = answer(200, DEFLATE_HEADERS, zlib.compress(encode(large)))
    async with running(FixedResponsePeer(data, parts=12, pause_s=0.5)) as peer:
        started_at = trio.current_time()
        copy = await fetch_snapshot(peer.address, SnapshotPart.TABLE)
        assert copy.snapshot == large
        assert trio.current_time() - started_at > 5.0


@pytest.mark.parametrize(
    ("head_delay_s", "pause_s", "expected_s", "error"),
    [
        pytest.param(5.0, 0.0, 1.0, "TooSlowError", id="no head"),
        pytest.param(0.0, 5.0, 1.0, "EndpointTimeoutError", id="silent body"),
        pytest.param(0.5, 0.5, 10.0, "TooSlowError", id="endless body"),
    ],
)
async def test_fetch_from_a_stalled_peer_times_out(
    head_delay_s: float, pause_s: float, expected_s: float, error: str
) -> None:
    data = answer(200, {}, b"x" * 1000)
    async with running(FixedResponsePeer(data, 1000, pause_s, head_delay_s=head_delay_s)) as peer:
        started_at = trio.current_time()
        with pytest.raises(PeerError, match=error):
            await fetch_snapshot(peer.address, SnapshotPart.TABLE)
        assert trio.current_time() - started_at == pytest.approx(expected_s, abs=0.1)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(answer(503, {}, ENCODED), id="status"),
        pytest.param(answer(200, {}, ENCODED)[:-1], id="ends early"),
        pytest.param(answer(200, {}, b"\x91\x01"), id="no snapshot"),
        pytest.param(answer(200, DEFLATE_HEADERS, ENCODED), id="not compressed"),
        pytest.param(answer(200, DEFLATE_HEADERS, zlib.compress(b"x")), id="no snapshot in it"),
        pytest.param(answer(200, {"Content-Encoding": "br"}, ENCODED), id="other coding"),
    ],
)
async def test_invalid_response_raises_peer_error(data: bytes) -> None:
    async with running(FixedResponsePeer(data)) as peer:
        with pytest.raises(PeerError):
            await fetch_snapshot(peer.address, SnapshotPart.TABLE)


async def test_refused_connection_raises_peer_error() -> None:
    with pytest.raises(PeerError):
        await fetch_snapshot(str(free_address()), SnapshotPart.TABLE)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(answer(200, {}, b"\x00" * 20_000), id="as transferred"),
        pytest.param(answer(200, DEFLATE_HEADERS, COMPRESSED_ZEROS), id="decompressed"),
    ],
)
async def test_response_above_the_size_limit_is_rejected(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_copy, "_MAX_BODY_BYTES", 10_000)
    async with running(FixedResponsePeer(data)) as peer:
        with pytest.raises(PeerError, match="exceeds the size limit|more than 10000 bytes"):
            await fetch_snapshot(peer.address, SnapshotPart.WHOLE)
