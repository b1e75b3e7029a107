"""Tests of endpoints that send bytes without end, until the relay closes the connection.

The limits on bytes are tested in virtual time. Where only time ends an answer, or the latency of
other callers matters, the machine's clock is used.
"""

import math
import tracemalloc
from typing import Any

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.errors import StreamBrokenError
from cleatlink.platform import PROTOCOL
from cleatlink.relay.calls import stream
from cleatlink.relay.calls.event_parser import EventParser
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest
from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind
from cleatlink.routing.role_planner import RoleChange
from standins.relay import EndlessPart, Fault, RawCall, Worker
from standins.relay.cut_paths import PathCut
from standins.relay.endless_answers import EndlessAnswer
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply
from standins.relay.raw_server import answer

pytestmark = pytest.mark.virtual_time

# Bytes that the kernel takes from an endpoint beside those that the relay reads.
_KERNEL_BYTES = 1_048_576
# Seconds in which a connection is closed, and those for a role order, whose timeout is 1 s.
_CLOSE_S = 1.0
_ORDER_CLOSE_S = 1.2


async def start_endless(fleet: Fleet, part: EndlessPart, bad: int = 1) -> list[Worker]:
    """Start two plain workers, of which the first ones answer one call each without end."""
    workers = [Worker("plain"), Worker("plain")]
    await start(fleet, *workers)
    for worker in workers[:bad]:
        worker.endless_part, worker.faults = part, [Fault.ENDLESS]
    return workers


async def ask_until_endless(fleet: Fleet, path: str, workers: list[Worker]) -> Reply:
    """Make calls until one of them meets an answer without end; return its reply."""
    for _ in range(8):
        reply = await fleet.caller().ask(path, "POST", body=b"x")
        if records(workers):
            return reply
    raise AssertionError("no call met an answer without end")


def records(workers: list[Worker]) -> list[EndlessAnswer]:
    return [record for worker in workers for record in worker.endless.records]


async def check_closed(
    fleet: Fleet, workers: list[Worker], max_bytes: int, within_s: float = _CLOSE_S
) -> None:
    """Check that each connection with an answer without end was closed within the limits."""
    await fleet.wait_until(lambda: all(item.lasted_s < within_s for item in records(workers)))
    assert max(item.sent_bytes for item in records(workers)) <= max_bytes + _KERNEL_BYTES


@pytest.mark.real_time
async def test_interim_responses_without_end_were_read_until_the_deadline() -> None:
    async with open_fleet() as fleet:
        workers = await start_endless(fleet, EndlessPart.INTERIM)
        reply = await ask_until_endless(fleet, "/safe/x", workers)
        assert (reply.status, reply.body) == (200, b"served")
        await check_closed(fleet, workers, 65_536)


@pytest.mark.real_time
async def test_interim_responses_without_end_promise_nothing() -> None:
    async with open_fleet() as fleet:
        workers = await start_endless(fleet, EndlessPart.INTERIM, bad=2)
        reply = await ask_until_endless(fleet, "/unsafe/x", workers)
        assert (reply.status, len(workers[0].runs) + len(workers[1].runs)) == (502, 1)
        await check_closed(fleet, workers, 65_536)


async def test_small_chunks_without_end_kept_other_tasks_from_running() -> None:
    worker, turns = Worker("plain"), 0
    worker.endless_part, worker.faults = EndlessPart.EVENTS, [Fault.ENDLESS]

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        await worker.start(nursery)
        connection = await EndpointConnection.open(worker.address, 1.0, 1.0)
        headers = ((b"Host", b"h.example"), (b"Attempt-Id", b"r1"))
        await connection.exchange(OutgoingRequest(b"GET", b"/a", headers, b""))
        nursery.start_soon(count_turns)
        for _ in range(3_200):
            await connection.read_chunk()
        connection.close()
        worker.close()
        nursery.cancel_scope.cancel()
    assert turns >= 3_200 / 64


@pytest.mark.parametrize(
    "part", [EndlessPart.HEAD, EndlessPart.BODY, EndlessPart.INTERIM, EndlessPart.GARBAGE]
)
async def test_slow_bytes_without_end_kept_a_safe_call_until_its_deadline(
    part: EndlessPart,
) -> None:
    async with open_fleet() as fleet:
        workers = await start_endless(fleet, part)
        workers[0].endless.byte_interval_s = 0.01
        reply = await ask_until_endless(fleet, "/safe/x", workers)
        assert (reply.status, reply.body) == (200, b"served")
        await fleet.wait_until(lambda: records(workers)[0].lasted_s < 1.5)


