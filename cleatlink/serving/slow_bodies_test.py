"""Request bodies that arrive slowly are read if they arrive at the minimum rate."""

from typing import Any

import trio

from standins.fakes import Caller
from standins.world import CONFIGURATION, World

_CHUNK_COUNT = 20


class SlowCaller(Caller):
    """Sends its body in chunks, one per second."""

    def __init__(self, app: Any, chunk: bytes) -> None:
        super().__init__(app)
        self._wrapped_app = app
        self._chunk = chunk
        self._remaining_chunks = _CHUNK_COUNT
        self._app = self._serve

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        async def receive_chunk() -> dict[str, Any]:
            if not self._remaining_chunks:
                await trio.sleep_forever()
            await trio.sleep(1.0)
            self._remaining_chunks -= 1
            return {
                "type": "http.request",
                "body": self._chunk,
                "more_body": self._remaining_chunks > 0,
            }

        length = b"%d" % (_CHUNK_COUNT * len(self._chunk))
        headers = [header for header in scope["headers"] if header[0] != b"content-length"]
        scope["headers"] = [(b"content-length", length), *headers]
        await self._wrapped_app(scope, receive_chunk, send)


async def call_slowly(world: World, chunk: bytes, key: str = "") -> Caller:
    """Call a plain service with a body that consists of repeated chunks, sent slowly."""
    caller = SlowCaller(world.entries["e1"].app, chunk)
    headers = {"idempotency-key": key} if key else {}
    return await caller.request("POST", "/services/orders/orders", b"", headers)


def test_large_body_over_a_slow_connection_is_read() -> None:
    """A fixed timeout of 10 seconds for a body of any size would refuse this one with 408."""

    async def scenario(world: World) -> None:
        answer = await call_slowly(world, 40_000 * b"b")
        assert answer.status == 200

    world = World()
    world.configuration = CONFIGURATION.replace("deadline_s: 10", "deadline_s: 60")
    world.run(scenario)


def test_body_below_the_minimum_rate_is_refused() -> None:
    async def scenario(world: World) -> None:
        answer = await call_slowly(world, b"b")
        assert (answer.status, answer.error["code"]) == (408, "slow_sender")

    World().run(scenario)


def test_slow_copy_of_a_call_says_that_its_key_did_not_run() -> None:
    """The same call with the same key may have run through another instance."""

    async def scenario(world: World) -> None:
        key = world.make_idempotency_key()
        assert (await world.call("e2", key, _CHUNK_COUNT * b"b")).status == 200
        copy = await call_slowly(world, b"b", key)
        assert (copy.error["code"], copy.error["ran"]) == ("key_unavailable", "unknown")
        assert copy.headers["x-ran"] == "unknown"
        assert world.executions() == {key: 1}

    World().run(scenario, "e1/a", "e2/a")
