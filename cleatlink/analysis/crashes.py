"""Lists requests that were in progress at crashes of endpoints, and the quarantine decisions."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from cleatlink.analysis.log_reader import LogLine

__all__ = ["CrashTable", "SuspectRow"]

_CRASH_MESSAGE = "endpoint: crashed with requests in progress"
_QUARANTINE_MESSAGE = "quarantine: request held back after repeated crashes"
_CLEAR_MESSAGE = "quarantine: request completed; clearing it of earlier crashes"
_TRIAL_MESSAGE = "quarantine: starting the trial of a request"
_REFUSAL_MESSAGE = "relay: request refused: it is in quarantine"


class SuspectRow(NamedTuple):
    """One request that was in progress at a crash.

    Attributes:
        identity: Identity of the request.
        endpoint_count: Number of endpoints that crashed while it was in progress there.
        first_crash_at: Time of the first of these crashes, in seconds.
        last_crash_at: Time of the last of these crashes, in seconds.
        quarantined_at: Time of its first quarantine, in seconds; None if it was never quarantined.
        refusal_count: Number of its attempts that were refused because of the quarantine.
        trial_count: Number of its trials.
        clearance_count: Number of times that any instance cleared it of earlier crashes.
    """

    identity: str
    endpoint_count: int
    first_crash_at: float
    last_crash_at: float
    quarantined_at: float | None
    refusal_count: int
    trial_count: int
    clearance_count: int


class CrashTable:
    """Collects the crashes by request, and the quarantine decisions about each request."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, float]] = defaultdict(dict)
        self._quarantined_at: dict[str, float] = {}
        self._refusal_counts: Counter[str] = Counter()
        self._trial_counts: Counter[str] = Counter()
        self._clearance_counts: Counter[str] = Counter()

    def add(self, line: LogLine) -> None:
        """Add a log line; lines about anything else are ignored."""
        identity_field = line.fields.get("asks")
        if line.message_type == _CRASH_MESSAGE and isinstance(identity_field, list):
            for identity in identity_field:
                self._crashes[str(identity)].setdefault(
                    str(line.fields.get("endpoint")), line.timestamp_s
                )
        elif line.message_type == _QUARANTINE_MESSAGE:
            self._quarantined_at.setdefault(str(identity_field), line.timestamp_s)
        elif line.message_type == _REFUSAL_MESSAGE:
            self._refusal_counts[str(identity_field)] += 1
        elif line.message_type == _TRIAL_MESSAGE:
            self._trial_counts[str(identity_field)] += 1
        elif line.message_type == _CLEAR_MESSAGE:
            self._clearance_counts[str(identity_field)] += 1

    def rows(self) -> Iterator[SuspectRow]:
        """Yield requests that were at two or more crashes or quarantined, most crashes first."""
        for identity, crashes in sorted(self._crashes.items(), key=lambda item: -len(item[1])):
            quarantined_at = self._quarantined_at.get(identity)
            if len(crashes) > 1 or quarantined_at is not None:
                yield SuspectRow(
                    identity,
                    len(crashes),
                    min(crashes.values()),
                    max(crashes.values()),
                    quarantined_at,
                    self._refusal_counts[identity],
                    self._trial_counts[identity],
                    self._clearance_counts[identity],
                )