async def test_bytes_after_a_whole_answer_kept_an_idle_connection_open() -> None:
    async with open_fleet() as fleet:
        workers = await start_endless(fleet, EndlessPart.AFTER)
        reply = await ask_until_endless(fleet, "/unsafe/x", workers)
        assert (reply.status, reply.body) == (200, b"served")
        await check_closed(fleet, workers, 0)


async def test_slow_bytes_after_a_whole_answer_kept_an_idle_connection_open() -> None:
    async with open_fleet() as fleet:
        workers = await start_endless(fleet, EndlessPart.AFTER)
        workers[0].endless.byte_interval_s = 0.2
        reply = await ask_until_endless(fleet, "/unsafe/x", workers)
        assert (reply.status, reply.body) == (200, b"served")
        await check_closed(fleet, workers, 0)


async def start_endless_decode(fleet: Fleet, part: EndlessPart, fault: Fault) -> list[Worker]:
    """Start engines, of which one decode answers one stream without end, a byte at a time."""
    workers = list(engines())
    await start(fleet, *workers)
    workers[1].endless_part, workers[1].faults = part, [fault]
    workers[1].endless.byte_interval_s = 0.01
    return workers


async def ask_stream_until_endless(fleet: Fleet, path: str, workers: list[Worker]) -> Reply:
    """Request streams until one of them meets an answer without end; return its reply."""
    for _ in range(8):
        reply = await fleet.caller().ask(path, "POST", headers=STREAM)
        if records(workers):
            return reply
    raise AssertionError("no stream met an answer without end")


@pytest.mark.parametrize(
    ("part", "fault"),
    [
        (EndlessPart.HEAD, Fault.ENDLESS),
        (EndlessPart.INTERIM, Fault.ENDLESS),
        (EndlessPart.BODY, Fault.ENDLESS),
        (EndlessPart.OLD_EVENTS, Fault.ENDLESS),
        (EndlessPart.HEAD, Fault.ENDLESS_WITHIN),
    ],
)
async def test_slow_bytes_that_make_no_event_kept_a_resumable_stream_until_its_deadline(
    part: EndlessPart, fault: Fault
) -> None:
    async with open_fleet() as fleet:
        workers = await start_endless_decode(fleet, part, fault)
        reply = await ask_stream_until_endless(fleet, "/resume/x", workers)
        assert (reply.status, reply.is_complete, reply.body.count(b"\n\n")) == (200, True, 5)
        await fleet.wait_until(lambda: records(workers)[0].lasted_s < 1.9)


@pytest.mark.parametrize("part", [EndlessPart.HEAD, EndlessPart.INTERIM, EndlessPart.BODY])
@pytest.mark.parametrize("byte_interval_s", [0.0, 0.05])
async def test_reservation_without_end_kept_its_connection_open(
    part: EndlessPart, byte_interval_s: float
) -> None:
    async with open_fleet() as fleet:
        workers = list(engines())
        await start(fleet, *workers)
        version = fleet.configure({"hold_ms": 2000})
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        for worker in workers[1:]:
            worker.endless_part, worker.endless.paths = part, ("/hold-take",)
            worker.endless.byte_interval_s = byte_interval_s
        reply = await fleet.caller().ask("/stream/x", "POST", headers=STREAM)
        assert (reply.status, workers[1].runs + workers[2].runs) == (503, [])
        assert len(records(workers)) == 2
        await check_closed(fleet, workers, 65_536)


@pytest.mark.parametrize("byte_interval_s", [0.0, 0.05])
@pytest.mark.parametrize(
    "part", [EndlessPart.HEAD, EndlessPart.BODY, EndlessPart.INTERIM, EndlessPart.GARBAGE]
)
async def test_prefill_without_end_is_given_up(part: EndlessPart, byte_interval_s: float) -> None:
    async with open_fleet() as fleet:
        workers = list(engines())
        await start(fleet, *workers)
        workers[0].endless_part, workers[0].faults = part, [Fault.ENDLESS]
        workers[0].endless.byte_interval_s = byte_interval_s
        reply = await fleet.caller().ask("/stream/x", "POST", headers=STREAM)
        assert (reply.status, reply.is_complete, len(records(workers))) == (200, True, 1)
        await check_closed(fleet, workers, 65_536)


