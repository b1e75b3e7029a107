"""Counts the outcomes of requests by second of arrival and route."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import NamedTuple

from cleatlink.analysis.log_reader import LogLine
from cleatlink.analysis.sampling import ReservoirSample

__all__ = ["Outcome", "OutcomeTable", "RouteSecond"]

# Maximum number of requests without a final line; beyond it, the oldest count as UNKNOWN.
_MAX_PENDING = 200_000
_MS_PER_S = 1000.0


class Outcome(StrEnum):
    """Outcome of a request."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    CUT_OFF = "answer cut off"
    FAILED = "failed"
    CALLER_LEFT = "caller left"
    INTERRUPTED = "ended by stop"
    UNKNOWN = "end unknown"


class RouteSecond(NamedTuple):
    """The requests of a route that arrived within one second.

    Attributes:
        second: Start of the second, as a time in seconds.
        route: Name of the route.
        counts: Number of requests by outcome.
        retries: Number of retries of these requests.
    """

    second: int
    route: str
    counts: Counter[Outcome]
    retries: int


class _PendingRequest:
    """A request whose final line was not read yet."""

    __slots__ = ("arrived_at", "is_in_time", "is_retry", "prefill_count", "route", "wait_ms")

    def __init__(self, arrived_at: float, route: str) -> None:
        self.arrived_at = arrived_at
        self.route = route
        self.is_in_time = True
        self.is_retry = False
        self.prefill_count = 0
        self.wait_ms = 0.0


_FINAL_MESSAGES = {
    "relay: is answered": Outcome.IN_TIME,
    "relay: is refused": Outcome.REFUSED,
    "relay: cuts its answer off": Outcome.CUT_OFF,
    "relay: reached its deadline": Outcome.FAILED,
    "relay: is cancelled because its caller disconnected": Outcome.CALLER_LEFT,
    "relay: request interrupted by the end of the planned stop": Outcome.INTERRUPTED,
}
# Kinds of refusals that count as failures, because an endpoint or the relay failed.
_FAILURE_KINDS = frozenset({"endpoint_failed", "internal", "deadline_passed"})


class OutcomeTable:
    """Follows each request from its first log line to its final one."""

    def __init__(self, on_end: Callable[[LogLine, Outcome], None] | None = None) -> None:
        """Start without any requests.

        Args:
            on_end: Called with the final line of a request and its outcome; not called for requests
                that count as UNKNOWN.
        """
        self._on_end = on_end or (lambda line, outcome: None)
        self._pending: dict[str, _PendingRequest] = {}
        self._rows: dict[tuple[int, str], Counter[Outcome]] = defaultdict(Counter)
        self._retries: Counter[tuple[int, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.retry_outcomes: Counter[Outcome] = Counter()
        self.wasted_prefills: Counter[str] = Counter()
        self.reservation_waits_ms = ReservoirSample()

    def add(self, line: LogLine) -> None:
        """Add a log line; lines that are not about a request are ignored."""
        if not line.request_id:
            return
        request = self._pending.get(line.request_id)
        if request is None:
            arrived_at = line.timestamp_s - line.number("age_ms") / _MS_PER_S
            request = _PendingRequest(arrived_at, str(line.fields.get("route", "")))
            self._pending[line.request_id] = request
            if len(self._pending) > _MAX_PENDING:
                self._discard_oldest()
        self._update(request, line)
        outcome = _FINAL_MESSAGES.get(line.message_type)
        if outcome is not None:
            del self._pending[line.request_id]
            self._finish(request, line, outcome)

    def _update(self, request: _PendingRequest, line: LogLine) -> None:
        if (
            line.fields.get("in_time") is False
            or line.message_type == "relay: endpoint is slow, reporting it to peers"
        ):
            request.is_in_time = False
        if line.message_type == "relay: caller retried after a refusal":
            request.is_retry = True
        elif line.message_type == "relay: prefill completed":
            request.prefill_count += 1
        elif line.message_type == "relay: retries":
            self._retries[int(request.arrived_at), request.route] += 1
        elif line.message_type == "relay: decode capacity reserved" and not request.wait_ms:
            request.wait_ms = line.number("age_ms")
            self.reservation_waits_ms.add(request.wait_ms)

    def _finish(self, request: _PendingRequest, line: LogLine, outcome: Outcome) -> None:
        if outcome is Outcome.REFUSED:
            kind = str(line.fields.get("kind", ""))
            self.refusals[f"{kind}: {line.fields.get('detail', '')}"] += 1
            if kind in _FAILURE_KINDS:
                outcome = Outcome.FAILED
        elif outcome is Outcome.IN_TIME and not request.is_in_time:
            outcome = Outcome.LATE
        self._rows[int(request.arrived_at // 1), request.route][outcome] += 1
        self._on_end(line, outcome)
        if request.is_retry:
            self.retry_outcomes[outcome] += 1
        is_served = outcome in (Outcome.IN_TIME, Outcome.LATE)
        wasted = request.prefill_count - (1 if is_served else 0)
        if wasted > 0:
            self.wasted_prefills["computed more than once" if is_served else str(outcome)] += wasted

    def _discard_oldest(self) -> None:
        oldest = next(iter(self._pending))
        self._count_unknown(self._pending.pop(oldest))

    def _count_unknown(self, request: _PendingRequest) -> None:
        self._rows[int(request.arrived_at // 1), request.route][Outcome.UNKNOWN] += 1
        if request.prefill_count:
            self.wasted_prefills[str(Outcome.UNKNOWN)] += request.prefill_count

    def close(self) -> None:
        """Count all requests without a final line as UNKNOWN, after the last line was added."""
        for request in self._pending.values():
            self._count_unknown(request)
        self._pending.clear()

    def rows(self) -> Iterator[RouteSecond]:
        """Yield the rows in chronological order."""
        for (second, route), counts in sorted(self._rows.items()):
            yield RouteSecond(second, route, counts, self._retries[second, route])

    def totals(self) -> Counter[Outcome]:
        """Return the total number of requests by outcome."""
        return sum(self._rows.values(), Counter())
