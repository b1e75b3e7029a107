"""Exchanges the queued streams of all instances with peers."""

import trio

from cleatlink.relay.peers.messages import WaitQueueItem, WaitQueueUpdate
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.routing.shared_wait_queues import SharedWaitQueues, WaitQueueReport

__all__ = ["WaitQueueChannel"]

# Delay before an update, in seconds; streams that get capacity within it are not reported.
_COALESCE_DELAY_S = 0.1
# Minimum pause between two messages, in seconds.
_MIN_PAUSE_S = 0.15
# Interval at which unchanged queued streams are reported again, in seconds; receivers discount
# older reports.
_REPORT_INTERVAL_S = 0.5
# Maximum number of groups in one message; the least urgent ones are omitted first.
_MAX_GROUPS = 8


class WaitQueueChannel(UpdateChannel):
    """Channel for the streams that are queued for capacity at the instances."""

    def __init__(
        self, name: str, incarnation: int, data_centre: str, wait_queues: SharedWaitQueues
    ) -> None:
        """Initialise the channel without pending updates.

        Args:
            name: Name of this instance.
            incarnation: Start number of this instance; it grows with each start.
            data_centre: Data centre of this instance.
            wait_queues: Queued streams of this instance and of its peers.
        """
        self._name = name
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._wait_queues = wait_queues
        self._last_message_number = 0
        self._has_reported_streams = False
        self._has_changes = trio.Event()
        wait_queues.set_change_listener(self._note_changed)

    def _note_changed(self) -> None:
        self._has_changes.set()

    async def next_messages(self) -> list[WaitQueueUpdate]:
        """Wait for updates and return the messages to send to every peer."""
        await trio.sleep(_MIN_PAUSE_S)
        with trio.move_on_after(
            _REPORT_INTERVAL_S - _MIN_PAUSE_S if self._has_reported_streams else float("inf")
        ):
            await self._has_changes.wait()
            await trio.sleep(_COALESCE_DELAY_S)
        self._has_changes = trio.Event()
        if not self._wait_queues.is_in_use:
            return []
        message = self._message()
        if not message.groups and not self._has_reported_streams:
            return []
        self._has_reported_streams = bool(message.groups)
        return [message]

    def repeated_messages(self) -> list[WaitQueueUpdate]:
        """Return no messages: queued streams are reported to all peers repeatedly."""
        return []

    def initial_messages(self) -> list[WaitQueueUpdate]:
        """Return the queued streams of this instance, for a new peer."""
        return [self._message()] if self._has_reported_streams else []

    def _message(self) -> WaitQueueUpdate:
        self._last_message_number += 1
        items = [
            WaitQueueItem.from_group(group)
            for group in self._wait_queues.local_groups()[:_MAX_GROUPS]
        ]
        return WaitQueueUpdate(
            self._name, self._incarnation, self._last_message_number, self._data_centre, items
        )

    def record_queue(self, message: WaitQueueUpdate) -> None:
        """Record the queued streams of a peer."""
        if message.name == self._name:
            return
        groups = tuple(item.to_group() for item in message.groups)
        report = WaitQueueReport(
            message.name, message.incarnation, message.number, message.data_centre, groups
        )
        self._wait_queues.add_report(report, trio.current_time())
