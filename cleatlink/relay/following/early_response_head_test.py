"""Tests of a watch whose answer sends its head long before the change."""

import pytest

from cleatlink.relay.following.store_client_test import BODY, SlowStore, open_client

pytestmark = pytest.mark.virtual_time


async def test_watch_with_early_head_lasts_until_change() -> None:
    """Guards against a watch that fails after a second.

    A service that sends the head of the answer at once and the body only with the change was taken
    for unresponsive.
    """
    async with open_client(SlowStore(0.0, parts=1, pause_s=1.5)) as client:
        store_answer = await client.get("/kv-watch", 3.0)
        assert store_answer.body == BODY
