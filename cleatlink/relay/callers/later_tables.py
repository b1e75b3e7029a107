"""Has requests that an old route table would deny wait for a newer one."""

from collections.abc import Callable
from enum import StrEnum
from typing import TypeVar

import eliot
import trio

from cleatlink.core.data import Refusal
from cleatlink.core.errors import ErrorKind
from cleatlink.core.routes import Inbound
from cleatlink.relay.calls.planned_stop import PlannedStop
from cleatlink.routing.table_knowledge import TableKnowledge, TableStanding

__all__ = ["LaterTables"]

# Milliseconds a second.
_MS = 1000.0
# Longest wait for a newer table: waiting requests hold memory, and their callers may come back.
_MOST_WAIT_S = 0.5
# A wait takes this share of the time that its caller has left; the rest is for the request itself.
_WAIT_SHARE = 0.25
# Refusals that callers take as final and that depend on the route table.
_FINAL_KINDS = frozenset({ErrorKind.NOT_FOUND, ErrorKind.UNKNOWN_KEY})
_DETAILS = {
    TableStanding.BEHIND: "a newer route table is not here yet",
    TableStanding.UNCONFIRMED: "the configuration service can't be asked for newer route tables",
}

_FoundT = TypeVar("_FoundT")


class _Outcome(StrEnum):
    """How a wait ended, where no refusal says so."""

    FOUND = "found"
    CALLER_LEFT = "caller_left"


class LaterTables:
    """Lets no request be denied finally by a table that may be out of date."""

    def __init__(self, tables: TableKnowledge, stop: PlannedStop) -> None:
        """Prepare.

        Args:
            tables: Which table is in force, and which exist.
            stop: The planned stop of this instance.
        """
        self._tables = tables
        self._stop = stop
        self._woken = trio.Event()

    @property
    def may_deny(self) -> bool:
        """Whether the table in force is the last word on a request."""
        return self._standing is TableStanding.CURRENT

    @property
    def awaits_newer(self) -> bool:
        """Whether a newer table is on its way, by which requests will be judged anew."""
        return self._standing is TableStanding.BEHIND

    @property
    def _standing(self) -> TableStanding:
        return self._tables.standing(trio.current_time())

    def wake(self) -> None:
        """Have all waiting requests judged anew: a table is in force, or a stop has begun."""
        self._woken.set()
        self._woken = trio.Event()

    def as_retriable(self, refusal: Refusal) -> Refusal:
        """Give what to answer now: no final refusal while the table may be out of date."""
        if refusal.kind not in _FINAL_KINDS or self.may_deny:
            return refusal
        return Refusal(ErrorKind.NOT_READY, _DETAILS[self._standing])

    async def judge_by_newer(
        self,
        inbound: Inbound,
        refusal: Refusal,
        judge: Callable[[], _FoundT | Refusal],
    ) -> _FoundT | Refusal:
        """Give what becomes of a refused request, by newer tables if any are on their way.

        Args:
            inbound: The request.
            refusal: What the table in force says.
            judge: Judges it anew by the table that is in force then.
        """
        if refusal.kind not in _FINAL_KINDS or self._standing is not TableStanding.BEHIND:
            return self.as_retriable(refusal)
        now = trio.current_time()
        behind_s = self._tables.behind_s(now)
        outcome: str = _Outcome.CALLER_LEFT
        try:
            result = await self._wait(inbound.deadline, refusal, judge)
            outcome = result.kind if isinstance(result, Refusal) else _Outcome.FOUND
        finally:
            eliot.log_message(
                message_type="relay: waited for a newer route table",
                request=inbound.request_id,
                revision=self._tables.in_force,
                newest=self._tables.newest,
                behind_ms=int(_MS * behind_s),
                waited_ms=int(_MS * (trio.current_time() - now)),
                outcome=str(outcome),
            )
        return result

    async def _wait(
        self, deadline: float, refusal: Refusal, judge: Callable[[], _FoundT | Refusal]
    ) -> _FoundT | Refusal:
        now = trio.current_time()
        until = now + min(_MOST_WAIT_S, _WAIT_SHARE * (deadline - now))
        result: _FoundT | Refusal = refusal
        while self._is_open(result):
            if self._stop.has_begun:
                return Refusal(ErrorKind.STOPPING, "this instance is stopping")
            if not await self._is_woken(until):
                break
            result = judge()
        return self.as_retriable(result) if isinstance(result, Refusal) else result

    def _is_open(self, result: object) -> bool:
        """Tell whether a newer table that is known to exist may judge otherwise."""
        is_final = isinstance(result, Refusal) and result.kind in _FINAL_KINDS
        return is_final and self._standing is TableStanding.BEHIND

    async def _is_woken(self, until: float) -> bool:
        """Wait until something has changed; False if nothing has by then."""
        woken = self._woken
        with trio.move_on_at(until):
            await woken.wait()
        return woken.is_set()
