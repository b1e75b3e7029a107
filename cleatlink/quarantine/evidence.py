"""Which requests were in progress at endpoints that crashed, and which of them are to blame.

A crash ends everything that runs on an endpoint, so that one alone tells little. A request
that causes it is there at each crash that it causes; what runs beside it is there by chance,
and is served elsewhere when it comes again. So each crash is put down to the one of its requests
that was at the most crashes, and to none as long as several were at as many. A request that
ran to its end, anywhere, is cleared of all crashes so far.

Crashes count for a request one after the other: endpoints that go down together take copies
of one request with them, and that is a single chance. A crash counts only if the request
was begun there after the one before had happened.

The evidence is a set that only grows until it is forgotten: reports may come in any order,
late, more than once and from anybody, and the same reports give the same verdict.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["Blame", "CrashEvidence", "CrashReport"]

# Crashes that are remembered, the newest: at one crash a minute those of the last hour.
_MOST_CRASHES = 64
# Requests that are remembered of one crash: twice what large engines run at once.
_MOST_REQUESTS = 128


class CrashReport(NamedTuple):
    """What is told of one crash.

    Attributes:
        life: The endpoint's name for the life that ended; each life crashes once.
        age_s: Seconds since the crash.
        suspects: Identities of requests that were in progress there, with the seconds for which
            they had been.
        cleared: Identities of those that ran to their end since, there or elsewhere.
    """

    life: str
    age_s: float
    suspects: Mapping[bytes, float]
    cleared: frozenset[bytes] = frozenset()


class Blame(NamedTuple):
    """What is put down to a request.

    Attributes:
        lives: Endpoints' lives that it ended, as far as the evidence goes.
        crashes: How many of them it ended one after the other.
        last_at: When the last of them ended; minus infinity for none.
    """

    lives: tuple[str, ...] = ()
    crashes: int = 0
    last_at: float = -math.inf


_NO_BLAME = Blame()


class _Crash:
    """One crash as known here; a request is either suspected or cleared."""

    __slots__ = ("at", "cleared", "suspects")

    def __init__(self, at: float) -> None:
        self.at = at
        # Seconds for which each had been in progress, the least of several copies.
        self.suspects: dict[bytes, float] = {}
        self.cleared: set[bytes] = set()

    def add(self, suspects: Mapping[bytes, float]) -> bool:
        """Add suspects up to the bound; tells whether there was anything new."""
        is_new = False
        for request, seconds in sorted(suspects.items()):
            if request in self.cleared:
                continue
            known = self.suspects.get(request)
            if known is None and len(self.suspects) + len(self.cleared) >= _MOST_REQUESTS:
                continue
            if known is None or seconds < known:
                self.suspects[request] = seconds
                is_new = True
        return is_new

    def clear(self, requests: Iterable[bytes]) -> bool:
        """Clear requests, also such as are not known yet; tells whether one was a suspect."""
        is_new = False
        for request in requests:
            is_new |= self.suspects.pop(request, None) is not None
            if len(self.suspects) + len(self.cleared) < _MOST_REQUESTS:
                self.cleared.add(request)
        return is_new


class CrashEvidence:
    """All crashes that are remembered; every method takes the time as an argument."""

    def __init__(self, keep_s: float) -> None:
        """Start without any.

        Args:
            keep_s: Seconds for which a crash is remembered.
        """
        self._keep_s = keep_s
        self._crashes: dict[str, _Crash] = {}
        self._blames: dict[bytes, Blame] | None = None
        self._counts: Counter[bytes] = Counter()

    def __len__(self) -> int:
        return len(self._crashes)

    def add(self, report: CrashReport, now: float) -> bool:
        """Take a report in; tells whether it had anything new."""
        if report.age_s >= self._keep_s or not (report.suspects or report.cleared):
            return False
        at = now - report.age_s
        crash = self._crashes.get(report.life)
        if crash is None:
            crash = self._crashes[report.life] = _Crash(at)
        # Reports that were long on their way seem younger than they are.
        crash.at = min(crash.at, at)
        is_new = crash.add(report.suspects)
        is_new |= crash.clear(report.cleared)
        if is_new:
            self._drop_oldest()
            self._blames = None
        return is_new

    def clear(self, identity: bytes) -> list[str]:
        """Clear a request of all crashes so far; gives the lives where it was suspected."""
        lives = [life for life, crash in self._crashes.items() if identity in crash.suspects]
        for life in lives:
            self._crashes[life].clear((identity,))
        if lives:
            self._blames = None
        return lives

    def forget(self, now: float) -> None:
        """Forget crashes that are long ago."""
        old = [life for life, item in self._crashes.items() if now - item.at >= self._keep_s]
        for life in old:
            del self._crashes[life]
        if old:
            self._blames = None

    def suspicion(self, identity: bytes) -> int:
        """Give at how many crashes, one after the other, a request was without being cleared."""
        self._judge()
        return self._counts[identity]

    def blame(self, identity: bytes) -> Blame:
        """Give the crashes that are put down to a request."""
        return self._judge().get(identity, _NO_BLAME)

    def blames(self) -> dict[bytes, Blame]:
        """Give what is put down to each request that has any."""
        return dict(self._judge())

    def report(self, life: str, now: float) -> CrashReport | None:
        """Give what is known of a crash."""
        crash = self._crashes.get(life)
        if crash is None:
            return None
        return CrashReport(life, now - crash.at, dict(crash.suspects), frozenset(crash.cleared))

    def lives(self) -> list[str]:
        """Give the lives that ended, the newest first."""
        return sorted(self._crashes, key=lambda life: -self._crashes[life].at)

    def _judge(self) -> dict[bytes, Blame]:
        """Put each crash down to the one of its requests that was at the most crashes.

        What can't be told apart is not held back: of six requests that came again beside one
        that crashed endpoints, some shared its first three crashes and were refused with it.
        """
        if self._blames is not None:
            return self._blames
        ordered = sorted(self._crashes.items(), key=lambda item: item[1].at)
        self._counts = _count([crash for _, crash in ordered])
        blamed: dict[bytes, list[tuple[str, _Crash]]] = {}
        for life, crash in ordered:
            most = max((self._counts[request] for request in crash.suspects), default=0)
            first = [request for request in crash.suspects if self._counts[request] == most]
            if len(first) == 1:
                blamed.setdefault(first[0], []).append((life, crash))
        self._blames = {
            request: Blame(
                tuple(life for life, _ in found),
                _count([crash for _, crash in found])[request],
                found[-1][1].at,
            )
            for request, found in blamed.items()
        }
        return self._blames

    def _drop_oldest(self) -> None:
        while len(self._crashes) > _MOST_CRASHES:
            oldest = min(self._crashes, key=lambda life: self._crashes[life].at)
            del self._crashes[oldest]


def _count(crashes: Iterable[_Crash]) -> Counter[bytes]:
    """Count for each suspect the crashes that it was begun at after the one before.

    Args:
        crashes: The crashes, the oldest first.
    """
    counts: Counter[bytes] = Counter()
    last_at: dict[bytes, float] = {}
    for crash in crashes:
        for request, seconds in crash.suspects.items():
            if crash.at - seconds > last_at.get(request, -math.inf):
                counts[request] += 1
                last_at[request] = crash.at
    return counts
