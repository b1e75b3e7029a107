"""Tells peers what endpoints said of themselves, so that each is not turned away first."""

import random

import eliot
import trio

from cleatlink.relay.peers.messages import NoticeNews
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.routing.notices import EndpointNotices, NoticeSource

__all__ = ["SharedNotices"]

# Answers of one endpoint come close together; they are told of together.
_GATHER_S = 0.005
# Heartbeats repeat the newest words, which a loss could have kept from somebody.
_MOST_REPEATED = 32
# Lives in one datagram: their names are bounded by what a store takes as a key.
_MOST_LIVES = 200
# A rest that peers know of is told again only if it lasts longer by this, in seconds: an
# endpoint that turns everybody away names a time with each answer.
_LONGER_S = 0.5
# Where a rest was told by others, an instance comes back later by up to this share of what was
# left: its end would bring all instances at the same moment.
_SPREAD_SHARE = 0.5


class SharedNotices(NewsChannel):
    """What this instance tells, and takes, of endpoints' own words."""

    def __init__(self, name: str, notices: EndpointNotices, rng: random.Random) -> None:
        """Start with nothing to tell.

        Args:
            name: This instance's name.
            notices: Where what endpoints say is kept.
            rng: Spreads the ends of rests.
        """
        self._name = name
        self._notices = notices
        self._rng = rng
        self._leaving: set[str] = set()
        self._resting: set[str] = set()
        self._told_until: dict[str, float] = {}
        self._wake = trio.Event()

    def tell_leaving(self, life: str) -> None:
        """Have peers told that an endpoint said that it leaves."""
        self._leaving.add(life)
        self._wake.set()

    def tell_rest(self, life: str) -> None:
        """Have peers told of an endpoint's rest, unless they know of one as long."""
        until = self._notices.rests_until(life)
        if until - self._told_until.get(life, 0.0) < _LONGER_S:
            return
        self._note_told(life, until, trio.current_time())
        self._resting.add(life)
        self._wake.set()

    async def next(self) -> list[NoticeNews]:
        """Wait for something to tell every peer, and give it."""
        await self._wake.wait()
        await trio.sleep(_GATHER_S)
        self._wake = trio.Event()
        leaving, self._leaving = sorted(self._leaving), set()
        resting, self._resting = sorted(self._resting), set()
        return self._messages(leaving, resting)

    def repeat(self) -> list[NoticeNews]:
        """Give what a heartbeat repeats to a few peers: the newest words of leaving."""
        return self._messages(self._notices.newest_leaving(_MOST_REPEATED), [])

    def introduction(self) -> list[NoticeNews]:
        """Give everything that was said, for a peer that is new."""
        leaving = self._notices.newest_leaving(_MOST_LIVES)
        return self._messages(leaving, self._notices.resting(trio.current_time())[:_MOST_LIVES])

    def _messages(self, leaving: list[str], resting: list[str]) -> list[NoticeNews]:
        if not leaving and not resting:
            return []
        now = trio.current_time()
        left_s = {life: self._notices.rests_until(life) - now for life in resting}
        rests = [(life, round(seconds, 3)) for life, seconds in left_s.items() if seconds > 0]
        return [NoticeNews(self._name, leaving[:_MOST_LIVES], rests)]

    def take(self, news: NoticeNews) -> list[str]:
        """Take what a peer tells; gives the lives of which it is new that they leave."""
        now = trio.current_time()
        found = [
            life
            for life in news.leaving
            if self._notices.note_leaving(life, NoticeSource.PEER, now)
        ]
        for life in found:
            eliot.log_message(
                message_type="endpoint: leaves, as a peer tells", endpoint=life, peer=news.name
            )
        for life, left_s in news.rests:
            if left_s > 0:
                self._take_rest(life, now, left_s)
        return found

    def _note_told(self, life: str, until: float, now: float) -> None:
        """Note that peers know of a rest; those that are over are forgotten."""
        self._told_until = {name: at for name, at in self._told_until.items() if at > now}
        self._told_until[life] = until

    def _take_rest(self, life: str, now: float, left_s: float) -> None:
        """Take a rest that was asked of a peer; it is told no further."""
        self._note_told(life, max(self._told_until.get(life, 0.0), now + left_s), now)
        until = now + left_s * (1 + _SPREAD_SHARE * self._rng.random())
        self._notices.note_told_rest(life, until, now)
