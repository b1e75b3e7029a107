"""Tests of answers that break off while their request is still being sent.

The answers have no length, so that only the end of the connection tells whether they are whole.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.core.address import parse_address
from cleatlink.core.data import Role
from cleatlink.core.errors import EndpointError, PeerError, PlatformError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.platform import PROTOCOL
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.pool import IDLE_LIMIT_S, ConnectionPool
from cleatlink.relay.endpoints.protocol import OutgoingRequest
from cleatlink.relay.following.store_client import StoreClient
from cleatlink.relay.peers.peer_copy import SnapshotPart, fetch_snapshot
from standins.relay import RawCall, RawServer
from standins.relay.cut_answers import CutEnding, CuttingWorker
from standins.relay.cut_paths import PathCut
from standins.relay.example_fleet import STREAM, runs, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply
from standins.relay.raw_server import answer, reset

# A request body that is longer than the buffers of the kernel.
_UPLOAD = b"x" * 3_000_000
_REQUESTS = 12
_LIMITS = {"idle_timeout_ms": 2000, "header_timeout_ms": 2000, "max_body_bytes": 4_000_000}
_HEADERS = {"Deadline-Milliseconds": "5000"}
_TUNNEL = "through a peer's tunnel"
_DIRECT = "directly"


async def start_cutting(
    fleet: Fleet, workers: list[CuttingWorker], ending: CutEnding, path: str = _DIRECT
) -> None:
    """Start workers that break off the answers to callers' requests, reached by a given path."""
    fleet.limits = _LIMITS
    for worker in workers:
        worker.ending = ending
    await start(fleet, *workers)
    if path == _TUNNEL:
        fleet.start_instance()
        await fleet.wait_for_peers()
        await fleet.wait_ready()
        fleet.connectors[0].cut(PathCut.REFUSE_NEW)


def cut_next_answers(workers: list[CuttingWorker]) -> None:
    for worker in workers:
        worker.cuts_left = 8


async def upload(
    fleet: Fleet, path: str, workers: list[CuttingWorker], **headers: str
) -> list[Reply]:
    """Send long requests one after the other, while all workers break off their answers."""
    replies = []
    for _ in range(_REQUESTS):
        cut_next_answers(workers)
        ask_headers = {**_HEADERS, **headers}
        replies.append(await fleet.caller().ask(path, "POST", body=_UPLOAD, headers=ask_headers))
    assert sum(worker.cut_count for worker in workers) >= _REQUESTS
    return replies


def cutting_engines() -> list[CuttingWorker]:
    """Create a prefill and two decode workers of one service."""
    return [CuttingWorker("model", stage) for stage in ("prefill", "decode", "decode")]


def count_taken_as_whole(replies: list[Reply]) -> int:
    return sum(reply.status == 200 and reply.is_complete for reply in replies)


@pytest.mark.parametrize("path", [_DIRECT, _TUNNEL])
@pytest.mark.parametrize("ending", list(CutEnding))
@pytest.mark.parametrize("route", ["/unsafe/x", "/unsafe2/x", "/safe/x"])
async def test_part_of_an_answer_reaches_a_caller_as_whole(
    route: str, ending: CutEnding, path: str
) -> None:
    async with open_fleet() as fleet:
        workers = [CuttingWorker("plain"), CuttingWorker("plain")]
        await start_cutting(fleet, workers, ending, path)
        replies = await upload(fleet, route, workers)
        assert count_taken_as_whole(replies) == 0
        # The request may have run, so no reply may say that it did not.
        assert {reply.status for reply in replies} == {502}


@pytest.mark.parametrize("path", [_DIRECT, _TUNNEL])
@pytest.mark.parametrize("ending", list(CutEnding))
@pytest.mark.parametrize("route", ["/stream/x", "/resume/x"])
async def test_part_of_a_stream_reaches_a_caller_as_whole(
    route: str, ending: CutEnding, path: str
) -> None:
    async with open_fleet() as fleet:
        workers = [CuttingWorker("model", "decode"), CuttingWorker("model", "decode")]
        await start_cutting(fleet, workers, ending, path)
        replies = await upload(fleet, route, workers, **STREAM)
        assert count_taken_as_whole(replies) == 0


