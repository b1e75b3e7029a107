"""Which requests were in progress at endpoints that crashed, and what was decided about them."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from cleatlink.analysis.lines import LogLine

__all__ = ["CrashTable", "SuspectRow"]

_CRASH = "endpoint: crashed with requests in progress"
_HOLD = "quarantine: request held back after repeated crashes"
_CLEAR = "quarantine: request completed; clearing it of earlier crashes"
_TRY = "quarantine: starting the trial of a request"
_HELD = "relay: request refused: it is in quarantine"


class SuspectRow(NamedTuple):
    """One request that was at a crash.

    Attributes:
        asks: Its identity.
        endpoints: How many endpoints crashed with it in progress.
        first_at: Seconds at which the first of them did.
        last_at: Seconds at which the last one did.
        held_at: Seconds at which it was held back first; None if it never was.
        refused: How many of its attempts were refused since.
        tries: How often it was tried again.
        cleared: How often it was cleared, by whatever instance.
    """

    asks: str
    endpoints: int
    first_at: float
    last_at: float
    held_at: float | None
    refused: int
    tries: int
    cleared: int


class CrashTable:
    """Collects crashes by the requests that were in progress."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, float]] = defaultdict(dict)
        self._held_at: dict[str, float] = {}
        self._refused: Counter[str] = Counter()
        self._tries: Counter[str] = Counter()
        self._cleared: Counter[str] = Counter()

    def add(self, line: LogLine) -> None:
        """Take a line."""
        asks = line.fields.get("asks")
        if line.message == _CRASH and isinstance(asks, list):
            for name in asks:
                self._crashes[str(name)].setdefault(str(line.fields.get("endpoint")), line.at)
        elif line.message == _HOLD:
            self._held_at.setdefault(str(asks), line.at)
        elif line.message == _HELD:
            self._refused[str(asks)] += 1
        elif line.message == _TRY:
            self._tries[str(asks)] += 1
        elif line.message == _CLEAR:
            self._cleared[str(asks)] += 1

    def rows(self) -> Iterator[SuspectRow]:
        """Give those that were at two crashes or held, the ones at the most first."""
        for asks, crashes in sorted(self._crashes.items(), key=lambda item: -len(item[1])):
            held_at = self._held_at.get(asks)
            if len(crashes) > 1 or held_at is not None:
                yield SuspectRow(
                    asks,
                    len(crashes),
                    min(crashes.values()),
                    max(crashes.values()),
                    held_at,
                    self._refused[asks],
                    self._tries[asks],
                    self._cleared[asks],
                )
