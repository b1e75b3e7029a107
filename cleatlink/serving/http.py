"""Serves an app with hypercorn on trio, and gives its listening address back."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from cleatlink.serving.settings import Address, parse_address

__all__ = ["serve_app"]

_MAX_HEADER_BYTES = 32_768
_KEEP_ALIVE_S = 30.0
_BACKLOG = 1_024


async def serve_app(
    nursery: trio.Nursery,
    app: QuartTrio,
    listen: Address,
    stop: Callable[..., Awaitable[None]],
) -> Address:
    """Start to serve an app in a nursery.

    Args:
        nursery: Where the server runs.
        app: The app.
        listen: Where to listen; port 0 lets the system pick one.
        stop: Returns when the server is to stop listening.

    Returns:
        Where it listens.
    """
    config = Config()
    config.bind = [str(listen)]
    config.loglevel = "ERROR"
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    config.include_server_header = False
    binds = await nursery.start(partial(serve, app, config, shutdown_trigger=stop))
    return parse_address(binds[0].removeprefix("http://"))
