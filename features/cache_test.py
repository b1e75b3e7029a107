"""What cache events are worth: a prefix is found again where hashing alone loses it."""

import pytest
import trio

from cleatlink.routing import FleetView
from standins.world import World, wait_tokens

PREFIXES = 24


def computed_tokens(seed_prefixes: int = PREFIXES) -> int:
    """Ask each prefix while p1 is away, then again when it is back; count the second half."""
    world = World()
    counts = []

    async def ask_all() -> None:
        for number in range(seed_prefixes):
            caller = world.start_ask("e1", 2, prompt=f"prefix {number} " * 200)
            await wait_tokens(caller, 3)
            await trio.sleep(0.1)

    def computed() -> int:
        return sum(engine.counts["computed_tokens"] for engine in world.fleet.engines.values())

    async def story(world: World) -> None:
        world.publish_fleet("p1")
        await trio.sleep(2)
        await ask_all()
        world.publish_fleet()
        await trio.sleep(3)
        counts.append(computed())
        await ask_all()
        counts.append(computed())

    world.run(story)
    return counts[1] - counts[0]


def test_events_save_prefill(monkeypatch: pytest.MonkeyPatch) -> None:
    with_events = computed_tokens()
    monkeypatch.setattr(FleetView, "apply_cache_events", lambda *arguments: None)
    without = computed_tokens()
    print(f"computed again: {with_events} with events, {without} without")
    assert with_events < 0.75 * without
