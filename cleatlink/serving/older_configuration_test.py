"""An entry that knows from heartbeats of a newer configuration than its own."""

import pytest
import trio

from standins.fakes import FakeLink
from standins.world import CONFIGURATION, World

_NEW = CONFIGURATION.replace("models: [m]", "models: [m, new]")


def test_newer_configuration_is_had_over_a_slow_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer's documents had two seconds in all, whatever their size, and began anew after that."""
    ask_at_once = FakeLink.ask

    async def ask_slowly(self: FakeLink, address: str, path: str, body: bytes) -> bytes:
        await trio.sleep(6.0)
        return await ask_at_once(self, address, path, body)

    async def story(world: World) -> None:
        monkeypatch.setattr(FakeLink, "ask", ask_slowly)
        world.entries["e2"].platform.cut = True
        world.platform.publish("config", _NEW)
        await trio.sleep(12.0)
        assert world.entries["e2"].entry.revision == 2

    World().run(story, "e1/a", "e2/a")


def test_entry_starts_over_a_slow_link_to_its_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    """An entry that had only peers to ask broke their answers off after two seconds, for ever."""
    ask_at_once = FakeLink.ask

    async def ask_slowly(self: FakeLink, address: str, path: str, body: bytes) -> bytes:
        await trio.sleep(6.0)
        return await ask_at_once(self, address, path, body)

    async def story(world: World) -> None:
        monkeypatch.setattr(FakeLink, "ask", ask_slowly)
        world.settings["peers"] = (world.entries["e1"].link.address,)
        await world.start_entry("e3", "a")
        world.entries["e3"].platform.cut = True
        await trio.sleep(12.0)
        assert world.entries["e3"].entry.ready

    World().run(story, "e1/a", "e2/a")
