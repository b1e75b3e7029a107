"""What became of requests, by second and route."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import NamedTuple

from cleatlink.analysis.lines import LogLine
from cleatlink.analysis.quantiles import Sample

__all__ = ["Outcome", "OutcomeTable", "RouteSecond"]

# Requests whose end was not seen yet; the oldest are given up beyond that.
_MOST_OPEN = 200_000
_MS = 1000.0


class Outcome(StrEnum):
    """What became of a request."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    BROKEN = "broken off"
    FAILED = "failed"
    GONE = "caller left"
    CUT = "cut off by a stop"
    UNKNOWN = "end not seen"


class RouteSecond(NamedTuple):
    """One row: requests of a route that arrived within a second.

    Attributes:
        second: The second.
        route: Name of the route.
        counts: How many came to which outcome.
        retries: Sends beyond the first.
    """

    second: int
    route: str
    counts: Counter[Outcome]
    retries: int


class _Open:
    """A request whose end was not seen yet."""

    __slots__ = ("arrived_at", "back", "in_time", "prefills", "route", "waited_ms")

    def __init__(self, arrived_at: float, route: str) -> None:
        self.arrived_at = arrived_at
        self.route = route
        self.in_time = True
        self.back = False
        self.prefills = 0
        self.waited_ms = 0.0


_ENDS = {
    "relay: is answered": Outcome.IN_TIME,
    "relay: is refused": Outcome.REFUSED,
    "relay: cuts its answer off": Outcome.BROKEN,
    "relay: reached its deadline": Outcome.FAILED,
    "relay: is cancelled because its caller disconnected": Outcome.GONE,
    "relay: request interrupted by the end of the planned stop": Outcome.CUT,
}
_ENDPOINT_FAULTS = frozenset({"endpoint_failed", "internal", "deadline_passed"})


class OutcomeTable:
    """Follows requests to their ends."""

    def __init__(self, on_end: Callable[[LogLine, Outcome], None] | None = None) -> None:
        """Begin without requests.

        Args:
            on_end: Told of the line that ends a request, and what became of it.
        """
        self._on_end = on_end or (lambda line, outcome: None)
        self._open: dict[str, _Open] = {}
        self._rows: dict[tuple[int, str], Counter[Outcome]] = defaultdict(Counter)
        self._retries: Counter[tuple[int, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.returned: Counter[Outcome] = Counter()
        self.prompts_lost: Counter[str] = Counter()
        self.waits_ms = Sample()

    def add(self, line: LogLine) -> None:
        """Take a line."""
        if not line.request:
            return
        found = self._open.get(line.request)
        if found is None:
            arrived_at = line.at - line.number("age_ms") / _MS
            found = _Open(arrived_at, str(line.fields.get("route", "")))
            self._open[line.request] = found
            if len(self._open) > _MOST_OPEN:
                self._give_up_oldest()
        self._note(found, line)
        outcome = _ENDS.get(line.message)
        if outcome is not None:
            del self._open[line.request]
            self._end(found, line, outcome)

    def _note(self, found: _Open, line: LogLine) -> None:
        if (
            line.fields.get("in_time") is False
            or line.message == "relay: endpoint is slow, reporting it to peers"
        ):
            found.in_time = False
        if line.message == "relay: caller retried after a refusal":
            found.back = True
        elif line.message == "relay: prefill completed":
            found.prefills += 1
        elif line.message == "relay: retries":
            self._retries[int(found.arrived_at), found.route] += 1
        elif line.message == "relay: decode capacity reserved" and not found.waited_ms:
            found.waited_ms = line.number("age_ms")
            self.waits_ms.add(found.waited_ms)

    def _end(self, found: _Open, line: LogLine, outcome: Outcome) -> None:
        if outcome is Outcome.REFUSED:
            kind = str(line.fields.get("kind", ""))
            self.refusals[f"{kind}: {line.fields.get('detail', '')}"] += 1
            if kind in _ENDPOINT_FAULTS:
                outcome = Outcome.FAILED
        elif outcome is Outcome.IN_TIME and not found.in_time:
            outcome = Outcome.LATE
        self._rows[int(found.arrived_at // 1), found.route][outcome] += 1
        self._on_end(line, outcome)
        if found.back:
            self.returned[outcome] += 1
        served = outcome in (Outcome.IN_TIME, Outcome.LATE)
        lost = found.prefills - (1 if served else 0)
        if lost > 0:
            self.prompts_lost["computed more than once" if served else str(outcome)] += lost

    def _give_up_oldest(self) -> None:
        oldest = next(iter(self._open))
        self._count_unknown(self._open.pop(oldest))

    def _count_unknown(self, found: _Open) -> None:
        self._rows[int(found.arrived_at // 1), found.route][Outcome.UNKNOWN] += 1
        if found.prefills:
            self.prompts_lost[str(Outcome.UNKNOWN)] += found.prefills

    def close(self) -> None:
        """Count requests whose end was not seen."""
        for found in self._open.values():
            self._count_unknown(found)
        self._open.clear()

    def rows(self) -> Iterator[RouteSecond]:
        """Give the rows in the order of time."""
        for (second, route), counts in sorted(self._rows.items()):
            yield RouteSecond(second, route, counts, self._retries[second, route])

    def totals(self) -> Counter[Outcome]:
        """Give how many requests came to which outcome in all."""
        return sum(self._rows.values(), Counter())
