"""The state of the fleet as one instance knows it.

It consists of the instance list, the load reports of endpoints, this instance's own
reservations and the endpoints that are leaving. All of it expires or is replaced with time, and
an instance that starts without it rebuilds it. Two rules prevent work from being sent to an
endpoint that may no longer accept it: an endpoint gets work only while its last load report is
recent, and the first notice that it is leaving overrides later reports, which may be outdated.
"""

from collections.abc import Mapping, Set
from typing import Any, NamedTuple

from cleatlink.core.data import CacheUpdate, Configuration, Endpoint, Fleet, LoadReport, Pool, Role
from cleatlink.core.labels import matches_selector
from cleatlink.routing.endpoint_group import EndpointGroup, build_endpoint_group

__all__ = ["EndpointLoad", "FleetView", "Reservation", "endpoint_labels"]

# Age from which an endpoint's last report is too old to use it, in seconds: it may have left
# without notice.
MAX_REPORT_AGE_S = 4.0
# Time for which an endpoint counts as leaving after a report that says so, in seconds. Reports may
# be outdated, so one that no longer says so has no effect until then.
LEAVING_EXPIRY_S = 10.0
# Time for which an endpoint counts as leaving after it refused work for this reason, in seconds.
# A refusal is more recent than the reports, so they have no effect until one says that the
# endpoint is leaving or that it has restarted. The limit applies if the endpoint stops leaving
# before any report says that it is.
LEAVING_REFUSAL_EXPIRY_S = 120.0
# Largest number of cached prefixes that are stored for one endpoint.
MAX_CACHED_PREFIXES = 20_000


class Reservation(NamedTuple):
    """Work that this instance has placed on an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        prefill_tokens: Prompt tokens to be computed; 0 for a decode.
        memory_tokens: Memory for a decode, in tokens; 0 for a prefill.
        started_at: Time from which the endpoint's reports can include the work; None before it
            has started.
    """

    endpoint: str
    prefill_tokens: int
    memory_tokens: int
    started_at: float | None


class WorkInProgress(NamedTuple):
    """Work in progress at an endpoint, either for this instance or for all others."""

    running: int = 0
    waiting_tokens: int = 0
    memory_tokens: int = 0


_NO_WORK = WorkInProgress()


class EndpointLoad(NamedTuple):
    """Estimate of an endpoint's current load."""

    endpoint: Endpoint
    running: int
    slots: int
    waiting_tokens: int
    free_tokens: int
    prefill_tokens_per_s: float

    @property
    def prefill_wait_s(self) -> float:
        """Time until the prefill work queued ahead of a new prompt is done, in seconds."""
        return self.waiting_tokens / self.prefill_tokens_per_s

    @property
    def busy_share(self) -> float:
        """The share of the decode slots that is in use."""
        return self.running / max(1, self.slots)


