"""Fetch a part of a peer's state over HTTP."""

from typing import NamedTuple

import msgspec
import trio

from cleatlink.core.errors import EndpointError, PeerError
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ResponseHead
from cleatlink.relay.peers.deflate import ACCEPT_DEFLATE_HEADER, DEFLATE_CODING, decompress
from cleatlink.relay.peers.snapshots import Snapshot, SnapshotPart, decode_snapshot

__all__ = ["SnapshotPart", "PeerCopy", "fetch_snapshot"]

# Timeout for the connection, and for the head of the response, in seconds.
_HEAD_TIMEOUT_S = 1.0
# Maximum time without received bytes, and timeout for the whole fetch, in seconds.
_IDLE_TIMEOUT_S = 1.0
_FETCH_TIMEOUT_S = 10.0
# Maximum size of a response body, compressed or not. It is far above the largest route table and
# registration list: a value in the store holds at most a megabyte.
_MAX_BODY_BYTES = 64_000_000
_STATUS_OK = 200


class PeerCopy(NamedTuple):
    """Response of a peer.

    Attributes:
        snapshot: The requested part; earlier builds send the whole state.
        transferred_bytes: Size of the response body as transferred.
    """

    snapshot: Snapshot
    transferred_bytes: int


class _Response(NamedTuple):
    head: ResponseHead
    body: bytes


async def fetch_snapshot(address: str, part: SnapshotPart) -> PeerCopy:
    """Fetch a part of a peer's state.

    Args:
        address: IP address and port at which the peer listens for its peers.
        part: Part to request.

    Raises:
        PeerError: The peer sent no valid response in time.
    """
    try:
        with trio.fail_after(_FETCH_TIMEOUT_S):
            response = await _request(address, part)
        return PeerCopy(decode_snapshot(_decoded_body(response)), len(response.body))
    except (EndpointError, trio.TooSlowError, msgspec.MsgspecError) as error:
        raise PeerError(f"{address}{part.value.decode()}: {error!r}") from error


async def _request(address: str, part: SnapshotPart) -> _Response:
    connection = await EndpointConnection.open(address, _IDLE_TIMEOUT_S, _HEAD_TIMEOUT_S)
    try:
        headers = ((b"Host", address.encode()), ACCEPT_DEFLATE_HEADER)
        with trio.fail_after(_HEAD_TIMEOUT_S):
            head = await connection.exchange(OutgoingRequest(b"GET", part.value, headers, b""))
        body = await connection.read_body(_MAX_BODY_BYTES, silence_timeout_s=_IDLE_TIMEOUT_S)
        return _Response(head, body)
    finally:
        connection.close()


def _decoded_body(response: _Response) -> bytes:
    """Return the body of a response, decompressed if necessary.

    Raises:
        PeerError: The response has another status than 200 or an unknown content coding.
    """
    if response.head.status != _STATUS_OK:
        raise PeerError(f"unexpected status {response.head.status}")
    coding = response.head.get(b"content-encoding")
    if coding is None:
        return response.body
    if coding.lower() != DEFLATE_CODING:
        raise PeerError(f"unsupported content coding {coding!r}")
    return decompress(response.body, _MAX_BODY_BYTES)
