"""Virtual time for tests of whole fleets."""

import time

import pytest
import trio

from standins.virtual_time import run_in_virtual_time, run_with_pauses

pytestmark = pytest.mark.virtual_time


async def test_only_waits_take_time() -> None:
    began_at, real = trio.current_time(), time.monotonic()
    time.sleep(0.2)
    assert trio.current_time() - began_at < 0.01
    await trio.sleep(30.0)
    assert 30.0 <= trio.current_time() - began_at < 30.01
    assert time.monotonic() - real < 10.0


@pytest.mark.real_time
async def test_mark_for_real_time_goes_first() -> None:
    began_at = trio.current_time()
    time.sleep(0.05)
    assert trio.current_time() - began_at >= 0.04


def test_answer_over_a_socket_comes_before_a_timeout() -> None:
    async def answer(stream: trio.SocketStream) -> None:
        await stream.send_all(await stream.receive_some(1))

    async def ask() -> int:
        answers = 0
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, answer, 0)
            port = listeners[0].socket.getsockname()[1]
            for _ in range(100):
                with trio.move_on_after(0.001):
                    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                        await stream.send_all(b"x")
                        answers += await stream.receive_some(1) == b"x"
            nursery.cancel_scope.cancel()
        return answers

    assert run_in_virtual_time(ask) == 100


def test_pauses_of_a_seed_come_at_the_same_moments() -> None:
    async def look() -> list[float]:
        began_at, late = trio.current_time(), []
        while trio.current_time() < began_at + 10.0:
            due_at = trio.current_time() + 0.01
            await trio.sleep_until(due_at)
            if trio.current_time() > due_at + 0.05:
                late.append(round(due_at - began_at, 2))
        return late

    first, again, other = (run_with_pauses(seed, look) for seed in (1, 1, 2))
    assert len(first) >= 3
    assert first == again != other
