"""Tells peers what waits for room at this instance, and takes what they tell."""

import trio

from cleatlink.relay.peers.messages import WaitItem, WaitNews
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.routing.shared_waiting import SharedWaiting, WaitingReport

__all__ = ["WaitingNews"]

# What finds room sooner is not told of.
_GATHER_S = 0.1
# Time between two messages.
_PAUSE_S = 0.15
# What still waits is told again so often, before it is believed less.
_AGAIN_S = 0.5
# Groups in one message; the least urgent are left out first.
_MOST_ITEMS = 8


class WaitingNews(NewsChannel):
    """One instance's side of waiting over all instances."""

    def __init__(
        self, name: str, incarnation: int, data_centre: str, waiting: SharedWaiting
    ) -> None:
        """Start with nothing to tell.

        Args:
            name: This instance's name.
            incarnation: Grows with each start of this instance.
            data_centre: Where this instance runs.
            waiting: What waits, here and at others.
        """
        self._name = name
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._waiting = waiting
        self._number = 0
        self._is_told = False
        self._wake = trio.Event()
        waiting.listen(self._note_changed)

    def _note_changed(self) -> None:
        self._wake.set()

    async def next(self) -> list[WaitNews]:
        """Wait for something to tell every peer, and give it."""
        await trio.sleep(_PAUSE_S)
        with trio.move_on_after(_AGAIN_S - _PAUSE_S if self._is_told else float("inf")):
            await self._wake.wait()
            await trio.sleep(_GATHER_S)
        self._wake = trio.Event()
        if not self._waiting.is_in_use:
            return []
        news = self._news()
        if not news.items and not self._is_told:
            return []
        self._is_told = bool(news.items)
        return [news]

    def repeat(self) -> list[WaitNews]:
        """Give nothing: what still waits is told again to all."""
        return []

    def introduction(self) -> list[WaitNews]:
        """Give what waits, for a peer that is new."""
        return [self._news()] if self._is_told else []

    def _news(self) -> WaitNews:
        self._number += 1
        items = [WaitItem.of(group) for group in self._waiting.own()[:_MOST_ITEMS]]
        return WaitNews(self._name, self._incarnation, self._number, self._data_centre, items)

    def take(self, news: WaitNews) -> None:
        """Take what waits at a peer."""
        if news.name == self._name:
            return
        groups = tuple(item.group() for item in news.items)
        report = WaitingReport(news.name, news.incarnation, news.number, news.data_centre, groups)
        self._waiting.note(report, trio.current_time())
