"""Tasks that outlive a fault of the program."""

from collections.abc import Awaitable, Callable
from traceback import format_exc
from typing import TypeVar

import eliot
import trio

__all__ = ["Task", "run_once", "run_watched", "sleep_and_read", "supervise"]

Task = Callable[..., Awaitable[None]]
_Result = TypeVar("_Result")

# Pause before a task that failed is started again.
_RESTART_S = 0.5
# Timers are usually late by less than this.
_LATE_WAKE_S = 0.02
# Within this, tasks read what lies in their sockets.
_READ_S = 0.02


async def run_once(task: Task, *args: object) -> None:
    """Run a task; a fault of the program in it ends nothing else."""
    try:
        await task(*args)
    except Exception as error:
        eliot.log_message(
            message_type="instance: a task met a fault of the program",
            error=repr(error),
            where=format_exc(),
        )


async def run_watched(
    work: Callable[[], Awaitable[_Result]], watch: Callable[[trio.CancelScope], Awaitable[None]]
) -> _Result | None:
    """Run some work beside a watch that may end it.

    Args:
        work: The work. What it raises is raised as it is, not in a group; so is a
            cancellation from outside.
        watch: Gets the scope of the work, to cancel it.

    Returns:
        The result; None if the watch ended the work.
    """
    result: _Result | None = None
    failure: Exception | None = None
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            try:
                result = await work()
            except Exception as error:
                failure = error
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        if group.split(trio.Cancelled)[1] is None:
            # Both were cancelled from outside: raises one cancellation in place of the two.
            await trio.lowlevel.checkpoint_if_cancelled()
        raise
    if failure is not None:
        raise failure
    return result


async def sleep_and_read(until: float) -> None:
    """Sleep until a time, and after a late wake until others have read what came meanwhile.

    When the instance has not run for a while, timers and answers are due at once: whoever judges
    a silence would not know of an answer that lies unread.
    """
    await trio.sleep_until(until)
    if trio.current_time() - until > _LATE_WAKE_S:
        await trio.sleep(_READ_S)


async def supervise(task: Task) -> None:
    """Run a task for ever, again after a fault."""
    while True:
        await run_once(task)
        await trio.sleep(_RESTART_S)
