"""Runs tests of whole fleets in virtual time, with real sockets.

Time all but stands still while anything happens and goes on to the next deadline once nothing
does. What a test finds then depends on the waits of the program alone, not on what else the
machine does.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing

__all__ = ["run_in_virtual_time", "run_with_pauses"]

# Real seconds without any event after which nothing happens any more: bytes that were sent over
# loopback have arrived by then.
_SETTLED_S = 0.002
# Seconds of virtual time in a real one: a wait that is too short to be told from none ends too.
_RATE = 1e-4
# A machine's clock is never near zero.
_FIRST_S = 100_000.0
# Pauses of the whole machine: seconds from one to the next, on the average, and their bounds.
_BETWEEN_PAUSES_S = 1.0
_SHORTEST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.6


def run_in_virtual_time(
    function: Callable[..., Awaitable[Any]],
    *args: object,
    clock: trio.abc.Clock | None = None,
    **options: Any,
) -> Any:
    """Run like ``trio.run``, in virtual time unless a clock is given."""
    return trio.run(function, *args, clock=clock or _virtual_clock(), **options)


def run_with_pauses(
    seed: int,
    function: Callable[..., Awaitable[Any]],
    *args: object,
    clock: trio.abc.Clock | None = None,
    **options: Any,
) -> Any:
    """Run in virtual time, in which the whole machine stands still at random moments.

    Args:
        seed: Of the moments.
        function: What is run, as by ``trio.run``.
        args: Its arguments.
        clock: In place of virtual time, which then has no pauses.
        options: As of ``trio.run``.
    """
    if clock is not None:
        return trio.run(function, *args, clock=clock, **options)
    virtual = _virtual_clock()

    async def run_beside_pauses(*args: object) -> Any:
        trio.lowlevel.spawn_system_task(_pause, virtual, random.Random(seed))
        return await function(*args)

    return trio.run(run_beside_pauses, *args, clock=virtual, **options)


def _virtual_clock() -> trio.testing.MockClock:
    clock = trio.testing.MockClock(_RATE, _SETTLED_S)
    clock.jump(_FIRST_S)
    return clock


async def _pause(clock: trio.testing.MockClock, rng: random.Random) -> None:
    while True:
        await trio.sleep(rng.expovariate(1 / _BETWEEN_PAUSES_S))
        clock.jump(rng.uniform(_SHORTEST_PAUSE_S, _LONGEST_PAUSE_S))
