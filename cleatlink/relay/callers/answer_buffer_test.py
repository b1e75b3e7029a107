"""Buffering of answers for callers that read slowly, over real sockets."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.relay.callers import answer_buffer
from cleatlink.relay.callers.answer_buffer import AnswerBuffer
from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind

EVENT_DATA = b"x" * 10_000
LIMIT_BYTES = 4_000_000


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[trio.SocketStream, trio.SocketStream]]:
    """Open a connection with small buffers; yield the instance's and the caller's end."""
    listener = trio.socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await listener.bind(("127.0.0.1", 0))
    listener.listen()
    caller = trio.socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await caller.connect(listener.getsockname())
    instance, _ = await listener.accept()
    instance.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    with listener, caller, instance:
        yield trio.SocketStream(instance), trio.SocketStream(caller)


async def read(caller: trio.SocketStream, count: int) -> int:
    """Read until ``count`` bytes have arrived or the end; return the number of bytes read."""
    size = 0
    while size < count:
        data = await caller.receive_some(65_536)
        if not data:
            break
        size += len(data)
    return size


async def test_answer_is_buffered_before_a_slow_caller_reads_it() -> None:
    """An endpoint cuts off an answer that is not read for some seconds.

    The instance must not read from the endpoint only as fast as its caller reads: a caller that
    pauses for longer would lose the answer although the instance has memory for it.
    """
    memory = BufferedBytes(LIMIT_BYTES)
    async with connected() as (stream, caller), trio.open_nursery() as nursery:
        answer = AnswerBuffer(stream, memory)
        with trio.fail_after(1.0):
            for _ in range(30):
                await answer.send(EVENT_DATA, nursery.start_soon)
        assert memory.buffered(BufferKind.UNREAD_ANSWERS) > 100_000
        nursery.start_soon(answer.flush)
        assert await read(caller, 30 * len(EVENT_DATA)) == 30 * len(EVENT_DATA)
    assert memory.total == 0


async def test_buffer_of_a_slow_caller_is_bounded_and_does_not_block_other_callers() -> None:
    memory = BufferedBytes(LIMIT_BYTES)
    async with connected() as (slow, _), connected() as (quick, reader):
        async with trio.open_nursery() as nursery:
            first, second = AnswerBuffer(slow, memory), AnswerBuffer(quick, memory)

            async def send_forever() -> None:
                while True:
                    await first.send(EVENT_DATA, nursery.start_soon)

            nursery.start_soon(send_forever)
            await trio.sleep(0.3)
            assert memory.total <= LIMIT_BYTES // 8 + len(EVENT_DATA)
            nursery.start_soon(read, reader, 20 * len(EVENT_DATA))
            with trio.fail_after(1.0):
                for _ in range(20):
                    await second.send(EVENT_DATA, nursery.start_soon)
                await second.flush()
            nursery.cancel_scope.cancel()
        first.close()
    assert memory.total == 0


async def test_hundreds_of_callers_that_do_not_read_stay_within_the_memory_limit() -> None:
    memory = BufferedBytes(LIMIT_BYTES)
    async with trio.open_nursery() as nursery:

        async def send_to_one_caller() -> None:
            async with connected() as (stream, _):
                answer = AnswerBuffer(stream, memory)
                while True:
                    await answer.send(EVENT_DATA, nursery.start_soon)

        for _ in range(200):
            nursery.start_soon(send_to_one_caller)
        for _ in range(20):
            await trio.sleep(0.05)
            # Each answer may buffer one part when no memory is left: it is not refused.
            assert memory.total <= LIMIT_BYTES + 200 * len(EVENT_DATA)
        nursery.cancel_scope.cancel()


async def test_send_to_a_caller_that_never_reads_fails_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(answer_buffer, "_CALLER_READ_TIMEOUT_S", 0.1)
    memory = BufferedBytes(LIMIT_BYTES)
    async with connected() as (stream, _), trio.open_nursery() as nursery:
        answer = AnswerBuffer(stream, memory)
        for _ in range(10):
            await answer.send(EVENT_DATA, nursery.start_soon)
        with trio.fail_after(2.0), pytest.raises(trio.BrokenResourceError):
            await answer.flush()
        with pytest.raises(trio.BrokenResourceError):
            await answer.send(EVENT_DATA, nursery.start_soon)
        answer.close()
    assert memory.total == 0