@pytest.mark.parametrize("route", ["/safe/x", "/resume/x"])
async def test_repeatable_request_is_served_elsewhere(route: str) -> None:
    async with open_fleet() as fleet:
        stage = "decode" if route == "/resume/x" else ""
        workers = [CuttingWorker("model" if stage else "plain", stage) for _ in range(2)]
        await start_cutting(fleet, workers, CutEnding.RESET)
        for _ in range(_REQUESTS):
            workers[0].cuts_left = 1
            headers = {**_HEADERS, **(STREAM if stage else {})}
            reply = await fleet.caller().ask(route, "POST", body=_UPLOAD, headers=headers)
            assert (reply.status, reply.is_complete) == (200, True)
            assert reply.body.count(b"\n\n") == 5 if stage else reply.body == b"served"
        assert workers[0].cut_count


@pytest.mark.parametrize("ending", list(CutEnding))
@pytest.mark.parametrize("stage", ["", "decode"])
async def test_rejection_that_is_cut_off_still_says_that_the_request_did_not_run(
    stage: str, ending: CutEnding
) -> None:
    async with open_fleet() as fleet:
        workers = [CuttingWorker("model" if stage else "plain", stage) for _ in range(2)]
        await start_cutting(fleet, workers, ending)
        for worker in workers:
            worker.rejects_cut_requests = True
        route, headers = ("/stream/x", STREAM) if stage else ("/unsafe2/x", {})
        for _ in range(4):
            cut_next_answers(workers)
            ask_headers = {**_HEADERS, **headers}
            reply = await fleet.caller().ask(route, "POST", body=_UPLOAD, headers=ask_headers)
            assert reply.status == 503
            # The workers count as full for a while.
            await trio.sleep(0.5)
        assert sum(worker.cut_count for worker in workers) >= 4


async def test_reset_answer_of_a_prefill_is_used() -> None:
    async with open_fleet() as fleet:
        workers = cutting_engines()
        await start_cutting(fleet, workers, CutEnding.RESET)
        for _ in range(_REQUESTS):
            workers[0].cuts_left = 1
            headers = {**_HEADERS, **STREAM}
            caller = fleet.caller()
            request_id = await caller.send("/resume/x", "POST", body=_UPLOAD, headers=headers)
            reply = await caller.receive()
            # A further endpoint may be beyond the retry budget.
            assert (reply.status, runs(fleet, request_id)) in ((200, 1), (503, 0))
        assert workers[0].cut_count
        arrivals = [call for worker in workers for call in worker.arrivals]
        assert not any(call.headers.get("cache-source", "").endswith("/cut") for call in arrivals)


async def test_reset_answer_to_a_reservation_is_not_used() -> None:
    async with open_fleet() as fleet:
        workers = cutting_engines()
        await start(fleet, *workers)
        version = fleet.configure({"hold_ms": 2000})
        records = fleet.instances[0].records
        await fleet.wait_until(lambda: records.table_revision == version)
        workers[1].cut_paths = ("/hold-take",)
        for _ in range(_REQUESTS):
            await fleet.caller().ask("/resume/x", "POST", headers=STREAM)
        assert workers[1].cut_count
        arrivals = [call for worker in workers for call in worker.arrivals]
        assert not any(call.headers.get("hold") == "cut" for call in arrivals)


