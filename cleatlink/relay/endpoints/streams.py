"""Byte streams to endpoints, and the connectors that open them."""

from abc import ABC, abstractmethod

import trio

from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.relay.sockets import connect
from cleatlink.unacknowledged_bytes import count_unacknowledged

__all__ = ["Connector", "EndpointStream", "SocketStream", "TcpConnector", "connect_within"]

# Bytes to read at a time: the usual size of a socket's buffer.
_READ_BYTES = 65_536
# Turns of the event loop within which a send that met an error raises its exception: trio yields
# once between the system call and the exception.
_TURNS_TO_RAISE = 2


class EndpointStream(ABC):
    """A byte stream to an endpoint."""

    @property
    @abstractmethod
    def is_direct(self) -> bool:
        """Whether the connection to the endpoint is this instance's own."""

    @property
    @abstractmethod
    def is_open_without_input(self) -> bool:
        """Whether the stream is open, with neither data nor its end waiting to be read."""

    @abstractmethod
    async def send_all(self, data: bytes) -> None:
        """Send data.

        Raises:
            trio.BrokenResourceError: The connection failed.
            trio.ClosedResourceError: This side has closed the stream.
        """

    @abstractmethod
    async def receive_some(self) -> bytes:
        """Receive data; empty at the end that the endpoint sent after it had taken all data.

        Raises:
            trio.BrokenResourceError: The connection failed, or ended before the endpoint had taken
                all data that was sent.
            trio.ClosedResourceError: This side has closed the stream.
        """

    @abstractmethod
    async def wait_readable(self) -> None:
        """Wait until data or the end can be read, or until this side closes the stream."""

    @abstractmethod
    def count_unacknowledged(self) -> int | None:
        """Return how many sent bytes are not acknowledged yet; None if that is unknown."""

    @abstractmethod
    def close(self) -> None:
        """Close the stream immediately, without waiting."""


class SocketStream(EndpointStream):
    """A stream over a TCP connection to the endpoint itself.

    A receive that finds the end of a connection does not tell whether the connection failed. The
    kernel reports a failure once, and a send may have got the report. An endpoint that closes its
    connection with data unread resets it, but the reset may arrive after the end.
    """

    def __init__(self, stream: trio.SocketStream, read_bytes: int = _READ_BYTES) -> None:
        """Create a stream over an open connection.

        Args:
            stream: The connection.
            read_bytes: Most bytes to read at a time.
        """
        self._stream = stream
        self._read_bytes = read_bytes
        self._has_send_failed = False
        self._is_sending = False

    @property
    def is_direct(self) -> bool:
        """Always: there is no peer between this instance and the endpoint."""
        return True

    @property
    def is_open_without_input(self) -> bool:
        """Whether the connection is open, with neither data nor its end waiting to be read."""
        try:
            return not self._stream.socket.is_readable()
        except (OSError, ValueError):
            return False

    async def send_all(self, data: bytes) -> None:
        """Send data."""
        self._is_sending = True
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self._has_send_failed = True
            raise
        finally:
            self._is_sending = False

    async def receive_some(self) -> bytes:
        """Receive data; empty at the end of the connection."""
        data = bytes(await self._stream.receive_some(self._read_bytes))
        if not data:
            await self._check_end()
        return data

    async def _check_end(self) -> None:
        """Check that the end of the connection, which a receive found, is the regular one.

        Raises:
            trio.BrokenResourceError: It is not.
        """
        for _ in range(_TURNS_TO_RAISE):
            await trio.lowlevel.cancel_shielded_checkpoint()
        if self._has_send_failed:
            raise trio.BrokenResourceError("the connection failed while data was sent")
        if self._is_sending or self.count_unacknowledged():
            raise trio.BrokenResourceError("the connection ended before all data was taken")

    async def wait_readable(self) -> None:
        """Wait until data or the end can be read, or until this side closes the connection."""
        try:
            await trio.lowlevel.wait_readable(self._stream.socket.fileno())
        except (OSError, ValueError, trio.ClosedResourceError):
            return

    def count_unacknowledged(self) -> int | None:
        """Return how many sent bytes the other side has not acknowledged; None if unknown."""
        file_descriptor = self._stream.socket.fileno()
        return count_unacknowledged(file_descriptor) if file_descriptor >= 0 else None

    def close(self) -> None:
        """Close the connection immediately, without waiting."""
        self._stream.socket.close()


class Connector(ABC):
    """Opens connections from this instance to endpoints."""

    @abstractmethod
    async def connect(self, address: str, ack_timeout_s: float) -> EndpointStream:
        """Connect to an endpoint.

        Args:
            address: IP address and port.
            ack_timeout_s: Seconds that sent data may stay unacknowledged before the connection
                fails.

        Raises:
            OSError: The connection could not be opened.
        """


class TcpConnector(Connector):
    """Opens TCP connections."""

    async def connect(self, address: str, ack_timeout_s: float) -> EndpointStream:
        """Connect to an endpoint by TCP."""
        host, _, port = address.rpartition(":")
        return SocketStream(await connect(host, int(port), ack_timeout_s))


async def connect_within(
    connector: Connector, address: str, ack_timeout_s: float, timeout_s: float
) -> EndpointStream:
    """Connect to an endpoint within a time limit.

    Args:
        connector: Opens the connection.
        address: IP address and port.
        ack_timeout_s: Seconds that sent data may stay unacknowledged before the connection fails.
        timeout_s: Seconds within which the connection must be established.

    Raises:
        EndpointUnreachableError: The connection was not established.
    """
    try:
        with trio.fail_after(timeout_s):
            return await connector.connect(address, ack_timeout_s)
    except (OSError, trio.TooSlowError) as error:
        raise EndpointUnreachableError(f"{address}: {error!r}") from error
