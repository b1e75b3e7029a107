"""Once-only keys: one owner grants each key at most once.

Nothing here lasts, so an owner can't know what an earlier owner granted. It
therefore grants only keys that were made after its ownership became sure; for
an older key it answers ``unknown``, which is the truth. Keys are UUIDv7, since
these carry the time at which the caller made them. A key may name its home
data centre before a colon, ``praha-a:0190...``, so that it can be granted there
while the data centre is cut off; else its home follows from the key.
"""

import uuid
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from cleatlink.routing.prefix import rank_names

__all__ = [
    "Claim",
    "ClaimState",
    "KeyRegistry",
    "StoredAnswer",
    "find_home",
    "parse_key_time",
]

# How far callers' clocks may be from ours.
CLOCK_SKEW_S = 2.0
# For how long the outcome of a key is kept.
KEY_LIFETIME_S = 600.0
_MAX_KEYS = 100_000
_UUID_VERSION = 7


class ClaimState(StrEnum):
    """What the owner says to one who wants to run a key."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    MISMATCH = "mismatch"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"
    FULL = "full"


class StoredAnswer(NamedTuple):
    """The answer that a granted call got."""

    status: int
    content_type: str
    body: bytes


class Claim(NamedTuple):
    """The owner's word on a key."""

    state: ClaimState
    answer: StoredAnswer | None = None


class _Entry(NamedTuple):
    fingerprint: str
    at: float
    answer: StoredAnswer | None


def parse_key_time(key: str) -> float | None:
    """Read the time in a UUIDv7, in seconds since 1970; None if it is none."""
    text = key.rpartition(":")[2]
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION or str(parsed) != text.lower():
        return None
    return (parsed.int >> 80) / 1000


def find_home(key: str, data_centres: Iterable[str]) -> str | None:
    """Give a key's home data centre; None if it names one that is not known."""
    names = sorted(data_centres)
    named, separator, _ = key.rpartition(":")
    if separator:
        return named if named in names else None
    return rank_names(key, names)[0] if names else None


class KeyRegistry:
    """The keys that one instance owns; times are seconds since 1970."""

    def __init__(self, max_keys: int = _MAX_KEYS) -> None:
        self._entries: dict[str, _Entry] = {}
        self._max_keys = max_keys

    def claim(self, key: str, fingerprint: str, owner_since: float, now: float) -> Claim:
        """Ask to run a key.

        Args:
            key: The caller's key, a UUIDv7.
            fingerprint: Hash over organisation, method, path and body.
            owner_since: When this instance became the sure owner of the key;
                infinity while it is not sure.
            now: Time since 1970 in seconds.

        Returns:
            ``GRANTED`` to exactly one caller for each key.
        """
        self._expire(now)
        entry = self._entries.get(key)
        if entry is not None:
            return self._judge(entry, fingerprint)
        made = parse_key_time(key)
        if made is None or not self._is_ours(made, owner_since, now):
            return Claim(ClaimState.UNKNOWN)
        if len(self._entries) >= self._max_keys:
            return Claim(ClaimState.FULL)
        self._entries[key] = _Entry(fingerprint, now, None)
        return Claim(ClaimState.GRANTED)

    def settle(self, key: str, answer: StoredAnswer | None) -> None:
        """Note a granted key's answer; None says that it surely did not run."""
        entry = self._entries.get(key)
        if entry is None:
            return
        if answer is None:
            del self._entries[key]
        else:
            self._entries[key] = entry._replace(answer=answer)

    @staticmethod
    def _judge(entry: _Entry, fingerprint: str) -> Claim:
        if entry.fingerprint != fingerprint:
            return Claim(ClaimState.MISMATCH)
        if entry.answer is None:
            return Claim(ClaimState.RUNNING)
        return Claim(ClaimState.DONE, entry.answer)

    @staticmethod
    def _is_ours(made: float, owner_since: float, now: float) -> bool:
        """Tell whether nobody else can have granted a key made at this time."""
        fresh = now - KEY_LIFETIME_S + CLOCK_SKEW_S < made < now + CLOCK_SKEW_S
        return fresh and made - CLOCK_SKEW_S > owner_since

    def _expire(self, now: float) -> None:
        """Forget old keys; entries stand in the order in which they were granted."""
        old = []
        for key, entry in self._entries.items():
            if entry.at > now - KEY_LIFETIME_S:
                break
            old.append(key)
        for key in old:
            del self._entries[key]
