"""Socket options that make silent peers show themselves."""

import socket

import trio

from cleatlink.core.errors import ListenError

__all__ = ["bind", "connect", "listen", "quicken"]

# Silent peers are found after three seconds at the most.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_PROBES = 2
# New connections that wait to be accepted; a herd after a restart fits.
_BACKLOG = 512


def quicken(sock: socket.socket | trio.socket.SocketType, silence_s: float) -> None:
    """Have the kernel end a connection whose peer acknowledges nothing for so long."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * silence_s))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


async def connect(host: str, port: int, silence_s: float) -> trio.SocketStream:
    """Connect to an IP number.

    Raises:
        OSError: The connection did not come up.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        quicken(sock, silence_s)
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def listen(host: str, port: int) -> trio.SocketListener:
    """Listen on an IP number; port 0 lets the system pick one.

    Raises:
        ListenError: The address is taken, or not this machine's.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind(sock, host, port)
    sock.listen(_BACKLOG)
    sock.setblocking(False)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


def bind(sock: socket.socket, host: str, port: int) -> None:
    """Bind a socket, or close it.

    Raises:
        ListenError: The address is taken, or not this machine's.
    """
    try:
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise ListenError(f"can't listen on {host}:{port}: {error.strerror}") from error
