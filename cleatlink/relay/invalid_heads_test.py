"""Tests of answers whose head is invalid, on all paths on which the relay reads answers."""

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
from standins.invalid_heads import INVALID_HEADS, invalid_answer
from standins.relay import RawCall, Worker
from standins.relay.cut_paths import PathCut
from standins.relay.example_fleet import STREAM, runs, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_server import answer
from standins.relay.worker import Run

pytestmark = pytest.mark.virtual_time

CASES = pytest.mark.parametrize("case", list(INVALID_HEADS))
# One of each kind, for paths that share their reading of heads with others.
FEW_CASES = pytest.mark.parametrize(
    "case", ["status 000", "status 600", "control byte in a name", "blank before a name"]
)
EVENTS = b"".join(b"id: %d\ndata: x %d\n\n" % (number, number) for number in range(1, 6))


class InvalidWorker(Worker):
    """A worker that runs its requests, and sends invalid heads in the answers to some calls."""

    def __init__(self, case: str, service: str = "plain", stage: str = "") -> None:
        super().__init__(service, stage)
        self._case = case
        # Whether callers' requests, or all calls, are answered so.
        self.spoils_requests = True
        self.spoils_all = False
        self.spoilt_count = 0
        # Interim responses before the invalid head.
        self.before = b""
        self.whole_body = EVENTS if stage == "decode" else b"served"

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        request_id = call.headers.get("attempt-id")
        if not (self.spoils_requests if request_id else self.spoils_all):
            return await super().serve(call, stream)
        self.spoilt_count += 1
        headers: dict[str, str] = {}
        if request_id:
            self.arrivals.append(call)
            if self.stage != "prefill":
                self.runs.append(Run(request_id, call, trio.current_time()))
            headers = self._signed_headers(call)
        await self.send(stream, self.before + invalid_answer(self._case, headers, self.whole_body))
        return True


async def start_invalid(fleet: Fleet, *workers: InvalidWorker, is_cut_off: bool = False) -> None:
    await start(fleet, *workers)
    if is_cut_off:
        fleet.start_instance()
        await fleet.wait_for_peers()
        await fleet.wait_ready()
        fleet.connectors[0].cut(PathCut.REFUSE_NEW)


@CASES
async def test_answer_with_an_invalid_head_reaches_a_caller(case: str) -> None:
    async with open_fleet() as fleet:
        workers = [InvalidWorker(case), InvalidWorker(case)]
        await start_invalid(fleet, *workers)
        for route in ("/unsafe/x", "/unsafe2/x", "/safe/x"):
            reply = await fleet.caller().ask(route, "POST", body=b"x")
            # The request may have run.
            assert (reply.status, "x-bad" in reply.headers) == (502, False)
        assert sum(worker.spoilt_count for worker in workers) >= 3


@CASES
async def test_stream_with_an_invalid_head_reaches_a_caller(case: str) -> None:
    async with open_fleet() as fleet:
        workers = [InvalidWorker(case, "model", "decode") for _ in range(2)]
        await start_invalid(fleet, *workers)
        for route in ("/stream/x", "/resume/x"):
            reply = await fleet.caller().ask(route, "POST", headers=STREAM)
            assert reply.status == 502
        assert sum(worker.spoilt_count for worker in workers) >= 2


@FEW_CASES
async def test_answer_with_an_invalid_head_passes_a_tunnel(case: str) -> None:
    async with open_fleet() as fleet:
        workers = [InvalidWorker(case), InvalidWorker(case)]
        await start_invalid(fleet, *workers, is_cut_off=True)
        for route in ("/unsafe/x", "/safe/x"):
            assert (await fleet.caller().ask(route, "POST", body=b"x")).status == 502
        assert sum(worker.spoilt_count for worker in workers) >= 2


@FEW_CASES
async def test_repeatable_request_is_served_elsewhere(case: str) -> None:
    async with open_fleet() as fleet:
        bad, good = InvalidWorker(case), InvalidWorker(case)
        good.spoils_requests = False
        await start_invalid(fleet, bad, good)
        for _ in range(6):
            reply = await fleet.caller().ask("/safe/x")
            assert (reply.status, reply.body) == (200, b"served")
        assert bad.spoilt_count


@FEW_CASES
async def test_invalid_head_after_an_interim_response_reaches_a_caller(case: str) -> None:
    async with open_fleet() as fleet:
        worker = InvalidWorker(case)
        worker.before = b"HTTP/1.1 103 X\r\nA: b\r\n\r\n"
        await start_invalid(fleet, worker)
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 502
        assert worker.spoilt_count == 1


