"""Counters and latency histograms of the relay."""

from collections import defaultdict
from collections.abc import Sequence
from statistics import median

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from cleatlink import __version__
from cleatlink.core.errors import ErrorKind
from cleatlink.routing.held_bytes import HeldBytes, HeldKind

__all__ = ["RelayMetrics"]

_LATENCY_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.7, 0.9, 1.5, 3.0, 6.0, 14.0]

# Organisations that are counted by name: each is two lines of every scrape. The rest are
# counted together.
_MOST_ORGANISATIONS = 200
_OTHER_ORGANISATIONS = "(others)"


class RelayMetrics:
    """The relay's metrics; names and units stand in docs/operators/metrics.md."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = self._counter("cleatlink_relay_requests_total", "Requests, by kind.")
        self._answers = self._counter(
            "cleatlink_relay_answers_total", "Answers of endpoints passed back, by status."
        )
        self._refusals = self._counter("cleatlink_relay_refusals_total", "Refusals, by kind.")
        self._retries = self._counter("cleatlink_relay_retries_total", "Retries, by reason.")
        self._broken = self._counter("cleatlink_relay_broken_total", "Answers broken off.")
        self._gone = self._counter("cleatlink_relay_callers_gone_total", "Callers that left.")
        self._cut = self._counter(
            "cleatlink_relay_cut_by_stop_total", "Requests cut off by the end of a planned stop."
        )
        self._handles = self._counter("cleatlink_relay_handles_total", "Handles, by their fate.")
        self._reads = self._counter(
            "cleatlink_relay_reads_total", "Calls to the configuration service, by outcome."
        )
        self._messages = self._counter(
            "cleatlink_relay_peer_messages_total", "Datagrams of peers, by kind."
        )
        # Messages since the last look at the metrics: hundreds come a second, and the library sorts
        # and checks labels each time.
        self._messages_since: dict[str, int] = defaultdict(int)
        self._orders = self._counter("cleatlink_relay_orders_total", "Orders, by status.")
        self._admissions = self._counter(
            "cleatlink_relay_admissions_total", "Requests, by organisation and outcome."
        )
        self._crashes = self._counter(
            "cleatlink_relay_endpoint_crashes_total",
            "Endpoints that crashed with requests of this instance in progress, by service.",
        )
        self._unusable = self._counter(
            "cleatlink_relay_unusable_entries_total",
            "Registrations and route tables that can't be used, by reason.",
        )
        self._notices = self._counter(
            "cleatlink_relay_endpoint_notices_total",
            "Answers in which endpoints said something of themselves, by kind.",
        )
        self._room_left = self._counter(
            "cleatlink_relay_room_left_total",
            "Streams that left room to others that wait at other instances.",
        )
        self._places = self._counter(
            "cleatlink_relay_stream_places_total",
            "Places that streams got, by whether they are in this data centre.",
        )
        self._plain = self._counter(
            "cleatlink_relay_plain_admissions_total",
            "Plain calls that found their service nearly full, by outcome.",
        )
        self._organisations: set[str] = set()
        self._held = Gauge(
            "cleatlink_relay_held_bytes",
            "Bytes held for callers that read or send slowly.",
            registry=self._registry,
        )
        self._dropped = Gauge(
            "cleatlink_relay_log_lines_dropped", "Log lines dropped.", registry=self._registry
        )
        self._build = Gauge(
            "cleatlink_relay_build", "Version of the program; 1.", registry=self._registry
        )
        self._build.set({"version": __version__}, 1)
        self._revision = Gauge(
            "cleatlink_relay_revision", "Route table in force.", registry=self._registry
        )
        self._in_flight = Gauge(
            "cleatlink_relay_requests_in_flight", "Requests in progress.", registry=self._registry
        )
        self._speeds = Gauge(
            "cleatlink_relay_endpoint_speed",
            "Speeds of endpoints beside their service's usual one: slowest, median, fastest.",
            registry=self._registry,
        )
        self._first = self._histogram(
            "cleatlink_relay_first_byte_seconds", "Arrival to the first byte of the answer."
        )
        self._prefill = self._histogram(
            "cleatlink_relay_prefill_seconds", "Duration of prefills that were taken up."
        )
        self._waits = self._histogram(
            "cleatlink_relay_room_wait_seconds", "Wait for room of streams that got it."
        )
        for kind in ErrorKind:
            self._refusals.set({"kind": kind.value}, 0)

    def count_request(self, kind: str) -> None:
        """Count a request that has a route."""
        self._requests.inc({"kind": kind})

    def count_answer(self, kind: str, status: int, age_s: float) -> None:
        """Count an answer whose first byte is sent."""
        self._answers.inc({"kind": kind, "status": str(status)})
        self._first.observe({"kind": kind}, age_s)

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a refusal."""
        self._refusals.inc({"kind": kind.value})

    def count_admission(self, organisation: str, granted: bool) -> None:
        """Count a request that is within its organisation's limit, or over it."""
        if organisation not in self._organisations:
            if len(self._organisations) >= _MOST_ORGANISATIONS:
                organisation = _OTHER_ORGANISATIONS
            self._organisations.add(organisation)
        outcome = "granted" if granted else "over"
        self._admissions.inc({"organisation": organisation, "outcome": outcome})

    def count_retry(self, reason: str) -> None:
        """Count a retry, or one that the budget did not allow."""
        self._retries.inc({"reason": reason})

    def count_broken(self, kind: str) -> None:
        """Count an answer that was broken off."""
        self._broken.inc({"kind": kind})

    def count_gone(self, kind: str) -> None:
        """Count a caller that left before its answer was whole."""
        self._gone.inc({"kind": kind})

    def count_cut_by_stop(self, kind: str) -> None:
        """Count a request that the end of a planned stop cut off."""
        self._cut.inc({"kind": kind})

    def count_handle(self, fate: str) -> None:
        """Count what became of a prefill's result."""
        self._handles.inc({"fate": fate})

    def count_read(self, outcome: str) -> None:
        """Count a call to the configuration service."""
        self._reads.inc({"outcome": outcome})

    def count_message(self, kind: str) -> None:
        """Count a datagram of a peer."""
        self._messages_since[kind] += 1

    def count_order(self, status: str) -> None:
        """Count an order to an endpoint; status 0 stands for no answer."""
        self._orders.inc({"status": status})

    def count_crash(self, service: str) -> None:
        """Count an endpoint that crashed with requests in progress."""
        self._crashes.inc({"service": service})

    def count_notice(self, kind: str) -> None:
        """Count an answer in which an endpoint said something of itself."""
        self._notices.inc({"kind": kind})

    def count_plain(self, outcome: str) -> None:
        """Count a plain call that found its service nearly full."""
        self._plain.inc({"outcome": outcome})

    def count_unusable(self, reason: str) -> None:
        """Count a registration or a route table that can't be used."""
        self._unusable.inc({"reason": reason})

    def count_room_left(self) -> None:
        """Count a stream that left room to others that wait at other instances."""
        self._room_left.inc({})

    def count_place(self, *, is_far: bool) -> None:
        """Count a place that a stream got in this data centre, or in another one."""
        self._places.inc({"data_centre": "other" if is_far else "own"})

    def observe_prefill(self, seconds: float) -> None:
        """Note how long a prefill took."""
        self._prefill.observe({}, seconds)

    def observe_wait(self, seconds: float) -> None:
        """Note how long a stream waited for room."""
        self._waits.observe({}, seconds)

    def set_revision(self, revision: int) -> None:
        """Show the route table in force."""
        self._revision.set({}, revision)

    def set_in_flight(self, count: int) -> None:
        """Show the requests in progress."""
        self._in_flight.set({}, count)

    def set_speeds(self, speeds: Sequence[float]) -> None:
        """Show how fast endpoints are beside their service's usual speed."""
        if speeds:
            shown = {"slowest": min(speeds), "median": median(speeds), "fastest": max(speeds)}
            for which, speed in shown.items():
                self._speeds.set({"which": which}, round(speed, 3))

    def set_held(self, held: HeldBytes) -> None:
        """Show what is held for callers that read or send slowly."""
        for kind in HeldKind:
            self._held.set({"kind": kind.value}, held.held(kind))

    def set_dropped(self, count: int) -> None:
        """Show how many log lines were dropped."""
        self._dropped.set({}, count)

    def render(self) -> bytes:
        """Render all metrics in the text form."""
        for kind, count in self._messages_since.items():
            self._messages.add({"kind": kind}, count)
        self._messages_since.clear()
        content, _ = render(self._registry, ["text/plain"])
        return bytes(content)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(name, text, registry=self._registry, buckets=_LATENCY_BUCKETS_S)
