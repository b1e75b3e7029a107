"""Cuts the network paths of one instance to workers that other instances still reach."""

from enum import StrEnum

import trio

from cleatlink.relay.endpoints.streams import Connector, EndpointStream, TcpConnector

__all__ = ["CuttableConnector", "PathCut"]

_POLL_INTERVAL_S = 0.02


class PathCut(StrEnum):
    """What happens to connections while a path is cut."""

    HANG = "new and open connections hang"
    ONE_WAY = "workers receive what is sent, but their answers are lost"
    RESET = "open connections are reset, new ones are refused"
    REFUSE_NEW = "open connections go on, new ones are refused"


_HANGING_CUTS = frozenset({PathCut.HANG, PathCut.ONE_WAY})


class CuttableConnector(Connector):
    """Opens TCP connections, unless the path to the address is cut."""

    def __init__(self) -> None:
        self._tcp = TcpConnector()
        self._cut: PathCut | None = None
        self._cut_addresses: frozenset[str] | None = None
        # Seconds by which a full link delays each new connection and each received part.
        self.delay_s = 0.0
        self._streams: set[CuttableStream] = set()
        # Addresses to which connections were attempted, in order.
        self.attempts: list[str] = []

    def cut(self, how: PathCut, addresses: frozenset[str] | None = None) -> None:
        """Cut the paths to some addresses, or by default to all."""
        self._cut, self._cut_addresses = how, addresses
        for stream in list(self._streams):
            if self.cut_of(stream.address) is PathCut.RESET:
                stream.close()
            else:
                stream.interrupt_receive()

    def restore(self) -> None:
        """Restore all paths."""
        self._cut = None

    def cut_of(self, address: str) -> PathCut | None:
        """Return how the path to an address is cut; None if it is not."""
        is_cut = self._cut_addresses is None or address in self._cut_addresses
        return self._cut if is_cut else None

    async def connect(self, address: str, ack_timeout_s: float) -> EndpointStream:
        """Connect to a worker if the path to it is not cut."""
        self.attempts.append(address)
        while (how := self.cut_of(address)) is not None:
            if how not in _HANGING_CUTS:
                raise ConnectionRefusedError("the path is cut")
            await trio.sleep(_POLL_INTERVAL_S)
        await trio.sleep(self.delay_s)
        tcp_stream = await self._tcp.connect(address, ack_timeout_s)
        stream = CuttableStream(tcp_stream, address, ack_timeout_s, self)
        self._streams.add(stream)
        return stream

    def forget(self, stream: "CuttableStream") -> None:
        """Forget a stream that is closed."""
        self._streams.discard(stream)


class CuttableStream(EndpointStream):
    """A stream to a worker whose path can be cut."""

    def __init__(
        self,
        stream: EndpointStream,
        address: str,
        ack_timeout_s: float,
        connector: CuttableConnector,
    ) -> None:
        self._stream = stream
        self._connector = connector
        self.address = address
        self._ack_timeout_s = ack_timeout_s
        self._receive_scope = trio.CancelScope()

    @property
    def is_direct(self) -> bool:
        """Always: the cut only affects this instance's own connections."""
        return True

    @property
    def is_open_without_input(self) -> bool:
        """Whether the stream is open, with neither data nor its end waiting to be read."""
        return self._stream.is_open_without_input

    async def send_all(self, data: bytes) -> None:
        """Send data; while the path is cut, it fails after the acknowledgement timeout."""
        await self._wait_while_cut(PathCut.HANG)
        await self._stream.send_all(data)

    async def receive_some(self) -> bytes:
        """Receive data; while the path is cut, it fails after the acknowledgement timeout."""
        while True:
            await self._wait_while_cut(PathCut.HANG, PathCut.ONE_WAY)
            with trio.CancelScope() as self._receive_scope:
                data = await self._stream.receive_some()
                # Data that was received must not be lost by an interruption.
                with trio.CancelScope(shield=True):
                    await trio.sleep(self._connector.delay_s)
                return data

    def interrupt_receive(self) -> None:
        """Make a receive in progress check again whether the path is cut."""
        self._receive_scope.cancel()

    async def _wait_while_cut(self, *cuts: PathCut) -> None:
        give_up_at = trio.current_time() + self._ack_timeout_s
        while self._connector.cut_of(self.address) in cuts:
            if trio.current_time() >= give_up_at:
                self.close()
                raise trio.BrokenResourceError("no acknowledgement on a cut path")
            await trio.sleep(_POLL_INTERVAL_S)

    async def wait_readable(self) -> None:
        """Wait until data or the end can be read, or until this side closes the stream."""
        await self._stream.wait_readable()

    def count_unacknowledged(self) -> int | None:
        """Return how many sent bytes the other side has not acknowledged; None if unknown."""
        return self._stream.count_unacknowledged()

    def close(self) -> None:
        """Close the stream."""
        self._connector.forget(self)
        self._stream.close()
