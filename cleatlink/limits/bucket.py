"""A token bucket whose units several instances share; each instance keeps its own copy."""

from typing import NamedTuple

__all__ = ["Bucket", "RateLimit"]


class RateLimit(NamedTuple):
    """A limit that applies to all instances together.

    Attributes:
        rate: Units per second.
        burst: Units that may pass at once on top of the rate.
    """

    rate: float
    burst: float


class Bucket:
    """A token bucket, with the units that this instance and its peers took."""

    __slots__ = (
        "changed_at",
        "credit",
        "debited",
        "level",
        "limit",
        "refilled_at",
        "returned",
        "total",
    )

    def __init__(self, limit: RateLimit, level: float, now: float) -> None:
        """Create a bucket.

        Args:
            limit: Refill rate and maximum level.
            level: Initial level, in units.
            now: The current time.
        """
        self.limit = limit
        self.level = level
        self.refilled_at = now
        # Units that this instance took and returned since its start; neither count decreases.
        self.total = 0
        self.returned = 0
        # Units that peers have reported as taken.
        self.debited = 0
        # Units that were taken and not used; they are spent before `total` grows again.
        self.credit = 0
        # When the total or the returned units last changed; None before the first change.
        self.changed_at: float | None = None

    def refill(self, now: float, share: float) -> None:
        """Refill the bucket for the time since the last refill, at a share of its rate."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.level = min(self.limit.burst, self.level + share * self.limit.rate * elapsed_s)

    def set_limit(self, limit: RateLimit) -> None:
        """Use another limit; a change of the burst takes effect at once in both directions."""
        self.level += max(0.0, limit.burst - self.limit.burst)
        self.level = min(self.level, limit.burst)
        self.limit = limit

    def empty_copy(self, limit: RateLimit, now: float) -> "Bucket":
        """Return an empty bucket that continues the totals of this one."""
        bucket = Bucket(limit, 0.0, now)
        bucket.total, bucket.returned = self.total, self.returned
        bucket.credit, bucket.changed_at = self.credit, self.changed_at
        return bucket

    def take(self, cost: int, now: float) -> None:
        """Take units for a request of this instance."""
        self.level -= cost
        paid = min(self.credit, cost)
        self.credit -= paid
        if cost > paid:
            self.total += cost - paid
            self.changed_at = now

    def credit_unused(self, cost: int) -> None:
        """Return unused units as a credit: peers notice because `total` then grows more slowly."""
        self.level = min(self.limit.burst, self.level + cost)
        self.credit += cost

    def return_unused(self, cost: int, now: float) -> None:
        """Return unused units and count them in `returned`, which is reported to peers."""
        self.level = min(self.limit.burst, self.level + cost)
        self.returned += cost
        self.changed_at = now

    def debit(self, cost: int) -> None:
        """Subtract units that a peer took."""
        self.level -= cost
        self.debited += cost

    def refund(self, cost: int) -> None:
        """Add units that a peer returned."""
        self.level = min(self.limit.burst, self.level + cost)