class CutServer(RawServer):
    """Sends the same bytes to each request, then resets the connection."""

    def __init__(self, data: bytes) -> None:
        super().__init__()
        self._data = data

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Send the bytes."""
        await stream.send_all(self._data)
        reset(stream)
        return False


@asynccontextmanager
async def serve(data: bytes, body_bytes: float = 0) -> AsyncIterator[str]:
    """Run a server that sends given bytes; return its address."""
    server = CutServer(data)
    server.body_bytes_before_response = body_bytes
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        try:
            yield server.address
        finally:
            server.close()
            nursery.cancel_scope.cancel()


_UNFRAMED = answer(200, {}, b"part", has_length=False)
_INTERIM = b"HTTP/1.1 103 X\r\n\r\n"
_EXTRA = answer(200, {"Attempt-Id": "r0"}, b"late", has_length=True)


@pytest.mark.parametrize("before", [b"", _INTERIM, _INTERIM * 3], ids=["none", "one", "three"])
async def test_interim_responses_hide_the_reset_of_the_answer_after_them(before: bytes) -> None:
    headers = ((b"Host", b"h"), (b"Content-Length", b"%d" % len(_UPLOAD)))
    request = OutgoingRequest(b"POST", b"/a", headers, _UPLOAD)
    async with serve(before + _UNFRAMED) as address:
        for _ in range(_REQUESTS):
            connection = await EndpointConnection.open(address, 1.0, 1.0)
            with pytest.raises(EndpointError):
                await connection.exchange(request)
                await connection.read_body(1000)
            connection.close()


async def test_extra_response_hides_the_reset_of_the_answer_after_it() -> None:
    """The answer to the second request of a connection follows a copy of the first one."""

    class RepeatingServer(CutServer):
        async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
            if call.headers["attempt-id"] == "r0":
                await stream.send_all(_EXTRA)
                return True
            return await super().serve(call, stream)

    server = RepeatingServer(_EXTRA + answer(200, {"Attempt-Id": "r1"}, b"part", has_length=False))
    server.body_bytes_before_response = 0

    def request(request_id: str, body: bytes) -> OutgoingRequest:
        headers = (
            (b"Host", b"h"),
            (b"Attempt-Id", request_id.encode()),
            (b"Content-Length", b"%d" % len(body)),
        )
        return OutgoingRequest(b"POST", b"/a", headers, body, request_id)

    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        for _ in range(_REQUESTS):
            stream = await EndpointConnection.open(server.address, 1.0, 1.0)
            connection = EndpointConnection(stream._stream, 0.0, protocol=PROTOCOL)
            await connection.exchange(request("r0", b""))
            await connection.read_body(1000)
            assert connection.end_exchange(0.0)
            with pytest.raises(EndpointError):
                await connection.exchange(request("r1", _UPLOAD))
                await connection.read_body(1000)
            connection.close()
        server.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("call", ["free", "order", "reservation"])
async def test_reset_answer_to_a_call_of_the_relay_itself_is_not_used(call: str) -> None:
    async with serve(_UNFRAMED, body_bytes=float("inf")) as address:
        endpoint = RoutedEndpoint("i-1", address, "a", "model", Role.DECODE, 6)
        requests = {
            "free": PROTOCOL.make_relay_request(b"DELETE", "/kv-handle/h", endpoint),
            "order": PROTOCOL.make_role_change_request(endpoint, Role.PREFILL, "n1", 7),
            "reservation": PROTOCOL.make_reservation_request(endpoint, 10, 1.0),
        }
        pool = ConnectionPool(protocol=PROTOCOL)
        for _ in range(_REQUESTS):
            with pytest.raises(EndpointError):
                await pool.call(endpoint, IDLE_LIMIT_S, lambda: requests[call], 1000)
        pool.close()


async def test_reset_answer_of_the_store_is_not_used() -> None:
    async with serve(answer(200, {}, b"{}", has_length=False)) as address:
        client = StoreClient(parse_address(address), b"era")
        for _ in range(_REQUESTS):
            with pytest.raises(PlatformError):
                await client.get("/kv-key", 1.0)
        client.close()


async def test_reset_state_of_a_peer_is_not_used() -> None:
    async with serve(_UNFRAMED) as address:
        for _ in range(_REQUESTS):
            with pytest.raises(PeerError, match="BrokenResource|StreamBroken|OutcomeUnknown"):
                await fetch_snapshot(address, SnapshotPart.WHOLE)
