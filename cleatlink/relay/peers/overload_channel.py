"""Reports decode endpoints without capacity to peers, so that they do not call them as well."""

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
        self._refused: dict[str, int] = {}
        self._changed = trio.Event()

    def report_rejection(self, endpoint: str, tokens: int) -> None:
        """Queue a report of a decode endpoint that rejected a stream.

        Args:
            endpoint: Name of the decode endpoint.
            tokens: Size of the stream at its end, in tokens.
        """
        self._refused[endpoint] = min(tokens, self._refused.get(endpoint, tokens))
        self._changed.set()

    async def next_messages(self) -> list[OverloadUpdate]:
        """Wait for updates and return the messages to send to every peer."""
        await self._changed.wait()
        await trio.sleep(_COALESCE_DELAY_S)
        self._changed = trio.Event()
        refused, self._refused = self._refused, {}
        return [OverloadUpdate(self._name, sorted(refused.items())[:_MAX_ENDPOINTS])]

    def repeated_messages(self) -> list[OverloadUpdate]:
        """Return no messages: a rejection is out of date within a second."""
        return []

    def initial_messages(self) -> list[OverloadUpdate]:
        """Return no messages: a rejection is out of date within a second."""
        return []
