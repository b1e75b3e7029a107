"""The UDP socket on which instances exchange messages."""

import socket
from collections.abc import Iterable
from functools import lru_cache

import eliot
import trio

from cleatlink.core.address import Address
from cleatlink.relay.logs import LogRateLimit
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import Message, decode_datagram, encode
from cleatlink.relay.sockets import bind

__all__ = ["DatagramSocket"]

# Largest message that is sent in one datagram.
_MAX_DATAGRAM_BYTES = 60_000
# Size of the receive buffer, which fits any UDP datagram.
_RECEIVE_BUFFER_BYTES = 65_536
# Number of datagrams that are read before other tasks run.
_MAX_RECEIVED_AT_ONCE = 64
# Number of addresses whose split into host and port is cached.
_MAX_CACHED_ADDRESSES = 2_048
# Maximum number of log lines per interval about messages that are too long.
_TOO_LONG_LINES = 5
_TOO_LONG_LINES_INTERVAL_S = 10.0


class DatagramSocket:
    """Sends and receives messages; lost datagrams are not detected here."""

    def __init__(self, address: Address, metrics: RelayMetrics) -> None:
        """Bind the socket.

        Raises:
            ListenError: The address cannot be bound.
        """
        self._metrics = metrics
        self._too_long_log_limit = LogRateLimit(_TOO_LONG_LINES, _TOO_LONG_LINES_INTERVAL_S)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        bind(sock, address.host, address.port)
        self._socket = trio.socket.from_stdlib_socket(sock)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to some addresses without blocking."""
        self.send_bytes(encode(message), addresses)

    def send_bytes(self, data: bytes, addresses: Iterable[str]) -> None:
        """Send an encoded message to some addresses without blocking."""
        if len(data) > _MAX_DATAGRAM_BYTES:
            self._report_too_long(len(data), len(list(addresses)))
            return
        send = self._socket._sock.sendto  # type: ignore[attr-defined]
        for address in addresses:
            try:
                # A full send buffer drops the datagram, just as the network may lose it.
                send(data, _split_address(address))
            except OSError:
                self._metrics.count_peer_message("not_sent")

    def _report_too_long(self, size_bytes: int, address_count: int) -> None:
        """Count a message that exceeds a datagram, and log it at a limited rate."""
        self._metrics.count_peer_message("too_long")
        if self._too_long_log_limit.allow(trio.current_time()):
            eliot.log_message(
                message_type="peers: message exceeds the datagram limit; not sent",
                bytes=size_bytes,
                addresses=address_count,
            )

    async def receive(self) -> list[Message | None]:
        """Wait for datagrams and return their messages; None for one that cannot be decoded."""
        sock = self._socket._sock  # type: ignore[attr-defined]
        while True:
            await trio.lowlevel.wait_readable(sock)
            messages: list[Message | None] = []
            while len(messages) < _MAX_RECEIVED_AT_ONCE:
                try:
                    messages.append(decode_datagram(sock.recv(_RECEIVE_BUFFER_BYTES)))
                except BlockingIOError:
                    break
                except OSError:
                    if sock.fileno() < 0:
                        # It was closed after the data had arrived that woke this task.
                        await trio.lowlevel.checkpoint()
                        raise trio.ClosedResourceError from None
                    # Reports that an earlier datagram was sent to a closed port.
                    continue
            if messages:
                return messages


@lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
