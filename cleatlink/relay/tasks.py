"""Tasks that outlive a fault of the program."""

from collections.abc import Awaitable, Callable
from traceback import format_exc

import eliot
import trio

__all__ = ["Task", "run_once", "supervise"]

Task = Callable[..., Awaitable[None]]

# Pause before a task that failed is started again.
_RESTART_S = 0.5


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


async def supervise(task: Task) -> None:
    """Run a task for ever, again after a fault."""
    while True:
        await run_once(task)
        await trio.sleep(_RESTART_S)
