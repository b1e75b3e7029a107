"""Keeps each organisation within its limit, over all instances together."""

from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.core.organisations import Organisation, TokenLimit
from cleatlink.limits import HEARD_S, Bucket, RateLimit, SharedLimits

__all__ = ["Admission", "LimitTolerance", "OrganisationLimits"]

# Part of a burst that an instance begins with. Nobody may remember what was spent before; with
# half of a burst, all instances that start at once let pass no more than the tolerance of a
# usual limit, and a fleet that starts calm refuses nobody.
_START_SHARE = 0.5
# Part of the tolerance that is left for what is on its way between instances; the model's
# fullest windows need no more.
_NEWS_SHARE = 0.1
# A bucket that is emptier than this part of its burst is told of at once.
_SHORT_SHARE = 0.5
# The shortest time to come back, in seconds: sooner, nothing has changed.
_MIN_RETRY_S = 0.1


class LimitTolerance(NamedTuple):
    """By how much all instances together may pass a limit while they can't hear each other.

    Attributes:
        overshoot: Part of the limit.
        slack: Units beyond that within a window.
        window_s: The window, in seconds.
    """

    overshoot: float = 0.25
    slack: float = 0.0
    window_s: float = 8.0

    def lenient(self, limit: TokenLimit) -> RateLimit:
        """Give a limit with what of the tolerance organisations can be given.

        What is counted a little late or never runs must refuse nothing below a limit. The rest
        of the tolerance is for the two sides of a cut, which both let pass the whole limit until
        they notice.
        """
        window_s = self.window_s
        tolerance = self.overshoot * (limit.rate * window_s + limit.burst) + self.slack
        unnoticed = HEARD_S * limit.rate
        given = ((1 - _NEWS_SHARE) * tolerance - unnoticed) / (1 + HEARD_S / window_s)
        return RateLimit(limit.rate + max(0.0, given) / window_s, limit.burst)


class Admission(NamedTuple):
    """Whether a request is within its organisation's limit, and what that was decided on.

    Attributes:
        granted: Whether it is.
        cost: Units of the request.
        level: Units that were left in the bucket before it.
        share: Part of the limit that was in force here.
        retry_after_s: Seconds until the bucket has what the request needs; 0 if granted.
    """

    granted: bool
    cost: int
    level: float = 0.0
    share: float = 1.0
    retry_after_s: float = 0.0


class OrganisationLimits(SharedLimits):
    """The limits of all organisations, as seen by one instance."""

    def __init__(self, tolerance: LimitTolerance, now: float) -> None:
        """Begin without anything heard.

        Args:
            tolerance: What may be let pass beyond the limits in a cut.
            now: The time.
        """
        super().__init__(now)
        self._tolerance = tolerance
        self._limits: dict[str, TokenLimit] = {}

    def change_tolerance(self, tolerance: LimitTolerance) -> None:
        """Use another tolerance."""
        self._tolerance = tolerance

    def use_table(self, organisations: Iterable[Organisation]) -> None:
        """Use the limits of a table; what was spent stays spent, and totals never fall."""
        self._limits = {item.name: item.limit for item in organisations if item.limit is not None}

    def _find_limit(self, name: str) -> RateLimit | None:
        limit = self._limits.get(name)
        return None if limit is None else self._tolerance.lenient(limit)

    def _first_bucket(self, limit: RateLimit, now: float) -> Bucket:
        """Give a bucket that has filled since the start: nobody asked before."""
        return Bucket(limit, _START_SHARE * limit.burst, self._age_from)

    def ask(self, organisation: Organisation, tokens: int, now: float) -> Admission:
        """Let a request pass if its organisation's bucket has what it needs.

        One that is larger than the burst passes when the bucket is full, and what is asked for
        next waits for longer. Small requests pass while a large one has to wait: if it could
        overdraw the bucket, all of them would be refused until it is made up for.

        Args:
            organisation: Whose request it is.
            tokens: Tokens of its prompt and the most of its answer; 0 if it tells none.
            now: The time.
        """
        limit = self._limits.get(organisation.name)
        bucket = self._bucket(organisation.name, now)
        if limit is None or bucket is None:
            return Admission(True, 0)
        cost = limit.cost(tokens)
        level = bucket.level
        needed = min(float(cost), bucket.limit.burst)
        if level >= needed:
            bucket.take(cost, now)
            return Admission(True, cost, level, self._share)
        retry_after_s = max(_MIN_RETRY_S, self._fills_in_s(bucket, needed))
        return Admission(False, cost, level, self._share, retry_after_s)

    def give_back(self, organisation: Organisation, cost: int) -> None:
        """Give back what was granted to a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            bucket.give_back(cost)

    def spent(self, organisation: Organisation) -> int:
        """Give the units that this instance let pass since its start."""
        bucket = self._buckets.get(organisation.name)
        return bucket.total if bucket is not None else 0

    def is_short(self, organisation: Organisation) -> bool:
        """Tell whether little is left of a limit, so that peers should hear of it at once."""
        bucket = self._buckets.get(organisation.name)
        return bucket is not None and bucket.level < _SHORT_SHARE * bucket.limit.burst
