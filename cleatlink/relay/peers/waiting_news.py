"""Exchanges the queued streams of all instances with peers."""

import trio

from cleatlink.relay.peers.messages import WaitItem, WaitNews
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.routing.shared_waiting import SharedWaiting, WaitingReport

__all__ = ["WaitingNews"]

# Delay before an update, in seconds; streams that get capacity within it are not reported.
_COALESCE_DELAY_S = 0.1
# Minimum pause between two messages, in seconds.
_MIN_PAUSE_S = 0.15
# Interval at which unchanged queued streams are reported again, in seconds; receivers discount
# older reports.
_REPORT_INTERVAL_S = 0.5
# Maximum number of groups in one message; the least urgent ones are omitted first.
_MAX_GROUPS = 8


class WaitingNews(NewsChannel):
    """Channel for the streams that are queued for capacity at the instances."""

    def __init__(
        self, name: str, incarnation: int, data_centre: str, waiting: SharedWaiting
    ) -> None:
        """Initialise the channel without pending updates.

        Args:
            name: Name of this instance.
            incarnation: Start number of this instance; it grows with each start.
            data_centre: Data centre of this instance.
            waiting: Queued streams of this instance and of its peers.
        """
        self._name = name
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._waiting = waiting
        self._number = 0
        self._has_reported_streams = False
        self._changed = trio.Event()
        waiting.listen(self._note_changed)

    def _note_changed(self) -> None:
        self._changed.set()

    async def next(self) -> list[WaitNews]:
        """Wait for updates and return the messages to send to every peer."""
        await trio.sleep(_MIN_PAUSE_S)
        with trio.move_on_after(
            _REPORT_INTERVAL_S - _MIN_PAUSE_S if self._has_reported_streams else float("inf")
        ):
            await self._changed.wait()
            await trio.sleep(_COALESCE_DELAY_S)
        self._changed = trio.Event()
        if not self._waiting.is_in_use:
            return []
        message = self._message()
        if not message.items and not self._has_reported_streams:
            return []
        self._has_reported_streams = bool(message.items)
        return [message]

    def repeat(self) -> list[WaitNews]:
        """Return no messages: queued streams are reported to all peers repeatedly."""
        return []

    def introduction(self) -> list[WaitNews]:
        """Return the queued streams of this instance, for a new peer."""
        return [self._message()] if self._has_reported_streams else []

    def _message(self) -> WaitNews:
        self._number += 1
        items = [WaitItem.of(group) for group in self._waiting.own()[:_MAX_GROUPS]]
        return WaitNews(self._name, self._incarnation, self._number, self._data_centre, items)

    def take(self, message: WaitNews) -> None:
        """Record the queued streams of a peer."""
        if message.name == self._name:
            return
        groups = tuple(item.group() for item in message.items)
        report = WaitingReport(
            message.name, message.incarnation, message.number, message.data_centre, groups
        )
        self._waiting.note(report, trio.current_time())
