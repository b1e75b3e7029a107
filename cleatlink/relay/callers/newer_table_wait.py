"""Delays requests that an outdated route table would refuse until a newer one is in force."""

from collections.abc import Callable
from enum import StrEnum
from typing import TypeVar

import eliot
import trio

from cleatlink.core.data import Refusal
from cleatlink.core.errors import ErrorKind
from cleatlink.core.routes import InboundRequest
from cleatlink.relay.calls.planned_stop import PlannedStop
from cleatlink.routing.table_tracker import TableFreshness, TableTracker

__all__ = ["NewerTableWait"]

# Milliseconds per second.
_MS_PER_S = 1000.0
# Longest wait for a newer table: waiting requests use memory, and their callers can retry.
_MAX_WAIT_S = 0.5
# Share of the time until the deadline that a wait may use; the rest is for the request itself.
_WAIT_SHARE = 0.25
# Refusals that depend on the route table and after which callers do not retry.
_FINAL_KINDS = frozenset({ErrorKind.NOT_FOUND, ErrorKind.UNKNOWN_KEY})
_RETRYABLE_DETAILS = {
    TableFreshness.BEHIND: "a newer route table is not here yet",
    TableFreshness.UNCONFIRMED: "the configuration service can't be asked for newer route tables",
}

_RoutedT = TypeVar("_RoutedT")


class _Outcome(StrEnum):
    """How a wait ended, unless it ended with a refusal."""

    FOUND = "found"
    CALLER_LEFT = "caller_left"


class NewerTableWait:
    """Prevents final refusals that are based on a route table that may be out of date."""

    def __init__(self, tables: TableTracker, stop: PlannedStop) -> None:
        """Initialise without waiting requests.

        Args:
            tables: Revision in force, and the newest revision that is known to exist.
            stop: The planned stop of this instance.
        """
        self._tables = tables
        self._stop = stop
        self._changed = trio.Event()

    @property
    def can_refuse_finally(self) -> bool:
        """Whether the table in force is up to date, so that a refusal by it may be final."""
        return self._freshness is TableFreshness.CURRENT

    @property
    def expects_newer_table(self) -> bool:
        """Whether a newer table exists that this instance has not received yet."""
        return self._freshness is TableFreshness.BEHIND

    @property
    def _freshness(self) -> TableFreshness:
        return self._tables.freshness(trio.current_time())

    def recheck_requests(self) -> None:
        """Route all waiting requests again, after a change of the table or the start of a stop."""
        self._changed.set()
        self._changed = trio.Event()

    def to_retryable(self, refusal: Refusal) -> Refusal:
        """Replace a final refusal by a retryable one while the table may be out of date."""
        if refusal.kind not in _FINAL_KINDS or self.can_refuse_finally:
            return refusal
        return Refusal(ErrorKind.NOT_READY, _RETRYABLE_DETAILS[self._freshness])

    async def wait_and_route(
        self,
        inbound: InboundRequest,
        refusal: Refusal,
        route_again: Callable[[], _RoutedT | Refusal],
    ) -> _RoutedT | Refusal:
        """Route a refused request again by newer tables, if any are known to exist.

        Args:
            inbound: The request.
            refusal: The refusal by the table in force.
            route_again: Routes the request again by the table that is in force at that time.

        Returns:
            The routed request, or its last refusal.
        """
        if refusal.kind not in _FINAL_KINDS or self._freshness is not TableFreshness.BEHIND:
            return self.to_retryable(refusal)
        now = trio.current_time()
        behind_s = self._tables.behind_s(now)
        outcome: str = _Outcome.CALLER_LEFT
        try:
            result = await self._wait(inbound.deadline, refusal, route_again)
            outcome = result.kind if isinstance(result, Refusal) else _Outcome.FOUND
        finally:
            eliot.log_message(
                message_type="relay: held a request for a newer route table",
                request=inbound.request_id,
                revision=self._tables.revision_in_force,
                newest=self._tables.newest_revision,
                behind_ms=int(_MS_PER_S * behind_s),
                waited_ms=int(_MS_PER_S * (trio.current_time() - now)),
                outcome=str(outcome),
            )
        return result

    async def _wait(
        self, deadline: float, refusal: Refusal, route_again: Callable[[], _RoutedT | Refusal]
    ) -> _RoutedT | Refusal:
        now = trio.current_time()
        until = now + min(_MAX_WAIT_S, _WAIT_SHARE * (deadline - now))
        result: _RoutedT | Refusal = refusal
        while self._may_change(result):
            if self._stop.has_begun:
                return Refusal(ErrorKind.STOPPING, "this instance is stopping")
            if not await self._wait_for_change(until):
                break
            result = route_again()
        return self.to_retryable(result) if isinstance(result, Refusal) else result

    def _may_change(self, result: object) -> bool:
        """Check whether a newer table that is known to exist may change a result."""
        is_final = isinstance(result, Refusal) and result.kind in _FINAL_KINDS
        return is_final and self._freshness is TableFreshness.BEHIND

    async def _wait_for_change(self, until: float) -> bool:
        """Wait for a change until a time; return whether there was one."""
        changed = self._changed
        with trio.move_on_at(until):
            await changed.wait()
        return changed.is_set()
