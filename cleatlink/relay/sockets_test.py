"""Tests how connections are accepted."""

import socket

import trio

from cleatlink.relay.sockets import accept_connections, listen

_CONNECTIONS = 20


def connect_clients(listener: trio.SocketListener) -> list[socket.socket]:
    """Open connections without letting other tasks run."""
    return [socket.create_connection(listener.socket.getsockname()) for _ in range(_CONNECTIONS)]


async def test_all_waiting_connections_are_accepted_at_once() -> None:
    """A late event loop accepted one connection each time that it ran its tasks."""
    listener = listen("127.0.0.1", 0)
    accepted: list[trio.SocketStream] = []

    async def serve(stream: trio.SocketStream) -> None:
        accepted.append(stream)

    clients = connect_clients(listener)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept_connections, listener, serve)
        for _ in range(5):
            await trio.lowlevel.checkpoint()
        assert len(accepted) == _CONNECTIONS
        nursery.cancel_scope.cancel()
    for stream in accepted:
        stream.socket.close()
    for client in clients:
        client.close()


async def test_connection_that_is_not_admitted_is_closed_unread() -> None:
    listener = listen("127.0.0.1", 0)

    async def serve(stream: trio.SocketStream) -> None:
        raise AssertionError("served")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept_connections, listener, serve, lambda: False)
        client = await trio.open_tcp_stream(*listener.socket.getsockname())
        with trio.fail_after(2):
            assert await client.receive_some() == b""
        client.socket.close()
        nursery.cancel_scope.cancel()
