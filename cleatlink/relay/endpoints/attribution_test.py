"""Tests of the decision which request a response belongs to."""

import pytest

from cleatlink.core.errors import OutcomeUnknownError
from cleatlink.platform import PROTOCOL
from cleatlink.relay.endpoints.attribution import ResponseAttribution, ResponseOwner
from cleatlink.relay.endpoints.protocol import NamedRequest, OutgoingRequest, ResponseHead

_Headers = tuple[tuple[bytes, bytes], ...]
_OWN = (b"Attempt-Id", b"a")
_OTHER = (b"Attempt-Id", b"b")
_MARK = (b"Not-Executed", b"1")
_STAMP = (b"Server-Stamp", b"s")
_INSTANCE = (b"Instance-Id", b"i-2")
_THIS, _PREVIOUS = ResponseOwner.THIS_REQUEST, ResponseOwner.PREVIOUS_REQUEST
_ANOTHER, _UNKNOWN = ResponseOwner.OTHER_REQUEST, ResponseOwner.UNKNOWN


def attribute(
    exchanges: list[tuple[str | None, ResponseHead]], method: bytes = b"POST"
) -> ResponseAttribution:
    """Attribute the responses on one connection, of which the last has the given method."""
    attribution = ResponseAttribution(PROTOCOL)
    for number, (request_id, head) in enumerate(exchanges, 1):
        used_method = method if number == len(exchanges) else b"POST"
        attribution.note_sent(OutgoingRequest(used_method, b"/x", (), b"", request_id))
        attribution.note_response(head)
    return attribution


@pytest.mark.parametrize(
    ("headers", "request_id", "expected"),
    [
        ((_OWN,), "a", NamedRequest.THIS_REQUEST),
        ((_OTHER,), "a", NamedRequest.OTHER_REQUEST),
        ((), "a", NamedRequest.NONE),
        ((), None, NamedRequest.NONE),
        ((_OTHER,), None, NamedRequest.OTHER_REQUEST),
    ],
)
def test_named_request_is_the_one_that_a_response_names(
    headers: _Headers, request_id: str | None, expected: NamedRequest
) -> None:
    assert attribute([(request_id, ResponseHead(200, headers))]).named_request is expected


@pytest.mark.parametrize(
    ("status", "headers", "request_id", "expected"),
    [
        (200, (_OWN, _STAMP), "a", True),
        (200, (_OTHER, _STAMP), "a", False),
        (503, (_OTHER, _MARK), "a", False),
        (421, (_OTHER, _INSTANCE), "a", False),
        (503, (_MARK,), "a", True),
        (421, (_INSTANCE,), "a", True),
        (503, (), "a", False),
        (200, (), "a", False),
        (200, (), None, True),
        (503, (_MARK,), None, True),
        (200, (_OTHER,), None, False),
    ],
)
def test_response_belongs_to_a_request_that_it_names_or_rejects(
    status: int, headers: _Headers, request_id: str | None, expected: bool
) -> None:
    attribution = attribute([(request_id, ResponseHead(status, headers))])
    assert (attribution.owner is _THIS) is expected
    if not expected:
        with pytest.raises(OutcomeUnknownError):
            attribution.check()


_REPLY = ResponseHead(200, ((b"Content-Type", b"application/json"),))
_FULL = ResponseHead(503, ((b"Retry-After", b"2"),))


@pytest.mark.parametrize(
    ("previous_id", "previous", "request_id", "head", "expected"),
    [
        # Copies of the response to a caller's request.
        ("b", ResponseHead(200, (_OTHER, _STAMP)), "a", ResponseHead(200, (_OTHER,)), _PREVIOUS),
        ("b", ResponseHead(503, (_OTHER, _MARK)), "a", ResponseHead(503, (_OTHER,)), _PREVIOUS),
        ("b", ResponseHead(200, (_OTHER, _STAMP)), None, ResponseHead(200, (_OTHER,)), _PREVIOUS),
        ("c", ResponseHead(200, ()), "a", ResponseHead(200, (_OTHER,)), _ANOTHER),
        # Copies of the reply to a request of the relay itself.
        (None, _REPLY, "a", _REPLY, _PREVIOUS),
        (None, _FULL, "a", _FULL, _PREVIOUS),
        (None, _REPLY, "a", _FULL, _UNKNOWN),
        (None, _REPLY, None, _REPLY, _UNKNOWN),
        (None, _REPLY, None, _FULL, _UNKNOWN),
        # Rejections that name no request.
        ("b", ResponseHead(200, (_OTHER, _STAMP)), "a", ResponseHead(503, (_MARK,)), _UNKNOWN),
        (None, _REPLY, "a", ResponseHead(503, (_MARK,)), _UNKNOWN),
        (
            None,
            ResponseHead(503, (_MARK,)),
            "a",
            ResponseHead(503, (_MARK,)),
            _UNKNOWN,
        ),
        ("b", ResponseHead(200, (_OTHER, _STAMP)), "a", ResponseHead(421, (_INSTANCE,)), _THIS),
        # Replies to requests of the relay itself.
        ("b", ResponseHead(200, (_OTHER, _STAMP)), None, _REPLY, _THIS),
    ],
)
def test_late_copy_is_not_the_response_to_the_next_request(
    previous_id: str | None,
    previous: ResponseHead,
    request_id: str | None,
    head: ResponseHead,
    expected: ResponseOwner,
) -> None:
    assert attribute([(previous_id, previous), (request_id, head)]).owner is expected


def test_second_copy_in_a_row_is_not_skipped() -> None:
    copy = ResponseHead(200, (_OTHER, _STAMP))
    attribution = attribute([("b", copy), ("a", copy)])
    assert attribution.owner is _PREVIOUS
    attribution.note_extra_response()
    attribution.note_response(copy)
    assert attribution.owner is _ANOTHER
    assert not attribution.allows_reuse


def test_copy_with_another_framing_is_not_skipped() -> None:
    copy = ResponseHead(200, (_OTHER, _STAMP))
    assert attribute([("b", copy), ("a", copy)], b"HEAD").owner is _ANOTHER
    assert attribute([(None, _REPLY), ("a", _REPLY)], b"HEAD").owner is _UNKNOWN


@pytest.mark.parametrize(
    ("last_id", "request_id", "expected"),
    [
        ("a", "b", True),
        ("a", None, True),
        (None, "a", True),
        ("a", "a", False),
        (None, None, False),
    ],
)
def test_connection_carries_no_request_whose_response_looks_like_the_last(
    last_id: str | None, request_id: str | None, expected: bool
) -> None:
    attribution = ResponseAttribution(PROTOCOL)
    assert attribution.allows_request(request_id)
    attribution.note_sent(OutgoingRequest(b"POST", b"/x", (), b"", last_id))
    assert attribution.allows_request(request_id) is expected
