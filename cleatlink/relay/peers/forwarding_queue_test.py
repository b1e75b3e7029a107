"""Tests of the items that a reflector queues, and of their age.

A heartbeat counts from the time at which it was sent. If one that stayed unread in a paused process
looked fresh to others, two instances could be leader at the same time.
"""

import math

from cleatlink.relay.peers.forwarding_queue import ForwardingQueue
from cleatlink.relay.peers.messages import Bundle, BundleItem


def bundle_item(
    number: int, *, urgent: bool = False, age_ms: int = 0, size: int = 10
) -> BundleItem:
    return BundleItem("n1", 1, number, age_ms, urgent, b"x" * size)


def numbers(bundles: list[Bundle]) -> list[int]:
    return [queued.number for bundle in bundles for queued in bundle.items]


def test_queued_items_are_bundled_with_their_age() -> None:
    queue = ForwardingQueue("r", 0.0)
    assert queue.add(bundle_item(1), 0.0)
    assert not queue.add(bundle_item(2, age_ms=40), 0.1)
    assert queue.due_at == 0.2
    (bundle,) = queue.take_bundles(0.2)
    assert (bundle.name, bundle.forward) == ("r", False)
    assert [queued.age_ms for queued in bundle.items] == [200, 140]
    assert queue.due_at == math.inf


def test_urgent_item_is_bundled_with_earlier_items_in_order() -> None:
    queue = ForwardingQueue("r", 0.0)
    queue.add(bundle_item(1), 0.0)
    assert queue.add(bundle_item(2, urgent=True), 0.05)
    assert queue.due_at < 0.07
    assert numbers(queue.take_bundles(0.06)) == [1, 2]
    queue.add(bundle_item(3, urgent=True), 0.061)
    assert queue.due_at >= 0.16


def test_large_items_are_split_into_several_bundles() -> None:
    queue = ForwardingQueue("r", 0.0)
    for number in range(8):
        queue.add(bundle_item(number, size=10_000), 0.0)
    bundles = queue.take_bundles(0.2)
    assert numbers(bundles) == list(range(8))
    assert max(sum(len(queued.data) for queued in bundle.items) for bundle in bundles) <= 32_000


def test_messages_left_unread_while_paused_are_not_forwarded() -> None:
    queue = ForwardingQueue("r", 0.0)
    # The process was paused from 0 to 3.0; its socket is read before and after the next tick.
    assert not queue.add(bundle_item(1), 3.0)
    queue.tick(3.0)
    assert not queue.add(bundle_item(2), 3.1)
    assert queue.dropped_count == 2
    queue.tick(3.5)
    assert queue.add(bundle_item(3), 3.6)


def test_queue_length_is_bounded() -> None:
    queue = ForwardingQueue("r", 0.0)
    for number in range(3_000):
        queue.add(bundle_item(number), 0.0)
    assert len(numbers(queue.take_bundles(0.25))) == 2_000
    assert queue.dropped_count == 1_000
