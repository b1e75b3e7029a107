"""Tells peers what endpoints said of their limits, and what this instance takes of them."""

import eliot
import trio

from cleatlink.limits import PeerTotals
from cleatlink.relay.peers.messages import EndpointSpending
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.routing.endpoint_limits import EndpointLimits, LimitWord

__all__ = ["EndpointLimitNews"]

# Calls that are placed within so long of each other are told together.
_GATHER_S = 0.002
# Time between two messages, in seconds: an endpoint whose limit is high is told of in bunches.
_PAUSE_S = 0.005
# Heartbeats repeat the newest words, which a loss could have kept from somebody.
_MOST_REPEATED = 32
# Lives in one datagram: their names are bounded by what a store takes as a key.
_MOST_LIVES = 200


class EndpointLimitNews(NewsChannel):
    """One instance's side of limits that endpoints name."""

    def __init__(self, name: str, incarnation: int, limits: EndpointLimits) -> None:
        """Start with nothing to tell.

        Args:
            name: This instance's name.
            incarnation: Grows with each start of this instance.
            limits: The limits.
        """
        self._name = name
        self._incarnation = incarnation
        self._limits = limits
        self._changed: set[str] = set()
        self._wake = trio.Event()
        limits.listen(self._note_taken)

    def _note_taken(self) -> None:
        self._wake.set()

    def tell_word(self, life: str) -> None:
        """Have peers told that an endpoint names another limit, or none any more."""
        self._changed.add(life)
        self._wake.set()

    @property
    def bears_delay(self) -> bool:
        """No: what others took of a limit is counted until the next call is let pass."""
        return False

    async def next(self) -> list[EndpointSpending]:
        """Wait for something to tell every peer, and give it."""
        await trio.sleep(_PAUSE_S)
        await self._wake.wait()
        await trio.sleep(_GATHER_S)
        self._wake = trio.Event()
        now = trio.current_time()
        changed, self._changed = sorted(self._changed), set()
        return [self._spending([self._limits.word(life, now) for life in changed], now)]

    def repeat(self) -> list[EndpointSpending]:
        """Give what a heartbeat repeats to a few peers: what endpoints said to this instance."""
        now = trio.current_time()
        words = self._limits.words(now, _MOST_REPEATED)
        return [self._spending(words, now)] if words else []

    def introduction(self) -> list[EndpointSpending]:
        """Give everything, for a peer that is new."""
        now = trio.current_time()
        words = self._limits.words(now, _MOST_LIVES, all_known=True)
        return [self._spending(words, now, whole=True)] if words else []

    def _spending(
        self, words: list[LimitWord], now: float, *, whole: bool = False
    ) -> EndpointSpending:
        """Give what endpoints said, and what this instance took: all of it, or what changed."""
        limits = self._limits
        return EndpointSpending(
            self._name,
            self._incarnation,
            [(word.life, word.rate_per_s, word.age_s) for word in words[:_MOST_LIVES]],
            limits.totals(now, whole=whole),
            limits.returned(now, whole=whole),
            limits.spenders,
            round(limits.age_s(now), 3),
            limits.levels(now) if whole else {},
        )

    def take(self, news: EndpointSpending) -> None:
        """Take what a peer tells: first the limits, then what it took of them."""
        now = trio.current_time()
        for word in map(LimitWord._make, news.words):
            if self._limits.note_told(word, now):
                eliot.log_message(
                    message_type="endpoint: names a limit, as a peer tells",
                    endpoint=word.life,
                    per_s=word.rate_per_s or None,
                    age_s=word.age_s,
                    peer=news.name,
                )
        if news.levels:
            self._limits.adopt(news.levels, news.age_s, now)
        totals = PeerTotals(
            news.name, news.incarnation, news.totals, news.spenders, news.age_s, news.returned
        )
        self._limits.take_totals(totals, now)
