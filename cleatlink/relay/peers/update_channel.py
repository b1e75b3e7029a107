"""Interface of updates to peers that are sent in addition to heartbeats."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from cleatlink.relay.peers.messages import Message

__all__ = ["UpdateChannel"]


class UpdateChannel(ABC):
    """Source of one kind of update for peers.

    Datagrams can be lost, and instances can restart or be disconnected. Each heartbeat therefore
    repeats some updates to a few peers, and a new peer receives the complete state.
    """

    @property
    def is_data_centre_local(self) -> bool:
        """Whether updates go only to peers of this instance's data centre."""
        return False

    @property
    def tolerates_delay(self) -> bool:
        """Whether updates may be delayed by some tens of milliseconds to be sent in bundles."""
        return True

    @abstractmethod
    async def next_messages(self) -> Sequence[Message]:
        """Wait for updates and return the messages to send to every peer."""

    @abstractmethod
    def repeated_messages(self) -> Sequence[Message]:
        """Return the messages that are repeated to a few peers with each heartbeat."""

    @abstractmethod
    def initial_messages(self) -> Sequence[Message]:
        """Return messages with the complete state, for a new peer."""
