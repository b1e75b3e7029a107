"""Small messages between instances over UDP: heartbeats and notes.

They fit a datagram, may be lost, and are repeated where that matters. gRPC was
weighed for them and left: its runtime brings threads of its own beside the one
loop, and under trio a call costs many times a datagram.
"""

import socket
from typing import Any

import msgspec
import trio

from cleatlink.members import Heartbeat
from cleatlink.request import Note
from cleatlink.serving.settings import Address, parse_address

__all__ = ["Datagrams", "Message", "MessageError", "decode_message", "encode_message"]

_MAX_BYTES = 8_192
_KINDS: dict[str, type] = {"beat": Heartbeat, "note": Note, "ack": str, "drop": str}

Message = tuple[str, Any]


class MessageError(ValueError):
    """A datagram is no message of ours."""


def encode_message(kind: str, value: Any) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode((kind, value))


def decode_message(data: bytes) -> Message:
    """Decode a message.

    Raises:
        MessageError: It is none.
    """
    try:
        kind, raw = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
        return kind, msgspec.msgpack.decode(raw, type=_KINDS[kind])
    except (msgspec.MsgspecError, KeyError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)) from error


class Datagrams:
    """One bound UDP socket."""

    def __init__(self, listen: Address) -> None:
        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((listen.host.strip("[]"), listen.port))
        self._trio_socket = trio.socket.from_stdlib_socket(self._socket)

    def send(self, address: str, kind: str, value: Any) -> int:
        """Send a message at once, without a wait; give the bytes sent.

        A full buffer or an unreachable peer loses it, as the network might.
        """
        data = encode_message(kind, value)
        to = parse_address(address)
        try:
            return self._socket.sendto(data, (to.host.strip("[]"), to.port))
        except OSError:
            return 0

    async def receive(self) -> tuple[bytes, str]:
        """Receive one datagram with its sender's address."""
        while True:
            try:
                data, sender = await self._trio_socket.recvfrom(_MAX_BYTES)
            except ConnectionError:
                # An earlier datagram met a closed port; that peer is gone.
                continue
            return data, f"{sender[0]}:{sender[1]}"

    def close(self) -> None:
        """Close the socket."""
        self._trio_socket.close()
