"""Transport between instances: UDP for small messages, HTTP for requests with an answer.

Heartbeats and notes fit into a datagram. They may be lost; heartbeats and unacknowledged
notes are sent again. Requests that need an answer, and large data, use the HTTP libraries
that the project depends on already. docs/design/peers.md explains why gRPC is not used.
"""

import socket
from abc import ABC, abstractmethod
from typing import Any, NamedTuple

import httpx
import msgspec
import trio

from cleatlink.core.errors import OutcomeUnknownError, PeerError, PeerUnreachableError
from cleatlink.members import Heartbeat
from cleatlink.request import InFlightNote
from cleatlink.serving.http_client import MAX_ANSWER_BYTES, create_client, read_body
from cleatlink.serving.settings import Address, parse_address

__all__ = ["HttpPeerLink", "Message", "PeerLink", "decode_message", "encode_message"]

# Larger than any UDP datagram.
_MAX_DATAGRAM_BYTES = 65_536
_HTTP_TIMEOUT_S = 5.0
_VALUE_TYPES: dict[str, type] = {"beat": Heartbeat, "note": InFlightNote, "ack": str, "drop": str}


class Message(NamedTuple):
    """A datagram's content; its kind determines the type of the value."""

    kind: str
    value: Any


class PeerLink(ABC):
    """Interface for messages between an instance and its peers."""

    @property
    @abstractmethod
    def address(self) -> str:
        """Address at which this instance receives messages of its peers."""

    @abstractmethod
    def send(self, address: str, data: bytes) -> None:
        """Send an encoded message without blocking; it may be lost."""

    @abstractmethod
    async def receive(self) -> tuple[Message | None, str]:
        """Receive a message and its sender's address; the message is None if it is invalid."""

    @abstractmethod
    async def send_request(self, address: str, path: str, body: bytes) -> bytes:
        """Send a request to a peer and return its answer.

        Raises:
            PeerUnreachableError: The connection failed, so the request was not sent.
            PeerError: The peer did not answer or refused; it may have processed the request.
        """


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Decode a message; None if it is invalid."""
    try:
        kind, raw = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
        return Message(kind, msgspec.msgpack.decode(raw, type=_VALUE_TYPES[kind]))
    except (msgspec.MsgspecError, KeyError, UnicodeDecodeError, RecursionError):
        return None


class HttpPeerLink(PeerLink):
    """Peer messages over a bound UDP socket, and requests over an HTTP client."""

    def __init__(self, listen: Address) -> None:
        self._address = listen
        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((listen.host.strip("[]"), listen.port))
        self._trio_socket = trio.socket.from_stdlib_socket(self._socket)
        self._client = create_client(httpx.Timeout(_HTTP_TIMEOUT_S))

    @property
    def address(self) -> str:
        """Address at which this instance receives messages of its peers."""
        return str(self._address)

    def send(self, address: str, data: bytes) -> None:
        """Send an encoded message; it is lost if the socket's buffer is full."""
        receiver = parse_address(address)
        try:
            self._socket.sendto(data, (receiver.host.strip("[]"), receiver.port))
        except OSError:
            return

    async def receive(self) -> tuple[Message | None, str]:
        """Receive a message and its sender's address."""
        while True:
            try:
                data, sender = await self._trio_socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except ConnectionError:
                # An earlier datagram was sent to a closed port, because that peer has stopped.
                continue
            return decode_message(data), f"{sender[0]}:{sender[1]}"

    async def send_request(self, address: str, path: str, body: bytes) -> bytes:
        """Send a request to a peer and return its answer."""
        try:
            async with self._client.stream(
                "POST", f"http://{address}/peer/{path}", content=body
            ) as response:
                if response.status_code != httpx.codes.OK:
                    raise PeerError(f"peer responded with status {response.status_code}")
                return await read_body(response, MAX_ANSWER_BYTES)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PeerUnreachableError(repr(error)) from error
        except (httpx.HTTPError, OutcomeUnknownError) as error:
            raise PeerError(repr(error)) from error

    async def close(self) -> None:
        """Close the socket and all connections."""
        self._trio_socket.close()
        await self._client.aclose()
