"""The one place for what endpoints say of themselves: that they leave, or want a rest.

Everything is kept by life, with the time at which it was learned, and outlives the endpoint's
registration: an entry that lapses and returns changes nothing of what the endpoint itself said.
"""

from typing import NamedTuple

__all__ = ["EndpointNotices", "Rest"]

# A life that left is remembered for so long after its last word: many times what an endpoint
# serves on for, and what a copy of the registrations can be behind.
_KEPT_S = 600.0


class Rest(NamedTuple):
    """A time for which an endpoint wants nothing.

    Attributes:
        asked_at: When it asked first.
        until: When the time ends.
    """

    asked_at: float
    until: float


class EndpointNotices:
    """What is known of lives' leaving and rests."""

    def __init__(self) -> None:
        self._leaving: dict[str, float] = {}
        self._rests: dict[str, Rest] = {}

    def note_leaving(self, life: str, now: float) -> bool:
        """Note that an endpoint takes no new work; tells whether that is new."""
        is_new = life not in self._leaving
        self._leaving[life] = now
        return is_new

    def is_leaving(self, life: str) -> bool:
        """Tell whether an endpoint takes no new work."""
        return life in self._leaving

    def note_rest(self, life: str, rest_s: float, now: float) -> bool:
        """Note that an endpoint wants nothing for some time; tells whether a rest begins."""
        known = self._rests.get(life)
        if known is None or known.until <= now:
            self._rests[life] = Rest(now, now + rest_s)
            return True
        self._rests[life] = Rest(known.asked_at, max(known.until, now + rest_s))
        return False

    def forget(self, now: float) -> None:
        """Forget lives that left long ago, and rests that are over."""
        self._leaving = {
            life: told_at for life, told_at in self._leaving.items() if now - told_at < _KEPT_S
        }
        self._rests = {life: rest for life, rest in self._rests.items() if rest.until > now}
