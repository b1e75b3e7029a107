"""The socket on which instances hear and tell each other."""

import socket
from collections.abc import Iterable

import trio

from cleatlink.core.address import Address
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import Message, decode_datagram, encode
from cleatlink.relay.sockets import bind

__all__ = ["DatagramSocket"]

# A datagram holds no more.
_MOST_BYTES = 60_000
_READ_BYTES = 65_536


class DatagramSocket:
    """Sends and receives messages; a loss is never noticed here."""

    def __init__(self, address: Address, metrics: RelayMetrics) -> None:
        """Bind.

        Raises:
            ListenError: The address can't be had.
        """
        self._metrics = metrics
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        bind(sock, address.host, address.port)
        self._socket = trio.socket.from_stdlib_socket(sock)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to some addresses, without a wait."""
        data = encode(message)
        if len(data) > _MOST_BYTES:
            self._metrics.count_message("too_long")
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                # A full buffer loses the datagram, as the network might.
                self._socket._sock.sendto(data, (host, int(port)))  # type: ignore[attr-defined]
            except OSError:
                self._metrics.count_message("not_sent")

    async def receive(self) -> Message | None:
        """Wait for a datagram; None for one that is none of ours."""
        while True:
            try:
                data, _ = await self._socket.recvfrom(_READ_BYTES)
            except OSError:
                # An earlier datagram met a closed port.
                continue
            return decode_datagram(data)
