"""Bodies that come slowly: those that go on coming are read, whatever their size."""

from typing import Any

import trio

from standins.fakes import Caller
from standins.world import CONFIGURATION, World

_PARTS = 20


class SlowCaller(Caller):
    """Sends its body in parts, a second apart."""

    def __init__(self, app: Any, part: bytes) -> None:
        super().__init__(app)
        self._slow_app = app
        self._part = part
        self._left = _PARTS
        self._app = self._serve

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        async def receive_part() -> dict[str, Any]:
            if not self._left:
                await trio.sleep_forever()
            await trio.sleep(1.0)
            self._left -= 1
            return {"type": "http.request", "body": self._part, "more_body": self._left > 0}

        scope["headers"] = [(b"content-length", b"%d" % (_PARTS * len(self._part)))]
        await self._slow_app(scope, receive_part, send)


async def call(world: World, part: bytes) -> Caller:
    """Call a plain service with a body that comes in such parts."""
    caller = SlowCaller(world.entries["e1"].app, part)
    return await caller.request("POST", "/services/orders/orders", b"", {})


def test_large_body_over_a_slow_link_is_read() -> None:
    """A body had ten seconds in all, whatever its size, and got 408 after that."""

    async def story(world: World) -> None:
        answer = await call(world, 40_000 * b"b")
        assert answer.status == 200

    world = World()
    world.configuration = CONFIGURATION.replace("deadline_s: 10", "deadline_s: 60")
    world.run(story)


def test_body_that_hardly_comes_is_refused() -> None:
    async def story(world: World) -> None:
        answer = await call(world, b"b")
        assert (answer.status, answer.error["code"]) == (408, "slow_sender")

    World().run(story)
