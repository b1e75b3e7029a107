"""Refused streams: a retry is recognised until shortly after its retry time."""

from cleatlink.core.data import Role
from cleatlink.core.routes import InboundRequest
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.expected_retries import ExpectedRetries


def inbound(body: bytes = b"prompt", request_id: str = "r") -> InboundRequest:
    return InboundRequest(request_id, b"POST", b"/x", "h", (), body, 0.0)


def test_retry_is_recognised_by_its_content() -> None:
    retries = ExpectedRetries(Capacity())
    retries.expect_retry(inbound(), "s", 500, retry_at=3.0, now=1.0)
    assert retries.match_retry(inbound(b"another prompt"), 3.0) is None
    retry = retries.match_retry(inbound(request_id="its next try"), 3.01)
    assert retry is not None
    assert (retry.refused_at, retry.retry_at, retry.tokens) == (1.0, 3.0, 500)
    # Only the first retry is recognised; a further one is handled like a new request.
    assert retries.match_retry(inbound(), 3.1) is None


def test_peers_recognise_a_retry() -> None:
    sending, receiving = Capacity(), Capacity()
    key = ExpectedRetries(sending).expect_retry(inbound(), "s", 500, retry_at=3.0, now=1.0)
    receiving.add_peer_reservation("p", key, sending.own_reservations[key])
    assert ExpectedRetries(receiving).match_retry(inbound(), 3.0) is not None


def test_retry_is_recognised_from_the_refusal_until_shortly_after_the_retry_time() -> None:
    retries = ExpectedRetries(Capacity())
    for number, retry_at in enumerate((3.0, 2.5, 2.5)):
        retries.expect_retry(inbound(b"%d" % number), "s", 500 + number, retry_at=retry_at, now=1.0)
    early = retries.match_retry(inbound(b"0"), 1.1)
    assert early is not None
    assert (early.tokens, early.retry_at) == (500, 3.0)
    in_time = retries.match_retry(inbound(b"1"), 2.99)
    assert in_time is not None
    assert (in_time.tokens, in_time.retry_at) == (501, 2.5)
    # An expired one does not match, although it was not released yet.
    assert retries.match_retry(inbound(b"2"), 3.01) is None


def test_expected_retry_that_does_not_arrive_is_released() -> None:
    capacity = Capacity()
    retries = ExpectedRetries(capacity)
    key = retries.expect_retry(inbound(), "s", 500, retry_at=3.0, now=1.0)
    assert retries.release_expired(3.0) == []
    assert retries.release_expired(3.6) == [key]
    assert capacity.own_reservations == {}


def test_expected_retry_does_not_count_as_work_of_an_endpoint() -> None:
    capacity = Capacity()
    ExpectedRetries(capacity).expect_retry(inbound(), "s", 500, retry_at=3.0, now=1.0)
    assert capacity.usage("s", Role.DECODE).running == 0
    assert capacity.candidates("s", Role.DECODE, 1.0) == []
