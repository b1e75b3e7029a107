"""Serves an app with hypercorn on trio."""

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
# Limits the data that the kernel buffers for a slow peer.
_SEND_BUFFER_BYTES = 65_536


async def serve_app(
    nursery: trio.Nursery,
    app: QuartTrio,
    listen: Address,
    stop: Callable[..., Awaitable[None]],
    send_timeout_s: float = 10.0,
) -> Address:
    """Start to serve an app in a nursery, and return the address that it listens on.

    Args:
        nursery: Nursery in which the server runs.
        app: App to serve.
        listen: Address to listen on; the system chooses the port if it is 0.
        stop: Async function that returns when the server must stop.
        send_timeout_s: Seconds after which a connection is closed if the peer acknowledges
            none of the data sent to it.

    Returns:
        The address that the server listens on.
    """
    listener = _make_listener(listen, send_timeout_s)
    config = Config()
    config.loglevel = "ERROR"
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    config.include_server_header = False
    address = _get_address(listener)
    config.bind = [f"fd://{listener.detach()}"]
    await nursery.start(partial(serve, app, config, shutdown_trigger=stop))
    return address


def _make_listener(listen: Address, send_timeout_s: float) -> socket.socket:
    """Create a listening socket whose connections are closed if the peer stops reading.

    hypercorn shields its writes from cancellation, so a peer that keeps its connection
    open but stops reading would keep its request in progress forever. TCP_USER_TIMEOUT
    makes the kernel abort such a connection; connections inherit it from the listener.
    """
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    timeout_ms = int(1000 * send_timeout_s)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((listen.host.strip("[]"), listen.port))
    return listener


def _get_address(listener: socket.socket) -> Address:
    host, port = listener.getsockname()[:2]
    return Address(f"[{host}]" if ":" in host else host, port)
