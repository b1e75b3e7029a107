"""Tests of which request a response belongs to, where requests or responses are unusual."""

from contextlib import suppress

import pytest
import trio

from cleatlink.core.errors import OutcomeUnknownError
from cleatlink.platform import PROTOCOL
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ResponseHead
from cleatlink.relay.endpoints.streams import TcpConnector
from standins.relay import Fault, RawCall, RawServer, Run, Worker
from standins.relay.example_fleet import runs, start
from standins.relay.fleet import open_fleet
from standins.relay.raw_server import answer

pytestmark = pytest.mark.virtual_time


class _ScriptedEndpoint(RawServer):
    """Sends given bytes in answer to each request."""

    def __init__(self, *answers: bytes) -> None:
        super().__init__()
        self._answers = list(answers)

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        await stream.send_all(self._answers.pop(0))
        return True


def _signed(request_id: str) -> dict[str, str]:
    return {"Attempt-Id": request_id, "Server-Stamp": "stamp"}


async def _second_response(
    methods: tuple[bytes, bytes], answers: tuple[bytes, bytes]
) -> ResponseHead | None:
    """Send requests r1 and r2 on one connection, and return the response to r2, if there is one."""
    endpoint = _ScriptedEndpoint(*answers)
    head: ResponseHead | None = None
    async with trio.open_nursery() as nursery:
        await endpoint.start(nursery)
        stream = await TcpConnector().connect(endpoint.address, 1.0)
        connection = EndpointConnection(stream, trio.current_time(), protocol=PROTOCOL)
        try:
            await connection.exchange(_request(methods[0], "r1"))
            await connection.read_body(1000)
            assert connection.end_exchange(trio.current_time())
            with suppress(OutcomeUnknownError):
                head = await connection.exchange(_request(methods[1], "r2"))
        finally:
            connection.close()
            endpoint.close()
            nursery.cancel_scope.cancel()
    return head


def _request(method: bytes, request_id: str) -> OutgoingRequest:
    headers = ((b"Host", b"h.example"), (b"Attempt-Id", request_id.encode()))
    return OutgoingRequest(method, b"/x", headers, b"", request_id)


async def test_call_with_the_id_of_a_rejected_one_is_not_told_that_it_did_not_run() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        results = []
        for number in range(5):
            same_id = {"Attempt-Id": f"same-{number}"}
            worker.faults = [Fault.REPEATED_REJECTION]
            reply = await caller.ask("/unsafe/x", "POST", body=b"b", headers=same_id)
            assert reply.status == 503
            await trio.sleep(0.5)
            reply = await caller.ask("/unsafe/x", "POST", body=b"b", headers=same_id)
            results.append((reply.status, runs(fleet, same_id["Attempt-Id"])))
        assert (503, 1) not in results


async def test_marked_success_that_is_signed_is_no_rejection() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.extra_headers = {"Not-Executed": "1"}
        await start(fleet, worker)
        reply = await fleet.caller().ask("/unsafe/x", "POST", body=b"b")
        assert len(worker.runs) == 1
        assert reply.status not in (408, 421, 429, 503)


async def test_body_of_an_extra_response_is_no_rejection_of_a_head_request() -> None:
    rejection = answer(421, {"Instance-Id": "i"})
    extra = answer(200, _signed("r1"), rejection)
    own = answer(200, {**_signed("r2"), "Content-Length": "3"}, has_length=False)
    head = await _second_response((b"GET", b"HEAD"), (extra, extra + own))
    assert head is None or head.status == 200


async def test_extra_response_to_a_head_request_does_not_make_the_next_call_hang() -> None:
    extra = answer(200, {**_signed("r1"), "Content-Length": "300"}, has_length=False)
    own = answer(200, _signed("r2"), b"two")
    with trio.fail_after(1):
        head = await _second_response((b"HEAD", b"GET"), (extra, extra + own))
    assert head is None or head.status == 200


class _UnmarkedWorker(Worker):
    """Runs a call and answers 503 without the mark of a rejection."""

    # Trailers of answers that name the call; None if answers don't name it.
    trailers: bytes | None = None

    async def _send_own_status(self, run: Run, stream: trio.SocketStream) -> bool:
        if self.trailers is None:
            await stream.send_all(answer(503, {"Retry-After": "60"}))
            return True
        names = {**self._signed_headers(run.call), "Transfer-Encoding": "chunked"}
        head = answer(503, names, has_length=False)
        await stream.send_all(head + b"1\r\nx\r\n0\r\n" + self.trailers + b"\r\n")
        return True


@pytest.mark.parametrize("trailers", [None, b"Retry-After: 60\r\n"])
async def test_unmarked_503_asks_for_no_backoff(trailers: bytes | None) -> None:
    async with open_fleet() as fleet:
        worker = _UnmarkedWorker("plain")
        worker.trailers = trailers
        await start(fleet, worker)
        caller = fleet.caller()
        worker.faults = [Fault.OWN_STATUS]
        assert (await caller.ask("/unsafe/x", "POST", body=b"b")).status == 502
        assert (await caller.ask("/unsafe/x", "POST", body=b"b")).status == 200


class _CutRejections(Worker):
    """Breaks off within the body of each rejection."""

    async def _reject(self, call: RawCall, stream: trio.SocketStream, *, is_repeated: bool) -> bool:
        await stream.send_all(answer(503, self.rejections.headers(call), b"full")[:-2])
        return False


async def test_rejection_whose_body_breaks_off_is_a_rejection() -> None:
    async with open_fleet() as fleet:
        full = _CutRejections("plain")
        full.rejects_work = True
        await start(fleet, full)
        reply = await fleet.caller().ask("/unsafe/x", "POST", body=b"b")
        assert (len(full.arrivals), reply.status) == (1, 503)


class _RejectsNothing(Worker):
    """Sends a rejection that belongs to no request, after the next request has come in."""

    async def _send_in_parts(self, data: bytes, stream: trio.SocketStream) -> None:
        self.rejections.repeat_later(stream, {"Not-Executed": "1"})
        await super()._send_in_parts(data, stream)


async def test_rejection_of_no_request_after_a_whole_answer_is_not_the_next_answer() -> None:
    async with open_fleet() as fleet:
        await start(fleet, _RejectsNothing("plain"))
        caller = fleet.caller()
        results = []
        for _ in range(4):
            request = await caller.send("/unsafe/x", "POST", body=b"b")
            results.append(((await caller.receive()).status, runs(fleet, request)))
        assert (503, 1) not in results


async def test_calls_with_an_empty_id_are_not_told_that_they_did_not_run() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        results = []
        for _ in range(5):
            worker.faults = [Fault.REPEATED_REJECTION]
            await caller.ask("/unsafe/x", "POST", body=b"b", headers={"Attempt-Id": ""})
            await trio.sleep(0.5)
            run_count = len(worker.runs)
            reply = await caller.ask("/unsafe/x", "POST", body=b"b", headers={"Attempt-Id": ""})
            results.append((reply.status, len(worker.runs) - run_count))
        assert (503, 1) not in results
