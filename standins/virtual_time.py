"""Runs tests of whole fleets in virtual time, with real sockets.

Time all but stands still while anything happens and goes on to the next deadline once nothing
does. What a test finds then depends on the waits of the program alone, not on what else the
machine does.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing

__all__ = ["run_in_virtual_time"]

# Real seconds without any event after which nothing happens any more: bytes that were sent over
# loopback have arrived by then.
_SETTLED_S = 0.002
# Seconds of virtual time in a real one: a wait that is too short to be told from none ends too.
_RATE = 1e-4
# A machine's clock is never near zero.
_FIRST_S = 100_000.0


def run_in_virtual_time(
    function: Callable[..., Awaitable[Any]],
    *args: object,
    clock: trio.abc.Clock | None = None,
    **options: Any,
) -> Any:
    """Run like ``trio.run``, in virtual time unless a clock is given."""
    if clock is None:
        virtual = trio.testing.MockClock(_RATE, _SETTLED_S)
        virtual.jump(_FIRST_S)
        clock = virtual
    return trio.run(function, *args, clock=clock, **options)
