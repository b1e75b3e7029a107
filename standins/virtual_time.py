"""Runs tests of whole fleets in virtual time, with real sockets.

The virtual clock advances very slowly while any task or socket is active, and jumps to the next
deadline when all are idle. The result of a test therefore depends only on the program's waits,
and not on the load of the machine.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing

__all__ = ["run_in_virtual_time", "run_with_pauses"]

# Real seconds without any event after which all tasks count as idle; bytes sent over loopback
# arrive within this time.
_IDLE_THRESHOLD_S = 0.002
# Rate of the virtual clock between jumps; above zero so that a wait also ends when it is too short
# to be distinguished from no wait.
_VIRTUAL_S_PER_REAL_S = 1e-4
# Initial virtual time; large, because a machine's monotonic clock is never near zero.
_START_TIME_S = 100_000.0
# Simulated pauses of the whole machine, in seconds: mean interval, shortest and longest pause.
_MEAN_PAUSE_INTERVAL_S = 1.0
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.6


def run_in_virtual_time(
    function: Callable[..., Awaitable[Any]],
    *args: object,
    clock: trio.abc.Clock | None = None,
    **options: Any,
) -> Any:
    """Run a function like ``trio.run``, in virtual time unless a clock is given."""
    return trio.run(function, *args, clock=clock or _build_virtual_clock(), **options)


def run_with_pauses(
    seed: int,
    function: Callable[..., Awaitable[Any]],
    *args: object,
    clock: trio.abc.Clock | None = None,
    **options: Any,
) -> Any:
    """Run a function in virtual time and simulate pauses of the machine at random times.

    Args:
        seed: Seed of the times and lengths of the pauses.
        function: Async function to run, as for ``trio.run``.
        args: Arguments of the function.
        clock: Clock to use in place of the virtual clock; there are no pauses then.
        options: Options of ``trio.run``.
    """
    if clock is not None:
        return trio.run(function, *args, clock=clock, **options)
    virtual = _build_virtual_clock()

    async def run_with_pause_task(*args: object) -> Any:
        trio.lowlevel.spawn_system_task(_inject_pauses, virtual, random.Random(seed))
        return await function(*args)

    return trio.run(run_with_pause_task, *args, clock=virtual, **options)


def _build_virtual_clock() -> trio.testing.MockClock:
    clock = trio.testing.MockClock(_VIRTUAL_S_PER_REAL_S, _IDLE_THRESHOLD_S)
    clock.jump(_START_TIME_S)
    return clock


async def _inject_pauses(clock: trio.testing.MockClock, rng: random.Random) -> None:
    while True:
        await trio.sleep(rng.expovariate(1 / _MEAN_PAUSE_INTERVAL_S))
        clock.jump(rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
