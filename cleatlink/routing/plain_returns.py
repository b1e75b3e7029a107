"""Plain calls that were refused, and the moments at which their callers may be back.

Who is back in time goes before those who come first; who does not wait goes behind them. Both
hold only while the service is nearly full: where there is room, everybody is served.
"""

from enum import Enum, auto
from typing import NamedTuple

__all__ = ["PlainReturns", "Return"]

# A caller that is not back so long after its time has gone elsewhere.
_GRACE_S = 0.5
# Callers' clocks and ways differ by so much.
_EARLY_S = 0.02
# More callers than this who ask for the same are no single one who repeats.
_MOST_EARLY = 4
# Refused calls that are remembered; the oldest are forgotten first.
_MOST = 1024
# Refused calls that wait to be told to peers; what is not told in time is of no use.
_MOST_UNTOLD = 32


class Return(Enum):
    """What is known of a call that arrives."""

    FIRST = auto()
    IN_TIME = auto()
    EARLY = auto()


class _Expected(NamedTuple):
    """A call that was refused.

    Attributes:
        due: When its caller may be back.
        early: How many with the same request came before that.
    """

    due: float
    early: int = 0


class PlainReturns:
    """The refused calls that this instance knows of, its own and peers'."""

    def __init__(self) -> None:
        self._expected: dict[bytes, _Expected] = {}
        self._untold: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._expected)

    def expect(self, identity: bytes, due: float) -> None:
        """Note that this instance refused a call."""
        self.expect_told(identity, due)
        self._untold[identity] = due
        if len(self._untold) > _MOST_UNTOLD:
            del self._untold[next(iter(self._untold))]

    def expect_told(self, identity: bytes, due: float) -> None:
        """Note that some instance refused a call."""
        before = self._expected.pop(identity, None)
        self._expected[identity] = _Expected(due, before.early if before is not None else 0)
        if len(self._expected) > _MOST:
            del self._expected[next(iter(self._expected))]

    def take(self, identity: bytes, now: float) -> Return:
        """Tell what is known of a call that arrives; one refusal counts for one return."""
        expected = self._expected.get(identity)
        if expected is None or now > expected.due + _GRACE_S:
            return Return.FIRST
        if now < expected.due - _EARLY_S:
            self._expected[identity] = expected._replace(early=expected.early + 1)
            return Return.EARLY if expected.early < _MOST_EARLY else Return.FIRST
        del self._expected[identity]
        return Return.FIRST if expected.early else Return.IN_TIME

    def untold(self, most: int, now: float) -> list[tuple[bytes, float]]:
        """Give refused calls to tell of, with the seconds until they may be back."""
        found = [(name, due - now) for name, due in self._untold.items() if due > now]
        self._untold = dict(list(self._untold.items())[most:])
        return found[:most]

    def forget(self, now: float) -> None:
        """Forget those that did not come."""
        over = [name for name, item in self._expected.items() if item.due + _GRACE_S < now]
        for name in over:
            del self._expected[name]
