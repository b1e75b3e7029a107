"""Streams that were refused for want of room and are expected back.

A refusal names a time at which there should be room. Until shortly after it a caller that
comes back, to whichever instance, is known by what it asks for, and so is the time at which
it asked first. No room is kept for it: it is late by then as a rule, and those that can
still be in time go first.
"""

from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import Inbound
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.reservation import Reservation

__all__ = ["ExpectedReturn", "Returns"]

# A caller that is not back so long after its time has gone elsewhere.
_GRACE_S = 0.5


class ExpectedReturn(NamedTuple):
    """A stream that is expected back.

    Attributes:
        refused_at: When it was refused.
        due: When it was asked to come back.
        tokens: Memory that it holds at its end.
    """

    refused_at: float
    due: float
    tokens: int


class Returns:
    """What is known of the streams that are expected back."""

    def __init__(self, capacity: Capacity) -> None:
        self._capacity = capacity
        self._back: dict[str, Reservation] = {}

    def expect(self, inbound: Inbound, service: str, tokens: int, due: float, now: float) -> str:
        """Note that a stream is refused; gives the key under which it is reserved."""
        key = _key(inbound)
        until = due + _GRACE_S
        work = Reservation(_queue(service), Role.DECODE, tokens, until, until - now)
        self._capacity.reserve(key, work)
        return key

    def take(self, inbound: Inbound, now: float) -> ExpectedReturn | None:
        """Note that a stream is there; gives what was expected if it is one that is back."""
        key = _key(inbound)
        work = self._capacity.find(key)
        if work is None or work.ends_at <= now or key in self._back:
            return None
        self._back[key] = work
        return _read(work)

    def forget(self, now: float) -> list[str]:
        """Forget own ones that did not come; gives their keys."""
        self._back = {key: work for key, work in self._back.items() if work.ends_at > now}
        over = [
            key
            for key, work in self._capacity.own.items()
            if key.startswith(_PREFIX) and work.ends_at <= now
        ]
        for key in over:
            self._capacity.release(key)
        return over


_PREFIX = "back/"


def _key(inbound: Inbound) -> str:
    return _PREFIX + inbound.identity.hex()


def _queue(service: str) -> str:
    """Give the name under which a service's returns are reserved; no endpoint has it."""
    return f"returns to {service}"


def _read(work: Reservation) -> ExpectedReturn:
    return ExpectedReturn(work.ends_at - work.duration_s, work.ends_at - _GRACE_S, work.tokens)