class InvalidInterimWorker(Worker):
    """A worker whose answers are valid, after an interim response with an invalid head."""

    def __init__(self, interim: bytes) -> None:
        super().__init__("plain")
        self._interim = interim

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        await self.send(stream, self._interim)
        return await super().serve(call, stream)


@pytest.mark.parametrize("case", ["control byte in a name", "blank before a name", "folded line"])
async def test_invalid_head_of_an_interim_response_is_skipped(case: str) -> None:
    async with open_fleet() as fleet:
        worker = InvalidInterimWorker(INVALID_HEADS[case].replace(b" 200 ", b" 103 "))
        await start(fleet, worker)
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 502
        assert len(worker.runs) <= 1


@FEW_CASES
async def test_prefill_with_an_invalid_head_is_used(case: str) -> None:
    async with open_fleet() as fleet:
        prefill = InvalidWorker(case, "model", "prefill")
        prefill.whole_body = b'{"prefill_handle": "bad", "tokens": 10, "version": 1}'
        decodes = [InvalidWorker(case, "model", "decode") for _ in range(2)]
        for decode in decodes:
            decode.spoils_requests = False
        await start_invalid(fleet, prefill, *decodes)
        caller = fleet.caller()
        request_id = await caller.send("/stream/x", "POST", headers=STREAM)
        reply = await caller.receive()
        assert (reply.status, reply.is_complete, runs(fleet, request_id)) == (200, True, 1)
        assert prefill.spoilt_count
        sources = [call.headers.get("cache-source") for item in decodes for call in item.arrivals]
        assert sources == [None]


@FEW_CASES
@pytest.mark.parametrize("call", ["free", "order", "reservation"])
async def test_reply_with_an_invalid_head_to_a_call_of_the_relay_itself_is_used(
    call: str, case: str
) -> None:
    worker = InvalidWorker(case, "model", "decode")
    worker.spoils_all = True
    async with trio.open_nursery() as nursery:
        await worker.start(nursery)
        endpoint = RoutedEndpoint(worker.name, worker.address, "a", "model", Role.DECODE, 6)
        requests = {
            "free": PROTOCOL.make_relay_request(b"DELETE", "/kv-handle/h", endpoint),
            "order": PROTOCOL.make_role_change_request(endpoint, Role.PREFILL, "n1", 7),
            "reservation": PROTOCOL.make_reservation_request(endpoint, 10, 1.0),
        }
        pool = ConnectionPool(protocol=PROTOCOL)
        with pytest.raises(EndpointError):
            await pool.call(endpoint, IDLE_LIMIT_S, lambda: requests[call], 1000)
        assert worker.spoilt_count == 1
        pool.close()
        worker.close()
        nursery.cancel_scope.cancel()


@FEW_CASES
async def test_invalid_head_of_the_store_or_a_peer_is_used(case: str) -> None:
    worker = InvalidWorker(case)
    worker.spoils_all = True
    async with trio.open_nursery() as nursery:
        await worker.start(nursery)
        client = StoreClient(parse_address(worker.address), b"era")
        with pytest.raises(PlatformError):
            await client.get("/kv-key", 1.0)
        client.close()
        with pytest.raises(PeerError, match="OutcomeUnknown"):
            await fetch_snapshot(worker.address, SnapshotPart.WHOLE)
        worker.close()
        nursery.cancel_scope.cancel()


class RepeatingWorker(InvalidWorker):
    """Sends its answer to the first request again, then an invalid head."""

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        first = answer(200, {"Attempt-Id": "r0"}, b"first")
        await self.send(stream, first)
        return call.headers["attempt-id"] == "r0" or await super().serve(call, stream)


@FEW_CASES
async def test_invalid_head_after_an_extra_response_is_used(case: str) -> None:
    worker = RepeatingWorker(case)
    async with trio.open_nursery() as nursery:
        await worker.start(nursery)
        opened = await EndpointConnection.open(worker.address, 1.0, 1.0)
        connection = EndpointConnection(opened._stream, 0.0, protocol=PROTOCOL)

        def request(request_id: bytes) -> OutgoingRequest:
            headers = ((b"Host", b"h"), (b"Attempt-Id", request_id))
            return OutgoingRequest(b"GET", b"/a", headers, b"", request_id.decode())

        await connection.exchange(request(b"r0"))
        await connection.read_body(1000)
        assert connection.end_exchange(0.0)
        with pytest.raises(EndpointError):
            await connection.exchange(request(b"r1"))
        connection.close()
        worker.close()
        nursery.cancel_scope.cancel()
