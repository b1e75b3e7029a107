"""Wakes the tasks that wait for a change, such as a change of the fleet view."""

import trio

__all__ = ["ChangeNotifier"]


class ChangeNotifier:
    """An event that can be signalled repeatedly."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify_all(self) -> None:
        """Wake all tasks that are waiting now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next signal."""
        await self._event.wait()
