"""Applies the endpoints' rate limits to requests of the relay itself, such as cancellations."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity

__all__ = ["rate_limit_permit"]


@asynccontextmanager
async def rate_limit_permit(
    capacity: Capacity, endpoint: RoutedEndpoint, key: str
) -> AsyncIterator[None]:
    """Wait until an endpoint's back-off is over and its rate limit allows a request.

    Args:
        capacity: Known state of the endpoints.
        endpoint: The endpoint.
        key: Unique key of the request.
    """
    limits, now = capacity.endpoint_limits, trio.current_time()
    due_at = limits.reserve(key, endpoint.name, now)
    due_at = max(due_at, now + capacity.backoff_left_s(endpoint.name, now))
    try:
        if due_at > now:
            await trio.sleep_until(due_at)
        yield
    finally:
        limits.cancel_reservation(key, trio.current_time())
