"""Limits that endpoints name themselves: calls a second, of all instances together.

A limit belongs to a life, holds from the answer that names it, and ends with one that does not.
A call books its unit when it is placed, which may be ahead of the time at which it is due: so
calls of all instances stand in one line, and none of them is sent before its turn.
"""

from collections.abc import Callable
from itertools import islice
from typing import NamedTuple

from cleatlink.limits import Bucket, RateLimit, SharedLimits

__all__ = ["EndpointLimits", "LimitWord"]

# Seconds of a limit that may be sent together, on top of one call: calls that wait for room try
# again within that time, so that nothing of what an endpoint takes is left unused.
_BURST_S = 0.3
# An answer without a limit counts only so long after one with it: answers can overtake each
# other on their way.
_OVERTAKEN_S = 0.5
# A limit that no answer to anybody has named for so long is over: nobody gets an answer there.
_KNOWN_S = 60.0
# What is over is remembered for so long, so that totals that peers know do not fall.
_KEPT_S = 600.0


class LimitWord(NamedTuple):
    """What an endpoint said of its limit.

    Attributes:
        life: The endpoint's life.
        rate_per_s: Calls a second, of all instances together; 0 for no limit any more.
        age_s: Seconds since it said so.
    """

    life: str
    rate_per_s: float
    age_s: float


class _Named(NamedTuple):
    """The newest word of one life.

    Attributes:
        rate_per_s: As in ``LimitWord``.
        said_at: When it said so.
        was_heard: Whether it said so to this instance.
    """

    rate_per_s: float
    said_at: float
    was_heard: bool


