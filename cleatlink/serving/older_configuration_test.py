"""An entry that knows from heartbeats of a newer configuration than its own."""

import msgspec
import pytest
import trio

from cleatlink.core.errors import PeerError
from standins.fakes import Caller, FakeLink
from standins.world import CONFIGURATION, World

_NEW_CLASSES = """
  new-class: { service: lm, deadline_s: 60, max_wait_s: 1 }
  new-call: { service: new-plain, deadline_s: 60, max_wait_s: 1 }
limits:"""
_NEW = (
    CONFIGURATION.replace("models: [m]", "models: [m, new]")
    .replace("\npools:", "\n  new-plain: { kind: plain }\npools:")
    .replace("\nlimits:", _NEW_CLASSES)
)
_LARGE = 600_000 * "x"
_MODEL = {"model": "m", "max_tokens": 2, "stream": True}


async def ask_model(
    world: World, entry: str, model: str, request_class: str = "", prompt: str = "x"
) -> Caller:
    """Ask for a model; gives the answer."""
    headers = {"x-request-class": request_class} if request_class else {}
    body = msgspec.json.encode({**_MODEL, "model": model, "prompt": prompt})
    caller = Caller(world.entries[entry].app)
    return await caller.request("POST", "/v1/completions", body, headers)


async def call(world: World, entry: str, service: str, key: str = "") -> Caller:
    """Call a plain service; gives the answer."""
    caller = Caller(world.entries[entry].app)
    headers = {"idempotency-key": key} if key else {}
    return await caller.request("POST", f"/services/{service}/x", b"", headers)


def keep_behind(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have one entry hear of a new configuration that it can't get."""

    async def ask(self: FakeLink, address: str, path: str, body: bytes) -> bytes:
        raise PeerError("no answer")

    monkeypatch.setattr(FakeLink, "ask", ask)
    world.entries["e2"].platform.cut = True
    world.platform.publish("config", _NEW)


def test_what_a_newer_configuration_may_name_is_not_denied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An entry answered 404 or 400 for good out of a configuration that it knew to be old."""

    async def story(world: World) -> None:
        assert (await ask_model(world, "e2", "new")).status == 404
        assert (await ask_model(world, "e2", "m", prompt=_LARGE)).status == 413
        keep_behind(world, monkeypatch)
        await trio.sleep(3.0)
        assert [world.entries[name].entry.revision for name in ("e1", "e2")] == [2, 1]
        for answer in (
            await ask_model(world, "e2", "new"),
            await ask_model(world, "e2", "m", "new-class"),
            await call(world, "e2", "new-plain"),
            await ask_model(world, "e2", "m", prompt=_LARGE),
        ):
            assert (answer.status, answer.error["code"]) == (503, "not_ready")
            assert float(answer.headers["retry-after"]) > 0
        keyed = await call(world, "e2", "new-plain", world.make_key())
        assert (keyed.status, keyed.error["code"]) == (503, "key_unavailable")
        assert (await ask_model(world, "e1", "newest")).status == 404

    World().run(story, "e1/a", "e2/a")


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
