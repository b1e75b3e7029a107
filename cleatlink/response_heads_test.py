"""Tests of the check of heads of responses."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.response_heads import InvalidHeadError, ResponseHeadChecker
from standins.invalid_heads import INVALID_HEADS

_VALID_HEADS = {
    "no field": b"HTTP/1.1 200 OK\r\n\r\n",
    "no reason": b"HTTP/1.1 200\r\nA: b\r\n\r\n",
    "empty reason": b"HTTP/1.1 200 \r\nA: b\r\n\r\n",
    "lowest status": b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\n\r\n",
    "highest status": b"HTTP/1.1 599 X\r\n\r\n",
    "empty value": b"HTTP/1.1 200 X\r\nA:\r\nB: \r\n\r\n",
    "tab in a value": b"HTTP/1.1 200 X\r\nA:\tb\tc\t\r\n\r\n",
    "byte above 127 in a value": b"HTTP/1.1 200 \xc3\x9c\r\nA: \xc3\x9c\r\n\r\n",
    "line feeds alone": b"HTTP/1.1 200 X\nA: b\n\n",
    "every character of a name": b"HTTP/1.1 200 X\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n\r\n",
}


def feed_in_parts(data: bytes, part_bytes: int) -> None:
    checker = ResponseHeadChecker()
    checker.expect_response()
    for begin in range(0, len(data), part_bytes):
        checker.feed(data[begin : begin + part_bytes])


@pytest.mark.parametrize("part_bytes", [1, 2, 3, 7, 1000])
@pytest.mark.parametrize("head", _VALID_HEADS.values(), ids=_VALID_HEADS.keys())
def test_valid_head_is_accepted(head: bytes, part_bytes: int) -> None:
    feed_in_parts(head + b"A b: \x01\r\n\r\n in the body", part_bytes)


@pytest.mark.parametrize("part_bytes", [1, 2, 3, 7, 1000])
@pytest.mark.parametrize("before", [b"", b"HTTP/1.1 103 X\r\nA: b\r\n\r\n"], ids=["", "interim"])
@pytest.mark.parametrize("head", INVALID_HEADS.values(), ids=INVALID_HEADS.keys())
def test_invalid_head_is_rejected(head: bytes, before: bytes, part_bytes: int) -> None:
    with pytest.raises(InvalidHeadError):
        feed_in_parts(before + head, part_bytes)


@pytest.mark.parametrize("head", INVALID_HEADS.values(), ids=INVALID_HEADS.keys())
def test_invalid_interim_head_is_rejected(head: bytes) -> None:
    with pytest.raises(InvalidHeadError):
        feed_in_parts(head.replace(b" 200 ", b" 103 "), 1000)


def test_only_expected_responses_are_checked() -> None:
    checker = ResponseHeadChecker()
    checker.feed(b"HTTP/1.1 600 X\r\n\r\n")
    checker.expect_response()
    checker.feed(b"HTTP/1.1 200 X\r\n\r\nHTTP/1.1 600 X\r\n\r\n")
    checker.feed(b"HTTP/1.1 600 X\r\n\r\n")
    checker.expect_response()
    with pytest.raises(InvalidHeadError):
        checker.feed(b"HTTP/1.1 600 X\r\n\r\n")


@given(st.binary(max_size=60), st.integers(min_value=1, max_value=9))
def test_result_does_not_depend_on_how_bytes_arrive(data: bytes, part_bytes: int) -> None:
    head = b"HTTP/1.1 200 X\r\nA" + data + b"\r\n\r\n"
    results = []
    for size in (part_bytes, 1000):
        try:
            feed_in_parts(head, size)
        except InvalidHeadError:
            results.append(False)
        else:
            results.append(True)
    assert results[0] == results[1]
