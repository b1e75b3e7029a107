"""Helpers to run tasks: logging of unexpected exceptions, restarts, and watched work."""

from collections.abc import Awaitable, Callable
from traceback import format_exc
from typing import TypeVar

import eliot
import trio

__all__ = [
    "Task",
    "run_and_log_errors",
    "run_watched",
    "sleep_until_sockets_read",
    "run_with_restarts",
]

Task = Callable[..., Awaitable[None]]
_Result = TypeVar("_Result")

# Delay before a task is started again after an exception.
_RESTART_DELAY_S = 0.5
# Normal delay of timers; a longer delay means that the process did not run for a while.
_LATE_WAKE_S = 0.02
# Time in which other tasks read the data that waits in their sockets.
_SOCKET_READ_S = 0.02


async def run_and_log_errors(task: Task, *args: object) -> None:
    """Run a task once; log an unexpected exception, so that other tasks continue."""
    try:
        await task(*args)
    except Exception as error:
        eliot.log_message(
            message_type="instance: a task raised an unexpected exception",
            error=repr(error),
            where=format_exc(),
        )


async def run_watched(
    work: Callable[[], Awaitable[_Result]], watch: Callable[[trio.CancelScope], Awaitable[None]]
) -> _Result | None:
    """Run work together with a watch that may cancel it.

    Args:
        work: The work. Its exceptions are raised as they are, not in an exception group; so is
            a cancellation from outside.
        watch: Receives the cancel scope of the work.

    Returns:
        The result of the work; None if the watch cancelled it.
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
            # Both were cancelled from outside: raise one cancellation instead of a group of two.
            await trio.lowlevel.checkpoint_if_cancelled()
        raise
    if failure is not None:
        raise failure
    return result


async def sleep_until_sockets_read(until: float) -> None:
    """Sleep until a time; after a late wake-up, let other tasks read received data first.

    When the process has not run for a while, timers and received data are due together. A task
    that checks for a timeout could otherwise miss an answer that has arrived but is not read yet.
    """
    await trio.sleep_until(until)
    if trio.current_time() - until > _LATE_WAKE_S:
        await trio.sleep(_SOCKET_READ_S)


async def run_with_restarts(task: Task) -> None:
    """Run a task repeatedly: start it again after it returns or raises an exception."""
    while True:
        await run_and_log_errors(task)
        await trio.sleep(_RESTART_DELAY_S)