class EndpointLimits(SharedLimits):
    """The limits that endpoints name, as seen by one instance."""

    def __init__(self, now: float) -> None:
        """Begin without any."""
        super().__init__(now)
        self._named: dict[str, _Named] = {}
        # Units that calls have booked and not sent yet, by the calls' keys and by life.
        self._booked: dict[str, str] = {}
        self._unsent: dict[str, dict[str, None]] = {}
        self._on_taken: Callable[[], None] = _ignore

    def listen(self, on_taken: Callable[[], None]) -> None:
        """Have somebody told of units taken and put back, so that peers hear of them at once."""
        self._on_taken = on_taken

    def _find_limit(self, name: str) -> RateLimit | None:
        named = self._named.get(name)
        if named is None or not named.rate_per_s:
            return None
        return RateLimit(named.rate_per_s, 1 + _BURST_S * named.rate_per_s)

    def _first_bucket(self, limit: RateLimit, now: float) -> Bucket:
        """Give an empty bucket: what was sent before the limit was named is not known."""
        return Bucket(limit, 0.0, now)

    def rate_per_s(self, life: str) -> float | None:
        """Give the limit that an endpoint names; None without one."""
        limit = self._find_limit(life)
        return None if limit is None else limit.rate

    def rates_per_s(self, most: int) -> dict[str, float]:
        """Give the limits that endpoints name, some of them at the most."""
        limited = (life for life, named in self._named.items() if named.rate_per_s)
        return {life: self._named[life].rate_per_s for life in islice(limited, most)}

    def note_answer(self, life: str, rate_per_s: float | None, now: float) -> bool:
        """Take what an answer to this instance says; tells whether that is new.

        Args:
            life: The endpoint's life.
            rate_per_s: The limit that it names; None for none.
            now: The time.
        """
        known = self._named.get(life)
        if rate_per_s is None:
            is_limited = known is not None and known.rate_per_s > 0
            if known is None or not is_limited or now - known.said_at < _OVERTAKEN_S:
                return False
        return self._set(life, _Named(rate_per_s or 0.0, now, was_heard=True), now)

    def note_told(self, word: LimitWord, now: float) -> bool:
        """Take what an endpoint said to a peer; tells whether that is new."""
        said_at = now - max(0.0, word.age_s)
        known = self._named.get(word.life)
        if known is not None and known.said_at >= said_at:
            return False
        return self._set(word.life, _Named(word.rate_per_s, said_at, was_heard=False), now)

    def _set(self, life: str, named: _Named, now: float) -> bool:
        """Use the newest word of a life; tells whether it is another limit than before."""
        before = self._named.get(life)
        rate_before = before.rate_per_s if before is not None else 0.0
        bucket = self._bucket(life, now)
        self._named[life] = named
        if named.rate_per_s == rate_before:
            return False
        limit = self._find_limit(life)
        if limit is None:
            return True
        if bucket is not None:
            bucket.limit = limit
            bucket.level = min(bucket.level, limit.burst)
        elif life in self._buckets:
            # What was sent since the limit before was over is not known.
            self._buckets[life] = self._buckets[life].renewed(limit, now)
        else:
            self._bucket(life, now)
        return True

    def due_in_s(self, life: str, now: float, after_s: float = 0.0) -> float:
        """Give in how many seconds an endpoint takes one more call; 0 for most.

        Args:
            life: The endpoint's life.
            now: The time.
            after_s: For how long it has to be able to, at the most what it keeps of its limit.
        """
        bucket = self._bucket(life, now)
        if bucket is None:
            return 0.0
        limit = bucket.limit
        return self._fills_in_s(bucket, min(1 + after_s * limit.rate, limit.burst))

    def pause_s(self, life: str) -> float:
        """Give the seconds between two calls that an endpoint takes; 0 for most."""
        rate_per_s = self.rate_per_s(life)
        return 0.0 if rate_per_s is None else 1 / (self._share * rate_per_s)

    def book(self, key: str, life: str, now: float) -> float:
        """Book the next unit of an endpoint for a call; gives when it may be sent."""
        self.give_up(key, now)
        bucket = self._bucket(life, now)
        if bucket is None:
            return now
        due_at = now + self._fills_in_s(bucket, 1.0)
        self._take(bucket, now)
        self._booked[key] = life
        self._unsent.setdefault(life, {})[key] = None
        return due_at

    def give_up(self, key: str, now: float) -> None:
        """Give back what a call has booked and not sent; unknown keys are fine."""
        life = self._booked.pop(key, None)
        if life is None:
            return
        self._drop_unsent(life, key)
        bucket = self._buckets.get(life)
        if bucket is not None:
            bucket.put_back(1, now)
            self._on_taken()

    def note_sent(self, life: str, now: float) -> None:
        """Count a call of any kind that is sent to an endpoint, booked or not."""
        unsent = self._unsent.get(life)
        if unsent:
            # Which of the calls that booked it is counts for nothing: the first one's turn was due.
            key = next(iter(unsent))
            self._drop_unsent(life, key)
            del self._booked[key]
            return
        bucket = self._bucket(life, now)
        if bucket is not None:
            self._take(bucket, now)

    def _take(self, bucket: Bucket, now: float) -> None:
        bucket.take(1, now)
        self._on_taken()

    def _drop_unsent(self, life: str, key: str) -> None:
        del self._unsent[life][key]
        if not self._unsent[life]:
            del self._unsent[life]

    def taken_by_peers(self, life: str) -> int:
        """Give the units of an endpoint's limit that peers took, as far as they have told."""
        bucket = self._buckets.get(life)
        return 0 if bucket is None else bucket.debited

    def level(self, life: str, now: float) -> float:
        """Give the units that are left of an endpoint's limit; negative if some are booked."""
        bucket = self._bucket(life, now)
        return 0.0 if bucket is None else bucket.level

    def words(self, now: float, most: int, *, all_known: bool = False) -> list[LimitWord]:
        """Give the newest words of endpoints.

        Args:
            now: The time.
            most: How many at the most.
            all_known: Whether to give those that peers told, too.
        """
        found = [
            LimitWord(life, named.rate_per_s, round(now - named.said_at, 3))
            for life, named in self._named.items()
            if (all_known or named.was_heard) and now - named.said_at < _KNOWN_S
        ]
        return sorted(found, key=lambda word: word.age_s)[:most]

    def word(self, life: str, now: float) -> LimitWord:
        """Give the newest word of one endpoint."""
        named = self._named[life]
        return LimitWord(life, named.rate_per_s, round(now - named.said_at, 3))

    def forget(self, now: float) -> None:
        """End limits that nobody has heard named for long, and forget what is long over."""
        for life, named in list(self._named.items()):
            age_s = now - named.said_at
            if named.rate_per_s and age_s > _KNOWN_S:
                self._named[life] = named._replace(rate_per_s=0.0)
            elif age_s > _KEPT_S:
                del self._named[life]
                self._forget(life)


def _ignore() -> None:
    """Stand for somebody who listens."""
