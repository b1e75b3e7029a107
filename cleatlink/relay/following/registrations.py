"""Applies registrations of endpoints to the instance's state.

A missing registration doesn't always mean that its endpoint is gone. Registrations expire while
the configuration service is unreachable, and a copy from which the service is restored may lack
live endpoints and contain endpoints that were removed. Such changes are delayed before they apply.
"""

from collections import Counter
from collections.abc import Callable

import eliot
import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.logs import LogRateLimit
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords
from cleatlink.routing.notices import NoticeSource

__all__ = ["RECOVERY_S", "Registrations"]

# Removals are delayed if they are read within this time after the service is reached again.
RECOVERY_S = 0.5
# Such a removal is delayed for this share of the time after which a leaving endpoint must get no
# more requests, and for no longer than an endpoint takes to register again.
_REMOVAL_DELAY_SHARE = 0.6
_MAX_REMOVAL_DELAY_S = 1.5
# Delay of a removal after a restore from a copy. Live endpoints that the copy lacks register
# again about two seconds after the service is back, and the change takes some time to arrive.
_RESTORE_REMOVAL_DELAY_S = 2.5
# Delay before a removed endpoint that reappears in a restored copy is used. The registration of a
# dead endpoint expires within this time, after three heartbeats of about 1.2 s; one that is still
# present belongs to a live endpoint.
_RESTORED_ENDPOINT_DELAY_S = 4.5

# Most log lines about unusable registrations in this many seconds. Every client with write access
# to the service could otherwise flood the log.
_MAX_FAULT_LINES = 20
_FAULT_LINES_WINDOW_S = 10.0


