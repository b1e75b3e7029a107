"""A TCP proxy on the loopback interface that injects connection faults."""

import socket
from enum import StrEnum

import trio

from standins.relay.raw_server import reset

__all__ = ["Link", "LinkFault"]

_READ_BYTES = 65_536
_DELAY_S = 0.25


class LinkFault(StrEnum):
    """Fault that a link injects into its connections."""

    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"


class Link:
    """Forwards connections to a target address, which may change between connections."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self._fault: LinkFault | None = None
        self._fault_changed = trio.Event()
        self._listener: trio.SocketListener | None = None
        self._reserved_port: socket.socket | None = None
        self._streams: set[trio.SocketStream] = set()

    @property
    def _port(self) -> int:
        return int(self.address.rpartition(":")[2])

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen on a free port and forward connections."""
        self._listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        self.address = f"127.0.0.1:{self._listener.socket.getsockname()[1]}"
        nursery.start_soon(self._accept_connections)

    def stop_accepting(self) -> None:
        """Refuse connections, as at the address of a crashed process.

        A socket that does not listen keeps the port, which an outgoing connection could get.
        """
        if self._listener is not None:
            self._listener.socket.close()
            self._reserved_port = _reserve_port(self._port)

    async def resume_accepting(self, nursery: trio.Nursery) -> None:
        """Accept connections again at the same address."""
        self._listener = (await trio.open_tcp_listeners(self._port, host="127.0.0.1"))[0]
        self._release_port()
        nursery.start_soon(self._accept_connections)

    def _release_port(self) -> None:
        if self._reserved_port is not None:
            self._reserved_port.close()
            self._reserved_port = None

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.socket.close()
        self._release_port()
        self._close_streams()

    def set_fault(self, fault: LinkFault | None) -> None:
        """Set or clear the fault; data that a fault held back is forwarded once it is cleared."""
        self._fault = fault
        self._fault_changed.set()
        self._fault_changed = trio.Event()
        if fault is LinkFault.RESET:
            self._close_streams()

    def _close_streams(self) -> None:
        for stream in list(self._streams):
            reset(stream)

    async def _accept_connections(self) -> None:
        assert self._listener is not None, "the link is not started"
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    stream = await self._listener.accept()
                except (trio.ClosedResourceError, OSError):
                    return
                nursery.start_soon(self._proxy_connection, stream)

    async def _proxy_connection(self, caller: trio.SocketStream) -> None:
        """Forward one connection until either side closes it."""
        self._streams.add(caller)
        target: trio.SocketStream | None = None
        try:
            if self._fault is LinkFault.RESET:
                reset(caller)
                return
            host, _, port = self.target.rpartition(":")
            target = await trio.open_tcp_stream(host, int(port))
            self._streams.add(target)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, caller, target, False, nursery.cancel_scope)
                nursery.start_soon(self._forward, target, caller, True, nursery.cancel_scope)
        except OSError:
            return
        finally:
            for stream in (caller, target):
                if stream is not None:
                    self._streams.discard(stream)
                    stream.socket.close()

    async def _forward(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        is_response: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive_some(_READ_BYTES)
                await self._apply_fault(is_response)
                if not data:
                    break
                await destination.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The other side must see a reset too: a response may end with its connection.
            reset(source)
            reset(destination)
        scope.cancel()

    async def _apply_fault(self, is_response: bool) -> None:
        """Wait while the current fault holds back data in this direction."""
        if self._fault is LinkFault.DELAY:
            await trio.sleep(_DELAY_S)
        while self._fault is LinkFault.SILENCE or (
            self._fault is LinkFault.ONE_WAY and is_response
        ):
            await self._fault_changed.wait()


def _reserve_port(port: int) -> socket.socket:
    """Bind a socket to a port without listening, so that connections are refused."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", port))
    return reserved
