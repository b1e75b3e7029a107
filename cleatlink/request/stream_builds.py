"""The builds at which streams began, kept until no caller can take the stream up any more."""

import hashlib
import math
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["MAX_STREAM_AGE_S", "StreamBuild", "StreamBuildRecords", "stream_key"]

# Two of a million streams have the same key with a probability of one in thirty million.
_KEY_BYTES = 8
# Maximum number of records; the oldest are removed first.
_MAX_RECORDS = 50_000
# Longest time for which a stream can be taken up, in seconds, whatever its caller's deadline is.
MAX_STREAM_AGE_S = 600.0


class StreamBuild(NamedTuple):
    """The build at which a stream began.

    Attributes:
        key: Key of the stream.
        build: The build.
        expires_in_s: Seconds until the stream's caller no longer waits.
    """

    key: bytes
    build: str
    expires_in_s: float


class _Record(NamedTuple):
    builds: tuple[str, ...]
    expires_at: float


def stream_key(organisation: str, request_id: str) -> bytes:
    """Return the key of a stream that a request began.

    Args:
        organisation: Organisation of the caller, so that no caller can change another one's record.
        request_id: Identifier that the caller chose for the request.
    """
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    digest.update(b"%d:" % len(organisation.encode()))
    digest.update(organisation.encode())
    digest.update(request_id.encode())
    return digest.digest()


class StreamBuildRecords:
    """Builds by stream; times are readings of the monotonic clock."""

    def __init__(self) -> None:
        self._records: dict[bytes, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add(self, stream: StreamBuild, now: float) -> None:
        """Record the build of a stream.

        If a caller uses one identifier for streams of several builds, all of them are kept.
        """
        lifetime_s = min(stream.expires_in_s, MAX_STREAM_AGE_S)
        if lifetime_s <= 0 or math.isnan(lifetime_s):
            return
        known = self.find(stream.key, now)
        builds = known if stream.build in known else (*known, stream.build)
        self._records[stream.key] = _Record(builds, now + lifetime_s)
        if len(self._records) > _MAX_RECORDS:
            del self._records[next(iter(self._records))]

    def find(self, key: bytes, now: float) -> tuple[str, ...]:
        """Return the builds of a stream; empty if it is not known, several if it is ambiguous."""
        record = self._records.get(key)
        return () if record is None or record.expires_at <= now else record.builds

    def remove_expired(self, now: float) -> None:
        """Remove the records of streams that can't be taken up any more."""
        self._records = {
            key: record for key, record in self._records.items() if record.expires_at > now
        }

    def streams(self, now: float) -> Iterable[StreamBuild]:
        """Return all records."""
        return [
            StreamBuild(key, build, record.expires_at - now)
            for key, record in self._records.items()
            for build in record.builds
            if record.expires_at > now
        ]
