"""Rate limits that endpoints announce: calls per second, counted over all instances together.

A limit belongs to one incarnation of an endpoint. It applies from the first answer that announces
it until an answer that does not. A call reserves a unit of the limit when it is assigned to the
endpoint, which may be before the unit is available. The calls of all instances therefore form one
queue, and no call is sent before its unit is available.
"""

from collections.abc import Callable
from itertools import islice
from typing import NamedTuple

from cleatlink.limits import Bucket, RateLimit, SharedLimits

__all__ = ["EndpointLimits", "AnnouncedLimit"]

# Size of a burst on top of one call, in seconds of the limit. Calls that wait for capacity try
# again within this time, so no unit of the limit is left unused.
_BURST_S = 0.3
# Seconds for which an answer without a limit is ignored after one that announced a limit, because
# answers can arrive out of order.
_REORDERING_WINDOW_S = 0.5
# Seconds after which a limit expires if no instance has received an answer that announces it: the
# endpoint then answers no calls at all.
_ANNOUNCEMENT_LIFETIME_S = 60.0
# Seconds for which expired limits are kept, so that the totals that peers know do not decrease.
_RETENTION_S = 600.0


class AnnouncedLimit(NamedTuple):
    """A limit that an endpoint announced, as peers exchange it.

    Attributes:
        incarnation: The endpoint's incarnation.
        rate_per_s: Calls per second, over all instances together; 0 if there is no limit.
        age_s: Seconds since the announcement.
    """

    incarnation: str
    rate_per_s: float
    age_s: float


class _Announcement(NamedTuple):
    """The newest announcement of one incarnation.

    Attributes:
        rate_per_s: As in ``AnnouncedLimit``.
        announced_at: Time of the announcement.
        is_direct: Whether this instance received it from the endpoint, not from a peer.
    """

    rate_per_s: float
    announced_at: float
    is_direct: bool


