"""Tests that cache events reduce the tokens that prefills compute.

When an engine returns, hashing alone assigns its prefixes to it again, although the other
engine has cached them meanwhile. With cache events, the router sends their prefills to that
other engine.
"""

import pytest
import trio

from cleatlink.routing import FleetView
from standins.world import World, wait_for_tokens

PREFIXES = 24


def count_recomputed_tokens(prefixes: int = PREFIXES) -> int:
    """Count the tokens computed for prefixes that were requested before p1 returned.

    Each prefix is requested once while p1 is leaving and once after p1 has returned; only
    tokens computed for the second requests count.
    """
    world = World()
    counts = []

    async def request_all_prefixes() -> None:
        for number in range(prefixes):
            caller = world.start_model_request("e1", 2, prompt=f"prefix {number} " * 200)
            await wait_for_tokens(caller, 3)
            await trio.sleep(0.1)

    def count_computed_tokens() -> int:
        return sum(engine.counts["computed_tokens"] for engine in world.fleet.engines.values())

    async def action(world: World) -> None:
        world.publish_fleet("p1")
        await trio.sleep(2)
        await request_all_prefixes()
        world.publish_fleet()
        await trio.sleep(3)
        counts.append(count_computed_tokens())
        await request_all_prefixes()
        counts.append(count_computed_tokens())

    world.run(action)
    return counts[1] - counts[0]


def test_cache_events_reduce_computed_tokens(monkeypatch: pytest.MonkeyPatch) -> None:
    with_events = count_recomputed_tokens()
    monkeypatch.setattr(FleetView, "apply_cache_events", lambda *arguments: None)
    without_events = count_recomputed_tokens()
    print(f"recomputed tokens: {with_events} with events, {without_events} without")
    assert with_events < 0.75 * without_events
