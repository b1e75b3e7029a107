"""Serves an app with hypercorn on trio, and gives its listening address back."""

import socket
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from cleatlink.serving.settings import Address

__all__ = ["serve_app"]

_MAX_HEADER_BYTES = 32_768
_KEEP_ALIVE_S = 30.0
_BACKLOG = 1_024
# Bounds what is written ahead of a slow caller.
_SEND_BUFFER_BYTES = 65_536


async def serve_app(
    nursery: trio.Nursery,
    app: QuartTrio,
    listen: Address,
    stop: Callable[..., Awaitable[None]],
    stalled_reader_s: float = 10.0,
) -> Address:
    """Start to serve an app in a nursery.

    Args:
        nursery: Where the server runs.
        app: The app.
        listen: Where to listen; port 0 lets the system pick one.
        stop: Returns when the server is to stop listening.
        stalled_reader_s: Seconds after which a caller that takes no byte is
            taken to be gone.

    Returns:
        Where it listens.
    """
    listener = _make_listener(listen, stalled_reader_s)
    config = Config()
    config.loglevel = "ERROR"
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    config.include_server_header = False
    address = _address_of(listener)
    config.bind = [f"fd://{listener.detach()}"]
    await nursery.start(partial(serve, app, config, shutdown_trigger=stop))
    return address


def _make_listener(listen: Address, stalled_reader_s: float) -> socket.socket:
    """Make a listening socket whose connections end when the peer stops reading.

    hypercorn shields its writes, so a caller that keeps its connection but
    reads no more would hold its request for ever. Connections inherit the
    option from the listener; the kernel then aborts such a connection.
    """
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    timeout_ms = int(1000 * stalled_reader_s)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((listen.host.strip("[]"), listen.port))
    return listener


def _address_of(listener: socket.socket) -> Address:
    host, port = listener.getsockname()[:2]
    return Address(f"[{host}]" if ":" in host else host, port)
