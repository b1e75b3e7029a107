"""Endpoints on real sockets that send prepared bytes."""

from collections.abc import Awaitable, Callable

import trio

from cleatlink.core.data import Endpoint
from cleatlink.serving.endpoints import Order

__all__ = ["build_order", "serve_on_socket"]


async def serve_on_socket(
    nursery: trio.Nursery, handler: Callable[[trio.SocketStream], Awaitable[None]]
) -> Endpoint:
    """Serve connections on a port that the system chooses, and return the endpoint."""
    listeners = await nursery.start(trio.serve_tcp, handler, 0)
    port = listeners[0].socket.getsockname()[1]
    return Endpoint("x1", f"127.0.0.1:{port}", "a", "pool")


def build_order(endpoint: Endpoint, request: str) -> Order:
    """Build an order to an endpoint."""
    return Order(endpoint, request, 0, {"model": "m", "prompt": "x"}, False, 0, "")
