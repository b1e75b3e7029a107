"""Copies a part of what a peer knows, over HTTP."""

from typing import NamedTuple

import msgspec
import trio

from cleatlink.core.errors import EndpointError, PeerError
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ReplyHead
from cleatlink.relay.peers.deflate import ACCEPT_DEFLATE, DEFLATE, decompress
from cleatlink.relay.peers.snapshots import Part, Snapshot, decode_snapshot

__all__ = ["Part", "PeerCopy", "fetch"]

# Seconds in which the connection and the head of the answer have to be there.
_HEAD_S = 1.0
# The rest may take as long as bytes keep coming, up to a bound in all.
_SILENCE_S = 1.0
_COPY_S = 10.0
# Far above the largest table and list, compressed or not: a store's value holds a megabyte.
_MOST_BYTES = 64_000_000
_OK = 200


class PeerCopy(NamedTuple):
    """What a peer answered.

    Attributes:
        snapshot: The part that was asked for; earlier builds answer with everything.
        transferred_bytes: Size of the answer's body as it was transferred.
    """

    snapshot: Snapshot
    transferred_bytes: int


class _Answer(NamedTuple):
    head: ReplyHead
    body: bytes


async def fetch(address: str, part: Part) -> PeerCopy:
    """Copy a part of what a peer knows.

    Args:
        address: IP number and port at which the peer hears its peers.
        part: What to ask for.

    Raises:
        PeerError: There was no answer in time, or one that can't be used.
    """
    try:
        with trio.fail_after(_COPY_S):
            answer = await _ask(address, part)
        return PeerCopy(decode_snapshot(_body_of(answer)), len(answer.body))
    except (EndpointError, trio.TooSlowError, msgspec.MsgspecError) as error:
        raise PeerError(f"{address}{part.value.decode()}: {error!r}") from error


async def _ask(address: str, part: Part) -> _Answer:
    connection = await EndpointConnection.open(address, _SILENCE_S, _HEAD_S)
    try:
        headers = ((b"Host", address.encode()), ACCEPT_DEFLATE)
        with trio.fail_after(_HEAD_S):
            head = await connection.exchange(OutgoingRequest(b"GET", part.value, headers, b""))
        body = await connection.read_body(_MOST_BYTES, silence_s=_SILENCE_S)
        return _Answer(head, body)
    finally:
        connection.close()


def _body_of(answer: _Answer) -> bytes:
    """Give the body of an answer as it was before its transfer.

    Raises:
        PeerError: The peer did not give what was asked for, or in a form that is not known.
    """
    if answer.head.status != _OK:
        raise PeerError(f"status {answer.head.status}")
    coding = answer.head.get(b"content-encoding")
    if coding is None:
        return answer.body
    if coding.lower() != DEFLATE:
        raise PeerError(f"content coding {coding!r}")
    return decompress(answer.body, _MOST_BYTES)
