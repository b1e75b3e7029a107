"""Follows the configuration service, and uses updates from peers when it is unreachable."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

import eliot
import trio

from cleatlink.core.decoding import ReadFault
from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RouteTable
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.following.registrations import RECOVERY_S, Registrations
from cleatlink.relay.following.source import (
    ConfigurationSource,
    ConnectionLostError,
    HistoryUnavailableError,
    SourceChange,
)
from cleatlink.relay.logs import LogRateLimit
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import RegistrationUpdate
from cleatlink.relay.peers.snapshots import Snapshot
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords
from cleatlink.routing.table_tracker import TableTracker

__all__ = ["Follower", "FollowerHooks"]

# First and longest delay between retries of a failed call; each retry doubles the delay. The
# service answers in milliseconds, and many instances call it at once when it recovers.
_MIN_RETRY_S = 0.05
_MAX_RETRY_S = 0.6
# The longest delay grows with the number of instances, up to a bound: the first instance that
# succeeds announces the changes to the others.
_INSTANCES_PER_RETRY_STEP = 16
_MAX_RETRY_LARGE_FLEET_S = 3.0
# Interval at which an instance that does not watch the service checks whether it has to.
_WATCH_CHECK_INTERVAL_S = 0.25
# Longest wait for changes. An instance notices that the service has lost its wait only when the
# wait times out, or when a peer reports a newer revision. With more peers the latter is sooner,
# so the wait grows with their number.
_WATCH_S = 2.0
_MAX_WATCH_S = 6.0
_INSTANCES_PER_WATCH_STEP = 8
# Fleets of more than 78 instances wait longer, so that about thirteen waits end per second over
# the whole fleet. The bound is the time for which the platform usually keeps its history.
_WATCH_ENDS_PER_S = 13.0
_MAX_WATCH_LARGE_FLEET_S = 20.0
# Wait in a call that only checks whether the service answers and is up to date.
_PROBE_S = 0.05
# Changes come in groups, and each change ends the waits of all instances that watch. In a large
# fleet, an instance therefore delays its next call, so that one answer covers several changes.
_BATCH_DELAY_S = 0.25
# Between these two fleet sizes the delay grows in proportion. Larger fleets delay for longer, up
# to this share of the time after which a leaving endpoint must get no more requests.
_NO_BATCH_INSTANCES = 8
_FULL_BATCH_INSTANCES = 50
_MAX_BATCH_SHARE = 0.125
# Full reads of all instances are spread over a time that grows with their number, up to a bound:
# a full read takes two calls or more, and changes must be in use within two seconds.
_FULL_READS_PER_S = 200.0
_MAX_FULL_READ_SPREAD_S = 1.0
# First and longest delay before a full read that follows another without changes in between;
# each one doubles the delay.
_MIN_FULL_READ_DELAY_S = 0.25
_MAX_FULL_READ_DELAY_S = 2.0
_MS_PER_S = 1000.0

# Most log lines about unusable route tables in this many seconds. Every client with write access
# to the service could otherwise flood the log.
_MAX_FAULT_LINES = 20
_FAULT_LINES_WINDOW_S = 10.0


class FollowerHooks(NamedTuple):
    """Callbacks from the follower to its instance.

    Attributes:
        apply_table: Applies a route table.
        on_table_change: Called after a new table is applied, to notify peers and waiting requests.
        on_endpoints_change: Called after endpoints changed.
        spawn: Starts a background task that runs once.
        count_instances: Returns the number of instances in the fleet.
        must_watch: Returns whether this instance has to watch the service itself.
        announce: Sends a change to peers, with the revision that was known before it and the
            seconds since the service was reached again.
    """

    apply_table: Callable[[RouteTable], None]
    on_table_change: Callable[[], None]
    on_endpoints_change: Callable[[], None]
    spawn: Callable[..., None]
    count_instances: Callable[[], int]
    must_watch: Callable[[], bool] = lambda: True
    announce: Callable[[StoreRevision, SourceChange, float], None] = lambda *_: None


class Follower:
    """Keeps an instance's route table and endpoint records up to date."""

    def __init__(
        self,
        source: ConfigurationSource,
        capacity: Capacity,
        pool: ConnectionPool,
        metrics: RelayMetrics,
        *,
        table_tracker: TableTracker,
        rng: random.Random,
        hooks: FollowerHooks,
        endpoint_leave_s: float,
    ) -> None:
        self.records = FleetRecords()
        self._table_tracker = table_tracker
        self._source = source
        self._metrics = metrics
        self._rng = rng
        self._hooks = hooks
        self._endpoint_leave_s = endpoint_leave_s
        self._registrations = Registrations(
            self.records,
            capacity,
            pool,
            metrics,
            spawn=hooks.spawn,
            on_change=hooks.on_endpoints_change,
            endpoint_leave_s=endpoint_leave_s,
        )
        # Full reads because of missing history, since the last incremental change.
        self._consecutive_full_reads = 0
        self._connected = False
        # Whether the calls that failed last show an outage of the service, not just the loss of one
        # connection to it.
        self._is_outage = True
        # Whether the change that is applied next is the first one after failed calls.
        self._has_reconnected = False
        # Whether this instance watched the service at its last check.
        self._has_watched = True
        self._reconnected_at = -math.inf
        # Whether to call the service at once, even if this instance does not have to watch it.
        self._is_poll_due = False
        self._has_endpoint_list = False
        self._wait_scope = trio.CancelScope()
        self._fault_line_limit = LogRateLimit(_MAX_FAULT_LINES, _FAULT_LINES_WINDOW_S)

    @property
    def is_connected(self) -> bool:
        """Whether the configuration service answered the last call."""
        return self._connected

    @property
    def has_table_and_endpoints(self) -> bool:
        """Whether a route table and a list of endpoints are known."""
        return self.records.table is not None and self._has_endpoint_list

    async def run(self) -> None:
        """Read everything, then watch for changes; read everything again if history is missing."""
        retry_delay_s = _MIN_RETRY_S
        needs_full_read = True
        while True:
            try:
                change = await self._read_or_watch(needs_full_read)
            except HistoryUnavailableError as error:
                needs_full_read = True
                self._log_history_gone(error)
                await trio.sleep(self._full_read_delay_s())
                continue
            except PlatformError as error:
                self._mark_disconnected(error)
                await self._sleep_until_retry(retry_delay_s * (0.5 + self._rng.random()))
                retry_delay_s = min(self._max_retry_s(), 2 * retry_delay_s)
                continue
            if change is None:
                continue
            self._mark_connected(change)
            retry_delay_s = _MIN_RETRY_S
            needs_full_read = False
            if not change.is_full:
                self._consecutive_full_reads = 0
            revision_before = self.records.complete_revision
            self._apply_change(change)
            self._hooks.announce(
                revision_before, change, trio.current_time() - self._reconnected_at
            )
            if change.table is not None or change.records:
                await self._delay_next_call()

    def _log_history_gone(self, error: HistoryUnavailableError) -> None:
        self._metrics.count_configuration_call("history_gone")
        self._consecutive_full_reads += 1
        revision = self.records.complete_revision
        eliot.log_message(
            message_type="source: history is no longer available, reads everything again",
            error=str(error),
            after=revision.number,
            era=revision.era,
            times=self._consecutive_full_reads,
        )

    def _full_read_delay_s(self) -> float:
        """Return the delay before a full read.

        Without a delay, two instances made 6,762 calls in 6 s to a store that had been restored
        from a copy. With it they make 10.
        """
        spread_s = min(_MAX_FULL_READ_SPREAD_S, self._hooks.count_instances() / _FULL_READS_PER_S)
        delay_s = 0.0
        if self._consecutive_full_reads > 1:
            delay_s = min(
                _MAX_FULL_READ_DELAY_S,
                _MIN_FULL_READ_DELAY_S * 2 ** min(self._consecutive_full_reads - 2, 8),
            )
        return delay_s + spread_s * self._rng.random()

    async def _delay_next_call(self) -> None:
        delay_s = self._batch_delay_s()
        if delay_s > 0:
            await trio.sleep(delay_s)

    def _batch_delay_s(self) -> float:
        """Return the delay before the next call, by the number of instances."""
        instances = self._hooks.count_instances()
        if instances <= _FULL_BATCH_INSTANCES:
            size_range = _FULL_BATCH_INSTANCES - _NO_BATCH_INSTANCES
            return _BATCH_DELAY_S * (instances - _NO_BATCH_INSTANCES) / size_range
        max_s = max(_BATCH_DELAY_S, _MAX_BATCH_SHARE * self._endpoint_leave_s)
        return min(max_s, _BATCH_DELAY_S * instances / _FULL_BATCH_INSTANCES)

    def poll_service(self) -> None:
        """End the current wait for changes and call the service again.

        The service may have lost the wait. A call whose answer is already arriving is not
        cancelled: if each report of a newer revision by a peer restarted it, a long answer would
        never complete.
        """
        self._is_poll_due = True
        if not self._source.is_receiving:
            self._wait_scope.cancel()

    async def _sleep_until_retry(self, seconds: float) -> None:
        """Wait before the next retry; `poll_service` ends the wait early."""
        with trio.CancelScope() as self._wait_scope:
            await trio.sleep(seconds)

    def _max_retry_s(self) -> float:
        """Return the longest delay between two retries, which grows with the fleet."""
        factor = self._hooks.count_instances() / _INSTANCES_PER_RETRY_STEP
        return min(_MAX_RETRY_LARGE_FLEET_S, _MAX_RETRY_S * max(1.0, factor))

    async def _read_or_watch(self, needs_full_read: bool) -> SourceChange | None:
        """Read everything, or wait for changes; return None if the wait was cancelled.

        Raises:
            HistoryUnavailableError: The changes since the last call are no longer available.
            PlatformError: There was no answer.
        """
        if needs_full_read:
            return await self._source.read()
        with trio.CancelScope() as self._wait_scope:
            wait_s = await self._wait_until_call_due()
            return await self._source.watch(self.records.complete_revision, wait_s)
        return None

    async def _wait_until_call_due(self) -> float:
        """Wait until this instance has to call; return how long that call waits for changes."""
        while True:
            if not self._connected or self._hooks.must_watch():
                self._is_poll_due = False
                return self._choose_wait_s()
            if self._is_poll_due:
                self._is_poll_due = False
                return _PROBE_S
            self._has_watched = False
            await trio.sleep(_WATCH_CHECK_INTERVAL_S)

    def _choose_wait_s(self) -> float:
        """Return how long the next call waits for changes.

        An instance that begins to watch uses a short wait first, since the service may have last
        answered it long ago.
        """
        if self._has_watched:
            return self._choose_watch_s()
        self._has_watched = True
        return _PROBE_S

    def _choose_watch_s(self) -> float:
        """Return how long a watching instance waits for changes.

        The time is random, so that instances don't end their waits together. It is short after
        a failed call.
        """
        if not self._connected:
            return _PROBE_S
        instances = self._hooks.count_instances()
        usual_s = _WATCH_S * max(1.0, instances / _INSTANCES_PER_WATCH_STEP)
        max_s = max(_MAX_WATCH_S, min(_MAX_WATCH_LARGE_FLEET_S, instances / _WATCH_ENDS_PER_S))
        return min(max_s, usual_s) * (1 - 0.3 * self._rng.random())

    def _mark_disconnected(self, error: Exception) -> None:
        self._metrics.count_configuration_call("failed")
        # If the next call is answered on a new connection, only this connection was lost.
        self._is_outage = not (self._connected and isinstance(error, ConnectionLostError))
        if self._connected:
            self._connected = False
            eliot.log_message(
                message_type="source: configuration service does not answer, retries",
                error=repr(error),
                revision=self.records.complete_revision.number,
                era=self.records.complete_revision.era,
            )

    def _mark_connected(self, change: SourceChange) -> None:
        self._metrics.count_configuration_call("answered")
        self._table_tracker.note_service_response(trio.current_time())
        if not self._connected:
            self._connected = True
            self._has_reconnected = True
            eliot.log_message(
                message_type="source: configuration service answers",
                revision=change.revision.number,
                era=change.revision.era,
            )

    def _apply_change(self, change: SourceChange) -> None:
        self._log_era_change(change.revision, "source")
        records = list(change.records)
        if change.is_full:
            records = self.records.changes_in_full_list(records, change.revision)
        if self._has_reconnected:
            self._has_reconnected = False
            self._note_reconnected(records)
        self._has_endpoint_list = self._has_endpoint_list or change.is_full
        self._registrations.apply(records)
        self.records.note_complete(change.revision)
        if change.table is not None:
            self.apply_table_if_newer(change.table, "source")
        self._log_table_fault(change.table_fault)

    def _note_reconnected(self, records: list[EndpointRecord]) -> None:
        """Record whether the service was unreachable, or just one connection to it was lost.

        After the loss of a connection, removals have happened while it was silent, and are not
        delayed. In an outage registrations expire, most of a service at once.
        """
        is_outage = self._is_outage or self._registrations.removes_most_of_a_service(records)
        if is_outage:
            self._reconnected_at = trio.current_time()
            if self._has_endpoint_list:
                self._registrations.note_reconnected()
        eliot.log_message(
            message_type="source: reconnected to the configuration service",
            outage=is_outage,
            calls_failed=self._is_outage,
            changes=len(records),
        )

    def _log_table_fault(self, fault: ReadFault | None) -> None:
        """Log an unusable route table, at a limited rate; the previous table stays in force."""
        if fault is None:
            return
        self._metrics.count_unusable_entry(f"table_{fault.kind.value}")
        if self._fault_line_limit.allow(trio.current_time()):
            eliot.log_message(
                message_type="source: the route table is unusable, keeps the current table",
                kind=fault.kind.value,
                detail=fault.detail,
                in_force=self.records.table_revision,
            )

    def _log_era_change(self, revision: StoreRevision, source: str) -> None:
        """Log that the configuration service has been restored from a copy."""
        before = self.records.complete_revision
        if self._has_endpoint_list and revision.era > before.era:
            eliot.log_message(
                message_type="source: configuration service was restored from a copy",
                era=revision.era,
                before=before.era,
                revision=revision.number,
                revision_before=before.number,
                source=source,
            )

    def apply_peer_update(self, update: RegistrationUpdate) -> None:
        """Apply an update that a peer read from the configuration service.

        An update of another era is ignored: heartbeats announce the era, which causes a full read.
        """
        revision = self.records.complete_revision
        if (
            not self._has_endpoint_list
            or update.era != revision.era
            or update.revision <= revision.number
        ):
            return
        if update.reachable_for_s < RECOVERY_S:
            self._registrations.note_reconnected()
        self._registrations.apply(update.endpoint_records())
        if update.base_revision > revision.number:
            eliot.log_message(
                message_type="source: missed an update, reads the changes from the service",
                peer=update.name,
                after=update.base_revision,
                revision=revision.number,
            )
            self.poll_service()
            return
        self.records.note_complete(StoreRevision(update.era, update.revision))
        self._metrics.count_configuration_call("told_by_peer")

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a peer's snapshot of its route table and endpoint records."""
        records = snapshot.endpoint_records()
        revision = snapshot.complete_revision
        self._log_era_change(revision, "peer")
        self._registrations.apply(self.records.changes_in_peer_snapshot(records, revision))
        if revision.number > 0:
            self._has_endpoint_list = True
            self.records.note_complete(revision)
        if snapshot.table is not None:
            self.apply_table_if_newer(snapshot.table, "peer")

    async def read_table(self) -> None:
        """Read only the route table from the service, if it answered the last call."""
        if not self._connected:
            return
        try:
            source_table = await self._source.read_table()
        except PlatformError as error:
            self._metrics.count_configuration_call("failed")
            eliot.log_message(
                message_type="source: failed to read the route table, keeps the current table",
                error=repr(error),
            )
            return
        self._metrics.count_configuration_call("table")
        self._log_table_fault(source_table.fault)
        if source_table.fault is not None:
            return
        revision = source_table.table.revision if source_table.table is not None else 0
        self._table_tracker.note_service_revision(revision, trio.current_time())
        if source_table.table is not None:
            self.apply_table_if_newer(source_table.table, "source")

    def note_peer_table(self, revision: int, peer: str, is_service_reachable: bool = False) -> None:
        """Record the table revision that a peer has in force.

        Args:
            revision: The revision.
            peer: The peer's name.
            is_service_reachable: Whether the service answered the peer's last call.
        """
        now = trio.current_time()
        if is_service_reachable and revision >= self._table_tracker.revision_in_force:
            self._table_tracker.note_service_response(now)
        if self._table_tracker.note_revision(revision, now) and self._table_tracker.is_behind:
            eliot.log_message(
                message_type="source: a peer reports a newer route table",
                revision=revision,
                in_force=self._table_tracker.revision_in_force,
                peer=peer,
            )

    def apply_table_if_newer(self, table: RouteTable, source: str) -> None:
        """Apply a table, from the service or a peer, if it is newer than the current one."""
        before = self.records.table_revision
        if not self.records.offer_table(table):
            return
        now = trio.current_time()
        behind_s = self._table_tracker.behind_s(now)
        self._table_tracker.set_in_force(table.revision, now)
        self._hooks.apply_table(table)
        self._metrics.set_revision(table.revision)
        eliot.log_message(
            message_type="source: applied a route table",
            revision=table.revision,
            before=before,
            source=source,
            routes=len(table.routes),
            behind_ms=int(_MS_PER_S * behind_s),
        )
        self._hooks.on_table_change()