class Registrations:
    """Applies registrations to the records, capacity and connections of one instance."""

    def __init__(
        self,
        records: FleetRecords,
        capacity: Capacity,
        pool: ConnectionPool,
        metrics: RelayMetrics,
        *,
        spawn: Callable[..., None],
        on_change: Callable[[], None],
        endpoint_leave_s: float,
    ) -> None:
        """Initialise without registrations.

        Args:
            records: The latest known registrations.
            capacity: The estimated state of endpoints.
            pool: Connections to endpoints.
            metrics: Counters.
            spawn: Starts a background task that runs once.
            on_change: Called after endpoints changed.
            endpoint_leave_s: Time after which a leaving endpoint must get no more requests.
        """
        self._records = records
        self._capacity = capacity
        self._pool = pool
        self._metrics = metrics
        self._spawn = spawn
        self._on_change = on_change
        self._reconnected_at = -RECOVERY_S
        self._removal_delay_s = min(_MAX_REMOVAL_DELAY_S, _REMOVAL_DELAY_SHARE * endpoint_leave_s)
        self._fault_line_limit = LogRateLimit(_MAX_FAULT_LINES, _FAULT_LINES_WINDOW_S)

    def note_reconnected(self) -> None:
        """Note that the service is reachable again; registrations may have expired meanwhile."""
        self._reconnected_at = trio.current_time()

    def removes_most_of_a_service(self, records: list[EndpointRecord]) -> bool:
        """Check whether changes remove more than half of the endpoints of a service.

        Endpoints that announced their shutdown don't count; those that the changes add do.
        """
        services = {
            record.name: record.endpoint.service
            for record in (*self._records.records, *records)
            if record.endpoint is not None and not record.endpoint.leaving
        }
        removed_names = {record.name for record in records if record.endpoint is None}
        removed = Counter(services[name] for name in removed_names if name in services)
        totals = Counter(services.values())
        return any(2 * count > totals[service] for service, count in removed.items())

    def apply(self, records: list[EndpointRecord]) -> None:
        """Apply registrations and removals that are newer than the known ones."""
        for record in records:
            before = self._records.offer_record(record)
            if before is not None:
                self._apply_record(record, before)
        self._on_change()

    def _apply_record(self, record: EndpointRecord, before: EndpointRecord) -> None:
        self._log_fault_change(record, before)
        endpoint = record.endpoint
        is_era_changed = before.revision.era != record.revision.era
        if endpoint is None:
            self._handle_removal(record, before, is_era_changed=is_era_changed)
            return
        if endpoint.leaving:
            now = trio.current_time()
            self._capacity.notices.note_leaving(endpoint.name, NoticeSource.REGISTRATION, now)
        if is_era_changed and self._was_removed_before_restore(endpoint, before):
            self._spawn(self._register_later, record, endpoint)
        else:
            self._register(record, endpoint, before.endpoint)

    def _was_removed_before_restore(self, endpoint: RoutedEndpoint, before: EndpointRecord) -> bool:
        """Check whether a registration is one that was removed before the service was restored."""
        is_removed = before.endpoint is None and self._records.was_removed(endpoint)
        return is_removed and not self._capacity.is_registered(endpoint)

    def _register(
        self, record: EndpointRecord, endpoint: RoutedEndpoint, previous: RoutedEndpoint | None
    ) -> None:
        replaced_incarnation = self._capacity.set_endpoint(endpoint)
        if replaced_incarnation is not None:
            self._pool.abort_connections(replaced_incarnation)
            _log(
                "source: an endpoint was restarted, closed connections to its previous incarnation",
                record,
                endpoint=endpoint.name,
                before=replaced_incarnation,
            )
        if previous != endpoint:
            _log(
                "source: registered an endpoint",
                record,
                endpoint=endpoint.name,
                address=endpoint.address,
                service=endpoint.service,
                role=endpoint.role.value,
                leaving=endpoint.leaving,
            )

    async def _register_later(self, record: EndpointRecord, endpoint: RoutedEndpoint) -> None:
        """Use a previously removed endpoint if its registration is still present after a delay."""
        _log(
            "source: a removed endpoint reappeared after a restore, delays its use",
            record,
            endpoint=endpoint.name,
        )
        await trio.sleep(_RESTORED_ENDPOINT_DELAY_S)
        if self._records.get(record.name) == record:
            self._register(record, endpoint, None)
            self._on_change()

    def _handle_removal(
        self, record: EndpointRecord, before: EndpointRecord, *, is_era_changed: bool
    ) -> None:
        endpoint = before.endpoint
        delay_s = 0.0
        if endpoint is not None and not endpoint.leaving:
            if is_era_changed:
                delay_s = _RESTORE_REMOVAL_DELAY_S
            elif self._is_recovering():
                delay_s = self._removal_delay_s
        if delay_s:
            self._spawn(self._remove_later, record, delay_s)
        else:
            self._remove(record)

    def _is_recovering(self) -> bool:
        """Check whether a removal may be due only to an outage of the service.

        This holds for removals read just after the service is reached again: during an outage
        endpoints can't renew their registrations, and live endpoints register again soon after.
        """
        return trio.current_time() - self._reconnected_at < RECOVERY_S

    async def _remove_later(self, record: EndpointRecord, delay_s: float) -> None:
        """Remove an endpoint after a delay, unless it registers again meanwhile."""
        _log(
            "source: a removal may be due to an outage or a restore, delays it",
            record,
            endpoint=record.name,
            hold_s=delay_s,
        )
        await trio.sleep(delay_s)
        if self._records.get(record.name) == record:
            self._remove(record)

    def _remove(self, record: EndpointRecord) -> None:
        incarnation = self._capacity.current_incarnation(record.name)
        if incarnation is None:
            return
        _log(
            "source: removed an endpoint",
            record,
            endpoint=incarnation,
        )
        self._capacity.remove_endpoint(incarnation)
        self._pool.close_idle(incarnation)

    def _log_fault_change(self, record: EndpointRecord, before: EndpointRecord) -> None:
        """Log when a registration becomes unusable, and when it becomes usable again."""
        if record.fault is not None:
            self._metrics.count_unusable_entry(record.fault.kind.value)
        if (record.fault is None) is (before.fault is None):
            return
        message, fields = "source: a registration is usable again", {}
        if record.fault is not None:
            message = "source: a registration is unusable"
            fields = {"kind": record.fault.kind.value, "detail": record.fault.detail}
        if self._fault_line_limit.allow(trio.current_time()):
            _log(message, record, registration=record.label, **fields)


def _log(message: str, record: EndpointRecord, **fields: object) -> None:
    """Log the effect of a registration, with its revision and era."""
    era, revision = record.revision
    eliot.log_message(message_type=message, revision=revision, era=era, **fields)
