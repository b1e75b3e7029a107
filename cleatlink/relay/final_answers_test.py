"""Answers that callers take as final, while route tables change."""

import pytest
import trio

from standins.relay import Worker
from standins.relay.client import Caller
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

BODY = b"body"


async def send_head(caller: Caller, path: str) -> None:
    """Send the head of a request whose body is still to come."""
    await caller.send(path, "PUT", more=(f"Content-Length: {len(BODY)}",))


async def send_body(caller: Caller) -> None:
    """Send the body that was announced."""
    assert caller._stream is not None
    await caller._stream.send_all(BODY)


async def add_new_route(fleet: Fleet) -> None:
    """Publish a table with a new route, and wait until it is in force."""
    fleet.add_route("/new/", "unsafe", "plain")
    revision = fleet.configure()
    await fleet.until(lambda: fleet.instances[0].records.table_revision == revision)


async def test_request_whose_body_was_dropped_is_never_sent_on() -> None:
    """A route that came between head and body had the request sent with an empty body."""
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        await send_head(caller, "/new/x")
        await trio.sleep(0.1)
        await add_new_route(fleet)
        await send_body(caller)
        reply = await caller.receive()
        assert not worker.arrivals
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0.0
        again = await caller.ask("/new/x", "PUT", body=BODY)
        assert again.status == 200
        assert [call.body for call in worker.arrivals] == [BODY]
