"""Enforces rate limits over all instances together, without shared state.

Every instance keeps a token bucket with the full limit for each limited name. It subtracts its own
units at once, and those of its peers when they report the totals that they have taken.
These totals only grow, so a datagram that is lost, duplicated or late has no lasting effect.
An instance that does not receive from all of its peers, because they failed or the network is
partitioned, refills its buckets only at its share of the limit: it can't see what the others take.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

from cleatlink.limits.bucket import Bucket, RateLimit

__all__ = ["PEER_TIMEOUT_S", "PeerTotals", "SharedLimits"]

# Seconds for which a changed total is reported, so that two datagrams in a row may be lost.
_REPORT_S = 3.0
# Silence after which a peer counts as unreachable for limits, in seconds: its share of the limits
# is left unused, and units that it took meanwhile are not debited later. A lost heartbeat now and
# then costs little, since only that peer's share is left unused. In a network partition, each side
# lets the whole limit pass until this time is over.
PEER_TIMEOUT_S = 1.6


class PeerTotals(NamedTuple):
    """The units that a peer reports as taken and returned.

    Attributes:
        name: Name of the peer.
        incarnation: Number that grows with each start of the peer.
        totals: Units that it took since its start, by limited name; some or all.
        used_name_count: Number of names for which it took units.
        uptime_s: Seconds since its start.
        returned: Units that it returned since its start, by limited name; some or all.
    """

    name: str
    incarnation: int
    totals: Mapping[str, int]
    used_name_count: int
    uptime_s: float
    returned: Mapping[str, int] = {}


class _ReportedLevel(NamedTuple):
    """The level of a bucket that a peer reported before this instance knew the limit."""

    level: float
    reported_at: float


class _PeerAccount:
    """The totals that one peer last reported.

    Attributes:
        incarnation: Incarnation of the peer.
        reported_at: When the last report arrived.
        is_complete: Whether the totals of all names are known, so that a new name starts at 0.
        totals: Units taken, by limited name.
        returned: Units returned, by limited name.
    """

    __slots__ = ("incarnation", "is_complete", "reported_at", "returned", "totals")

    def __init__(self, incarnation: int, reported_at: float, is_complete: bool) -> None:
        self.incarnation = incarnation
        self.reported_at = reported_at
        self.is_complete = is_complete
        self.totals: dict[str, int] = {}
        self.returned: dict[str, int] = {}

    def record_total(self, last_totals: dict[str, int], name: str, total: int) -> int:
        """Record a total that only grows; return its increase, or 0 if that is not known.

        Args:
            last_totals: Totals of one kind as last reported.
            name: Limited name of the total.
            total: Total as reported now.
        """
        before = last_totals.get(name, 0 if self.is_complete else None)
        if before is not None and total <= before:
            return 0
        last_totals[name] = total
        return 0 if before is None else total - before

    def forget(self) -> None:
        """Discard the totals, so that units taken while the peer was silent are not debited."""
        self.totals.clear()
        self.returned.clear()
        self.is_complete = False


class SharedLimits(ABC):
    """Token buckets by limited name, as one instance knows them."""

    def __init__(self, now: float) -> None:
        """Start without any reports of peers."""
        self._buckets: dict[str, Bucket] = {}
        self._peers: dict[str, _PeerAccount] = {}
        # Levels that arrived before their limits: peers answer the first heartbeat of an
        # instance, which may have no route table yet.
        self._reported_levels: dict[str, _ReportedLevel] = {}
        self._reachable_share = 1.0
        self._started_at = now
        self._adopted_uptime_s = 0.0

    def __len__(self) -> int:
        return len(self._buckets)

    @abstractmethod
    def _find_limit(self, name: str) -> RateLimit | None:
        """Return the limit of a name, or None."""

    @abstractmethod
    def _initial_bucket(self, limit: RateLimit, now: float) -> Bucket:
        """Return the bucket for a name that is new."""

    def set_reachable_share(self, share: float, now: float) -> None:
        """Set the share of all instances that are reachable, this one included."""
        if share == self._reachable_share:
            return
        for bucket in self._buckets.values():
            bucket.refill(now, self._reachable_share)
        self._reachable_share = share

    def _refilled_bucket(self, name: str, now: float) -> Bucket | None:
        """Return the bucket of a name, refilled up to ``now``; None if it has no limit."""
        limit = self._find_limit(name)
        if limit is None:
            return None
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = self._open_bucket(name, limit, now)
        bucket.refill(now, self._reachable_share)
        if bucket.limit != limit:
            bucket.set_limit(limit)
        return bucket

    def _open_bucket(self, name: str, limit: RateLimit, now: float) -> Bucket:
        """Return the bucket for a name that is new, at the level that a peer reported, if any."""
        reported = self._reported_levels.pop(name, None)
        if reported is None:
            return self._initial_bucket(limit, now)
        return Bucket(limit, min(reported.level, limit.burst), reported.reported_at)

    def _seconds_until(self, bucket: Bucket, units: float) -> float:
        """Return the seconds until a bucket has ``units``, at the reachable share of its rate."""
        return max(0.0, units - bucket.level) / (self._reachable_share * bucket.limit.rate)

    def oldest_report_age_s(self, now: float) -> float | None:
        """Return the age of the oldest last report of a reachable peer; None without any."""
        ages = [now - account.reported_at for account in self._peers.values()]
        return max((round(age, 3) for age in ages if age <= PEER_TIMEOUT_S), default=None)

    def totals(self, now: float, *, include_unchanged: bool = False) -> dict[str, int]:
        """Return the units that this instance took since its start, by name.

        Args:
            now: The current time.
            include_unchanged: Whether to include totals that have not changed recently.
        """
        return {
            name: bucket.total
            for name, bucket in self._changed_buckets(now, include_unchanged=include_unchanged)
        }

    def returned(self, now: float, *, include_unchanged: bool = False) -> dict[str, int]:
        """Return the units that this instance returned since its start; see ``totals``."""
        changed = self._changed_buckets(now, include_unchanged=include_unchanged)
        return {name: bucket.returned for name, bucket in changed if bucket.returned}

    def _changed_buckets(self, now: float, *, include_unchanged: bool) -> list[tuple[str, Bucket]]:
        """Return the buckets that this instance took units from: all, or the recently changed."""
        return [
            (name, bucket)
            for name, bucket in self._buckets.items()
            if bucket.changed_at is not None
            and (include_unchanged or now - bucket.changed_at < _REPORT_S)
        ]

    @property
    def used_name_count(self) -> int:
        """Number of names for which this instance took units."""
        return sum(bucket.total > 0 for bucket in self._buckets.values())

    def levels(self, now: float) -> dict[str, float]:
        """Return the levels of the buckets by name, for an instance that starts."""
        for bucket in self._buckets.values():
            bucket.refill(now, self._reachable_share)
        return {name: round(bucket.level, 1) for name, bucket in self._buckets.items()}

    def uptime_s(self, now: float) -> float:
        """Return the seconds since this instance started to count units."""
        return now - self._started_at

    def note_unchanged_report(self, name: str, now: float) -> bool:
        """Record a report equal to the last one; return False if it must be applied in full."""
        account = self._peers.get(name)
        if account is None or now - account.reported_at > PEER_TIMEOUT_S:
            return False
        account.reported_at = now
        return True

    def record_peer_totals(self, report: PeerTotals, now: float) -> None:
        """Update the buckets by what a peer took and returned since its last report."""
        account = self._peers.get(report.name)
        if account is not None and report.incarnation < account.incarnation:
            return
        if account is None or report.incarnation > account.incarnation:
            # A peer that has just started took all of its units recently, so its whole total is
            # debited.
            account = _PeerAccount(report.incarnation, now, report.uptime_s <= PEER_TIMEOUT_S)
            self._peers[report.name] = account
        elif now - account.reported_at > PEER_TIMEOUT_S:
            account.forget()
        account.reported_at = now
        for name, total in report.totals.items():
            self._debit(name, account.record_total(account.totals, name, total), now)
        for name, returned in report.returned.items():
            self._refund(name, account.record_total(account.returned, name, returned), now)
        account.is_complete = len(account.totals) >= report.used_name_count

    def _debit(self, name: str, units: int, now: float) -> None:
        bucket = self._refilled_bucket(name, now) if units else None
        if bucket is not None:
            bucket.debit(units)
        elif name in self._reported_levels:
            reported = self._reported_levels[name]
            self._reported_levels[name] = reported._replace(level=reported.level - units)

    def _refund(self, name: str, units: int, now: float) -> None:
        bucket = self._refilled_bucket(name, now) if units else None
        if bucket is not None:
            bucket.refund(units)

    def adopt_levels(self, levels: Mapping[str, float], uptime_s: float, now: float) -> None:
        """Adopt the bucket levels of a peer that has counted units for longer.

        The peer may send them in several messages that all carry the same uptime.
        """
        if uptime_s <= self.uptime_s(now) or uptime_s < self._adopted_uptime_s:
            return
        self._adopted_uptime_s = uptime_s
        for name, level in levels.items():
            bucket = self._refilled_bucket(name, now)
            if bucket is not None:
                bucket.level = min(level, bucket.limit.burst)
            else:
                self._reported_levels[name] = _ReportedLevel(level, now)

    def _remove_name(self, name: str) -> None:
        """Delete a name that no longer has a limit, with what peers reported of it."""
        self._buckets.pop(name, None)
        self._reported_levels.pop(name, None)
        for account in self._peers.values():
            account.totals.pop(name, None)
            account.returned.pop(name, None)
