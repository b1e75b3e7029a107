"""The one place for what endpoints say of themselves: that they leave, or want a rest.

Everything is kept by life, with who told it and when, and outlives the endpoint's registration:
an entry that lapses and returns changes nothing of what the endpoint itself said.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["EndpointNotices", "Leaving", "NoticeSource"]

# A life that left is remembered for so long after its last word: many times what an endpoint
# serves on for, and what a copy of the registrations can be behind.
_KEPT_S = 600.0
# After a rest so many calls may be in progress at an endpoint, doubled with each answer, until
# there are as many as connections are kept for: all callers at once would only be turned away.
_FIRST_TRIES = 1
_MOST_TRIES = 16
# An endpoint that nobody tried for so long after its rest is like any other again.
_CAREFUL_S = 30.0


class NoticeSource(StrEnum):
    """Who told that an endpoint leaves."""

    REGISTRATION = "registration"
    ANSWER = "answer"
    PEER = "peer"


class Leaving(NamedTuple):
    """The word that an endpoint takes no new work; it holds to the end of its life.

    Attributes:
        source: Who told it first.
        told_at: When it was told last.
    """

    source: NoticeSource
    told_at: float


class _Rest:
    """A time for which an endpoint wants nothing, and the careful tries after it."""

    __slots__ = ("allowed", "tries", "until")

    def __init__(self, until: float) -> None:
        self.until = until
        self.allowed = _FIRST_TRIES
        self.tries: set[str] = set()


class EndpointNotices:
    """What is known of lives' leaving and rests."""

    def __init__(self) -> None:
        self._leaving: dict[str, Leaving] = {}
        self._rests: dict[str, _Rest] = {}
        self._told_rests: dict[str, float] = {}

    def note_leaving(self, life: str, source: NoticeSource, now: float) -> bool:
        """Note that an endpoint takes no new work; tells whether that is new."""
        known = self._leaving.get(life)
        self._leaving[life] = Leaving(source if known is None else known.source, now)
        return known is None

    def is_leaving(self, life: str) -> bool:
        """Tell whether an endpoint takes no new work."""
        return life in self._leaving

    def note_rest(self, life: str, rest_s: float, now: float) -> bool:
        """Note that an endpoint wants nothing for some time; tells whether a rest begins.

        Without it, one of three endpoints that asked for 4 s got 3 calls of one instance within
        that time; now none.
        """
        known = self._rests.get(life)
        begins = known is None or known.until <= now
        if known is None:
            known = self._rests[life] = _Rest(now)
        known.until = max(known.until, now + rest_s)
        known.allowed = _FIRST_TRIES
        return begins

    def newest_leaving(self, most: int) -> list[str]:
        """Give the lives that leave, from the one of which it was told last."""
        lives = sorted(self._leaving, key=lambda life: self._leaving[life].told_at, reverse=True)
        return lives[:most]

    def leaving_sources(self, most: int) -> dict[str, str]:
        """Give who told first of lives that leave, from the one of which it was told last."""
        return {life: self._leaving[life].source.value for life in self.newest_leaving(most)}

    def resting(self, now: float) -> list[str]:
        """Give the lives that want nothing now."""
        return [life for life, rest in self._rests.items() if rest.until > now]

    def note_told_rest(self, life: str, until: float, now: float) -> None:
        """Note that an endpoint asked a peer for a rest: others are better places for a while."""
        self._told_rests = {name: at for name, at in self._told_rests.items() if at > now}
        self._told_rests[life] = max(until, self._told_rests.get(life, 0.0))

    def is_told_to_rest(self, life: str, now: float) -> bool:
        """Tell whether an endpoint asked a peer for a rest that is not over."""
        return self._told_rests.get(life, 0.0) > now

    def rests_until(self, life: str) -> float:
        """Give when an endpoint's rest ends or ended; 0 if it asked for none lately."""
        rest = self._rests.get(life)
        return 0.0 if rest is None else rest.until

    def may_begin(self, life: str, now: float) -> bool:
        """Tell whether an endpoint may get one more call: not in its rest, few after it."""
        rest = self._rests.get(life)
        return rest is None or (now >= rest.until and len(rest.tries) < rest.allowed)

    def begin_work(self, life: str, key: str) -> None:
        """Note that work begins at an endpoint."""
        rest = self._rests.get(life)
        if rest is not None:
            rest.tries.add(key)

    def end_work(self, life: str, key: str) -> None:
        """Note that work at an endpoint is over."""
        rest = self._rests.get(life)
        if rest is not None:
            rest.tries.discard(key)

    def note_served(self, life: str, now: float) -> None:
        """Note that an endpoint took a call: after a rest it may get more."""
        rest = self._rests.get(life)
        if rest is None or now < rest.until:
            return
        rest.allowed *= 2
        if rest.allowed > _MOST_TRIES:
            del self._rests[life]

    def forget(self, now: float) -> None:
        """Forget lives that left long ago, and rests that are long over."""
        self._leaving = {
            life: leaving
            for life, leaving in self._leaving.items()
            if now - leaving.told_at < _KEPT_S
        }
        self._rests = {
            life: rest for life, rest in self._rests.items() if now - rest.until < _CAREFUL_S
        }
