"""Entries that know from heartbeats that a newer configuration than their own exists."""

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
_NEW_CONFIGURATION = (
    CONFIGURATION.replace("models: [m]", "models: [m, new]")
    .replace("\npools:", "\n  new-plain: { kind: plain }\npools:")
    .replace("\nlimits:", _NEW_CLASSES)
)
_LARGE_PROMPT = 600_000 * "x"
_MODEL_REQUEST = {"model": "m", "max_tokens": 2, "stream": True}


async def request_model(
    world: World, entry: str, model: str, request_class: str = "", prompt: str = "x"
) -> Caller:
    """Send a model request and return the caller with its answer."""
    headers = {"x-request-class": request_class} if request_class else {}
    body = msgspec.json.encode({**_MODEL_REQUEST, "model": model, "prompt": prompt})
    caller = Caller(world.entries[entry].app)
    return await caller.request("POST", "/v1/completions", body, headers)


async def call_service(world: World, entry: str, service: str, key: str = "") -> Caller:
    """Call a plain service and return the caller with its answer."""
    caller = Caller(world.entries[entry].app)
    headers = {"idempotency-key": key} if key else {}
    return await caller.request("POST", f"/services/{service}/x", b"", headers)


def block_new_configuration(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Publish a new configuration that entry e2 knows of from heartbeats but can't fetch."""

    async def send_request(self: FakeLink, address: str, path: str, body: bytes) -> bytes:
        raise PeerError("no answer")

    monkeypatch.setattr(FakeLink, "send_request", send_request)
    world.entries["e2"].platform.cut = True
    world.platform.publish("config", _NEW_CONFIGURATION)


def test_names_possibly_in_newer_configuration_are_not_rejected_permanently(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An entry with an outdated configuration must answer 503, so that callers retry.

    A 404 or 400 makes callers give up requests that are valid in the newer configuration.
    """

    async def scenario(world: World) -> None:
        assert (await request_model(world, "e2", "new")).status == 404
        assert (await request_model(world, "e2", "m", prompt=_LARGE_PROMPT)).status == 413
        block_new_configuration(world, monkeypatch)
        await trio.sleep(3.0)
        assert [world.entries[name].entry.revision for name in ("e1", "e2")] == [2, 1]
        for answer in (
            await request_model(world, "e2", "new"),
            await request_model(world, "e2", "m", "new-class"),
            await call_service(world, "e2", "new-plain"),
            await request_model(world, "e2", "m", prompt=_LARGE_PROMPT),
        ):
            assert (answer.status, answer.error["code"]) == (503, "not_ready")
            assert float(answer.headers["retry-after"]) > 0
        keyed = await call_service(world, "e2", "new-plain", world.make_idempotency_key())
        assert (keyed.status, keyed.error["code"]) == (503, "key_unavailable")
        assert (await request_model(world, "e1", "newest")).status == 404

    World().run(scenario, "e1/a", "e2/a")


def test_newer_configuration_is_fetched_over_a_slow_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a timeout of two seconds in total, large documents never arrive on a slow link."""
    send_without_delay = FakeLink.send_request

    async def send_slowly(self: FakeLink, address: str, path: str, body: bytes) -> bytes:
        await trio.sleep(6.0)
        return await send_without_delay(self, address, path, body)

    async def scenario(world: World) -> None:
        monkeypatch.setattr(FakeLink, "send_request", send_slowly)
        world.entries["e2"].platform.cut = True
        world.platform.publish("config", _NEW_CONFIGURATION)
        await trio.sleep(12.0)
        assert world.entries["e2"].entry.revision == 2

    World().run(scenario, "e1/a", "e2/a")


def test_entry_starts_over_a_slow_link_to_its_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    """An entry without a platform must not cancel its requests for documents after two seconds.

    It would request them again and again, and never become ready.
    """
    send_without_delay = FakeLink.send_request

    async def send_slowly(self: FakeLink, address: str, path: str, body: bytes) -> bytes:
        await trio.sleep(6.0)
        return await send_without_delay(self, address, path, body)

    async def scenario(world: World) -> None:
        monkeypatch.setattr(FakeLink, "send_request", send_slowly)
        world.settings["peers"] = (world.entries["e1"].link.address,)
        await world.start_entry("e3", "a")
        world.entries["e3"].platform.cut = True
        await trio.sleep(12.0)
        assert world.entries["e3"].entry.ready

    World().run(scenario, "e1/a", "e2/a")
