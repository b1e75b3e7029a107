"""Found in review: a wait for changes whose head comes before the change."""

import pytest

from cleatlink.relay.following.store_client_test import BODY, SlowStore, client_of

pytestmark = pytest.mark.virtual_time


async def test_wait_whose_head_comes_at_once_lasts_until_its_change_comes() -> None:
    """A service that sends the head of a wait at once was taken for silent after a second."""
    async with client_of(SlowStore(0.0, parts=1, pause_s=1.5)) as client:
        found = await client.get("/kv-watch", 3.0)
        assert found.body == BODY