class EndpointLimits(SharedLimits):
    """The limits that endpoints announce, as one instance knows them."""

    def __init__(self, now: float) -> None:
        """Start without any limits."""
        super().__init__(now)
        self._announced: dict[str, _Announcement] = {}
        # Incarnation for which each call has reserved a unit without being sent yet, by call key.
        self._reserved: dict[str, str] = {}
        # Keys of these calls in the order of reservation, by incarnation.
        self._reserved_keys: dict[str, dict[str, None]] = {}
        self._on_units_changed: Callable[[], None] = _ignore

    def set_unit_listener(self, on_units_changed: Callable[[], None]) -> None:
        """Set the callback that runs when units are taken or returned, to inform peers at once."""
        self._on_units_changed = on_units_changed

    def _find_limit(self, name: str) -> RateLimit | None:
        announced = self._announced.get(name)
        if announced is None or not announced.rate_per_s:
            return None
        return RateLimit(announced.rate_per_s, 1 + _BURST_S * announced.rate_per_s)

    def _initial_bucket(self, limit: RateLimit, now: float) -> Bucket:
        """Return an empty bucket: the calls sent before the announcement were not counted."""
        return Bucket(limit, 0.0, now)

    def rate_per_s(self, incarnation: str) -> float | None:
        """Return the limit that an endpoint announces, or None."""
        limit = self._find_limit(incarnation)
        return None if limit is None else limit.rate

    def rates_per_s(self, max_count: int) -> dict[str, float]:
        """Return the announced limits by incarnation, at most ``max_count`` of them."""
        limited = (
            incarnation
            for incarnation, announced in self._announced.items()
            if announced.rate_per_s
        )
        return {
            incarnation: self._announced[incarnation].rate_per_s
            for incarnation in islice(limited, max_count)
        }

    def note_response(self, incarnation: str, rate_per_s: float | None, now: float) -> bool:
        """Apply the limit in an answer that this instance received.

        Args:
            incarnation: The endpoint's incarnation.
            rate_per_s: The limit that the answer announces, or None.
            now: The current time.

        Returns:
            Whether the limit changed.
        """
        known = self._announced.get(incarnation)
        if rate_per_s is None:
            is_limited = known is not None and known.rate_per_s > 0
            if known is None or not is_limited or now - known.announced_at < _REORDERING_WINDOW_S:
                return False
        return self._set(incarnation, _Announcement(rate_per_s or 0.0, now, is_direct=True), now)

    def note_peer_announcement(self, announced: AnnouncedLimit, now: float) -> bool:
        """Apply a limit that an endpoint announced to a peer; return whether it changed."""
        announced_at = now - max(0.0, announced.age_s)
        known = self._announced.get(announced.incarnation)
        if known is not None and known.announced_at >= announced_at:
            return False
        return self._set(
            announced.incarnation,
            _Announcement(announced.rate_per_s, announced_at, is_direct=False),
            now,
        )

    def _set(self, incarnation: str, announced: _Announcement, now: float) -> bool:
        """Use the newest announcement of an incarnation; return whether the limit changed."""
        before = self._announced.get(incarnation)
        rate_before = before.rate_per_s if before is not None else 0.0
        bucket = self._refilled_bucket(incarnation, now)
        self._announced[incarnation] = announced
        if announced.rate_per_s == rate_before:
            return False
        limit = self._find_limit(incarnation)
        if limit is None:
            return True
        if bucket is not None:
            bucket.limit = limit
            bucket.level = min(bucket.level, limit.burst)
        elif incarnation in self._buckets:
            # Calls sent since the previous limit ended were not counted.
            self._buckets[incarnation] = self._buckets[incarnation].empty_copy(limit, now)
        else:
            self._refilled_bucket(incarnation, now)
        return True

    def due_in_s(self, incarnation: str, now: float, ready_for_s: float = 0.0) -> float:
        """Return the seconds until an endpoint accepts one more call; 0 without a limit.

        Args:
            incarnation: The endpoint's incarnation.
            now: The current time.
            ready_for_s: Seconds for which the endpoint must have been able to accept it, capped
                by the burst of its limit.
        """
        bucket = self._refilled_bucket(incarnation, now)
        if bucket is None:
            return 0.0
        limit = bucket.limit
        return self._seconds_until(bucket, min(1 + ready_for_s * limit.rate, limit.burst))

    def call_interval_s(self, incarnation: str) -> float:
        """Return the seconds between two calls that an endpoint accepts; 0 without a limit."""
        rate_per_s = self.rate_per_s(incarnation)
        return 0.0 if rate_per_s is None else 1 / (self._reachable_share * rate_per_s)

    def reserve(self, key: str, incarnation: str, now: float) -> float:
        """Reserve the next unit of an endpoint for a call; return when the call may be sent."""
        self.cancel_reservation(key, now)
        bucket = self._refilled_bucket(incarnation, now)
        if bucket is None:
            return now
        due_at = now + self._seconds_until(bucket, 1.0)
        self._take(bucket, now)
        self._reserved[key] = incarnation
        self._reserved_keys.setdefault(incarnation, {})[key] = None
        return due_at

    def cancel_reservation(self, key: str, now: float) -> None:
        """Return the unit that a call reserved but did not use; ignore unknown keys."""
        incarnation = self._reserved.pop(key, None)
        if incarnation is None:
            return
        self._remove_key(incarnation, key)
        bucket = self._buckets.get(incarnation)
        if bucket is not None:
            bucket.return_unused(1, now)
            self._on_units_changed()

    def count_sent_call(self, incarnation: str, now: float) -> None:
        """Count a call that is sent to an endpoint, with or without a reservation."""
        keys = self._reserved_keys.get(incarnation)
        if keys:
            # Which reservation is used up does not matter; the oldest was due first.
            key = next(iter(keys))
            self._remove_key(incarnation, key)
            del self._reserved[key]
            return
        bucket = self._refilled_bucket(incarnation, now)
        if bucket is not None:
            self._take(bucket, now)

    def _take(self, bucket: Bucket, now: float) -> None:
        bucket.take(1, now)
        self._on_units_changed()

    def _remove_key(self, incarnation: str, key: str) -> None:
        del self._reserved_keys[incarnation][key]
        if not self._reserved_keys[incarnation]:
            del self._reserved_keys[incarnation]

    def taken_by_peers(self, incarnation: str) -> int:
        """Return the units of an endpoint's limit that peers have reported as taken."""
        bucket = self._buckets.get(incarnation)
        return 0 if bucket is None else bucket.debited

    def level(self, incarnation: str, now: float) -> float:
        """Return the units left of an endpoint's limit; negative if future units are reserved."""
        bucket = self._refilled_bucket(incarnation, now)
        return 0.0 if bucket is None else bucket.level

    def announcements(
        self, now: float, max_count: int, *, include_from_peers: bool = False
    ) -> list[AnnouncedLimit]:
        """Return the newest announcements of all endpoints, newest first.

        Args:
            now: The current time.
            max_count: Maximum number to return.
            include_from_peers: Whether to include announcements that peers reported.
        """
        newest = [
            AnnouncedLimit(
                incarnation, announced.rate_per_s, round(now - announced.announced_at, 3)
            )
            for incarnation, announced in self._announced.items()
            if (include_from_peers or announced.is_direct)
            and now - announced.announced_at < _ANNOUNCEMENT_LIFETIME_S
        ]
        return sorted(newest, key=lambda limit: limit.age_s)[:max_count]

    def announcement(self, incarnation: str, now: float) -> AnnouncedLimit:
        """Return the newest announcement of one endpoint."""
        announced = self._announced[incarnation]
        return AnnouncedLimit(
            incarnation, announced.rate_per_s, round(now - announced.announced_at, 3)
        )

    def expire(self, now: float) -> None:
        """End limits whose announcements have expired, and delete those that ended long ago."""
        for incarnation, announced in list(self._announced.items()):
            age_s = now - announced.announced_at
            if announced.rate_per_s and age_s > _ANNOUNCEMENT_LIFETIME_S:
                self._announced[incarnation] = announced._replace(rate_per_s=0.0)
            elif age_s > _RETENTION_S:
                del self._announced[incarnation]
                self._remove_name(incarnation)


def _ignore() -> None:
    """Do nothing; the default callback."""
