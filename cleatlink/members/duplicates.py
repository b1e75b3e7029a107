"""Tells what was heard already, where messages come on several ways and out of order."""

from collections.abc import Set

__all__ = ["Duplicates"]

# Messages of one sender that may overtake each other: several seconds of them.
_WINDOW = 256
_WINDOW_BITS = (1 << _WINDOW) - 1


class _Heard:
    """What was heard of a sender; changed in place, since hundreds of messages come a second.

    Attributes:
        incarnation: Grows with each start of the sender.
        newest: Highest number.
        earlier: Bits of the numbers below, the lowest bit that of the newest.
    """

    __slots__ = ("earlier", "incarnation", "newest")

    def __init__(self, incarnation: int, newest: int) -> None:
        self.incarnation = incarnation
        self.newest = newest
        self.earlier = 1


class Duplicates:
    """A window of the numbers that were heard, for each sender."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def __len__(self) -> int:
        return len(self._heard)

    def is_new(self, sender: str, incarnation: int, number: int) -> bool:
        """Tell whether a message was not heard yet, and count it as heard.

        Args:
            sender: Who told it first.
            incarnation: Start of the sender; what an earlier one told is never new.
            number: Of the message, in the order in which the sender told.
        """
        heard = self._heard.get(sender)
        if heard is None or incarnation > heard.incarnation:
            self._heard[sender] = _Heard(incarnation, number)
            return True
        if incarnation < heard.incarnation:
            return False
        ahead = number - heard.newest
        if ahead > 0:
            heard.newest = number
            heard.earlier = 1 if ahead >= _WINDOW else (heard.earlier << ahead | 1) & _WINDOW_BITS
            return True
        bit = 1 << -ahead
        if -ahead >= _WINDOW or heard.earlier & bit:
            return False
        heard.earlier |= bit
        return True

    def keep(self, senders: Set[str]) -> None:
        """Forget all but some senders."""
        self._heard = {name: heard for name, heard in self._heard.items() if name in senders}
