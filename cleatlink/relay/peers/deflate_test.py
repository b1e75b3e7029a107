"""Tests of the compression of copied state, whose result is bounded for any input."""

import zlib

import pytest

from cleatlink.core.errors import PeerError
from cleatlink.relay.peers.deflate import accepts_deflate, compress, decompress

BODY = b"route " * 1000


def test_decompressing_restores_the_body() -> None:
    assert len(compress(BODY)) < len(BODY)
    assert decompress(compress(BODY), len(BODY)) == BODY
    assert decompress(compress(b""), 1) == b""


@pytest.mark.parametrize("max_bytes", [1, len(BODY) - 1])
def test_body_that_decompresses_beyond_the_limit_is_rejected(max_bytes: int) -> None:
    with pytest.raises(PeerError):
        decompress(compress(BODY), max_bytes)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"no such thing", id="not compressed"),
        pytest.param(compress(BODY)[:-1], id="truncated"),
        pytest.param(compress(BODY) + b"x", id="trailing bytes"),
        pytest.param(zlib.compress(BODY, wbits=-15), id="without a header"),
    ],
)
def test_invalid_compressed_body_is_rejected(data: bytes) -> None:
    with pytest.raises(PeerError):
        decompress(data, 2 * len(BODY))


@pytest.mark.parametrize(
    ("value", "accepts"),
    [
        (b"deflate", True),
        (b"gzip, Deflate", True),
        (b"deflate;q=0.5", True),
        (b"deflate;q=0", False),
        (b"deflate ; q=0.0", False),
        (b"gzip", False),
        (b"", False),
    ],
)
def test_answer_is_compressed_only_if_the_request_accepts_it(value: bytes, accepts: bool) -> None:
    headers = ((b"Host", b"deflate"), (b"accept-Encoding", value))
    assert accepts_deflate(headers) is accepts


def test_request_without_accept_encoding_gets_no_compression() -> None:
    assert not accepts_deflate(())
