"""Enforces each organisation's rate limit across all instances."""

from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.core.organisations import Organisation, UsageLimit
from cleatlink.limits import PEER_TIMEOUT_S, Bucket, RateLimit, SharedLimits

__all__ = ["Admission", "LimitTolerance", "OrganisationLimits"]

# Share of the burst in each bucket when an instance starts. No peer may know what was spent
# before. With half of a burst, instances that all start at once exceed a typical limit by no more
# than its tolerance, and a fleet that starts under light load rejects no requests.
_INITIAL_LEVEL_SHARE = 0.5
# Share of the tolerance reserved for totals in transit between instances; the busiest windows in
# the model need no more.
_IN_TRANSIT_SHARE = 0.1
# A bucket below this share of its burst is reported to the peers immediately.
_LOW_LEVEL_SHARE = 0.5
# Shortest retry time sent to a caller: an earlier retry would find the bucket unchanged.
_MIN_RETRY_AFTER_S = 0.1


class LimitTolerance(NamedTuple):
    """How far all instances together may exceed a limit while they can't reach each other.

    Attributes:
        overshoot: Allowed excess, as a share of the limit.
        slack: Units allowed in addition within a window.
        window_s: Length of the window, in seconds.
    """

    overshoot: float = 0.25
    slack: float = 0.0
    window_s: float = 8.0

    def raised_limit(self, limit: UsageLimit) -> RateLimit:
        """Return the limit raised by the part of the tolerance that organisations may use.

        Requests that are counted late, or counted but never run, must not cause rejections below
        the limit. The rest of the tolerance covers network partitions: each side admits the whole
        limit until it detects the partition.
        """
        window_s = self.window_s
        tolerance = self.overshoot * (limit.rate * window_s + limit.burst) + self.slack
        units_before_detection = PEER_TIMEOUT_S * limit.rate
        usable = ((1 - _IN_TRANSIT_SHARE) * tolerance - units_before_detection) / (
            1 + PEER_TIMEOUT_S / window_s
        )
        return RateLimit(limit.rate + max(0.0, usable) / window_s, limit.burst)


class Admission(NamedTuple):
    """Whether a request is within its organisation's limit, with the figures behind the decision.

    Attributes:
        granted: Whether the request is within the limit.
        cost: Units that the request costs.
        level: Units in the bucket before the request.
        share: Share of the limit that this instance enforced.
        retry_after_s: Seconds until the bucket holds the units that are needed; 0 if granted.
    """

    granted: bool
    cost: int
    level: float = 0.0
    share: float = 1.0
    retry_after_s: float = 0.0


class OrganisationLimits(SharedLimits):
    """The limits of all organisations, as seen by one instance."""

    def __init__(self, tolerance: LimitTolerance, now: float) -> None:
        """Start without any totals or levels from peers.

        Args:
            tolerance: How far the limits may be exceeded during a network partition.
            now: The current time.
        """
        super().__init__(now)
        self._tolerance = tolerance
        self._limits: dict[str, UsageLimit] = {}

    def set_tolerance(self, tolerance: LimitTolerance) -> None:
        """Replace the tolerance."""
        self._tolerance = tolerance

    def use_table(self, organisations: Iterable[Organisation]) -> None:
        """Apply the limits of a route table; spent units stay counted, and totals never fall."""
        self._limits = {item.name: item.limit for item in organisations if item.limit is not None}

    def _find_limit(self, name: str) -> RateLimit | None:
        limit = self._limits.get(name)
        return None if limit is None else self._tolerance.raised_limit(limit)

    def _initial_bucket(self, limit: RateLimit, now: float) -> Bucket:
        """Return a bucket that has been filling since the start: it has had no request yet."""
        return Bucket(limit, _INITIAL_LEVEL_SHARE * limit.burst, self._started_at)

    def admit(self, organisation: Organisation, tokens: int, now: float) -> Admission:
        """Admit a request if its organisation's bucket holds the units that it needs.

        A request larger than the burst is admitted when the bucket is full; it overdraws the
        bucket, and later requests wait longer. Otherwise a large request can't overdraw it, since
        all small requests would then be rejected until the bucket has refilled.

        Args:
            organisation: Organisation that sent the request.
            tokens: Prompt tokens plus the maximum of output tokens; 0 if the request states none.
            now: The current time.
        """
        limit = self._limits.get(organisation.name)
        bucket = self._refilled_bucket(organisation.name, now)
        if limit is None or bucket is None:
            return Admission(True, 0)
        cost = limit.count_units(tokens)
        level = bucket.level
        needed = min(float(cost), bucket.limit.burst)
        if level >= needed:
            bucket.take(cost, now)
            return Admission(True, cost, level, self._reachable_share)
        retry_after_s = max(_MIN_RETRY_AFTER_S, self._seconds_until(bucket, needed))
        return Admission(False, cost, level, self._reachable_share, retry_after_s)

    def refund(self, organisation: Organisation, cost: int) -> None:
        """Refund the units of an admitted request that did not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            bucket.credit_unused(cost)

    def spent_units(self, organisation: Organisation) -> int:
        """Return the units that this instance has admitted since its start."""
        bucket = self._buckets.get(organisation.name)
        return bucket.total if bucket is not None else 0

    def is_level_low(self, organisation: Organisation) -> bool:
        """Check whether the bucket is low enough to be reported to peers immediately."""
        bucket = self._buckets.get(organisation.name)
        return bucket is not None and bucket.level < _LOW_LEVEL_SHARE * bucket.limit.burst
