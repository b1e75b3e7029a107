"""Counters and latency histograms of the relay."""

from collections import defaultdict
from collections.abc import Sequence
from enum import StrEnum
from statistics import median

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from cleatlink import __version__
from cleatlink.core.errors import ErrorKind
from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind

__all__ = ["DialOutcome", "DialPath", "RelayMetrics"]

_LATENCY_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.7, 0.9, 1.5, 3.0, 6.0, 14.0]

# Largest number of organisations with a label of their own: each adds two lines to every scrape.
# All others share one label.
_MAX_LABELLED_ORGANISATIONS = 200
_OTHER_ORGANISATIONS = "(others)"


class DialPath(StrEnum):
    """How an endpoint is connected to; the value is the label in the metrics."""

    DIRECT = "direct"
    TUNNEL = "tunnel"


class DialOutcome(StrEnum):
    """Outcome of a connection to an endpoint; the value is the label in the metrics."""

    CONNECTED = "connected"
    FAILED = "failed"


class RelayMetrics:
    """Metrics of a relay instance; docs/operators/metrics.md describes their names and units."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = self._counter("cleatlink_relay_requests_total", "Requests, by kind.")
        self._answers = self._counter(
            "cleatlink_relay_answers_total", "Answers of endpoints passed back, by status."
        )
        self._refusals = self._counter("cleatlink_relay_refusals_total", "Refusals, by kind.")
        self._retries = self._counter("cleatlink_relay_retries_total", "Retries, by reason.")
        self._broken_answers = self._counter("cleatlink_relay_broken_total", "Answers broken off.")
        self._disconnected_callers = self._counter(
            "cleatlink_relay_callers_gone_total", "Callers that left."
        )
        self._cut_by_stop = self._counter(
            "cleatlink_relay_cut_by_stop_total", "Requests cut off by the end of a planned stop."
        )
        self._handles = self._counter("cleatlink_relay_handles_total", "Handles, by their fate.")
        self._configuration_calls = self._counter(
            "cleatlink_relay_reads_total", "Calls to the configuration service, by outcome."
        )
        self._peer_messages = self._counter(
            "cleatlink_relay_peer_messages_total", "Datagrams of peers, by kind."
        )
        # Messages since the last rendering. Hundreds arrive per second, and the library sorts and
        # checks labels at each increment, so they are added to the counter only when rendering.
        self._unrendered_messages: dict[str, int] = defaultdict(int)
        self._role_orders = self._counter("cleatlink_relay_orders_total", "Orders, by status.")
        self._admissions = self._counter(
            "cleatlink_relay_admissions_total", "Requests, by organisation and outcome."
        )
        self._crashes = self._counter(
            "cleatlink_relay_endpoint_crashes_total",
            "Endpoints that crashed with requests of this instance in progress, by service.",
        )
        self._unusable_entries = self._counter(
            "cleatlink_relay_unusable_entries_total",
            "Registrations and route tables that can't be used, by reason.",
        )
        self._notices = self._counter(
            "cleatlink_relay_endpoint_notices_total",
            "Answers in which endpoints said something of themselves, by kind.",
        )
        self._rejections = self._counter(
            "cleatlink_relay_endpoint_rejections_total",
            "Responses with a status or the mark of a rejection, by request named and by mark.",
        )
        self._yielded_capacity = self._counter(
            "cleatlink_relay_room_left_total",
            "Streams that left room to others that wait at other instances.",
        )
        self._stream_placements = self._counter(
            "cleatlink_relay_stream_places_total",
            "Places that streams got, by whether they are in this data centre.",
        )
        self._plain_admissions = self._counter(
            "cleatlink_relay_plain_admissions_total",
            "Plain calls that found their service nearly full, by outcome.",
        )
        self._dials = self._counter(
            "cleatlink_relay_endpoint_connections_total",
            "Connections to endpoints, by path (direct, or through a peer) and outcome.",
        )
        self._lost_paths = Gauge(
            "cleatlink_relay_lost_paths",
            "Endpoints that peers reach and this instance does not.",
            registry=self._registry,
        )
        self._lost_paths.set({}, 0)
        self._tunnel_requests = self._counter(
            "cleatlink_relay_tunnel_requests_total",
            "Tunnels to endpoints that peers asked for, by outcome.",
        )
        self._carried_tunnels = Gauge(
            "cleatlink_relay_carried_tunnels",
            "Tunnels that are carried for peers now.",
            registry=self._registry,
        )
        self._labelled_organisations: set[str] = set()
        self._held_bytes = Gauge(
            "cleatlink_relay_held_bytes",
            "Bytes held for callers that read or send slowly.",
            registry=self._registry,
        )
        self._dropped_log_lines = Gauge(
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
        self._caller_connections = self._counter(
            "cleatlink_relay_caller_connections_total",
            "New connections of callers, by outcome.",
        )
        self._open_caller_connections = Gauge(
            "cleatlink_relay_open_caller_connections",
            "Open connections of callers.",
            registry=self._registry,
        )
        self._loop_busy_share = Gauge(
            "cleatlink_relay_loop_busy_share",
            "Share of the time in which the event loop ran tasks.",
            registry=self._registry,
        )
        self._delays = Gauge(
            "cleatlink_relay_own_delay_seconds",
            "Delay that this instance adds: of its event loop, and of its connections.",
            registry=self._registry,
        )
        self._intake_share = Gauge(
            "cleatlink_relay_intake_share",
            "Share of new connections of callers that are served.",
            registry=self._registry,
        )
        self._first_read_s = self._histogram(
            "cleatlink_relay_first_read_seconds",
            "Acceptance of a connection to the first request's head.",
        )
        self._first_byte_s = self._histogram(
            "cleatlink_relay_first_byte_seconds", "Arrival to the first byte of the answer."
        )
        self._prefill_s = self._histogram(
            "cleatlink_relay_prefill_seconds", "Duration of prefills that were taken up."
        )
        self._capacity_wait_s = self._histogram(
            "cleatlink_relay_room_wait_seconds", "Wait for room of streams that got it."
        )
        for kind in ErrorKind:
            self._refusals.set({"kind": kind.value}, 0)

    def count_request(self, kind: str) -> None:
        """Count a request for which a route was found."""
        self._requests.inc({"kind": kind})

    def count_answer(self, kind: str, status: int, age_s: float) -> None:
        """Count an endpoint's answer and record the time from arrival to its first byte."""
        self._answers.inc({"kind": kind, "status": str(status)})
        self._first_byte_s.observe({"kind": kind}, age_s)

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a refused request."""
        self._refusals.inc({"kind": kind.value})

    def count_admission(self, organisation: str, granted: bool) -> None:
        """Count a request as within or over its organisation's rate limit."""
        if organisation not in self._labelled_organisations:
            if len(self._labelled_organisations) >= _MAX_LABELLED_ORGANISATIONS:
                organisation = _OTHER_ORGANISATIONS
            self._labelled_organisations.add(organisation)
        outcome = "granted" if granted else "over"
        self._admissions.inc({"organisation": organisation, "outcome": outcome})

    def count_retry(self, reason: str) -> None:
        """Count a retry, or a retry that the budget did not allow."""
        self._retries.inc({"reason": reason})

    def count_broken_answer(self, kind: str) -> None:
        """Count an answer that was cut off before its end."""
        self._broken_answers.inc({"kind": kind})

    def count_disconnected_caller(self, kind: str) -> None:
        """Count a caller that disconnected before its answer was complete."""
        self._disconnected_callers.inc({"kind": kind})

    def count_request_cut_by_stop(self, kind: str) -> None:
        """Count a request that was cut off by the end of a planned stop."""
        self._cut_by_stop.inc({"kind": kind})

    def count_kv_handle(self, outcome: str) -> None:
        """Count a handle, which refers to a prefill's result, by its outcome."""
        self._handles.inc({"fate": outcome})

    def count_configuration_call(self, outcome: str) -> None:
        """Count a call to the configuration service."""
        self._configuration_calls.inc({"outcome": outcome})

    def count_peer_message(self, kind: str) -> None:
        """Count a datagram exchanged with peers."""
        self._unrendered_messages[kind] += 1

    def count_role_order(self, status: str) -> None:
        """Count a role order to an endpoint; status 0 means no answer."""
        self._role_orders.inc({"status": status})

    def count_endpoint_crash(self, service: str) -> None:
        """Count an endpoint that crashed with requests in progress."""
        self._crashes.inc({"service": service})

    def count_dial(self, path: DialPath, outcome: DialOutcome) -> None:
        """Count a connection to an endpoint."""
        self._dials.inc({"path": path.value, "outcome": outcome.value})

    def set_lost_paths(self, count: int) -> None:
        """Set the number of endpoints that peers reach and this instance does not."""
        self._lost_paths.set({}, count)

    def count_tunnel_request(self, outcome: str) -> None:
        """Count a peer's request for a tunnel."""
        self._tunnel_requests.inc({"outcome": outcome})

    def set_carried_tunnels(self, count: int) -> None:
        """Set the number of tunnels that are carried for peers."""
        self._carried_tunnels.set({}, count)

    def count_endpoint_notice(self, kind: str) -> None:
        """Count an answer in which an endpoint reported something about itself."""
        self._notices.inc({"kind": kind})

    def count_endpoint_rejection(self, names: str, *, is_marked: bool) -> None:
        """Count a response that says, or seems to say, that its request did not run."""
        self._rejections.inc({"names": names, "marked": str(is_marked).lower()})

    def count_plain_admission(self, outcome: str) -> None:
        """Count a plain call that arrived while its service was nearly at capacity."""
        self._plain_admissions.inc({"outcome": outcome})

    def count_unusable_entry(self, reason: str) -> None:
        """Count a registration or a route table that can't be used."""
        self._unusable_entries.inc({"reason": reason})

    def count_yielded_capacity(self) -> None:
        """Count a stream that yielded capacity to streams waiting at other instances."""
        self._yielded_capacity.inc({})

    def count_stream_placement(self, *, is_other_data_centre: bool) -> None:
        """Count a stream that was assigned to an endpoint, by whether it is in this data centre."""
        self._stream_placements.inc({"data_centre": "other" if is_other_data_centre else "own"})

    def count_caller_connection(self, *, is_served: bool) -> None:
        """Count a new connection of a caller, which is served or closed unread."""
        self._caller_connections.inc({"outcome": "served" if is_served else "closed"})

    def set_open_caller_connections(self, count: int) -> None:
        """Set the number of open connections of callers."""
        self._open_caller_connections.set({}, count)

    def set_own_delay(
        self, busy_share: float, loop_delay_s: float, connection_delay_s: float
    ) -> None:
        """Set how busy the event loop is, and the delays that this instance adds, in seconds."""
        self._loop_busy_share.set({}, round(busy_share, 3))
        self._delays.set({"part": "loop"}, round(loop_delay_s, 4))
        self._delays.set({"part": "connections"}, round(connection_delay_s, 4))

    def set_intake_share(self, share: float) -> None:
        """Set the share of new connections of callers that are served."""
        self._intake_share.set({}, round(share, 3))

    def observe_first_read(self, seconds: float) -> None:
        """Record the time from the acceptance of a connection to its first request's head."""
        self._first_read_s.observe({}, seconds)

    def observe_prefill(self, seconds: float) -> None:
        """Record the duration of a prefill."""
        self._prefill_s.observe({}, seconds)

    def observe_capacity_wait(self, seconds: float) -> None:
        """Record how long a stream waited for decode capacity."""
        self._capacity_wait_s.observe({}, seconds)

    def set_revision(self, revision: int) -> None:
        """Set the revision of the route table in force."""
        self._revision.set({}, revision)

    def set_in_flight(self, count: int) -> None:
        """Set the number of requests in progress."""
        self._in_flight.set({}, count)

    def set_speeds(self, speeds: Sequence[float]) -> None:
        """Set the slowest, median and fastest speed of endpoints, relative to the usual one."""
        if speeds:
            figures = {"slowest": min(speeds), "median": median(speeds), "fastest": max(speeds)}
            for which, speed in figures.items():
                self._speeds.set({"which": which}, round(speed, 3))

    def set_held_bytes(self, memory: BufferedBytes) -> None:
        """Set the bytes held for callers that read or send slowly, by kind."""
        for kind in BufferKind:
            self._held_bytes.set({"kind": kind.value}, memory.buffered(kind))

    def set_dropped_log_lines(self, count: int) -> None:
        """Set the number of dropped log lines."""
        self._dropped_log_lines.set({}, count)

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        for kind, count in self._unrendered_messages.items():
            self._peer_messages.add({"kind": kind}, count)
        self._unrendered_messages.clear()
        content, _ = render(self._registry, ["text/plain"])
        return bytes(content)

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(name, help_text, registry=self._registry)

    def _histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(name, help_text, registry=self._registry, buckets=_LATENCY_BUCKETS_S)
