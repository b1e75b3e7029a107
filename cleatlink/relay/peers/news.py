"""What is told to peers beside heartbeats: at once, again with heartbeats, and to who is new."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from cleatlink.relay.peers.messages import Message

__all__ = ["NewsChannel"]


class NewsChannel(ABC):
    """One kind of news.

    Datagrams can be lost, and instances start anew or are cut off: so each heartbeat repeats
    some of it to a few peers, and a peer that is new is told everything.
    """

    @property
    def is_local(self) -> bool:
        """Whether only peers of the own data centre are told."""
        return False

    @property
    def bears_delay(self) -> bool:
        """Whether it may wait some tens of milliseconds for others on its way."""
        return True

    @abstractmethod
    async def next(self) -> Sequence[Message]:
        """Wait for something to tell every peer, and give it."""

    @abstractmethod
    def repeat(self) -> Sequence[Message]:
        """Give what a heartbeat repeats to a few peers."""

    @abstractmethod
    def introduction(self) -> Sequence[Message]:
        """Give everything, for a peer that is new."""
