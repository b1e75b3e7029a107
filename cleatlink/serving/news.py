"""Wakes every task that waits for a change of the view."""

import trio

__all__ = ["News"]


class News:
    """An event that can happen again and again."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def spread(self) -> None:
        """Wake all who wait now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._event.wait()
