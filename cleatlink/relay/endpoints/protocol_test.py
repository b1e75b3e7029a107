"""Tests of what a response says about its request."""

import pytest

from cleatlink.platform import PROTOCOL
from cleatlink.relay.endpoints.protocol import ResponseHead

_OWN = (b"Attempt-Id", b"a")
_OTHER = (b"Attempt-Id", b"b")
_MARK = (b"Not-Executed", b"1")
_STAMP = (b"Server-Stamp", b"s")
_INSTANCE = (b"Instance-Id", b"i-2")
_Headers = tuple[tuple[bytes, bytes], ...]


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (503, (_MARK,), True),
        (429, (_OWN, _MARK), True),
        (400, (_MARK,), True),
        (200, (_OWN, _MARK, _STAMP), False),
        (421, (_OWN, _INSTANCE, _MARK), True),
        (421, (_INSTANCE,), True),
        (421, (_OWN, _STAMP), False),
        (421, (_OWN, _INSTANCE, _STAMP), False),
        (503, (_OWN, _STAMP), False),
        (429, (_OWN,), False),
        (408, (_OWN,), False),
    ],
)
def test_only_a_marked_or_misdirected_response_says_that_its_request_did_not_run(
    status: int, headers: _Headers, expected: bool
) -> None:
    assert PROTOCOL.reports_not_executed(ResponseHead(status, headers)) is expected


@pytest.mark.parametrize(
    ("status", "headers", "request_id", "expected"),
    [
        (503, (_OWN, _MARK), "a", 2.0),
        (429, (_OWN, _MARK), "a", 2.0),
        (503, (_MARK,), "a", 2.0),
        (503, (_OWN, _STAMP), "a", 0.0),
        (429, (_OWN,), "a", 0.0),
        (503, (), "a", 0.0),
        # Responses to requests of the relay itself have no mark.
        (503, (), None, 2.0),
    ],
)
def test_only_a_rejection_asks_for_a_backoff(
    status: int, headers: _Headers, request_id: str | None, expected: float
) -> None:
    head = ResponseHead(status, (*headers, (b"Retry-After", b"2")))
    assert PROTOCOL.read_notice(head, request_id).backoff_s == expected
