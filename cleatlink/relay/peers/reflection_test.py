"""What a reflector holds, and for how long.

A heartbeat counts at the time at which it was told: one that lay unread in a process that was
paused must not look fresh to others, or two instances could lead at a time.
"""

import math

from cleatlink.relay.peers.messages import Bundle, BundleItem
from cleatlink.relay.peers.reflection import Reflection


def item(number: int, *, urgent: bool = False, age_ms: int = 0, size: int = 10) -> BundleItem:
    return BundleItem("n1", 1, number, age_ms, urgent, b"x" * size)


def numbers(bundles: list[Bundle]) -> list[int]:
    return [held.number for bundle in bundles for held in bundle.items]


def test_items_wait_for_a_bundle_and_carry_their_age() -> None:
    reflection = Reflection("r", 0.0)
    assert reflection.add(item(1), 0.0)
    assert not reflection.add(item(2, age_ms=40), 0.1)
    assert reflection.due_at == 0.2
    (bundle,) = reflection.take(0.2)
    assert (bundle.name, bundle.pass_on) == ("r", False)
    assert [held.age_ms for held in bundle.items] == [200, 140]
    assert reflection.due_at == math.inf


def test_urgent_one_takes_the_others_along_in_order() -> None:
    reflection = Reflection("r", 0.0)
    reflection.add(item(1), 0.0)
    assert reflection.add(item(2, urgent=True), 0.05)
    assert reflection.due_at < 0.07
    assert numbers(reflection.take(0.06)) == [1, 2]
    reflection.add(item(3, urgent=True), 0.061)
    assert reflection.due_at >= 0.16


def test_large_items_go_in_several_datagrams() -> None:
    reflection = Reflection("r", 0.0)
    for number in range(8):
        reflection.add(item(number, size=10_000), 0.0)
    bundles = reflection.take(0.2)
    assert numbers(bundles) == list(range(8))
    assert max(sum(len(held.data) for held in bundle.items) for bundle in bundles) <= 32_000


def test_what_lay_unread_in_a_pause_is_not_passed_on() -> None:
    reflection = Reflection("r", 0.0)
    # The process stood still from 0 to 3.0; its socket is read before the next tick, and after.
    assert not reflection.add(item(1), 3.0)
    reflection.tick(3.0)
    assert not reflection.add(item(2), 3.1)
    assert reflection.dropped == 2
    reflection.tick(3.5)
    assert reflection.add(item(3), 3.6)


def test_what_is_held_is_bounded() -> None:
    reflection = Reflection("r", 0.0)
    for number in range(3_000):
        reflection.add(item(number), 0.0)
    assert len(numbers(reflection.take(0.25))) == 2_000
    assert reflection.dropped == 1_000
