"""Compression of what peers copy, by HTTP's content coding ``deflate``."""

import re
import zlib

from cleatlink.core.errors import PeerError
from cleatlink.core.routes import Headers

__all__ = [
    "ACCEPT_DEFLATE",
    "DEFLATE",
    "DEFLATE_HEADERS",
    "accepts_deflate",
    "compress",
    "decompress",
]

DEFLATE = b"deflate"
# Header of a request whose answer may be compressed, and of an answer that is.
ACCEPT_DEFLATE = (b"Accept-Encoding", DEFLATE)
DEFLATE_HEADERS: Headers = ((b"Content-Encoding", DEFLATE),)

# A weight that rules a coding out.
_NO_WEIGHT = re.compile(rb"q=0(\.0{0,3})?", re.IGNORECASE)


def accepts_deflate(headers: Headers) -> bool:
    """Tell by a request's headers whether its answer may be compressed."""
    values = [value for name, value in headers if name.lower() == b"accept-encoding"]
    return any(_is_deflate(item) for value in values for item in value.split(b","))


def _is_deflate(item: bytes) -> bool:
    """Tell whether an item of ``Accept-Encoding`` names this coding, and does not rule it out."""
    coding, _, weight = item.partition(b";")
    is_ruled_out = _NO_WEIGHT.fullmatch(weight.strip()) is not None
    return coding.strip().lower() == DEFLATE and not is_ruled_out


def compress(data: bytes) -> bytes:
    """Compress a body."""
    return zlib.compress(data)


def decompress(data: bytes, most_bytes: int) -> bytes:
    """Decompress a body.

    Args:
        data: The whole body as it was transferred.
        most_bytes: Longest result.

    Raises:
        PeerError: It is no compressed body, or its result is longer than ``most_bytes``.
    """
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(data, most_bytes)
        if not inflater.eof and not inflater.unconsumed_tail:
            raise PeerError("a compressed body ended early")
    except zlib.error as error:
        raise PeerError(f"no compressed body: {error}") from error
    if not inflater.eof:
        raise PeerError(f"a compressed body holds more than {most_bytes} bytes")
    if inflater.unused_data:
        raise PeerError("bytes follow a compressed body")
    return body
