"""The socket on which instances hear and tell each other."""

import socket
from collections.abc import Iterable
from functools import lru_cache

import eliot
import trio

from cleatlink.core.address import Address
from cleatlink.relay.logs import LineAllowance
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import Message, decode_datagram, encode
from cleatlink.relay.sockets import bind

__all__ = ["DatagramSocket"]

# A datagram holds no more.
_MOST_BYTES = 60_000
_READ_BYTES = 65_536
# Datagrams that are read before other tasks run.
_MOST_AT_ONCE = 64
_MOST_ADDRESSES = 2_048
# Lines about messages that are too long, at the most in so many seconds.
_TOO_LONG_LINES = 5
_TOO_LONG_LINES_S = 10.0


class DatagramSocket:
    """Sends and receives messages; a loss is never noticed here."""

    def __init__(self, address: Address, metrics: RelayMetrics) -> None:
        """Bind.

        Raises:
            ListenError: The address can't be had.
        """
        self._metrics = metrics
        self._too_long_lines = LineAllowance(_TOO_LONG_LINES, _TOO_LONG_LINES_S)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        bind(sock, address.host, address.port)
        self._socket = trio.socket.from_stdlib_socket(sock)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to some addresses, without a wait."""
        self.send_bytes(encode(message), addresses)

    def send_bytes(self, data: bytes, addresses: Iterable[str]) -> None:
        """Send an encoded message to some addresses, without a wait."""
        if len(data) > _MOST_BYTES:
            self._note_too_long(len(data), len(list(addresses)))
            return
        send = self._socket._sock.sendto  # type: ignore[attr-defined]
        for address in addresses:
            try:
                # A full buffer loses the datagram, as the network might.
                send(data, _parts(address))
            except OSError:
                self._metrics.count_message("not_sent")

    def _note_too_long(self, size: int, addresses: int) -> None:
        """Count a message that no datagram holds, and log it, within bounds."""
        self._metrics.count_message("too_long")
        if self._too_long_lines.take(trio.current_time()):
            eliot.log_message(
                message_type="peers: a message is too long", bytes=size, addresses=addresses
            )

    async def receive(self) -> list[Message | None]:
        """Wait for datagrams, and give those that are there; None for one that is none of ours."""
        sock = self._socket._sock  # type: ignore[attr-defined]
        while True:
            await trio.lowlevel.wait_readable(sock)
            found: list[Message | None] = []
            while len(found) < _MOST_AT_ONCE:
                try:
                    found.append(decode_datagram(sock.recv(_READ_BYTES)))
                except BlockingIOError:
                    break
                except OSError:
                    # An earlier datagram met a closed port.
                    continue
            if found:
                return found


@lru_cache(maxsize=_MOST_ADDRESSES)
def _parts(address: str) -> tuple[str, int]:
    """Give the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
