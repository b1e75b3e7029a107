"""Reports decode endpoints without capacity to peers, so that the peers avoid them."""

import trio

from cleatlink.relay.peers.messages import OverloadUpdate
from cleatlink.relay.peers.update_channel import UpdateChannel

__all__ = ["OverloadChannel"]

# Delay within which rejections are collected for one message, in seconds.
_COALESCE_DELAY_S = 0.005
# Maximum number of decode endpoints in one datagram.
_MAX_ENDPOINTS = 16


class OverloadChannel(UpdateChannel):
    """Channel for rejections for overload; a lost message costs a peer one rejected call."""

    def __init__(self, name: str) -> None:
        self._name = name
        # Size of the smallest rejected stream by decode endpoint, in tokens.
        self._rejected_tokens: dict[str, int] = {}
        self._has_changes = trio.Event()

    def report_rejection(self, endpoint: str, tokens: int) -> None:
        """Queue a report of a decode endpoint that rejected a stream.

        Args:
            endpoint: Name of the decode endpoint.
            tokens: Size of the stream at its end, in tokens.
        """
        self._rejected_tokens[endpoint] = min(tokens, self._rejected_tokens.get(endpoint, tokens))
        self._has_changes.set()

    async def next_messages(self) -> list[OverloadUpdate]:
        """Wait for updates and return the messages to send to every peer."""
        await self._has_changes.wait()
        await trio.sleep(_COALESCE_DELAY_S)
        self._has_changes = trio.Event()
        rejected_tokens, self._rejected_tokens = self._rejected_tokens, {}
        return [OverloadUpdate(self._name, sorted(rejected_tokens.items())[:_MAX_ENDPOINTS])]

    def repeated_messages(self) -> list[OverloadUpdate]:
        """Return no messages: a rejection is out of date within a second."""
        return []

    def initial_messages(self) -> list[OverloadUpdate]:
        """Return no messages: a rejection is out of date within a second."""
        return []
