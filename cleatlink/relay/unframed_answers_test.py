"""Tests of answers without a length and without chunks, which end with their connection."""

import pytest
import trio

from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, engines, runs, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply

pytestmark = pytest.mark.virtual_time


async def start_unframed(fleet: Fleet, *workers: Worker) -> None:
    for worker in workers:
        worker.ends_with_connection = True
    await start(fleet, *workers)


def stream_body(request_id: str, events: int = 5) -> bytes:
    """Return the whole stream of a request."""
    numbers = range(1, events + 1)
    return b"".join(b"id: %d\ndata: %s %d\n\n" % (n, request_id.encode(), n) for n in numbers)


async def ask_stream(fleet: Fleet, path: str) -> tuple[str, Reply]:
    caller = fleet.caller()
    request_id = await caller.send(path, "POST", headers=STREAM)
    return request_id, await caller.receive()


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
async def test_plain_answers_arrive_whole(path: str) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.body, worker.response_parts, worker.part_pause_s = b"served" * 5000, 3, 0.05
        await start_unframed(fleet, worker)
        for _ in range(4):
            reply = await fleet.caller().ask(path, "POST", body=b"x")
            assert (reply.status, reply.is_complete, reply.body) == (200, True, worker.body)
        assert len(worker.runs) == 4


async def test_error_of_the_endpoint_is_passed_on() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start_unframed(fleet, worker)
        worker.faults = [Fault.ERROR]
        reply = await fleet.caller().ask("/unsafe/x", "POST", body=b"x")
        assert (reply.status, reply.is_complete, reply.body) == (500, True, worker.body)


async def test_plain_answer_that_is_reset_is_not_complete() -> None:
    async with open_fleet() as fleet:
        workers = [Worker("plain"), Worker("plain")]
        await start_unframed(fleet, *workers)
        for worker in workers:
            worker.faults = [Fault.TRUNCATED]
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 502
        reply = await fleet.caller().ask("/safe/x")
        assert (reply.status, reply.body) == (200, b"served")


async def test_rejection_means_that_another_endpoint_is_tried() -> None:
    async with open_fleet() as fleet:
        workers = [Worker("plain"), Worker("plain")]
        await start_unframed(fleet, *workers)
        for worker in workers:
            worker.faults = [Fault.FULL]
        reply = await fleet.caller().ask("/unsafe2/x", "POST", body=b"x")
        assert (reply.status, float(reply.headers["retry-after"]) > 0) == (503, True)
        assert not any(worker.runs for worker in workers)


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
async def test_streams_arrive_whole_with_prefill_and_reservation(path: str) -> None:
    async with open_fleet() as fleet:
        workers = engines()
        await start_unframed(fleet, *workers)
        version = fleet.configure({"hold_ms": 2000})
        records = fleet.instances[0].records
        await fleet.wait_until(lambda: records.table_revision == version)
        for _ in range(6):
            request_id, reply = await ask_stream(fleet, path)
            assert (reply.status, reply.is_complete) == (200, True)
            assert reply.body == stream_body(request_id)
            assert runs(fleet, request_id) == 1
        assert sum(len(worker.granted_reservation_tokens) for worker in workers) == 6
        assert not any(worker.reservations for worker in workers)
        assert len(workers[0].arrivals) == 6


async def test_stream_that_ends_within_an_event_is_broken_off() -> None:
    async with open_fleet() as fleet:
        workers = engines()
        await start_unframed(fleet, *workers)
        for worker in workers[1:]:
            worker.faults = [Fault.TRUNCATED]
        request_id, reply = await ask_stream(fleet, "/stream/x")
        assert (reply.status, reply.is_complete) == (200, False)
        assert reply.body == stream_body(request_id, 2)


async def test_resumable_stream_that_ends_within_an_event_goes_on_elsewhere() -> None:
    async with open_fleet() as fleet:
        workers = engines()
        await start_unframed(fleet, *workers)
        workers[1].faults, workers[2].faults = [Fault.TRUNCATED], []
        for _ in range(4):
            request_id, reply = await ask_stream(fleet, "/resume/x")
            assert (reply.status, reply.is_complete) == (200, True)
            assert reply.body == stream_body(request_id)
        assert not workers[1].faults


async def test_each_answer_uses_a_connection_of_its_own() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start_unframed(fleet, worker)
        caller = fleet.caller()
        for _ in range(5):
            assert (await caller.ask("/safe/x")).body == b"served"
        await trio.sleep(0.1)
        assert worker.open_connections == 0
        assert not fleet.instances[0]._pool.has_open_connection(worker.name)
