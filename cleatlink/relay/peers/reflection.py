"""What a reflector holds until its next bundle; decides alone, without I/O."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.relay.peers.messages import Bundle, BundleItem

__all__ = ["Reflection", "split_items"]

# Items without haste go with the next bundle, at the latest after so long: a heartbeat each second
# comes within the time for which a peer counts as heard for limits.
_SLOW_S = 0.2
# Urgent ones wait for others for a moment, and for a pause after the bundle before: each
# bundle is a datagram to every instance of the data centre.
_GATHER_S = 0.01
_PAUSE_S = 0.1
# A tick comes each half second, in a small fleet each second. One that came later tells of a
# pause of this process, in which messages lay unread: their age is not known, and they are not
# passed on.
_STALL_S = 1.2
_AFTER_STALL_S = 0.5
# Bytes of items in a bundle, below what a datagram holds.
_BUNDLE_BYTES = 32_000
# About two seconds of what 400 instances tell.
_MOST_ITEMS = 2_000
# Names, numbers and frames beside an item's data.
_ITEM_BYTES = 64


class _Held(NamedTuple):
    """An item with the time at which it came, less its age."""

    item: BundleItem
    told_at: float


class Reflection:
    """Items of one data centre that wait; every method takes the time as an argument."""

    def __init__(self, name: str, now: float) -> None:
        """Start with nothing to pass on.

        Args:
            name: This instance's name.
            now: The time.
        """
        self._name = name
        self._held: list[_Held] = []
        self._due_at = math.inf
        self._last_at = -math.inf
        self._ticked_at = now
        self._mute_until = -math.inf
        self.dropped = 0

    @property
    def due_at(self) -> float:
        """When the next bundle is due; infinite while nothing waits."""
        return self._due_at

    def tick(self, now: float) -> None:
        """Note that this process runs; to be called each half second."""
        if now - self._ticked_at > _STALL_S:
            self._mute_until = now + _AFTER_STALL_S
        self._ticked_at = now

    def add(self, item: BundleItem, now: float) -> bool:
        """Hold an item for the next bundle; tells whether one is due earlier by it."""
        is_stalled = now < self._mute_until or now - self._ticked_at > _STALL_S
        if is_stalled or len(self._held) >= _MOST_ITEMS:
            self.dropped += 1
            return False
        self._held.append(_Held(item, now - item.age_ms / 1000))
        wait_s = _GATHER_S if item.urgent else _SLOW_S
        due_at = max(now + wait_s, self._last_at + _PAUSE_S)
        is_earlier = due_at < self._due_at
        self._due_at = min(due_at, self._due_at)
        return is_earlier

    def take(self, now: float) -> list[Bundle]:
        """Give what waits as bundles, oldest first."""
        parts = split_items(_aged(held, now) for held in self._held)
        self._held = []
        self._due_at = math.inf
        self._last_at = now
        return [Bundle(self._name, False, part) for part in parts]


def split_items(items: Iterable[BundleItem]) -> list[list[BundleItem]]:
    """Split items, in their order, into parts that fit a bundle each."""
    parts: list[list[BundleItem]] = []
    size = 0
    for item in items:
        length = len(item.data) + _ITEM_BYTES
        if not parts or size + length > _BUNDLE_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += length
    return parts


def _aged(held: _Held, now: float) -> BundleItem:
    """Give an item with its age; parts of a millisecond count as a whole one."""
    item = held.item
    age_ms = math.ceil(1000 * max(0.0, now - held.told_at))
    return BundleItem(item.sender, item.incarnation, item.number, age_ms, item.urgent, item.data)
