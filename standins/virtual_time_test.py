"""Tests of virtual time for tests of whole fleets."""

import time

import pytest
import trio

from standins.virtual_time import run_in_virtual_time, run_with_pauses

pytestmark = pytest.mark.virtual_time


async def test_only_waits_advance_virtual_time() -> None:
    started_at, real_started_at = trio.current_time(), time.monotonic()
    time.sleep(0.2)
    assert trio.current_time() - started_at < 0.01
    await trio.sleep(30.0)
    assert 30.0 <= trio.current_time() - started_at < 30.01
    assert time.monotonic() - real_started_at < 10.0


@pytest.mark.real_time
async def test_real_time_mark_takes_precedence() -> None:
    started_at = trio.current_time()
    time.sleep(0.05)
    assert trio.current_time() - started_at >= 0.04


def test_answer_over_a_socket_arrives_before_a_timeout() -> None:
    async def echo(stream: trio.SocketStream) -> None:
        await stream.send_all(await stream.receive_some(1))

    async def count_answers() -> int:
        answers = 0
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, echo, 0)
            port = listeners[0].socket.getsockname()[1]
            for _ in range(100):
                with trio.move_on_after(0.001):
                    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                        await stream.send_all(b"x")
                        answers += await stream.receive_some(1) == b"x"
            nursery.cancel_scope.cancel()
        return answers

    assert run_in_virtual_time(count_answers) == 100


def test_pauses_of_a_seed_occur_at_the_same_times() -> None:
    async def find_delayed_waits() -> list[float]:
        started_at, delayed_at = trio.current_time(), []
        while trio.current_time() < started_at + 10.0:
            due_at = trio.current_time() + 0.01
            await trio.sleep_until(due_at)
            if trio.current_time() > due_at + 0.05:
                delayed_at.append(round(due_at - started_at, 2))
        return delayed_at

    first, repeated, other_seed = (run_with_pauses(seed, find_delayed_waits) for seed in (1, 1, 2))
    assert len(first) >= 3
    assert first == repeated != other_seed
