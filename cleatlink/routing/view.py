"""What one instance believes of the fleet: list, reports, own placements, leaving.

Everything here is soft, dated and rebuilt from nothing. Two rules protect the
promises: an endpoint gets work only while its own report is fresh, and the
earliest word that it is leaving wins over every later report that lags.
"""

from collections.abc import Mapping, Set
from typing import Any, NamedTuple

from cleatlink.core.data import CacheNews, Configuration, Endpoint, Fleet, LoadReport, Pool, Role
from cleatlink.core.labels import match
from cleatlink.routing.group import Group, make_group

__all__ = ["CONFIRM_S", "EndpointLoad", "FleetView", "Reservation", "endpoint_labels"]

# An endpoint whose own report is older than this may have left unseen.
CONFIRM_S = 4.0
# Reports lag: one that no longer says leaving counts only after this long.
LEAVING_HOLD_S = 10.0
# A refusal is ahead of the reports. Until one of them shows the leaving, or the
# endpoint was started anew, nothing that they say is news; this bounds the wait
# in case the leaving was taken back before any report showed it.
REFUSAL_HOLD_S = 120.0
# Prefixes remembered of one endpoint.
MAX_CACHED = 20_000


class Reservation(NamedTuple):
    """Work that this instance has placed on an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        prefill_tokens: Prompt tokens to be computed; 0 for a decode.
        memory_tokens: Tokens of memory for a decode; 0 for a prefill.
        at: When the endpoint can have it in its reports; None before.
    """

    endpoint: str
    prefill_tokens: int
    memory_tokens: int
    at: float | None


class Work(NamedTuple):
    """How much an endpoint has to do, for this instance or for others."""

    running: int = 0
    waiting_tokens: int = 0
    memory_tokens: int = 0


_NO_WORK = Work()


class EndpointLoad(NamedTuple):
    """An endpoint's load as believed now."""

    endpoint: Endpoint
    running: int
    slots: int
    waiting_tokens: int
    free_tokens: int
    prefill_tokens_per_s: float

    @property
    def wait_s(self) -> float:
        """Seconds of prefill that stand before a new prompt."""
        return self.waiting_tokens / self.prefill_tokens_per_s

    @property
    def busy(self) -> float:
        """Share of the decode slots in use."""
        return self.running / max(1, self.slots)


