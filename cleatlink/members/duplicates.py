"""Detects duplicate messages that arrive over several paths and out of order."""

from collections.abc import Set

__all__ = ["DuplicateFilter"]

# Number of messages of one sender that may arrive out of order, sent over several seconds.
_WINDOW_SIZE = 256
_WINDOW_BITS = (1 << _WINDOW_SIZE) - 1


class _ReceivedNumbers:
    """Message numbers received from a sender; mutable because hundreds of messages arrive a second.

    Attributes:
        incarnation: Number that increases with each start of the sender.
        newest: Highest number received.
        earlier: Bit set of the received numbers; bit n stands for the number ``newest - n``.
    """

    __slots__ = ("earlier", "incarnation", "newest")

    def __init__(self, incarnation: int, newest: int) -> None:
        self.incarnation = incarnation
        self.newest = newest
        self.earlier = 1


class DuplicateFilter:
    """A sliding window of the received message numbers of each sender."""

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedNumbers] = {}

    def __len__(self) -> int:
        return len(self._received)

    def record_if_new(self, sender: str, incarnation: int, number: int) -> bool:
        """Check whether a message has not been received yet, and record it as received.

        A number below the window counts as received.

        Args:
            sender: Original sender of the message.
            incarnation: Incarnation of the sender; a message of an earlier one is never new.
            number: Sequence number that the sender gave to the message.
        """
        received = self._received.get(sender)
        if received is None or incarnation > received.incarnation:
            self._received[sender] = _ReceivedNumbers(incarnation, number)
            return True
        if incarnation < received.incarnation:
            return False
        offset = number - received.newest
        if offset > 0:
            received.newest = number
            received.earlier = (
                1 if offset >= _WINDOW_SIZE else (received.earlier << offset | 1) & _WINDOW_BITS
            )
            return True
        bit = 1 << -offset
        if -offset >= _WINDOW_SIZE or received.earlier & bit:
            return False
        received.earlier |= bit
        return True

    def retain_senders(self, senders: Set[str]) -> None:
        """Remove all senders except the given ones."""
        self._received = {
            name: received for name, received in self._received.items() if name in senders
        }
