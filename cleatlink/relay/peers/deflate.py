"""Compression of the state that peers copy, in HTTP's content coding ``deflate``."""

import re
import zlib

from cleatlink.core.errors import PeerError
from cleatlink.core.routes import Headers

__all__ = [
    "ACCEPT_DEFLATE_HEADER",
    "DEFLATE_CODING",
    "DEFLATE_HEADERS",
    "accepts_deflate",
    "compress",
    "decompress",
]

DEFLATE_CODING = b"deflate"
# Request header that accepts a compressed answer.
ACCEPT_DEFLATE_HEADER = (b"Accept-Encoding", DEFLATE_CODING)
# Header of a compressed answer.
DEFLATE_HEADERS: Headers = ((b"Content-Encoding", DEFLATE_CODING),)

# A weight of zero, which excludes a coding.
_ZERO_WEIGHT = re.compile(rb"q=0(\.0{0,3})?", re.IGNORECASE)


def accepts_deflate(headers: Headers) -> bool:
    """Check whether a request's headers allow a compressed answer."""
    values = [value for name, value in headers if name.lower() == b"accept-encoding"]
    return any(_is_deflate(item) for value in values for item in value.split(b","))


def _is_deflate(item: bytes) -> bool:
    """Check whether an item of ``Accept-Encoding`` names this coding and does not exclude it."""
    coding, _, weight = item.partition(b";")
    is_excluded = _ZERO_WEIGHT.fullmatch(weight.strip()) is not None
    return coding.strip().lower() == DEFLATE_CODING and not is_excluded


def compress(data: bytes) -> bytes:
    """Compress a body."""
    return zlib.compress(data)


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Decompress a body.

    Args:
        data: The complete body as transferred.
        max_bytes: Maximum length of the result.

    Raises:
        PeerError: ``data`` is not a compressed body, or the result exceeds ``max_bytes``.
    """
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(data, max_bytes)
        if not inflater.eof and not inflater.unconsumed_tail:
            raise PeerError("compressed body is truncated")
    except zlib.error as error:
        raise PeerError(f"body is not deflate-compressed: {error}") from error
    if not inflater.eof:
        raise PeerError(f"compressed body expands to more than {max_bytes} bytes")
    if inflater.unused_data:
        raise PeerError("unexpected bytes after the end of the compressed body")
    return body
