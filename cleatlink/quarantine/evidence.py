"""Records which requests were in progress at endpoints that crashed, and attributes the crashes.

A crash ends all requests in progress at an endpoint, so a single crash does not show which of them
caused it. The cause is in progress at every crash that it causes. Other requests are there by
chance, and complete at another endpoint when they are retried. So each crash is attributed to the
suspect that was in progress at the most crashes, and to none while several suspects share the
highest count. A request that completed, at any endpoint, is cleared of all crashes so far.

Crashes that happen together count only once for a request: copies of one request may be in progress
at several endpoints that fail at the same time by chance. A crash counts for a request only if the
request started at that endpoint after the last crash that counted.

The evidence is a set that only grows until it expires. Reports may arrive in any order, late,
repeatedly and from any instance, and the same reports lead to the same result.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["CrashAttribution", "CrashEvidence", "CrashReport"]

# Only the newest crashes are kept: at one crash a minute, those of the last hour.
_MAX_CRASHES = 64
# Requests kept for one crash: twice the number that large engines run at once.
_MAX_REQUESTS = 128


class CrashReport(NamedTuple):
    """Report of one crash, as exchanged between instances.

    Attributes:
        incarnation: Name of the endpoint's incarnation that crashed; an incarnation crashes only
            once.
        age_s: Seconds since the crash.
        suspects: Identities of the requests in progress at the crash, each with the seconds for
            which it had been in progress.
        cleared: Identities of requests that completed since, at any endpoint.
    """

    incarnation: str
    age_s: float
    suspects: Mapping[bytes, float]
    cleared: frozenset[bytes] = frozenset()


class CrashAttribution(NamedTuple):
    """Crashes that are attributed to a request.

    Attributes:
        incarnations: Endpoint incarnations that the request crashed according to the evidence.
        independent_crashes: Number of these crashes, where crashes that happened together count
            once.
        last_crash_at: Time of the last of these crashes; minus infinity without any.
    """

    incarnations: tuple[str, ...] = ()
    independent_crashes: int = 0
    last_crash_at: float = -math.inf


_NO_CRASHES = CrashAttribution()


class _Crash:
    """One known crash; each of its requests is either a suspect or cleared."""

    __slots__ = ("cleared", "crashed_at", "suspects")

    def __init__(self, crashed_at: float) -> None:
        self.crashed_at = crashed_at
        # Seconds for which each had been in progress; of several copies, the shortest time.
        self.suspects: dict[bytes, float] = {}
        self.cleared: set[bytes] = set()

    def add(self, suspects: Mapping[bytes, float]) -> bool:
        """Add suspects up to the maximum number.

        Returns:
            Whether anything was new.
        """
        is_new = False
        for request, seconds in sorted(suspects.items()):
            if request in self.cleared:
                continue
            known = self.suspects.get(request)
            if known is None and len(self.suspects) + len(self.cleared) >= _MAX_REQUESTS:
                continue
            if known is None or seconds < known:
                self.suspects[request] = seconds
                is_new = True
        return is_new

    def clear(self, requests: Iterable[bytes]) -> bool:
        """Clear requests, also unknown ones, so that no later report makes them suspects.

        Returns:
            Whether one of them was a suspect.
        """
        was_suspected = False
        for request in requests:
            was_suspected |= self.suspects.pop(request, None) is not None
            if len(self.suspects) + len(self.cleared) < _MAX_REQUESTS:
                self.cleared.add(request)
        return was_suspected


class CrashEvidence:
    """The known crashes; methods that depend on the time get it as an argument."""

    def __init__(self, retention_s: float) -> None:
        """Start without crashes.

        Args:
            retention_s: Seconds for which a crash is kept.
        """
        self._retention_s = retention_s
        self._crashes: dict[str, _Crash] = {}
        self._attributed: dict[bytes, CrashAttribution] | None = None
        self._counts: Counter[bytes] = Counter()

    def __len__(self) -> int:
        return len(self._crashes)

    def add_report(self, report: CrashReport, now: float) -> bool:
        """Add a report.

        Returns:
            Whether anything in it was new.
        """
        if report.age_s >= self._retention_s or not (report.suspects or report.cleared):
            return False
        crashed_at = now - report.age_s
        crash = self._crashes.get(report.incarnation)
        if crash is None:
            crash = self._crashes[report.incarnation] = _Crash(crashed_at)
        # The age in a report is too low by the time for which it was in transit.
        crash.crashed_at = min(crash.crashed_at, crashed_at)
        is_new = crash.add(report.suspects)
        is_new |= crash.clear(report.cleared)
        if is_new:
            self._drop_oldest()
            self._attributed = None
        return is_new

    def clear_request(self, identity: bytes) -> list[str]:
        """Clear a request of all crashes so far.

        Returns:
            The crashed incarnations at which it was a suspect.
        """
        incarnations = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if identity in crash.suspects
        ]
        for incarnation in incarnations:
            self._crashes[incarnation].clear((identity,))
        if incarnations:
            self._attributed = None
        return incarnations

    def remove_expired(self, now: float) -> None:
        """Remove crashes that are older than the retention time."""
        expired = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if now - crash.crashed_at >= self._retention_s
        ]
        for incarnation in expired:
            del self._crashes[incarnation]
        if expired:
            self._attributed = None

    def suspicion(self, identity: bytes) -> int:
        """Return how many crashes count against a request, without those it is cleared of."""
        self._attribute_crashes()
        return self._counts[identity]

    def attribution(self, identity: bytes) -> CrashAttribution:
        """Return the crashes that are attributed to a request."""
        return self._attribute_crashes().get(identity, _NO_CRASHES)

    def attributions(self) -> dict[bytes, CrashAttribution]:
        """Return the attributed crashes of each request that has any."""
        return dict(self._attribute_crashes())

    def crash_report(self, incarnation: str, now: float) -> CrashReport | None:
        """Return a report of a crash; None if the crash is not known."""
        crash = self._crashes.get(incarnation)
        if crash is None:
            return None
        return CrashReport(
            incarnation, now - crash.crashed_at, dict(crash.suspects), frozenset(crash.cleared)
        )

    def crashed_incarnations(self) -> list[str]:
        """Return the crashed incarnations, the newest crash first."""
        return sorted(self._crashes, key=lambda incarnation: -self._crashes[incarnation].crashed_at)

    def _attribute_crashes(self) -> dict[bytes, CrashAttribution]:
        """Attribute each crash to its suspect with the highest crash count.

        A crash whose highest count is shared by several suspects is attributed to none. Otherwise
        innocent requests would be quarantined: of six requests that were retried beside another
        that crashed endpoints, some shared its first three crashes and were refused with it.
        """
        if self._attributed is not None:
            return self._attributed
        ordered = sorted(self._crashes.items(), key=lambda item: item[1].crashed_at)
        self._counts = _count_crashes([crash for _, crash in ordered])
        crashes_by_request: dict[bytes, list[tuple[str, _Crash]]] = {}
        for incarnation, crash in ordered:
            highest = max((self._counts[request] for request in crash.suspects), default=0)
            top_suspects = [
                request for request in crash.suspects if self._counts[request] == highest
            ]
            if len(top_suspects) == 1:
                crashes_by_request.setdefault(top_suspects[0], []).append((incarnation, crash))
        self._attributed = {
            request: CrashAttribution(
                tuple(incarnation for incarnation, _ in attributed),
                _count_crashes([crash for _, crash in attributed])[request],
                attributed[-1][1].crashed_at,
            )
            for request, attributed in crashes_by_request.items()
        }
        return self._attributed

    def _drop_oldest(self) -> None:
        while len(self._crashes) > _MAX_CRASHES:
            oldest = min(
                self._crashes, key=lambda incarnation: self._crashes[incarnation].crashed_at
            )
            del self._crashes[oldest]


def _count_crashes(crashes: Iterable[_Crash]) -> Counter[bytes]:
    """Count the crashes of each suspect, where crashes that happened together count once.

    A crash counts if the request started at that endpoint after the last crash that counted.

    Args:
        crashes: The crashes, the oldest first.
    """
    counts: Counter[bytes] = Counter()
    last_at: dict[bytes, float] = {}
    for crash in crashes:
        for request, seconds in crash.suspects.items():
            if crash.crashed_at - seconds > last_at.get(request, -math.inf):
                counts[request] += 1
                last_at[request] = crash.crashed_at
    return counts
