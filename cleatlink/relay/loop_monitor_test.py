"""Tests the measurement of the event loop."""

import time

import trio

from cleatlink.relay.loop_monitor import LoopMonitor


async def run_tasks(duration_s: float, task_s: float) -> None:
    """Keep the event loop busy for a while, with tasks of a given length."""
    ends_at = time.monotonic() + duration_s
    while time.monotonic() < ends_at:
        task_ends_at = time.monotonic() + task_s
        while time.monotonic() < task_ends_at:
            pass
        await trio.lowlevel.checkpoint()


async def test_busy_loop_is_told_from_an_idle_one() -> None:
    monitor = LoopMonitor()
    monitor.start()
    await run_tasks(0.3, 0.04)
    busy = monitor.load
    for _ in range(5):
        await trio.sleep(0.05)
    idle = monitor.load
    monitor.close()
    assert busy.busy_share > 0.9
    assert busy.longest_s >= 0.04
    assert busy.mean_wait_s >= 0.015
    assert idle.busy_share < 0.5
    assert idle.mean_wait_s < busy.mean_wait_s


async def test_long_tasks_make_data_wait_and_short_ones_do_not() -> None:
    monitor = LoopMonitor()
    monitor.start()
    await run_tasks(0.3, 0.001)
    short = monitor.load
    await run_tasks(0.3, 0.05)
    long = monitor.load
    monitor.close()
    assert short.mean_wait_s < long.mean_wait_s
