"""Answers that are final, of an instance that knows of a newer route table than its own."""

import pytest

from cleatlink.relay.instance import RelayInstance
from standins.relay import Worker
from standins.relay.client import Reply
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

_LIMITS = {"max_header_bytes": 4_000, "max_body_bytes": 4_000}


async def start_behind(fleet: Fleet) -> RelayInstance:
    """Start an instance that heard of a table that is not there."""
    fleet.limits.update(_LIMITS)
    fleet.organisations = [{"name": "first", "api_keys": ["k-first"]}]
    fleet.add_route("/open/", "safe", "plain", public=True)
    await start(fleet, Worker("plain"))
    fleet.instances[0]._follower.note_table(99, "n2")
    return fleet.instances[0]


def check(reply: Reply) -> None:
    """See that a caller was told to come back."""
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0.0


async def test_key_of_a_table_that_is_still_to_come_is_not_denied() -> None:
    """An instance that knew of a newer table answered 401 out of its own."""
    async with open_fleet() as fleet:
        await start_behind(fleet)
        check(await fleet.caller().ask("/safe/x", headers={"Authorization": "Bearer k-new"}))


async def test_body_within_limits_that_are_still_to_come_is_not_denied() -> None:
    """An instance that knew of a newer table answered 413 out of its own."""
    async with open_fleet() as fleet:
        await start_behind(fleet)
        check(await fleet.caller().ask("/open/x", "POST", body=5_000 * b"b"))


async def test_head_within_limits_that_are_still_to_come_is_not_denied() -> None:
    """An instance that knew of a newer table answered 431 out of its own."""
    async with open_fleet() as fleet:
        await start_behind(fleet)
        check(await fleet.caller().ask("/open/x", headers={"X-Pad": 5_000 * "p"}))
