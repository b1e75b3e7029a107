"""Idempotency keys: the owner of a key grants it at most once.

Keys are kept in memory only, so an owner can't know what an earlier owner granted.
It therefore grants only keys that were created after its ownership was confirmed; for
an older key it answers ``unknown``. Keys are UUIDv7 because these contain the time at
which the caller created them. A key may name its home data centre before a colon,
``praha-a:0190...``, so that the key can be granted there while the data centre is
disconnected from the others. Otherwise, the home data centre is chosen by a hash of the key.
"""

import uuid
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from cleatlink.routing.hashing import rank_names

__all__ = [
    "ClaimResult",
    "ClaimState",
    "IdempotencyKeyRegistry",
    "StoredAnswer",
    "find_home_data_centre",
    "parse_key_time",
]

# Maximum difference between the clocks of callers and of this instance, in seconds.
MAX_CLOCK_SKEW_S = 2.0
# How long the outcome of a key is kept, in seconds.
KEY_LIFETIME_S = 600.0
# Maximum number of keys kept by one instance.
_MAX_KEYS = 100_000
_UUID_VERSION = 7


class ClaimState(StrEnum):
    """The owner's answer to a claim of a key."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    MISMATCH = "mismatch"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"
    FULL = "full"


class StoredAnswer(NamedTuple):
    """The endpoint's answer to a call whose key was granted."""

    status: int
    content_type: str
    body: bytes


class ClaimResult(NamedTuple):
    """Result of a claim, with the stored answer if the call has already run."""

    state: ClaimState
    answer: StoredAnswer | None = None


class _Entry(NamedTuple):
    fingerprint: str
    granted_at: float
    answer: StoredAnswer | None


def parse_key_time(key: str) -> float | None:
    """Return the creation time of a key in seconds since 1970; None if it is not a UUIDv7."""
    uuid_text = key.rpartition(":")[2]
    try:
        parsed = uuid.UUID(uuid_text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION or str(parsed) != uuid_text.lower():
        return None
    return (parsed.int >> 80) / 1000


def find_home_data_centre(key: str, data_centres: Iterable[str]) -> str | None:
    """Return the home data centre of a key; None if the key names an unknown data centre."""
    names = sorted(data_centres)
    home, separator, _ = key.rpartition(":")
    if separator:
        return home if home in names else None
    return rank_names(key, names)[0] if names else None


class IdempotencyKeyRegistry:
    """The idempotency keys that one instance owns; times are in seconds since 1970."""

    def __init__(self, max_keys: int = _MAX_KEYS) -> None:
        self._entries: dict[str, _Entry] = {}
        self._max_keys = max_keys

    def claim(self, key: str, fingerprint: str, owner_since: float, now: float) -> ClaimResult:
        """Request permission to run the call of a key.

        Args:
            key: The caller's key, a UUIDv7.
            fingerprint: Hash of organisation, method, path and body.
            owner_since: Time at which this instance's ownership of the key was
                confirmed; infinity while it is not confirmed.
            now: Current time in seconds since 1970.

        Returns:
            The state of the key; ``GRANTED`` to at most one caller for each key,
            unless the call certainly did not run.
        """
        self._remove_expired(now)
        entry = self._entries.get(key)
        if entry is not None:
            return self._compare_entry(entry, fingerprint)
        created_at = parse_key_time(key)
        if created_at is None or not self._is_grantable(created_at, owner_since, now):
            return ClaimResult(ClaimState.UNKNOWN)
        if len(self._entries) >= self._max_keys:
            return ClaimResult(ClaimState.FULL)
        self._entries[key] = _Entry(fingerprint, now, None)
        return ClaimResult(ClaimState.GRANTED)

    def record_outcome(self, key: str, answer: StoredAnswer | None) -> None:
        """Store the answer for a granted key; None means that the call certainly did not run."""
        entry = self._entries.get(key)
        if entry is None:
            return
        if answer is None:
            del self._entries[key]
        else:
            self._entries[key] = entry._replace(answer=answer)

    @staticmethod
    def _compare_entry(entry: _Entry, fingerprint: str) -> ClaimResult:
        if entry.fingerprint != fingerprint:
            return ClaimResult(ClaimState.MISMATCH)
        if entry.answer is None:
            return ClaimResult(ClaimState.RUNNING)
        return ClaimResult(ClaimState.DONE, entry.answer)

    @staticmethod
    def _is_grantable(created_at: float, owner_since: float, now: float) -> bool:
        """Check that no other instance can have granted a key created at a given time."""
        is_recent = now - KEY_LIFETIME_S + MAX_CLOCK_SKEW_S < created_at < now + MAX_CLOCK_SKEW_S
        return is_recent and created_at - MAX_CLOCK_SKEW_S > owner_since

    def _remove_expired(self, now: float) -> None:
        """Remove expired keys; the entries are ordered by the time of their grant."""
        expired = []
        for key, entry in self._entries.items():
            if entry.granted_at > now - KEY_LIFETIME_S:
                break
            expired.append(key)
        for key in expired:
            del self._entries[key]
