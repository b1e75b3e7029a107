"""One token bucket that several instances fill alike and take out of."""

from typing import NamedTuple

__all__ = ["Bucket", "RateLimit"]


class RateLimit(NamedTuple):
    """How much may pass, over all instances together.

    Attributes:
        rate: Units a second.
        burst: Units on top of that.
    """

    rate: float
    burst: float


class Bucket:
    """A bucket, and what this instance and others took out of it."""

    __slots__ = (
        "at",
        "changed_at",
        "credit",
        "debited",
        "level",
        "limit",
        "returned",
        "total",
    )

    def __init__(self, limit: RateLimit, level: float, now: float) -> None:
        """Start with something in it.

        Args:
            limit: How fast it fills, and how far.
            level: Units that are in it.
            now: The time.
        """
        self.limit = limit
        self.level = level
        self.at = now
        # Units that this instance took, and put back, since its start; they never fall.
        self.total = 0
        self.returned = 0
        # Units that peers took, as far as they have told.
        self.debited = 0
        # Units that were given back, and are taken before the total grows again.
        self.credit = 0
        self.changed_at: float | None = None

    def refill(self, now: float, share: float) -> None:
        """Bring the bucket up to a time, at a share of its limit."""
        passed_s = max(0.0, now - self.at)
        self.at = max(self.at, now)
        self.level = min(self.limit.burst, self.level + share * self.limit.rate * passed_s)

    def change(self, limit: RateLimit) -> None:
        """Use another limit: a larger burst is there at once, a smaller one too."""
        self.level += max(0.0, limit.burst - self.limit.burst)
        self.level = min(self.level, limit.burst)
        self.limit = limit

    def renewed(self, limit: RateLimit, now: float) -> "Bucket":
        """Give an empty bucket that goes on with the totals of this one."""
        bucket = Bucket(limit, 0.0, now)
        bucket.total, bucket.returned = self.total, self.returned
        bucket.credit, bucket.changed_at = self.credit, self.changed_at
        return bucket

    def take(self, cost: int, now: float) -> None:
        """Take units for something of this instance."""
        self.level -= cost
        paid = min(self.credit, cost)
        self.credit -= paid
        if cost > paid:
            self.total += cost - paid
            self.changed_at = now

    def give_back(self, cost: int) -> None:
        """Take back what was taken and not used; peers see it in what is taken next."""
        self.level = min(self.limit.burst, self.level + cost)
        self.credit += cost

    def put_back(self, cost: int, now: float) -> None:
        """Take back what was taken and not used; peers are told of it as such."""
        self.level = min(self.limit.burst, self.level + cost)
        self.returned += cost
        self.changed_at = now

    def debit(self, cost: int) -> None:
        """Take out what a peer took."""
        self.level -= cost
        self.debited += cost

    def refund(self, cost: int) -> None:
        """Put in what a peer put back."""
        self.level = min(self.limit.burst, self.level + cost)
