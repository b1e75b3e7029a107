"""Runs the program with one mechanism switched off, to see the soak report it."""

import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from cleatlink.core.data import ExecutionStatus
from cleatlink.core.notices import EMPTY_NOTICE, EndpointNotice
from cleatlink.core.organisations import Organisation
from cleatlink.members.leadership import LeaderElection
from cleatlink.organisations import Admission, KeyTable, OrganisationAccess, OrganisationLimits
from cleatlink.relay.callers.server import CallerConnection
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.event_parser import EventParser
from cleatlink.relay.calls.planned_stop import PlannedStop
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.following.follower import Follower
from cleatlink.relay.following.store_client import StoreClient
from cleatlink.relay.instance import RelayInstance
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_limits import EndpointLimits
from cleatlink.routing.fleet_records import FleetRecords
from cleatlink.scripts.main import main
from soak.plan import FaultKind

__all__ = ["ABLATIONS", "Ablation"]


class Ablation(NamedTuple):
    """A mechanism that can be switched off.

    Attributes:
        switch_off: Switches it off in this process.
        check: The check that must then report it.
        kinds: Faults under which it shows.
        prefills: Engines that begin as prefills.
    """

    switch_off: Callable[[], None]
    check: str
    kinds: tuple[FaultKind, ...]
    prefills: int = 2


def _replace(owner: Any, name: str, value: Any) -> Callable[[], None]:
    return lambda: setattr(owner, name, value)


def _always(*_: object) -> bool:
    return True


def _take_any_table(self: FleetRecords, table: Any) -> bool:
    self._table = table
    return True


async def _stop_at_once(self: RelayInstance) -> None:
    self._planned_stop.begin(0.0, 0.0)


def _forget_that_it_left(self: Call, endpoint: Any) -> None:
    _note_sent(self, endpoint)
    self.ran = ExecutionStatus.NO


async def _watch_nothing(self: CallerConnection, scope: Any) -> None:
    return None


def _stay(self: Capacity, service: str, role: Any) -> list[Any]:
    return [item for item in self._by_service.get(service, ()) if item.role is role]


def _keep_first(self: Follower, table: Any, source: str) -> None:
    if self.records.table is None:
        _take_table(self, table, source)


def _lead_always() -> None:
    """Let everybody lead, and not hear of what others ordered: else the second holds back."""
    LeaderElection.update = _always  # type: ignore[method-assign, assignment]
    Capacity.role_changes_left_s = _know_no_change  # type: ignore[method-assign]


def _know_no_change(self: Capacity, now: float) -> dict[str, float]:
    return {}


_known: dict[bytes, Organisation] = {}


def _keep_known(self: KeyTable, digest: bytes) -> Organisation | None:
    found = _find_key(self, digest)
    if found is not None:
        _known[digest] = found
    return _known.get(digest)


_find_key = KeyTable.find
_note_sent = Call.note_sent
_take_table = Follower.take_table


def _read_no_notice(self: Protocol, head: Any) -> EndpointNotice:
    return EMPTY_NOTICE


def _read_no_rest(self: Protocol, head: Any) -> EndpointNotice:
    return _read_notice(self, head)._replace(rest_s=0.0)


def _tell_no_era(self: StoreClient, head: Any) -> int:
    return 0


def _order_by_numbers() -> None:
    """Know no eras, and read anew at once where changes can't be had."""
    StoreClient._read_era = _tell_no_era  # type: ignore[method-assign]
    Follower._reread_pause_s = _pause_never  # type: ignore[method-assign]


def _pause_never(self: Follower) -> float:
    return 0.0


_read_notice = Protocol.read_notice

ABLATIONS = {
    "leaving-words": Ablation(
        _replace(Protocol, "read_notice", _read_no_notice),
        "a worker's word is heard",
        (FaultKind.WORKER_WORD,),
    ),
    "rests": Ablation(
        _replace(Protocol, "read_notice", _read_no_rest),
        "rests are kept",
        (FaultKind.WORKER_REST,),
    ),
    "eras": Ablation(
        _order_by_numbers,
        "calls to the store stay few",
        (FaultKind.STORE_RESTORE, FaultKind.CONFIGURATION),
    ),
    "ran-memory": Ablation(
        _replace(Call, "note_sent", _forget_that_it_left),
        "'not run' is true",
        (FaultKind.WORKER_LINK_RESET, FaultKind.WORKER_FAULTS),
    ),
    "whose-answer": Ablation(
        _replace(Protocol, "belongs", _always),
        "the whole answer to its own request",
        (FaultKind.WORKER_FAULTS,),
    ),
    "planned-stop": Ablation(
        _replace(RelayInstance, "_stop", _stop_at_once),
        "a planned stop cuts nothing off",
        (FaultKind.INSTANCE_STOP,),
    ),
    "stop-foresight": Ablation(
        _replace(PlannedStop, "leaves_time", _always),
        "a planned stop cuts nothing off",
        (FaultKind.INSTANCE_STOP, FaultKind.INSTANCE_ROLL),
    ),
    "caller-watch": Ablation(
        _replace(CallerConnection, "_watch", _watch_nothing),
        "no work for callers that are gone",
        (FaultKind.INSTANCE_RELOAD,),
    ),
    "leaving": Ablation(
        _replace(Capacity, "in_role", _stay),
        "a leaving worker gets nothing",
        (FaultKind.WORKER_DRAIN,),
    ),
    "new-tables": Ablation(
        _replace(Follower, "take_table", _keep_first),
        "a configuration is in force",
        (FaultKind.CONFIGURATION,),
    ),
    "upwards-only": Ablation(
        _replace(FleetRecords, "offer_table", _take_any_table),
        "a configuration never reverts",
        (FaultKind.CONFIGURATION, FaultKind.STORE_OLD_READ),
    ),
    "no-repeat": Ablation(
        _replace(Call, "repeatable", property(_always)),
        "at most once",
        (FaultKind.WORKER_FAULTS,),
    ),
    "event-numbers": Ablation(
        _replace(EventParser, "_is_new", _always),
        "events in order",
        (FaultKind.WORKER_FAULTS, FaultKind.WORKER_CRASH),
    ),
    "endpoint-limits": Ablation(
        _replace(EndpointLimits, "_find_limit", lambda *_: None),
        "limits of workers hold",
        (FaultKind.WORKER_LIMIT,),
    ),
    "quarantine": Ablation(
        _replace(Call, "find_send_refusal", lambda self: None),
        "requests that crash workers stop",
        (FaultKind.CRASHING_REQUEST,),
    ),
    "key-table": Ablation(
        _replace(KeyTable, "find", _keep_known),
        "keys in force",
        (FaultKind.KEY,),
    ),
    "shared-limits": Ablation(
        _replace(OrganisationLimits, "admit", lambda *_: Admission(True, 0)),
        "limits hold over all",
        (FaultKind.LIMIT,),
    ),
    "key-withheld": Ablation(
        _replace(OrganisationAccess, "judges_keys", False),
        "workers are told whose a request is",
        (FaultKind.INSTANCE_RELOAD,),
    ),
    "leadership": Ablation(
        _lead_always,
        "one gives orders",
        (FaultKind.INSTANCE_RELOAD,),
        # Without a prefill there is something to order.
        prefills=0,
    ),
}

if __name__ == "__main__":
    ABLATIONS[sys.argv.pop(1)].switch_off()
    main()
