"""Which requests were in progress at endpoints that crashed, and which of them are to blame.

A crash ends everything that runs on an endpoint, so that one alone tells little. A request
that causes it is there at each crash that it causes; what runs beside it is there by chance,
and is served elsewhere when it comes again. So each crash is put down to the one of its requests
that was at the most crashes, and to none as long as several were at as many. A request that
ran to its end, anywhere, is cleared of all crashes so far.

The evidence is a set that only grows until it is forgotten: reports may come in any order,
late, more than once and from anybody, and the same reports give the same verdict.
"""

import math
from collections import Counter
from collections.abc import Iterable
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
        requests: Identities of requests that were in progress there.
        cleared: Those of them that ran to their end, there or elsewhere.
    """

    life: str
    age_s: float
    requests: frozenset[bytes]
    cleared: frozenset[bytes] = frozenset()


class Blame(NamedTuple):
    """What is put down to a request.

    Attributes:
        lives: Endpoints' lives that it ended, as far as the evidence goes.
        last_at: When the last of them ended; minus infinity for none.
    """

    lives: tuple[str, ...] = ()
    last_at: float = -math.inf


NO_BLAME = Blame()


class _Crash:
    """One crash as known here; a request is either suspected or cleared."""

    __slots__ = ("at", "cleared", "suspects")

    def __init__(self, at: float) -> None:
        self.at = at
        self.suspects: set[bytes] = set()
        self.cleared: set[bytes] = set()

    def add(self, requests: Iterable[bytes]) -> bool:
        """Add requests up to the bound; tells whether one is new."""
        before = len(self.suspects)
        for request in sorted(requests):
            if len(self.suspects) + len(self.cleared) >= _MOST_REQUESTS:
                break
            if request not in self.cleared:
                self.suspects.add(request)
        return len(self.suspects) > before

    def clear(self, requests: Iterable[bytes]) -> bool:
        """Clear requests that were suspected; tells whether one was."""
        found = self.suspects.intersection(requests)
        self.suspects -= found
        self.cleared |= found
        return bool(found)


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
        if report.age_s >= self._keep_s or not report.requests:
            return False
        at = now - report.age_s
        crash = self._crashes.get(report.life)
        if crash is None:
            crash = self._crashes[report.life] = _Crash(at)
        # Reports that were long on their way seem younger than they are.
        crash.at = min(crash.at, at)
        is_new = crash.add(report.requests)
        is_new |= crash.clear(report.cleared)
        if is_new:
            self._drop_oldest()
            self._blames = None
        return is_new

    def clear(self, identity: bytes) -> list[str]:
        """Clear a request of all crashes so far; gives the lives where it was suspected."""
        lives = [life for life, crash in self._crashes.items() if crash.clear((identity,))]
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
        """Give at how many crashes a request was that it is not cleared of."""
        self._judge()
        return self._counts[identity]

    def blame(self, identity: bytes) -> Blame:
        """Give the crashes that are put down to a request."""
        return self._judge().get(identity, NO_BLAME)

    def blames(self) -> dict[bytes, Blame]:
        """Give what is put down to each request that has any."""
        return dict(self._judge())

    def report(self, life: str, now: float) -> CrashReport | None:
        """Give what is known of a crash."""
        crash = self._crashes.get(life)
        if crash is None:
            return None
        cleared = frozenset(crash.cleared)
        return CrashReport(life, now - crash.at, cleared | crash.suspects, cleared)

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
        crashes = self._crashes.values()
        self._counts = Counter(request for crash in crashes for request in crash.suspects)
        blames: dict[bytes, Blame] = {}
        for life, crash in sorted(self._crashes.items(), key=lambda item: item[1].at):
            most = max((self._counts[request] for request in crash.suspects), default=0)
            first = [request for request in crash.suspects if self._counts[request] == most]
            if len(first) == 1:
                lives = (*blames.get(first[0], NO_BLAME).lives, life)
                blames[first[0]] = Blame(lives, crash.at)
        self._blames = blames
        return blames

    def _drop_oldest(self) -> None:
        while len(self._crashes) > _MOST_CRASHES:
            oldest = min(self._crashes, key=lambda life: self._crashes[life].at)
            del self._crashes[oldest]
