"""Applies the endpoints' rate limits to requests of the relay itself, such as cancellations."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity

__all__ = ["own_turn"]


@asynccontextmanager
async def own_turn(capacity: Capacity, endpoint: RoutedEndpoint, key: str) -> AsyncIterator[None]:
    """Wait until an endpoint's back-off is over and its rate limit allows a request.

    Args:
        capacity: Known state of the endpoints.
        endpoint: The endpoint.
        key: Unique key of the request.
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