class FleetView:
    """The mutable state of the fleet; methods take the current time as an argument."""

    def __init__(self) -> None:
        self._fleet = Fleet(0, (), ())
        self._by_name: dict[str, Endpoint] = {}
        self._configuration: Configuration | None = None
        self._reports: dict[str, tuple[LoadReport, float]] = {}
        self._leaving_until: dict[str, float] = {}
        self._peer_leaving_until: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._backoff_until: dict[str, float] = {}
        self._reservations: dict[str, Reservation] = {}
        self._reservations_by_endpoint: dict[str, dict[str, Reservation]] = {}
        self._own_work: dict[str, WorkInProgress] = {}
        # Latest time at which an endpoint can have begun its current prefill for this instance.
        self._prefill_began_at: dict[str, float] = {}
        self._other_work: dict[str, WorkInProgress] = {}
        self._prefixes_by_endpoint: dict[str, set[int]] = {}
        self._endpoints_by_prefix: dict[int, set[str]] = {}
        self._last_event_numbers: dict[str, int] = {}
        self._groups: dict[tuple[str, Role, str], EndpointGroup] = {}

    @property
    def fleet(self) -> Fleet:
        """The instance list in use."""
        return self._fleet

    @property
    def reservations(self) -> Mapping[str, Reservation]:
        """This instance's reservations in progress, by request and role."""
        return self._reservations

    def endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint of the given name in the instance list, or None."""
        return self._by_name.get(name)

    def update_fleet(self, fleet: Fleet) -> bool:
        """Use an instance list if it is newer than the current one, and return whether it is."""
        if fleet.revision <= self._fleet.revision:
            return False
        self._fleet = fleet
        self._groups.clear()
        names = {endpoint.name for endpoint in fleet.endpoints}
        self._by_name = {endpoint.name: endpoint for endpoint in fleet.endpoints}
        for name in self._prefixes_by_endpoint.keys() - names:
            self._forget_cached_prefixes(name)
        state_by_endpoint: list[dict[str, Any]] = [
            self._reports,
            self._other_work,
            self._last_event_numbers,
            self._leaving_until,
            self._peer_leaving_until,
            self._failed_at,
            self._backoff_until,
        ]
        for state in state_by_endpoint:
            for name in state.keys() - names:
                del state[name]
        return True

    def set_configuration(self, configuration: Configuration) -> None:
        """Use a newly adopted configuration."""
        self._configuration = configuration
        self._groups.clear()

    def add_report(self, report: LoadReport, now: float) -> None:
        """Store an endpoint's load report."""
        name = report.endpoint
        known = self._reports.get(name)
        if known is not None and known[0].incarnation != report.incarnation:
            self._leaving_until.pop(name, None)
            self._backoff_until.pop(name, None)
        self._reports[name] = (report, now)
        self._other_work[name] = self._subtract_own_work(report, now)
        if report.leaving:
            self._leaving_until[name] = now + LEAVING_EXPIRY_S

    def last_event_number(self, name: str) -> int:
        """Return the number of the last cache event received from an endpoint."""
        return self._last_event_numbers.get(name, 0)

    def apply_cache_events(self, name: str, update: CacheUpdate) -> None:
        """Apply cache events; a gap in them deletes what is known from earlier ones."""
        if update.gap:
            self._forget_cached_prefixes(name)
        prefixes = self._prefixes_by_endpoint.setdefault(name, set())
        for prefix in update.removed:
            prefixes.discard(prefix)
            self._remove_prefix(prefix, name)
        for prefix in update.added[-MAX_CACHED_PREFIXES:]:
            prefixes.add(prefix)
            self._endpoints_by_prefix.setdefault(prefix, set()).add(name)
        while len(prefixes) > MAX_CACHED_PREFIXES:
            self._remove_prefix(prefixes.pop(), name)
        self._last_event_numbers[name] = update.last

    def cache_holders(self, prefix: int) -> Set[str]:
        """Return the names of endpoints that have a prefix cached, according to their events."""
        return self._endpoints_by_prefix.get(prefix, frozenset())

    def _forget_cached_prefixes(self, name: str) -> None:
        for prefix in self._prefixes_by_endpoint.pop(name, ()):
            self._remove_prefix(prefix, name)

    def _remove_prefix(self, prefix: int, name: str) -> None:
        names = self._endpoints_by_prefix.get(prefix)
        if names is not None:
            names.discard(name)
            if not names:
                del self._endpoints_by_prefix[prefix]

    def note_leaving_refusal(self, name: str, now: float) -> None:
        """Note that an endpoint refused work because it is leaving."""
        self._leaving_until[name] = now + LEAVING_REFUSAL_EXPIRY_S

    def note_backoff(self, name: str, backoff_s: float, now: float) -> None:
        """Note that an endpoint refused work and accepts none for some time.

        Args:
            name: Name of the endpoint.
            backoff_s: Time for which it accepts no work, in seconds.
            now: The current time.
        """
        self._backoff_until[name] = max(self._backoff_until.get(name, 0.0), now + backoff_s)

    def note_failure(self, name: str, now: float) -> None:
        """Note that an endpoint was unreachable or did not answer a request.

        It gets no new work until its next report, which shows that it works again. An endpoint
        that is running sends one within a second.
        """
        self._failed_at[name] = now

    def note_peer_leaving(self, name: str, now: float) -> None:
        """Note that a peer has reported that an endpoint is leaving.

        This is stored separately and not passed on: two instances that repeated each other's
        report would exclude an endpoint forever, even after it has returned to service.
        """
        self._peer_leaving_until[name] = now + LEAVING_EXPIRY_S

    def leaving_endpoints(self, now: float) -> tuple[str, ...]:
        """Return the names of endpoints that have reported or refused work as leaving."""
        return tuple(name for name, until in self._leaving_until.items() if now < until)

    def reserve(self, key: str, reservation: Reservation, now: float) -> None:
        """Count work as placed on an endpoint until it is released.

        Args:
            key: Key of the reservation; an earlier reservation of this key is released.
            reservation: The work.
            now: The current time.
        """
        self.release(key, now)
        name = reservation.endpoint
        if reservation.prefill_tokens and not self._own_work.get(name, _NO_WORK).waiting_tokens:
            self._prefill_began_at[name] = now
        self._reservations[key] = reservation
        self._reservations_by_endpoint.setdefault(name, {})[key] = reservation
        self._add_own_work(reservation, 1)

    def note_started(self, key: str, now: float) -> None:
        """Note that an endpoint has started reserved work."""
        reservation = self._reservations.get(key)
        if reservation is not None:
            started = reservation._replace(started_at=now)
            self._reservations[key] = started
            self._reservations_by_endpoint[reservation.endpoint][key] = started

    def release(self, key: str, now: float) -> None:
        """Delete a reservation; do nothing if the key is unknown."""
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return
        name = reservation.endpoint
        del self._reservations_by_endpoint[name][key]
        self._add_own_work(reservation, -1)
        if reservation.prefill_tokens:
            self._prefill_began_at[name] = now
        if not self._reservations_by_endpoint[name]:
            # Endpoints are replaced over time, so only those with work in progress are stored.
            del self._reservations_by_endpoint[name], self._own_work[name]
            self._prefill_began_at.pop(name, None)

    def _add_own_work(self, item: Reservation, sign: int) -> None:
        own_work = self._own_work.get(item.endpoint, _NO_WORK)
        self._own_work[item.endpoint] = WorkInProgress(
            own_work.running + sign * (item.memory_tokens > 0),
            own_work.waiting_tokens + sign * item.prefill_tokens,
            own_work.memory_tokens + sign * (item.memory_tokens + item.prefill_tokens),
        )

    def _subtract_own_work(self, report: LoadReport, now: float) -> WorkInProgress:
        """Return the work of other instances: a report less this instance's work in progress.

        A slightly outdated report may not include all of this instance's work. Then the work of
        other instances is underestimated a little. Counting this instance's work twice costs far
        more (docs/design/policy.md).
        """
        running, waiting = report.running, report.waiting_tokens
        memory = report.memory_tokens - report.memory_free_tokens
        for item in self._reservations_by_endpoint.get(report.endpoint, {}).values():
            if item.started_at is not None and item.started_at <= now:
                running -= item.memory_tokens > 0
                waiting -= item.prefill_tokens
                memory -= item.memory_tokens + item.prefill_tokens
        return WorkInProgress(max(0, running), max(0, waiting), max(0, memory))

    def is_usable(self, endpoint: Endpoint, now: float) -> bool:
        """Check whether an endpoint may get new work now."""
        name = endpoint.name
        if endpoint.leaving or now < self._leaving_until.get(name, 0.0):
            return False
        if now < max(self._peer_leaving_until.get(name, 0.0), self._backoff_until.get(name, 0.0)):
            return False
        report = self._reports.get(name)
        if report is None or now - report[1] > MAX_REPORT_AGE_S:
            return False
        return report[1] >= self._failed_at.get(name, 0.0)

    def endpoint_group(
        self, request_class: str, role: Role, data_centre: str = ""
    ) -> EndpointGroup:
        """Return the endpoints that a class may use in a role, including unusable ones.

        Args:
            request_class: Name of the class.
            role: Role of the endpoint in the request.
            data_centre: Data centre of the endpoints; empty for all.
        """
        key = (request_class, role, data_centre)
        if key not in self._groups:
            self._groups[key] = build_endpoint_group(self._select(*key))
        return self._groups[key]

    def usable_endpoints(self, request_class: str, role: Role, now: float) -> list[Endpoint]:
        """Return all endpoints that a class may use in a role now; checks every endpoint."""
        group = self.endpoint_group(request_class, role)
        return [endpoint for endpoint in group.endpoints if self.is_usable(endpoint, now)]

    def last_report(self, endpoint: Endpoint) -> LoadReport:
        """Return an endpoint's last report without changes."""
        return self._reports[endpoint.name][0]

    def estimate_load(self, endpoint: Endpoint, now: float) -> EndpointLoad:
        """Estimate an endpoint's load from its last report and this instance's reservations."""
        name = endpoint.name
        report, other_work = self._reports[name][0], self._other_work[name]
        own_work = self._own_work.get(name, _NO_WORK)
        tokens_per_s = report.prefill_tokens_per_s
        waiting = other_work.waiting_tokens + own_work.waiting_tokens
        if own_work.waiting_tokens:
            waiting -= self._computed_tokens(name, tokens_per_s, now)
        return EndpointLoad(
            endpoint,
            other_work.running + own_work.running,
            report.slots,
            waiting,
            report.memory_tokens - other_work.memory_tokens - own_work.memory_tokens,
            tokens_per_s,
        )

    def _computed_tokens(self, name: str, tokens_per_s: float, now: float) -> int:
        """Estimate how many tokens of this instance's prefill in progress are computed."""
        sizes = (item.prefill_tokens for item in self._reservations_by_endpoint[name].values())
        oldest = next((size for size in sizes if size), 0)
        return min(oldest, int((now - self._prefill_began_at[name]) * tokens_per_s))

    def _select(self, request_class: str, role: Role, data_centre: str) -> tuple[Endpoint, ...]:
        configuration = self._configuration
        if configuration is None or request_class not in configuration.classes:
            return ()
        class_configuration = configuration.classes[request_class]
        return tuple(
            endpoint
            for endpoint in self._fleet.endpoints
            if data_centre in ("", endpoint.data_centre)
            and _serves(configuration.pools.get(endpoint.pool), class_configuration.service, role)
            and matches_selector(
                class_configuration.selector, endpoint_labels(configuration, endpoint)
            )
        )


def endpoint_labels(configuration: Configuration, endpoint: Endpoint) -> dict[str, str]:
    """Return an endpoint's labels; the most specific source of a label wins.

    The order is data centre, pool, endpoint. The names from the instance list (``dc``, ``pool``,
    ``endpoint``) and the region are set last and can't be overridden, so that a selector on them
    always matches the actual data centre, pool, endpoint or region.
    """
    labels: dict[str, str] = {}
    data_centre = configuration.data_centres.get(endpoint.data_centre)
    if data_centre is not None:
        labels.update(data_centre.labels)
    pool = configuration.pools.get(endpoint.pool)
    if pool is not None:
        labels.update(pool.labels)
    labels.update(configuration.endpoint_labels.get(endpoint.name, {}))
    labels.update(dc=endpoint.data_centre, pool=endpoint.pool, endpoint=endpoint.name)
    if data_centre is not None:
        labels["region"] = data_centre.region
    return labels


def _serves(pool: Pool | None, service: str, role: Role) -> bool:
    """Check whether a pool serves a service in a role."""
    if pool is None or pool.service != service:
        return False
    return pool.role is role or (pool.role is Role.BOTH and role in (Role.PREFILL, Role.DECODE))
