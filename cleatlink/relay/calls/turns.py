"""Lets calls of this instance's own, such as those that free memory, wait for their turn."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity

__all__ = ["own_turn"]


@asynccontextmanager
async def own_turn(capacity: Capacity, endpoint: RoutedEndpoint, key: str) -> AsyncIterator[None]:
    """Wait until an endpoint's rest is over and its limit allows a call.

    Args:
        capacity: What is believed of endpoints.
        endpoint: The endpoint.
        key: The call's key; no other call has it.
    """
    limits, now = capacity.limits, trio.current_time()
    due_at = limits.book(key, endpoint.name, now)
    due_at = max(due_at, now + capacity.rest_left_s(endpoint.name, now))
    try:
        if due_at > now:
            await trio.sleep_until(due_at)
        yield
    finally:
        limits.give_up(key, trio.current_time())
