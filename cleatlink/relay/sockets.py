"""TCP sockets with options that detect unresponsive peers."""

import os
import socket
from collections.abc import Awaitable, Callable, Iterator

import trio

from cleatlink.core.errors import ListenError
from cleatlink.relay.tasks import run_and_log_errors

__all__ = ["accept_connections", "bind", "connect", "listen", "set_connection_options"]

# Detect an unresponsive peer within three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_PROBES = 2
# Pause after a failed accept, for example when file descriptors are exhausted.
_ACCEPT_PAUSE_S = 0.05
# Room for all clients that reconnect at once after a restart.
_BACKLOG = 512
# Most connections that are accepted between two runs of other tasks.
_MAX_ACCEPTS = 64


def set_connection_options(
    sock: socket.socket | trio.socket.SocketType, ack_timeout_s: float
) -> None:
    """Disable Nagle's algorithm, and detect unresponsive peers.

    Args:
        sock: The socket of a connection.
        ack_timeout_s: Seconds that sent data may stay unacknowledged before the kernel closes the
            connection.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * ack_timeout_s))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


async def connect(
    host: str, port: int, ack_timeout_s: float, *, local_host: str | None = None
) -> trio.SocketStream:
    """Connect to an IP address.

    Args:
        host: IP address to connect to.
        port: Port to connect to.
        ack_timeout_s: Seconds that sent data may stay unacknowledged before the connection fails.
        local_host: IP address of this machine to connect from; None for any.

    Raises:
        OSError: The connection could not be opened.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_connection_options(sock, ack_timeout_s)
        if local_host is not None:
            await sock.bind((local_host, 0))
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def listen(host: str, port: int) -> trio.SocketListener:
    """Listen on an IP address; with port 0 the system chooses the port.

    Raises:
        ListenError: The address is in use or doesn't belong to this machine.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind(sock, host, port)
    sock.listen(_BACKLOG)
    sock.setblocking(False)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


def bind(sock: socket.socket, host: str, port: int) -> None:
    """Bind a socket; close it if that fails.

    Raises:
        ListenError: The address is in use or doesn't belong to this machine.
    """
    try:
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise ListenError(f"can't listen on {host}:{port}: {error.strerror}") from error


async def accept_connections(
    listener: trio.SocketListener,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    admits: Callable[[], bool] = lambda: True,
) -> None:
    """Accept connections until cancelled, and close the listener then.

    Args:
        listener: Accepts the connections.
        serve: Serves one connection, and closes it; an unexpected exception ends it alone.
        admits: Decides whether a new connection is served; if not, it is closed unread.
    """
    # A listener accepts one connection each time that the event loop runs its tasks. While the loop
    # is late, the others would wait in the kernel, where nobody sees them.
    waiting = socket.socket(fileno=os.dup(listener.socket.fileno()))
    waiting.setblocking(False)
    try:
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    first = await listener.accept()
                except OSError:
                    # No file descriptors are left, or the other side has already disconnected.
                    await trio.sleep(_ACCEPT_PAUSE_S)
                    continue
                for stream in (first, *_accept_waiting(waiting)):
                    if admits():
                        nursery.start_soon(run_and_log_errors, serve, stream)
                    else:
                        stream.socket.close()
    finally:
        waiting.close()
        listener.socket.close()


def _accept_waiting(sock: socket.socket) -> Iterator[trio.SocketStream]:
    """Accept connections that wait already; an error is left to the next regular attempt."""
    for _ in range(_MAX_ACCEPTS):
        try:
            accepted, _ = sock.accept()
        except OSError:
            return
        accepted.setblocking(False)
        yield trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
