"""Keeps each organisation within its limit, over all instances together and without shared state.

Every instance keeps a bucket of the whole limit for each organisation that it hears of. It
takes its own requests out of it at once, and those of its peers when they tell how much they
have let pass in all. Such totals only grow, so that a datagram that is lost, doubled or late
changes nothing for good. An instance that does not hear all of its peers, dead or behind a
cut, fills its buckets only with its part of the limit: what the others let pass is not seen.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cleatlink.core.organisations import Organisation, TokenLimit

__all__ = ["HEARD_S", "Admission", "LimitTolerance", "OrganisationLimits", "PeerTotals"]

# Part of a burst that an instance begins with. Nobody may remember what was spent before; with
# half of a burst, all instances that start at once let pass no more than the tolerance of a
# usual limit, and a fleet that starts calm refuses nobody.
_START_SHARE = 0.5
# A total that changed is told so long, in seconds: two datagrams in a row may be lost.
_TELL_S = 3.0
# Silence after which a peer does not count as heard for limits, in seconds: its part of them is
# left out, and it is not asked to account for that time later. One lost heartbeat in a while
# costs little, since only that peer's part is left out; two sides of a cut let pass the whole
# limit each until they notice.
HEARD_S = 1.6
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

    def lenient(self, limit: TokenLimit) -> TokenLimit:
        """Give a limit with what of the tolerance organisations can be given.

        What is counted a little late or never runs must refuse nothing below a limit. The rest
        of the tolerance is for the two sides of a cut, which both let pass the whole limit until
        they notice.
        """
        window_s = self.window_s
        tolerance = self.overshoot * (limit.rate * window_s + limit.burst) + self.slack
        unnoticed = HEARD_S * limit.rate
        given = ((1 - _NEWS_SHARE) * tolerance - unnoticed) / (1 + HEARD_S / window_s)
        return limit._replace(rate=limit.rate + max(0.0, given) / window_s)


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


class PeerTotals(NamedTuple):
    """What a peer tells of its spending.

    Attributes:
        name: The peer.
        incarnation: Grows with each of its starts.
        totals: Units that it let pass since its start, by organisation; some or all.
        spenders: How many organisations it let something pass for.
        age_s: Seconds since its start.
    """

    name: str
    incarnation: int
    totals: Mapping[str, int]
    spenders: int
    age_s: float


class _Bucket:
    """One organisation's bucket, and what this instance and others took out of it."""

    __slots__ = ("at", "changed_at", "credit", "level", "limit", "total")

    def __init__(self, limit: TokenLimit, now: float) -> None:
        self.limit = limit
        self.level = _START_SHARE * limit.burst
        self.at = now
        self.total = 0
        self.credit = 0
        self.changed_at = -_TELL_S

    def refill(self, now: float, share: float) -> None:
        """Bring the bucket up to a time, at a share of its limit."""
        passed_s = max(0.0, now - self.at)
        self.at = max(self.at, now)
        self.level = min(self.limit.burst, self.level + share * self.limit.rate * passed_s)

    def change(self, limit: TokenLimit) -> None:
        """Use another limit: a larger burst is there at once, a smaller one too."""
        self.level += max(0.0, limit.burst - self.limit.burst)
        self.level = min(self.level, limit.burst)
        self.limit = limit

    def take(self, cost: int, now: float) -> None:
        """Let a request of this instance pass."""
        self.level -= cost
        paid = min(self.credit, cost)
        self.credit -= paid
        if cost > paid:
            self.total += cost - paid
            self.changed_at = now

    def give_back(self, cost: int) -> None:
        """Take back what was let pass and did not run; peers see it in what is let pass next."""
        self.level = min(self.limit.burst, self.level + cost)
        self.credit += cost

    def debit(self, cost: int) -> None:
        """Take out what a peer let pass."""
        self.level -= cost


class _PeerAccount:
    """The totals of one peer as last told."""

    __slots__ = ("heard_at", "incarnation", "is_complete", "totals")

    def __init__(self, incarnation: int, heard_at: float, is_complete: bool) -> None:
        self.incarnation = incarnation
        self.heard_at = heard_at
        self.is_complete = is_complete
        self.totals: dict[str, int] = {}


