"""Compression of what peers copy: bounded, whatever was sent."""

import zlib

import pytest

from cleatlink.core.errors import PeerError
from cleatlink.relay.peers.deflate import accepts_deflate, compress, decompress

BODY = b"route " * 1000


def test_compressed_body_comes_back_as_it_was() -> None:
    assert len(compress(BODY)) < len(BODY)
    assert decompress(compress(BODY), len(BODY)) == BODY
    assert decompress(compress(b""), 1) == b""


@pytest.mark.parametrize("most_bytes", [1, len(BODY) - 1])
def test_body_that_grows_beyond_the_limit_is_given_up(most_bytes: int) -> None:
    with pytest.raises(PeerError):
        decompress(compress(BODY), most_bytes)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"no such thing", id="other bytes"),
        pytest.param(compress(BODY)[:-1], id="ends early"),
        pytest.param(compress(BODY) + b"x", id="goes on"),
        pytest.param(zlib.compress(BODY, wbits=-15), id="without a header"),
    ],
)
def test_what_is_no_compressed_body_is_told(data: bytes) -> None:
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
def test_answer_is_compressed_for_those_alone_who_take_it(value: bytes, accepts: bool) -> None:
    headers = ((b"Host", b"deflate"), (b"accept-Encoding", value))
    assert accepts_deflate(headers) is accepts


def test_asker_that_names_no_coding_takes_none() -> None:
    assert not accepts_deflate(())
