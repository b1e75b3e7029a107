"""Callers that were refused: known when they are back, and room kept for them."""

from cleatlink.core.data import Role
from cleatlink.core.routes import Inbound
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.returns import Returns


def inbound(body: bytes = b"prompt", request_id: str = "r") -> Inbound:
    return Inbound(request_id, b"POST", b"/x", "h", (), body, 0.0)


def test_caller_is_known_by_what_it_asks_for_when_it_is_back() -> None:
    returns = Returns(Capacity())
    returns.expect(inbound(), "s", 500, due=3.0, now=1.0)
    assert returns.take(inbound(b"another prompt"), 3.0) is None
    back = returns.take(inbound(request_id="its next try"), 3.01)
    assert back is not None
    assert (back.refused_at, back.due, back.tokens) == (1.0, 3.0, 500)
    # It is back once; a third try stands where any newcomer stands.
    assert returns.take(inbound(), 3.1) is None


def test_peers_know_it_too() -> None:
    told, heard = Capacity(), Capacity()
    key = Returns(told).expect(inbound(), "s", 500, due=3.0, now=1.0)
    heard.peer_reserve("p", key, told.own[key])
    assert Returns(heard).take(inbound(), 3.0) is not None


def test_room_is_kept_from_shortly_before_it_is_due_until_it_is_back() -> None:
    returns = Returns(Capacity())
    returns.expect(inbound(b"1"), "s", 500, due=3.0, now=1.0)
    returns.expect(inbound(b"2"), "s", 600, due=2.5, now=1.5)
    returns.expect(inbound(b"3"), "other", 700, due=2.5, now=1.5)
    assert returns.due("s", 2.0, 0.2) == []
    assert [item.tokens for item in returns.due("s", 2.4, 0.2)] == [600]
    assert [item.tokens for item in returns.due("s", 2.4, 1.0)] == [500, 600]
    returns.take(inbound(b"2"), 2.5)
    assert [item.tokens for item in returns.due("s", 2.9, 0.2)] == [500]
    # One that stays away is forgotten.
    assert returns.due("s", 3.6, 0.2) == []


def test_what_did_not_come_back_is_released() -> None:
    capacity = Capacity()
    returns = Returns(capacity)
    key = returns.expect(inbound(), "s", 500, due=3.0, now=1.0)
    assert returns.forget(3.0) == []
    assert returns.forget(3.6) == [key]
    assert capacity.own == {}


def test_what_is_kept_is_no_work_of_any_endpoint() -> None:
    capacity = Capacity()
    Returns(capacity).expect(inbound(), "s", 500, due=3.0, now=1.0)
    assert capacity.usage("s", Role.DECODE).running == 0
    assert capacity.candidates("s", Role.DECODE, 1.0) == []