class OrganisationLimits:
    """The limits of all organisations, as seen by one instance."""

    def __init__(self, tolerance: LimitTolerance, now: float) -> None:
        """Begin without anything heard.

        Args:
            tolerance: What may be let pass beyond the limits in a cut.
            now: The time.
        """
        self._tolerance = tolerance
        self._limits: dict[str, TokenLimit] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _PeerAccount] = {}
        self._share = 1.0
        self._age_from = now
        self._adopted_age_s = 0.0

    def __len__(self) -> int:
        return len(self._buckets)

    def change_tolerance(self, tolerance: LimitTolerance) -> None:
        """Use another tolerance."""
        self._tolerance = tolerance

    def use_table(self, organisations: Iterable[Organisation]) -> None:
        """Use the limits of a table; what was spent stays spent, and totals never fall."""
        self._limits = {item.name: item.limit for item in organisations if item.limit is not None}

    def note_heard(self, share: float, now: float) -> None:
        """Note which part of all instances is heard, this one included."""
        if share == self._share:
            return
        for bucket in self._buckets.values():
            bucket.refill(now, self._share)
        self._share = share

    def _bucket(self, name: str, now: float) -> _Bucket | None:
        """Give the bucket of an organisation at a time; None if it has no limit."""
        limit = self._limits.get(name)
        if limit is None:
            return None
        limit = self._tolerance.lenient(limit)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(limit, self._age_from)
        bucket.refill(now, self._share)
        if bucket.limit != limit:
            bucket.change(limit)
        return bucket

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
        bucket = self._bucket(organisation.name, now)
        if bucket is None:
            return Admission(True, 0)
        cost = bucket.limit.cost(tokens)
        level = bucket.level
        needed = min(float(cost), bucket.limit.burst)
        if level >= needed:
            bucket.take(cost, now)
            return Admission(True, cost, level, self._share)
        fill_per_s = self._share * bucket.limit.rate
        retry_after_s = max(_MIN_RETRY_S, (needed - level) / fill_per_s)
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

    def told_ago_s(self, now: float) -> float | None:
        """Give the age of the oldest word of a peer that counts as heard; None without one."""
        ages = [now - account.heard_at for account in self._peers.values()]
        return max((round(age, 3) for age in ages if age <= HEARD_S), default=None)

    def is_short(self, organisation: Organisation) -> bool:
        """Tell whether little is left of a limit, so that peers should hear of it at once."""
        bucket = self._buckets.get(organisation.name)
        return bucket is not None and bucket.level < _SHORT_SHARE * bucket.limit.burst

    def totals(self, now: float, *, whole: bool = False) -> dict[str, int]:
        """Give what this instance let pass since its start, by organisation.

        Args:
            now: The time.
            whole: Whether to give all; otherwise what changed lately.
        """
        return {
            name: bucket.total
            for name, bucket in self._buckets.items()
            if bucket.total and (whole or now - bucket.changed_at < _TELL_S)
        }

    @property
    def spenders(self) -> int:
        """How many organisations this instance let something pass for."""
        return sum(bucket.total > 0 for bucket in self._buckets.values())

    def levels(self, now: float) -> dict[str, float]:
        """Give what is left in the buckets, for an instance that starts."""
        for bucket in self._buckets.values():
            bucket.refill(now, self._share)
        return {name: round(bucket.level, 1) for name, bucket in self._buckets.items()}

    def age_s(self, now: float) -> float:
        """Give for how long this instance has kept account."""
        return now - self._age_from

    def take_totals(self, told: PeerTotals, now: float) -> None:
        """Take what a peer told of its spending out of the buckets."""
        account = self._peers.get(told.name)
        if account is not None and told.incarnation < account.incarnation:
            return
        if account is None or told.incarnation > account.incarnation:
            # All that a peer let pass that has just started is recent, and not accounted for yet.
            account = _PeerAccount(told.incarnation, now, told.age_s <= HEARD_S)
            self._peers[told.name] = account
        elif now - account.heard_at > HEARD_S:
            account.totals.clear()
            account.is_complete = False
        account.heard_at = now
        for name, total in told.totals.items():
            self._take_total(account, name, total, now)
        account.is_complete = len(account.totals) >= told.spenders

    def _take_total(self, account: _PeerAccount, name: str, total: int, now: float) -> None:
        before = account.totals.get(name, 0 if account.is_complete else None)
        if before is not None and total <= before:
            return
        account.totals[name] = total
        bucket = self._bucket(name, now)
        if before is not None and bucket is not None:
            bucket.debit(total - before)

    def adopt(self, levels: Mapping[str, float], age_s: float, now: float) -> None:
        """Take over what is left of the limits from a peer that has kept account for longer."""
        if age_s <= max(self._adopted_age_s, self.age_s(now)):
            return
        self._adopted_age_s = age_s
        for name, level in levels.items():
            bucket = self._bucket(name, now)
            if bucket is not None:
                bucket.level = min(level, bucket.limit.burst)
