"""Tells peers at once of decodes that had no room, so that they do not ask there, too."""

import trio

from cleatlink.relay.peers.messages import ShedNews
from cleatlink.relay.peers.news import NewsChannel

__all__ = ["ShedNewsChannel"]

# Refusals of one moment are told of together.
_GATHER_S = 0.005
# Decodes in one datagram.
_MOST_TOLD = 16


class ShedNewsChannel(NewsChannel):
    """What this instance tells of refusals; what is lost costs a peer one call."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._refused: dict[str, int] = {}
        self._wake = trio.Event()

    def tell(self, endpoint: str, tokens: int) -> None:
        """Have peers told of a decode that had no room for a stream of so many tokens."""
        self._refused[endpoint] = min(tokens, self._refused.get(endpoint, tokens))
        self._wake.set()

    async def next(self) -> list[ShedNews]:
        """Wait for something to tell every peer, and give it."""
        await self._wake.wait()
        await trio.sleep(_GATHER_S)
        self._wake = trio.Event()
        refused, self._refused = self._refused, {}
        return [ShedNews(self._name, sorted(refused.items())[:_MOST_TOLD])]

    def repeat(self) -> list[ShedNews]:
        """Give nothing: a refusal is old news within a second."""
        return []

    def introduction(self) -> list[ShedNews]:
        """Give nothing, for the same reason."""
        return []
