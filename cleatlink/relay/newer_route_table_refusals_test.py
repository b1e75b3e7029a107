"""Test that an instance that knows of a newer route table sends no final refusals."""

import pytest

from cleatlink.relay.instance import RelayInstance
from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply

pytestmark = pytest.mark.virtual_time

_LIMITS = {"max_header_bytes": 4_000, "max_body_bytes": 4_000}


async def start_with_outdated_table(fleet: Fleet) -> RelayInstance:
    """Start an instance, and report to it a newer table that does not exist."""
    fleet.limits.update(_LIMITS)
    fleet.organisations = [{"name": "first", "api_keys": ["k-first"]}]
    fleet.add_route("/open/", "safe", "plain", public=True)
    await start(fleet, Worker("plain"))
    fleet.instances[0]._follower.note_peer_table(99, "n2")
    return fleet.instances[0]


def check_asks_for_retry(reply: Reply) -> None:
    """Check that the reply asks the caller to retry later."""
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0.0


async def test_unknown_key_gets_no_final_refusal_while_newer_table_is_missing() -> None:
    """Guards against a 401 from a table that is known to be outdated."""
    async with open_fleet() as fleet:
        await start_with_outdated_table(fleet)
        check_asks_for_retry(
            await fleet.caller().ask("/safe/x", headers={"Authorization": "Bearer k-new"})
        )


async def test_large_body_gets_no_final_refusal_while_newer_table_is_missing() -> None:
    """Guards against a 413 from a table that is known to be outdated."""
    async with open_fleet() as fleet:
        await start_with_outdated_table(fleet)
        check_asks_for_retry(await fleet.caller().ask("/open/x", "POST", body=5_000 * b"b"))


async def test_large_head_gets_no_final_refusal_while_newer_table_is_missing() -> None:
    """Guards against a 431 from a table that is known to be outdated."""
    async with open_fleet() as fleet:
        await start_with_outdated_table(fleet)
        check_asks_for_retry(await fleet.caller().ask("/open/x", headers={"X-Pad": 5_000 * "p"}))
