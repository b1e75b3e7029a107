"""The items that a reflector queues until it sends its next bundle; performs no I/O."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.relay.peers.messages import Bundle, BundleItem

__all__ = ["ForwardingQueue", "split_items"]

# Longest wait of items that are not urgent. With heartbeats each second, a peer still counts as
# reachable in the calculation of limits.
_MAX_WAIT_S = 0.2
# Urgent items wait for further items, and for a minimum interval since the previous bundle:
# each bundle costs one datagram to every instance of the data centre.
_URGENT_WAIT_S = 0.01
_MIN_INTERVAL_S = 0.1
# Ticks come every half second, in a small fleet every second. A longer interval means that this
# process was paused and messages stayed unread: their age is unknown, so they are not forwarded.
_MAX_TICK_INTERVAL_S = 1.2
_DROP_AFTER_STALL_S = 0.5
# Maximum size of the items in a bundle, below the size of a datagram.
_MAX_BUNDLE_BYTES = 32_000
# Maximum queue length: about two seconds of messages from 400 instances.
_MAX_QUEUED_ITEMS = 2_000
# Size of an item beyond its data: names, numbers and framing.
_ITEM_OVERHEAD_BYTES = 64


class _QueuedItem(NamedTuple):
    """An item and the time at which its sender sent it: its arrival less its age."""

    item: BundleItem
    sent_at: float


class ForwardingQueue:
    """Items to forward within one data centre; every method takes the time as an argument."""

    def __init__(self, name: str, now: float) -> None:
        """Initialise an empty queue.

        Args:
            name: This instance's name.
            now: The current time.
        """
        self._name = name
        self._queue: list[_QueuedItem] = []
        self._due_at = math.inf
        self._last_bundle_at = -math.inf
        self._last_tick_at = now
        self._drop_until = -math.inf
        self.dropped_count = 0

    @property
    def due_at(self) -> float:
        """When the next bundle is due; infinite while the queue is empty."""
        return self._due_at

    def tick(self, now: float) -> None:
        """Record that this process is running; to be called every half second."""
        if now - self._last_tick_at > _MAX_TICK_INTERVAL_S:
            self._drop_until = now + _DROP_AFTER_STALL_S
        self._last_tick_at = now

    def add(self, item: BundleItem, now: float) -> bool:
        """Queue an item for the next bundle; return whether the bundle is due earlier now."""
        is_stalled = now < self._drop_until or now - self._last_tick_at > _MAX_TICK_INTERVAL_S
        if is_stalled or len(self._queue) >= _MAX_QUEUED_ITEMS:
            self.dropped_count += 1
            return False
        self._queue.append(_QueuedItem(item, now - item.age_ms / 1000))
        wait_s = _URGENT_WAIT_S if item.is_urgent else _MAX_WAIT_S
        due_at = max(now + wait_s, self._last_bundle_at + _MIN_INTERVAL_S)
        is_earlier = due_at < self._due_at
        self._due_at = min(due_at, self._due_at)
        return is_earlier

    def take_bundles(self, now: float) -> list[Bundle]:
        """Empty the queue and return its items as bundles, oldest first."""
        parts = split_items(_with_age(queued, now) for queued in self._queue)
        self._queue = []
        self._due_at = math.inf
        self._last_bundle_at = now
        return [Bundle(self._name, False, part) for part in parts]


def split_items(items: Iterable[BundleItem]) -> list[list[BundleItem]]:
    """Split items into parts that fit into one bundle each, without changing their order."""
    parts: list[list[BundleItem]] = []
    size = 0
    for item in items:
        length = len(item.data) + _ITEM_OVERHEAD_BYTES
        if not parts or size + length > _MAX_BUNDLE_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += length
    return parts


def _with_age(queued: _QueuedItem, now: float) -> BundleItem:
    """Return an item with its current age, rounded up to whole milliseconds."""
    item = queued.item
    age_ms = math.ceil(1000 * max(0.0, now - queued.sent_at))
    return BundleItem(item.origin, item.incarnation, item.number, age_ms, item.is_urgent, item.data)
