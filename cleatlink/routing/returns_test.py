"""Callers that were refused: known when they are back, until shortly after they are due."""

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


def test_caller_is_known_from_its_refusal_until_shortly_after_it_is_due() -> None:
    returns = Returns(Capacity())
    for number, due in enumerate((3.0, 2.5, 2.5)):
        returns.expect(inbound(b"%d" % number), "s", 500 + number, due=due, now=1.0)
    early = returns.take(inbound(b"0"), 1.1)
    assert early is not None
    assert (early.tokens, early.due) == (500, 3.0)
    in_time = returns.take(inbound(b"1"), 2.99)
    assert in_time is not None
    assert (in_time.tokens, in_time.due) == (501, 2.5)
    # One that stays away is forgotten, at the latest when it is looked for.
    assert returns.take(inbound(b"2"), 3.01) is None


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