@pytest.mark.parametrize("byte_interval_s", [0.0, 0.05])
@pytest.mark.parametrize("part", [EndlessPart.HEAD, EndlessPart.BODY, EndlessPart.INTERIM])
async def test_free_of_a_handle_without_end_is_given_up(
    part: EndlessPart, byte_interval_s: float
) -> None:
    async with open_fleet() as fleet:
        workers = list(engines())
        await start(fleet, *workers)
        workers[0].endless_part, workers[0].endless.paths = part, ("/kv-handle/",)
        workers[0].endless.byte_interval_s = byte_interval_s
        for worker in workers[1:]:
            worker.faults = [Fault.RESET_BEFORE] * 3
        reply = await fleet.caller().ask("/stream/x", "POST", headers=STREAM)
        assert reply.status == 502
        await fleet.wait_until(lambda: len(records(workers)) == 3)
        await check_closed(fleet, workers, 65_536)


@pytest.mark.parametrize("byte_interval_s", [0.0, 0.05])
@pytest.mark.parametrize(
    "part",
    [
        EndlessPart.HEAD,
        EndlessPart.BODY,
        EndlessPart.UNFRAMED_BODY,
        EndlessPart.INTERIM,
        EndlessPart.AFTER,
    ],
)
async def test_role_order_without_end_is_given_up(
    part: EndlessPart, byte_interval_s: float
) -> None:
    async with open_fleet() as fleet:
        workers = list(engines())
        await start(fleet, *workers)
        for worker in workers:
            worker.endless_part, worker.endless.paths = part, ("/order",)
            worker.endless.byte_interval_s = byte_interval_s
        await send_order(fleet, workers[1])
        await check_closed(fleet, workers, 65_536, _ORDER_CLOSE_S)


async def send_order(fleet: Fleet, worker: Worker) -> None:
    """Have the instance order a decode worker to prefill."""
    instance = fleet.instances[0]
    endpoint = instance.capacity.endpoints[worker.name]
    table = instance.records.table
    assert table is not None
    engine = table.services["model"].engine
    assert engine is not None
    change = RoleChange(endpoint, Role.PREFILL)
    await instance._role_controller._send_order("model", change, engine)


@pytest.mark.parametrize(
    "part", [EndlessPart.HEAD, EndlessPart.BODY, EndlessPart.GARBAGE, EndlessPart.AFTER]
)
async def test_peer_that_carries_a_tunnel_closes_what_has_no_end(part: EndlessPart) -> None:
    async with open_fleet() as fleet:
        workers = await start_endless(fleet, part, bad=2)
        fleet.start_instance()
        await fleet.wait_for_peers()
        await fleet.wait_ready()
        fleet.connectors[0].cut(PathCut.REFUSE_NEW)
        reply = await ask_until_endless(fleet, "/safe/x", workers)
        assert reply.status in (200, 502)
        await check_closed(fleet, workers, 16_777_216)
        await fleet.wait_until(lambda: not fleet.instances[1]._tunnels._server.open_count)


