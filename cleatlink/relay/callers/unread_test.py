"""What is sent to callers that read slowly, over real sockets."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cleatlink.relay.callers import unread
from cleatlink.relay.callers.unread import UnreadAnswer
from cleatlink.routing.held_bytes import HeldBytes, HeldKind

EVENT = b"x" * 10_000
LIMIT = 4_000_000


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[trio.SocketStream, trio.SocketStream]]:
    """Give the instance's and the caller's end of a connection with small buffers."""
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
    """Read so many bytes; gives how many came."""
    size = 0
    while size < count:
        data = await caller.receive_some(65_536)
        if not data:
            break
        size += len(data)
    return size


async def test_answer_is_taken_before_a_slow_caller_reads_it() -> None:
    """An endpoint cuts off an answer that goes unread for some seconds.

    An instance read from the endpoint only as fast as its caller read: whoever paused for longer
    lost the answer, though the instance had memory for it.
    """
    held = HeldBytes(LIMIT)
    async with connected() as (stream, caller), trio.open_nursery() as nursery:
        answer = UnreadAnswer(stream, held)
        with trio.fail_after(1.0):
            for _ in range(30):
                await answer.send(EVENT, nursery.start_soon)
        assert held.held(HeldKind.UNREAD_ANSWERS) > 100_000
        nursery.start_soon(answer.flush)
        assert await read(caller, 30 * len(EVENT)) == 30 * len(EVENT)
    assert held.total == 0


async def test_memory_bounds_what_is_held_and_other_callers_go_on() -> None:
    held = HeldBytes(LIMIT)
    async with connected() as (slow, _), connected() as (quick, reader):
        async with trio.open_nursery() as nursery:
            first, second = UnreadAnswer(slow, held), UnreadAnswer(quick, held)

            async def send_without_end() -> None:
                while True:
                    await first.send(EVENT, nursery.start_soon)

            nursery.start_soon(send_without_end)
            await trio.sleep(0.3)
            assert held.total <= LIMIT // 8 + len(EVENT)
            nursery.start_soon(read, reader, 20 * len(EVENT))
            with trio.fail_after(1.0):
                for _ in range(20):
                    await second.send(EVENT, nursery.start_soon)
                await second.flush()
            nursery.cancel_scope.cancel()
        first.close()
    assert held.total == 0


async def test_hundreds_of_callers_that_do_not_read_stay_within_the_memory() -> None:
    held = HeldBytes(LIMIT)
    async with trio.open_nursery() as nursery:

        async def hold_one() -> None:
            async with connected() as (stream, _):
                answer = UnreadAnswer(stream, held)
                while True:
                    await answer.send(EVENT, nursery.start_soon)

        for _ in range(200):
            nursery.start_soon(hold_one)
        for _ in range(20):
            await trio.sleep(0.05)
            # One part of each may come though nothing is left: it is not refused.
            assert held.total <= LIMIT + 200 * len(EVENT)
        nursery.cancel_scope.cancel()


async def test_caller_that_never_reads_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(unread, "_CALLER_READS_NOTHING_S", 0.1)
    held = HeldBytes(LIMIT)
    async with connected() as (stream, _), trio.open_nursery() as nursery:
        answer = UnreadAnswer(stream, held)
        for _ in range(10):
            await answer.send(EVENT, nursery.start_soon)
        with trio.fail_after(2.0), pytest.raises(trio.BrokenResourceError):
            await answer.flush()
        with pytest.raises(trio.BrokenResourceError):
            await answer.send(EVENT, nursery.start_soon)
        answer.close()
    assert held.total == 0
