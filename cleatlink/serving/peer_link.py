"""How messages move between instances: UDP for the small, HTTP for what is answered.

Heartbeats and notes fit a datagram, may be lost, and are repeated where that
matters. What needs an answer, or is large, goes over the HTTP libraries that
are there anyway. gRPC was weighed and left; docs/design/peers.md says why.
"""

import socket
from abc import ABC, abstractmethod
from typing import Any, NamedTuple

import httpx
import msgspec
import trio

from cleatlink.core.errors import PeerError, PeerUnreachableError
from cleatlink.members import Heartbeat
from cleatlink.request import InFlightNote
from cleatlink.serving.settings import Address, parse_address

__all__ = ["HttpPeerLink", "Message", "PeerLink", "decode_message", "encode_message"]

# No datagram is larger.
_MAX_BYTES = 65_536
_TIMEOUT_S = 5.0
_KINDS: dict[str, type] = {"beat": Heartbeat, "note": InFlightNote, "ack": str, "drop": str}


class Message(NamedTuple):
    """One small message; its kind says what the value is."""

    kind: str
    value: Any


class PeerLink(ABC):
    """What an instance needs to speak to its peers."""

    @property
    @abstractmethod
    def address(self) -> str:
        """Where this instance hears its peers."""

    @abstractmethod
    def send(self, address: str, data: bytes) -> None:
        """Send an encoded message at once, without a wait; it may be lost."""

    @abstractmethod
    async def receive(self) -> tuple[Message | None, str]:
        """Receive a message with its sender; None stands for what is none of ours."""

    @abstractmethod
    async def ask(self, address: str, path: str, body: bytes) -> bytes:
        """Ask a peer and wait for its answer.

        Raises:
            PeerUnreachableError: The question never left.
            PeerError: No answer came, or a refusal; the peer may have acted.
        """


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Decode a message; None if it is none of ours."""
    try:
        kind, raw = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
        return Message(kind, msgspec.msgpack.decode(raw, type=_KINDS[kind]))
    except (msgspec.MsgspecError, KeyError, UnicodeDecodeError, RecursionError):
        return None


class HttpPeerLink(PeerLink):
    """One bound UDP socket and an HTTP client."""

    def __init__(self, listen: Address) -> None:
        self._address = listen
        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((listen.host.strip("[]"), listen.port))
        self._trio_socket = trio.socket.from_stdlib_socket(self._socket)
        self._client = httpx.AsyncClient(timeout=_TIMEOUT_S, trust_env=False)

    @property
    def address(self) -> str:
        """Where this instance hears its peers."""
        return str(self._address)

    def send(self, address: str, data: bytes) -> None:
        """Send an encoded message; a full buffer loses it, as the network might."""
        to = parse_address(address)
        try:
            self._socket.sendto(data, (to.host.strip("[]"), to.port))
        except OSError:
            return

    async def receive(self) -> tuple[Message | None, str]:
        """Receive a message with its sender."""
        while True:
            try:
                data, sender = await self._trio_socket.recvfrom(_MAX_BYTES)
            except ConnectionError:
                # An earlier datagram met a closed port; that peer is gone.
                continue
            return decode_message(data), f"{sender[0]}:{sender[1]}"

    async def ask(self, address: str, path: str, body: bytes) -> bytes:
        """Ask a peer and wait for its answer."""
        try:
            response = await self._client.post(f"http://{address}/peer/{path}", content=body)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PeerUnreachableError(repr(error)) from error
        except httpx.HTTPError as error:
            raise PeerError(repr(error)) from error
        if response.status_code != httpx.codes.OK:
            raise PeerError(f"status {response.status_code}")
        return response.content

    async def close(self) -> None:
        """Close the socket and all connections."""
        self._trio_socket.close()
        await self._client.aclose()