@pytest.mark.real_time
async def test_bodies_without_end_of_many_calls_took_more_than_the_memory_for_buffers() -> None:
    call_count, peak_bytes, statuses = 10, 0, []
    async with open_fleet() as fleet:
        workers = await start_endless(fleet, EndlessPart.BODY, bad=2)
        for worker in workers:
            worker.slots, worker.faults = 100, [Fault.ENDLESS] * call_count
        memory = fleet.instances[0]._caller_memory

        async def ask() -> None:
            statuses.append((await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status)

        async def watch() -> None:
            nonlocal peak_bytes
            while True:
                sent = [item.sent_bytes for item in records(workers) if item.lasted_s == math.inf]
                peak_bytes = max(peak_bytes, sum(sent))
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            async with trio.open_nursery() as calls:
                for _ in range(call_count):
                    calls.start_soon(ask)
            nursery.cancel_scope.cancel()
        assert set(statuses) <= {502, 504}
        assert peak_bytes <= memory.limit_bytes + call_count * _KERNEL_BYTES
        assert memory.total == 0


async def test_events_without_end_of_many_streams_took_more_than_the_memory_for_buffers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stream_count, limit_bytes, peak_bytes = 20, 2_000_000, 0
    parsers: list[EventParser] = []

    class RecordedParser(EventParser):
        """A parser whose buffer the test reads."""

        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            parsers.append(self)

    monkeypatch.setattr(stream, "EventParser", RecordedParser)
    async with open_fleet() as fleet:
        workers = [Worker("model", "decode", slots=100) for _ in range(2)]
        await start(fleet, Worker("model", "prefill", slots=100), *workers)
        version = fleet.configure({"kv_cache_tokens": 100_000, "slots": 100})
        records_of_store = fleet.instances[0].records
        await fleet.wait_until(lambda: records_of_store.table_revision == version)
        memory = fleet.instances[0]._caller_memory
        monkeypatch.setattr(memory, "_limit_bytes", limit_bytes)
        for worker in workers:
            worker.endless_part = EndlessPart.UNFRAMED_BODY
            worker.endless.total_bytes = 900_000
            worker.faults = [Fault.ENDLESS] * stream_count

        async def ask() -> None:
            reply = await fleet.caller().ask("/stream/x", "POST", headers=STREAM)
            assert reply.status != 200 or not reply.is_complete

        async def watch() -> None:
            nonlocal peak_bytes
            while True:
                peak_bytes = max(peak_bytes, sum(len(parser._buffer) for parser in parsers))
                await trio.sleep(0.001)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            async with trio.open_nursery() as calls:
                for _ in range(stream_count):
                    calls.start_soon(ask)
            nursery.cancel_scope.cancel()
        assert len(records(workers)) == stream_count
        # Each stream may keep a small event whatever memory is left.
        assert peak_bytes <= limit_bytes + stream_count * 65_536
        assert memory.total == 0


async def test_extra_responses_of_many_connections_are_kept_in_memory() -> None:
    """A copy of the last answer is read over, and as long as an answer may be."""
    connection_count, extra_bytes = 20, 1_000_000

    class RepeatingWorker(Worker):
        """Sends a long copy of its first answer, then nothing."""

        async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
            headers = {"Attempt-Id": "r0"}
            if call.headers["attempt-id"] == "r0":
                await self.send(stream, answer(200, headers))
                return True
            await self.send(stream, answer(200, headers, b"x" * extra_bytes)[:-1])
            await trio.sleep_forever()
            return False

    async def skip(address: str) -> None:
        opened = await EndpointConnection.open(address, 1.0, 1.0)
        connection = EndpointConnection(opened._stream, 0.0, protocol=PROTOCOL)
        for name in (b"r0", b"r1"):
            headers = ((b"Host", b"h.example"), (b"Attempt-Id", name))
            request = OutgoingRequest(b"GET", b"/a", headers, b"", name.decode())
            with trio.move_on_after(2.0):
                await connection.exchange(request)
                await connection.read_body(0)
                connection.end_exchange(0.0)
        connection.close()

    worker = RepeatingWorker("plain")
    async with trio.open_nursery() as nursery:
        await worker.start(nursery)
        tracemalloc.start()
        async with trio.open_nursery() as connections:
            for _ in range(connection_count):
                connections.start_soon(skip, worker.address)
            # The stand-in keeps what it sends as well.
            await trio.sleep(1.0)
            kept_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        worker.close()
        nursery.cancel_scope.cancel()
    assert kept_bytes < connection_count * extra_bytes / 4


async def test_body_without_end_leaves_the_memory_for_buffers_to_others() -> None:
    worker, memory = Worker("plain"), BufferedBytes(4_000_000)
    worker.endless_part, worker.faults = EndlessPart.BODY, [Fault.ENDLESS]
    memory.add(BufferKind.UNREAD_ANSWERS, 1_000_000)
    async with trio.open_nursery() as nursery:
        await worker.start(nursery)
        connection = await EndpointConnection.open(worker.address, 1.0, 1.0)
        headers = ((b"Host", b"h.example"), (b"Attempt-Id", b"r1"))
        await connection.exchange(OutgoingRequest(b"GET", b"/a", headers, b""))
        with pytest.raises(StreamBrokenError, match="no memory"):
            await connection.read_body(16_777_216, memory=memory)
        connection.close()
        worker.close()
        nursery.cancel_scope.cancel()
    assert worker.endless.records[0].sent_bytes <= 3_000_000 + _KERNEL_BYTES
    assert memory.total == 1_000_000
