"""Carries what registrations say over to what the instance believes of endpoints.

A removal says that an endpoint is gone only where nobody else can be its cause: while the
configuration service is away registrations lapse, and a copy that it comes back from lacks
some, and has others that were gone.
"""

from collections.abc import Callable

import eliot
import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.logs import LineAllowance
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords
from cleatlink.routing.notices import NoticeSource

__all__ = ["DOUBT_S", "Registrations"]

# Removals seen so soon after the source was found again are in doubt.
DOUBT_S = 0.5
# They are in doubt for this share of the time in which an endpoint that left must
# get nothing more, and for no longer than it takes to register anew.
_DOUBT_SHARE = 0.6
_MOST_DOUBT_S = 1.5
# Endpoints that live and that a copy lacks have registered anew by then: about two seconds
# after the source is back, and the time until that is heard of.
_RETURN_S = 2.5
# An endpoint that was gone and that a copy has again is gone from there too by then: a
# registration lapses after three heartbeats of about 1.2 s. One that is still there lives.
_LAPSE_S = 4.5

# Lines about registrations that can't be used, at the most in so many seconds: anybody who may
# write there could fill the log with them.
_FAULT_LINES = 20
_FAULT_LINES_S = 10.0


class Registrations:
    """The registrations of one instance's endpoints, and their effects."""

    def __init__(
        self,
        records: FleetRecords,
        capacity: Capacity,
        pool: ConnectionPool,
        metrics: RelayMetrics,
        *,
        spawn: Callable[..., None],
        on_change: Callable[[], None],
        leaving_s: float,
    ) -> None:
        """Start without any.

        Args:
            records: What is known.
            capacity: What is believed of endpoints.
            pool: Connections to them.
            metrics: Counters.
            spawn: Runs a task once.
            on_change: Told that endpoints changed.
            leaving_s: Time within which an endpoint that leaves gets nothing more.
        """
        self._records = records
        self._capacity = capacity
        self._pool = pool
        self._metrics = metrics
        self._spawn = spawn
        self._on_change = on_change
        self._found_at = -DOUBT_S
        self._doubt_hold_s = min(_MOST_DOUBT_S, _DOUBT_SHARE * leaving_s)
        self._fault_lines = LineAllowance(_FAULT_LINES, _FAULT_LINES_S)

    def note_source_found(self) -> None:
        """Note that the source was away: what is missing now may come of that."""
        self._found_at = trio.current_time()

    def take(self, records: list[EndpointRecord]) -> None:
        """Take registrations and removals, newer ones only."""
        for record in records:
            before = self._records.offer_record(record)
            if before is not None:
                self._use(record, before)
        self._on_change()

    def _use(self, record: EndpointRecord, before: EndpointRecord) -> None:
        self._note_fault(record, before)
        endpoint = record.endpoint
        has_gone_back = before.revision.era != record.revision.era
        if endpoint is None:
            self._end(record, before, has_gone_back=has_gone_back)
            return
        if endpoint.leaving:
            now = trio.current_time()
            self._capacity.notices.note_leaving(endpoint.name, NoticeSource.REGISTRATION, now)
        if has_gone_back and self._was_gone(endpoint, before):
            self._spawn(self._register_later, record, endpoint)
        else:
            self._register(record, endpoint, before.endpoint)

    def _was_gone(self, endpoint: RoutedEndpoint, before: EndpointRecord) -> bool:
        """Tell whether a registration is one that was removed in an earlier era."""
        is_removed = before.endpoint is None and self._records.was_removed(endpoint)
        return is_removed and not self._capacity.knows_life(endpoint)

    def _register(
        self, record: EndpointRecord, endpoint: RoutedEndpoint, known: RoutedEndpoint | None
    ) -> None:
        replaced = self._capacity.set_endpoint(endpoint)
        if replaced is not None:
            self._pool.break_off(replaced)
            _log(
                "source: an endpoint began a new life",
                record,
                endpoint=endpoint.name,
                before=replaced,
            )
        if known != endpoint:
            _log(
                "source: an endpoint is registered",
                record,
                endpoint=endpoint.name,
                address=endpoint.address,
                service=endpoint.service,
                role=endpoint.role.value,
                leaving=endpoint.leaving,
            )

    async def _register_later(self, record: EndpointRecord, endpoint: RoutedEndpoint) -> None:
        """Use an endpoint that was gone only if its registration is renewed."""
        _log(
            "source: a registration of an endpoint that was gone is in doubt",
            record,
            endpoint=endpoint.name,
        )
        await trio.sleep(_LAPSE_S)
        if self._records.get(record.name) == record:
            self._register(record, endpoint, None)
            self._on_change()

    def _end(self, record: EndpointRecord, before: EndpointRecord, *, has_gone_back: bool) -> None:
        known = before.endpoint
        hold_s = 0.0
        if known is not None and not known.leaving:
            if has_gone_back:
                hold_s = _RETURN_S
            elif self._in_doubt():
                hold_s = self._doubt_hold_s
        if hold_s:
            self._spawn(self._remove_later, record, hold_s)
        else:
            self._remove(record)

    def _in_doubt(self) -> bool:
        """Tell whether a removal may come of trouble with the source alone.

        That is so for what is read just after it was found again: while the
        source is away endpoints can't renew their registrations, and those that
        live write them anew soon after.
        """
        return trio.current_time() - self._found_at < DOUBT_S

    async def _remove_later(self, record: EndpointRecord, hold_s: float) -> None:
        """Remove an endpoint unless it is registered anew meanwhile."""
        _log(
            "source: a removal is in doubt",
            record,
            endpoint=record.name,
            hold_s=hold_s,
        )
        await trio.sleep(hold_s)
        if self._records.get(record.name) == record:
            self._remove(record)

    def _remove(self, record: EndpointRecord) -> None:
        life = self._capacity.life_of(record.name)
        if life is None:
            return
        _log(
            "source: an endpoint is gone",
            record,
            endpoint=life,
        )
        self._capacity.remove_endpoint(life)
        self._pool.forget(life)

    def _note_fault(self, record: EndpointRecord, before: EndpointRecord) -> None:
        """Log when a registration begins to be unusable, and when that ends."""
        if record.fault is not None:
            self._metrics.count_unusable(record.fault.kind.value)
        if (record.fault is None) is (before.fault is None):
            return
        message, fields = "source: a registration is no longer unusable", {}
        if record.fault is not None:
            message = "source: a registration can't be used"
            fields = {"kind": record.fault.kind.value, "detail": record.fault.detail}
        if self._fault_lines.take(trio.current_time()):
            _log(message, record, registration=record.label, **fields)


def _log(message: str, record: EndpointRecord, **fields: object) -> None:
    """Log what a registration changes, with what orders it."""
    era, revision = record.revision
    eliot.log_message(message_type=message, revision=revision, era=era, **fields)