class FleetView:
    """The mutable view; every method takes the time as an argument."""

    def __init__(self) -> None:
        self._fleet = Fleet(0, (), ())
        self._by_name: dict[str, Endpoint] = {}
        self._configuration: Configuration | None = None
        self._reports: dict[str, tuple[LoadReport, float]] = {}
        self._leaving_until: dict[str, float] = {}
        self._heard_leaving_until: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._rests_until: dict[str, float] = {}
        self._reservations: dict[str, Reservation] = {}
        self._placed: dict[str, dict[str, Reservation]] = {}
        self._own: dict[str, Work] = {}
        # When the own prefill that an endpoint is at must have begun.
        self._prefill_began: dict[str, float] = {}
        self._others: dict[str, Work] = {}
        self._cached: dict[str, set[int]] = {}
        self._holders: dict[int, set[str]] = {}
        self._last_events: dict[str, int] = {}
        self._groups: dict[tuple[str, Role, str], Group] = {}

    @property
    def fleet(self) -> Fleet:
        """The instance list in use."""
        return self._fleet

    @property
    def reservations(self) -> Mapping[str, Reservation]:
        """Own placements in progress, by request and role."""
        return self._reservations

    def endpoint(self, name: str) -> Endpoint | None:
        """Give an endpoint of the instance list by its name."""
        return self._by_name.get(name)

    def set_fleet(self, fleet: Fleet) -> bool:
        """Take an instance list if it is newer than the one in use."""
        if fleet.revision <= self._fleet.revision:
            return False
        self._fleet = fleet
        self._groups.clear()
        names = {endpoint.name for endpoint in fleet.endpoints}
        self._by_name = {endpoint.name: endpoint for endpoint in fleet.endpoints}
        for name in self._cached.keys() - names:
            self._forget_cache(name)
        by_endpoint: list[dict[str, Any]] = [
            self._reports,
            self._others,
            self._last_events,
            self._leaving_until,
            self._heard_leaving_until,
            self._failed_at,
            self._rests_until,
        ]
        for facts in by_endpoint:
            for name in facts.keys() - names:
                del facts[name]
        return True

    def set_configuration(self, configuration: Configuration) -> None:
        """Use a newly adopted configuration."""
        self._configuration = configuration
        self._groups.clear()

    def report(self, report: LoadReport, now: float) -> None:
        """Take an endpoint's own load report."""
        name = report.endpoint
        known = self._reports.get(name)
        if known is not None and known[0].incarnation != report.incarnation:
            self._leaving_until.pop(name, None)
            self._rests_until.pop(name, None)
        self._reports[name] = (report, now)
        self._others[name] = self._subtract_own(report, now)
        if report.leaving:
            self._leaving_until[name] = now + LEAVING_HOLD_S

    def last_event(self, name: str) -> int:
        """Give the number of the last cache event heard of an endpoint."""
        return self._last_events.get(name, 0)

    def cache_news(self, name: str, news: CacheNews) -> None:
        """Take cache events; after a gap nothing older is believed any more."""
        if news.gap:
            self._forget_cache(name)
        cached = self._cached.setdefault(name, set())
        for prefix in news.removed:
            cached.discard(prefix)
            self._drop_holder(prefix, name)
        for prefix in news.added[-MAX_CACHED:]:
            cached.add(prefix)
            self._holders.setdefault(prefix, set()).add(name)
        while len(cached) > MAX_CACHED:
            self._drop_holder(cached.pop(), name)
        self._last_events[name] = news.last

    def cache_holders(self, prefix: int) -> Set[str]:
        """Give the names of endpoints that are believed to have a prefix cached."""
        return self._holders.get(prefix, frozenset())

    def _forget_cache(self, name: str) -> None:
        for prefix in self._cached.pop(name, ()):
            self._drop_holder(prefix, name)

    def _drop_holder(self, prefix: int, name: str) -> None:
        holders = self._holders.get(prefix)
        if holders is not None:
            holders.discard(name)
            if not holders:
                del self._holders[prefix]

    def refuse_leaving(self, name: str, now: float) -> None:
        """Note that an endpoint refused work because it is leaving."""
        self._leaving_until[name] = now + REFUSAL_HOLD_S

    def note_rest(self, name: str, rest_s: float, now: float) -> None:
        """Note that an endpoint refused work and wants nothing for some time."""
        self._rests_until[name] = max(self._rests_until.get(name, 0.0), now + rest_s)

    def note_failure(self, name: str, now: float) -> None:
        """Note that an endpoint was not reached or did not answer an order.

        It gets nothing new until it gives its next report, which one that lives
        does within a second: reports are the proof that it is back.
        """
        self._failed_at[name] = now

    def hear_leaving(self, name: str, now: float) -> None:
        """Note a peer's word that an endpoint is leaving.

        It is kept apart and not passed on: two instances that repeat each
        other's word would keep an endpoint that came back out for ever.
        """
        self._heard_leaving_until[name] = now + LEAVING_HOLD_S

    def leaving(self, now: float) -> tuple[str, ...]:
        """Names of endpoints that said themselves that they are leaving."""
        return tuple(name for name, until in self._leaving_until.items() if now < until)

    def reserve(self, key: str, reservation: Reservation, now: float) -> None:
        """Count work placed on an endpoint until it is released."""
        self.release(key, now)
        name = reservation.endpoint
        if reservation.prefill_tokens and not self._own.get(name, _NO_WORK).waiting_tokens:
            self._prefill_began[name] = now
        self._reservations[key] = reservation
        self._placed.setdefault(name, {})[key] = reservation
        self._add_own(reservation, 1)

    def note_started(self, key: str, now: float) -> None:
        """Note that an endpoint has begun with reserved work."""
        reservation = self._reservations.get(key)
        if reservation is not None:
            started = reservation._replace(at=now)
            self._reservations[key] = started
            self._placed[reservation.endpoint][key] = started

    def release(self, key: str, now: float) -> None:
        """Forget a reservation; unknown keys are fine."""
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return
        name = reservation.endpoint
        del self._placed[name][key]
        self._add_own(reservation, -1)
        if reservation.prefill_tokens:
            self._prefill_began[name] = now
        if not self._placed[name]:
            # Endpoints come and go; only those with work in progress are kept.
            del self._placed[name], self._own[name]
            self._prefill_began.pop(name, None)

    def _add_own(self, item: Reservation, sign: int) -> None:
        own = self._own.get(item.endpoint, _NO_WORK)
        self._own[item.endpoint] = Work(
            own.running + sign * (item.memory_tokens > 0),
            own.waiting_tokens + sign * item.prefill_tokens,
            own.memory_tokens + sign * (item.memory_tokens + item.prefill_tokens),
        )

    def _subtract_own(self, report: LoadReport, now: float) -> Work:
        """Take this instance's work in progress from a report.

        A report that is a little old may not show all of it; then others are
        taken to do a little less than they do. Counting such work twice instead
        was measured to cost far more (docs/design/policy.md).
        """
        running, waiting = report.running, report.waiting_tokens
        memory = report.memory_tokens - report.memory_free_tokens
        for item in self._placed.get(report.endpoint, {}).values():
            if item.at is not None and item.at <= now:
                running -= item.memory_tokens > 0
                waiting -= item.prefill_tokens
                memory -= item.memory_tokens + item.prefill_tokens
        return Work(max(0, running), max(0, waiting), max(0, memory))

    def usable(self, endpoint: Endpoint, now: float) -> bool:
        """Tell whether an endpoint may get new work now."""
        name = endpoint.name
        if endpoint.leaving or now < self._leaving_until.get(name, 0.0):
            return False
        if now < max(self._heard_leaving_until.get(name, 0.0), self._rests_until.get(name, 0.0)):
            return False
        report = self._reports.get(name)
        if report is None or now - report[1] > CONFIRM_S:
            return False
        return report[1] >= self._failed_at.get(name, 0.0)

    def group(self, request_class: str, role: Role, data_centre: str = "") -> Group:
        """Give the endpoints that a class may use in a role, usable now or not.

        Args:
            request_class: Name of the class.
            role: Role in the request.
            data_centre: Only those there; all by default.
        """
        key = (request_class, role, data_centre)
        if key not in self._groups:
            self._groups[key] = make_group(self._select(*key))
        return self._groups[key]

    def candidates(self, request_class: str, role: Role, now: float) -> list[Endpoint]:
        """Give all endpoints that a class may use in a role now; this looks at each."""
        group = self.group(request_class, role)
        return [endpoint for endpoint in group.endpoints if self.usable(endpoint, now)]

    def reported(self, endpoint: Endpoint) -> LoadReport:
        """Give an endpoint's last report as it came."""
        return self._reports[endpoint.name][0]

    def load(self, endpoint: Endpoint, now: float) -> EndpointLoad:
        """Give an endpoint's load: others' as last reported, own as it is now."""
        name = endpoint.name
        report, others = self._reports[name][0], self._others[name]
        own = self._own.get(name, _NO_WORK)
        rate = report.prefill_tokens_per_s
        waiting = others.waiting_tokens + own.waiting_tokens
        if own.waiting_tokens:
            waiting -= self._computed_tokens(name, rate, now)
        return EndpointLoad(
            endpoint,
            others.running + own.running,
            report.slots,
            waiting,
            report.memory_tokens - others.memory_tokens - own.memory_tokens,
            rate,
        )

    def _computed_tokens(self, name: str, rate: float, now: float) -> int:
        """Estimate how much of the own prefill in progress is done."""
        sizes = (item.prefill_tokens for item in self._placed[name].values())
        oldest = next((size for size in sizes if size), 0)
        return min(oldest, int((now - self._prefill_began[name]) * rate))

    def _select(self, request_class: str, role: Role, data_centre: str) -> tuple[Endpoint, ...]:
        configuration = self._configuration
        if configuration is None or request_class not in configuration.classes:
            return ()
        wanted = configuration.classes[request_class]
        return tuple(
            endpoint
            for endpoint in self._fleet.endpoints
            if data_centre in ("", endpoint.data_centre)
            and _serves(configuration.pools.get(endpoint.pool), wanted.service, role)
            and match(wanted.selector, endpoint_labels(configuration, endpoint))
        )


def endpoint_labels(configuration: Configuration, endpoint: Endpoint) -> dict[str, str]:
    """Give an endpoint's labels; the nearest giver of a label wins.

    The order is data centre, pool, endpoint. The names that the instance list
    gives (``dc``, ``pool``, ``endpoint``) and the region come last and can't be
    overridden, so that a selector on them means what it says.
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
    """Tell whether a pool serves a service in a role."""
    if pool is None or pool.service != service:
        return False
    return pool.role is role or (pool.role is Role.BOTH and role in (Role.PREFILL, Role.DECODE))
