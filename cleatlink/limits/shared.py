"""Keeps limits over all instances together, without shared state.

Every instance keeps a bucket of the whole limit for each name that has one. It takes its own
units out of it at once, and those of its peers when they tell how much they have taken in all.
Such totals only grow, so that a datagram that is lost, doubled or late changes nothing for good.
An instance that does not hear all of its peers, dead or behind a cut, fills its buckets only
with its part of the limit: what the others take is not seen.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

from cleatlink.limits.bucket import Bucket, RateLimit

__all__ = ["HEARD_S", "PeerTotals", "SharedLimits"]

# A total that changed is told so long, in seconds: two datagrams in a row may be lost.
_TELL_S = 3.0
# Silence after which a peer does not count as heard for limits, in seconds: its part of them is
# left out, and it is not asked to account for that time later. One lost heartbeat in a while
# costs little, since only that peer's part is left out; two sides of a cut let pass the whole
# limit each until they notice.
HEARD_S = 1.6


class PeerTotals(NamedTuple):
    """What a peer tells of its spending.

    Attributes:
        name: The peer.
        incarnation: Grows with each of its starts.
        totals: Units that it took since its start, by name; some or all.
        spenders: For how many names it took something.
        age_s: Seconds since its start.
        returned: Units that it put back since its start, by name; some or all.
    """

    name: str
    incarnation: int
    totals: Mapping[str, int]
    spenders: int
    age_s: float
    returned: Mapping[str, int] = {}


class _ToldLevel(NamedTuple):
    """What was left of a limit, as a peer told before the limit was known here."""

    level: float
    at: float


class _PeerAccount:
    """The totals of one peer as last told."""

    __slots__ = ("heard_at", "incarnation", "is_complete", "returned", "totals")

    def __init__(self, incarnation: int, heard_at: float, is_complete: bool) -> None:
        self.incarnation = incarnation
        self.heard_at = heard_at
        self.is_complete = is_complete
        self.totals: dict[str, int] = {}
        self.returned: dict[str, int] = {}

    def grown(self, known: dict[str, int], name: str, figure: int) -> int:
        """Note a figure that only grows; gives by how much, 0 if that is not known.

        Args:
            known: Figures of one kind as last told.
            name: Whose it is.
            figure: As told now.
        """
        before = known.get(name, 0 if self.is_complete else None)
        if before is not None and figure <= before:
            return 0
        known[name] = figure
        return 0 if before is None else figure - before

    def forget(self) -> None:
        """Forget what was told: the peer is not asked to account for the time of its silence."""
        self.totals.clear()
        self.returned.clear()
        self.is_complete = False


class SharedLimits(ABC):
    """Buckets by name, as seen by one instance."""

    def __init__(self, now: float) -> None:
        """Begin without anything heard."""
        self._buckets: dict[str, Bucket] = {}
        self._peers: dict[str, _PeerAccount] = {}
        # Peers answer the first heartbeat of an instance, which may have no route table yet.
        self._told_levels: dict[str, _ToldLevel] = {}
        self._share = 1.0
        self._age_from = now
        self._adopted_age_s = 0.0

    def __len__(self) -> int:
        return len(self._buckets)

    @abstractmethod
    def _find_limit(self, name: str) -> RateLimit | None:
        """Give the limit of a name; None without one."""

    @abstractmethod
    def _first_bucket(self, limit: RateLimit, now: float) -> Bucket:
        """Give a bucket for a name that is new."""

    def note_heard(self, share: float, now: float) -> None:
        """Note which part of all instances is heard, this one included."""
        if share == self._share:
            return
        for bucket in self._buckets.values():
            bucket.refill(now, self._share)
        self._share = share

    def _bucket(self, name: str, now: float) -> Bucket | None:
        """Give the bucket of a name at a time; None if it has no limit."""
        limit = self._find_limit(name)
        if limit is None:
            return None
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = self._open_bucket(name, limit, now)
        bucket.refill(now, self._share)
        if bucket.limit != limit:
            bucket.change(limit)
        return bucket

    def _open_bucket(self, name: str, limit: RateLimit, now: float) -> Bucket:
        """Give a bucket for a name that is new, at the level that was told of it."""
        told = self._told_levels.pop(name, None)
        if told is None:
            return self._first_bucket(limit, now)
        return Bucket(limit, min(told.level, limit.burst), told.at)

    def _fills_in_s(self, bucket: Bucket, units: float) -> float:
        """Give in how many seconds a bucket has some units, at the share that is heard."""
        return max(0.0, units - bucket.level) / (self._share * bucket.limit.rate)

    def told_ago_s(self, now: float) -> float | None:
        """Give the age of the oldest word of a peer that counts as heard; None without one."""
        ages = [now - account.heard_at for account in self._peers.values()]
        return max((round(age, 3) for age in ages if age <= HEARD_S), default=None)

    def totals(self, now: float, *, whole: bool = False) -> dict[str, int]:
        """Give what this instance took since its start, by name.

        Args:
            now: The time.
            whole: Whether to give all; otherwise what changed lately.
        """
        return {name: bucket.total for name, bucket in self._changed(now, whole=whole)}

    def returned(self, now: float, *, whole: bool = False) -> dict[str, int]:
        """Give what this instance put back since its start, by name, as ``totals`` does."""
        changed = self._changed(now, whole=whole)
        return {name: bucket.returned for name, bucket in changed if bucket.returned}

    def _changed(self, now: float, *, whole: bool) -> list[tuple[str, Bucket]]:
        """Give the buckets that this instance took out of: all, or those of lately."""
        return [
            (name, bucket)
            for name, bucket in self._buckets.items()
            if bucket.changed_at is not None and (whole or now - bucket.changed_at < _TELL_S)
        ]

    @property
    def spenders(self) -> int:
        """For how many names this instance took something."""
        return sum(bucket.total > 0 for bucket in self._buckets.values())

    def levels(self, now: float) -> dict[str, float]:
        """Give what is left in the buckets, for an instance that starts."""
        for bucket in self._buckets.values():
            bucket.refill(now, self._share)
        return {name: round(bucket.level, 1) for name, bucket in self._buckets.items()}

    def age_s(self, now: float) -> float:
        """Give for how long this instance has kept account."""
        return now - self._age_from

    def note_again(self, name: str, now: float) -> bool:
        """Note that a peer tells the same as before; False if that has to be taken anew."""
        account = self._peers.get(name)
        if account is None or now - account.heard_at > HEARD_S:
            return False
        account.heard_at = now
        return True

    def take_totals(self, told: PeerTotals, now: float) -> None:
        """Take what a peer told of its spending out of the buckets."""
        account = self._peers.get(told.name)
        if account is not None and told.incarnation < account.incarnation:
            return
        if account is None or told.incarnation > account.incarnation:
            # All that a peer took that has just started is recent, and not accounted for yet.
            account = _PeerAccount(told.incarnation, now, told.age_s <= HEARD_S)
            self._peers[told.name] = account
        elif now - account.heard_at > HEARD_S:
            account.forget()
        account.heard_at = now
        for name, total in told.totals.items():
            self._debit(name, account.grown(account.totals, name, total), now)
        for name, returned in told.returned.items():
            self._refund(name, account.grown(account.returned, name, returned), now)
        account.is_complete = len(account.totals) >= told.spenders

    def _debit(self, name: str, units: int, now: float) -> None:
        bucket = self._bucket(name, now) if units else None
        if bucket is not None:
            bucket.debit(units)
        elif name in self._told_levels:
            told = self._told_levels[name]
            self._told_levels[name] = told._replace(level=told.level - units)

    def _refund(self, name: str, units: int, now: float) -> None:
        bucket = self._bucket(name, now) if units else None
        if bucket is not None:
            bucket.refund(units)

    def adopt(self, levels: Mapping[str, float], age_s: float, now: float) -> None:
        """Take over what is left of the limits from a peer that has kept account for longer.

        It may tell them in several messages, all of the same age.
        """
        if age_s <= self.age_s(now) or age_s < self._adopted_age_s:
            return
        self._adopted_age_s = age_s
        for name, level in levels.items():
            bucket = self._bucket(name, now)
            if bucket is not None:
                bucket.level = min(level, bucket.limit.burst)
            else:
                self._told_levels[name] = _ToldLevel(level, now)

    def _forget(self, name: str) -> None:
        """Forget a name that has no limit any more, here and in what peers told."""
        self._buckets.pop(name, None)
        self._told_levels.pop(name, None)
        for account in self._peers.values():
            account.totals.pop(name, None)
            account.returned.pop(name, None)
