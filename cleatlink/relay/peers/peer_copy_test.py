"""Copies of what a peer knows: from this build and earlier ones, over slow and broken links."""

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
from cleatlink.relay.peers.peer_copy import Part, fetch
from cleatlink.relay.peers.snapshots import RecordItem, Snapshot, decode_snapshot
from standins.relay import RawCall, RawServer, Worker
from standins.relay.client import Caller
from standins.relay.example import start
from standins.relay.fleet import Fleet, free_address, open_fleet
from standins.relay.http import answer

pytestmark = pytest.mark.virtual_time

WHOLE = Snapshot(RouteTable(9, (), {}, CallerLimits()), [RecordItem("one", 7, None)], 8)
ENCODED = encode(WHOLE)
DEFLATED = {"Content-Encoding": "deflate"}
BOMB = zlib.compress(b"\x00" * 100_000)


class AnsweringPeer(RawServer):
    """A peer that gives one answer to whatever it is asked: its body in parts, with pauses."""

    def __init__(
        self, data: bytes, parts: int = 1, pause_s: float = 0.0, *, head_s: float = 0.0
    ) -> None:
        super().__init__()
        self.asked: list[RawCall] = []
        head, end, self._body = data.partition(b"\r\n\r\n")
        self._head = head + end
        self._parts = parts
        self._pause_s = pause_s
        self._head_s = head_s

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer in parts."""
        self.asked.append(call)
        await trio.sleep(self._head_s)
        await stream.send_all(self._head)
        size = max(1, -(-len(self._body) // self._parts))
        for begin in range(0, len(self._body), size):
            await trio.sleep(self._pause_s)
            await stream.send_all(self._body[begin : begin + size])
        return False


@asynccontextmanager
async def running(peer: AnsweringPeer) -> AsyncIterator[AnsweringPeer]:
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
        await fleet.ready()
        yield fleet


@pytest.mark.parametrize("part", Part)
async def test_instance_gives_the_part_that_is_asked_for(part: Part) -> None:
    async with fleet_of_one() as fleet:
        records = fleet.instances[0].records
        copy = await fetch(fleet.peer_address(), part)
        assert copy.snapshot.table == (None if part is Part.REGISTRATIONS else records.table)
        expected = [] if part is Part.TABLE else list(records.records)
        assert copy.snapshot.endpoint_records() == expected
        assert copy.transferred_bytes < len(encode(copy.snapshot))


@pytest.mark.parametrize("path", ["/snapshot", "/"])
async def test_earlier_build_is_answered_as_before(path: str) -> None:
    """Earlier builds ask without ``Accept-Encoding`` and read no ``Content-Encoding``."""
    async with fleet_of_one() as fleet:
        records = fleet.instances[0].records
        caller = Caller(fleet.peer_address())
        fleet.callers.append(caller)
        reply = await caller.ask(path)
        assert reply.status == 200
        assert "content-encoding" not in reply.headers
        assert reply.body == encode(Snapshot.of(records.table, records.records, records.revision))
        assert decode_snapshot(reply.body).table == records.table


@pytest.mark.parametrize("part", Part)
async def test_earlier_build_answers_everything_without_compression(part: Part) -> None:
    async with running(AnsweringPeer(answer(200, {}, ENCODED))) as peer:
        copy = await fetch(peer.address, part)
        assert copy.snapshot == WHOLE
        assert copy.transferred_bytes == len(ENCODED)
        assert peer.asked[0].target == part.value.decode()
        assert peer.asked[0].headers["accept-encoding"] == "deflate"


async def test_copy_over_a_narrow_link_is_not_given_up_while_bytes_come() -> None:
    names = [hashlib.sha256(b"%d" % number).hexdigest() for number in range(100)]
    large = Snapshot(WHOLE.table, [RecordItem(name, 7, None) for name in names], 8)
    data = answer(200, DEFLATED, zlib.compress(encode(large)))
    async with running(AnsweringPeer(data, parts=12, pause_s=0.5)) as peer:
        began_at = trio.current_time()
        copy = await fetch(peer.address, Part.TABLE)
        assert copy.snapshot == large
        assert trio.current_time() - began_at > 5.0


@pytest.mark.parametrize(
    ("head_s", "pause_s", "after_s", "error"),
    [
        pytest.param(5.0, 0.0, 1.0, "TooSlowError", id="no head"),
        pytest.param(0.0, 5.0, 1.0, "EndpointSilentError", id="silent body"),
        pytest.param(0.5, 0.5, 10.0, "TooSlowError", id="endless body"),
    ],
)
async def test_peer_that_does_not_get_on_is_left(
    head_s: float, pause_s: float, after_s: float, error: str
) -> None:
    data = answer(200, {}, b"x" * 1000)
    async with running(AnsweringPeer(data, 1000, pause_s, head_s=head_s)) as peer:
        began_at = trio.current_time()
        with pytest.raises(PeerError, match=error):
            await fetch(peer.address, Part.TABLE)
        assert trio.current_time() - began_at == pytest.approx(after_s, abs=0.1)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(answer(503, {}, ENCODED), id="status"),
        pytest.param(answer(200, {}, ENCODED)[:-1], id="ends early"),
        pytest.param(answer(200, {}, b"\x91\x01"), id="no snapshot"),
        pytest.param(answer(200, DEFLATED, ENCODED), id="not compressed"),
        pytest.param(answer(200, DEFLATED, zlib.compress(b"x")), id="no snapshot in it"),
        pytest.param(answer(200, {"Content-Encoding": "br"}, ENCODED), id="other coding"),
    ],
)
async def test_answer_that_cannot_be_used_is_one_typed_error(data: bytes) -> None:
    async with running(AnsweringPeer(data)) as peer:
        with pytest.raises(PeerError):
            await fetch(peer.address, Part.TABLE)


async def test_peer_that_is_gone_is_one_typed_error() -> None:
    with pytest.raises(PeerError):
        await fetch(str(free_address()), Part.TABLE)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(answer(200, {}, b"\x00" * 20_000), id="as transferred"),
        pytest.param(answer(200, DEFLATED, BOMB), id="decompressed"),
    ],
)
async def test_copy_that_is_too_long_is_not_held(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_copy, "_MOST_BYTES", 10_000)
    async with running(AnsweringPeer(data)) as peer:
        with pytest.raises(PeerError, match="too long|more than 10000 bytes"):
            await fetch(peer.address, Part.WHOLE)
