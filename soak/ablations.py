"""Runs the program with one mechanism disabled, to test that the soak test detects it.

python -m soak.ablations MECHANISM entry ...
"""

import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from cleatlink.core.data import ExecutionStatus
from cleatlink.core.notices import EMPTY_NOTICE, EndpointNotice
from cleatlink.core.organisations import Organisation
from cleatlink.members.leadership import LeaderElection
from cleatlink.organisations import Admission, KeyTable, OrganisationAccess, OrganisationLimits
from cleatlink.quarantine import NO_PROMPT
from cleatlink.relay.callers.server import CallerConnection
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.event_parser import EventParser
from cleatlink.relay.calls.planned_stop import PlannedStop
from cleatlink.relay.calls.stream_origin import StreamOrigin
from cleatlink.relay.endpoints.attribution import ResponseAttribution, ResponseOwner
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.following.follower import Follower
from cleatlink.relay.following.store_client import StoreClient
from cleatlink.relay.instance import RelayInstance
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_limits import EndpointLimits
from cleatlink.routing.fleet_records import FleetRecords
from cleatlink.scripts.main import main
from soak.fault_schedule import FaultKind

__all__ = ["ABLATIONS", "Ablation"]


class Ablation(NamedTuple):
    """A mechanism that can be disabled.

    Attributes:
        switch_off: Disables the mechanism in this process.
        expected_check: Check that must fail without the mechanism.
        fault_kinds: Faults under which that check fails.
        prefill_count: Engines that start in the prefill role.
    """

    switch_off: Callable[[], None]
    expected_check: str
    fault_kinds: tuple[FaultKind, ...]
    prefill_count: int = 2


def _make_patch(owner: Any, name: str, value: Any) -> Callable[[], None]:
    return lambda: setattr(owner, name, value)


def _return_true(*_: object, **__: object) -> bool:
    return True


def _accept_any_table(self: FleetRecords, table: Any) -> bool:
    self._table = table
    return True


async def _stop_immediately(self: RelayInstance) -> None:
    self._planned_stop.begin(0.0, 0.0)


def _note_sent_as_not_run(self: Call, endpoint: Any) -> None:
    _original_note_sent(self, endpoint)
    self.ran = ExecutionStatus.NO


async def _skip_watch(self: CallerConnection, scope: Any) -> None:
    return None


def _list_with_leaving(
    self: Capacity, service: str, role: Any, build: str | None = None
) -> list[Any]:
    return [
        item
        for item in self._by_service.get(service, ())
        if item.role is role and build in (None, item.build)
    ]


async def _resume_anywhere(self: StreamOrigin) -> None:
    return None


def _apply_only_first_table(self: Follower, table: Any, source: str) -> None:
    if self.records.table is None:
        _original_apply_table(self, table, source)


def _lead_without_election() -> None:
    """Make every instance lead, without information about ordered role changes.

    An instance that knows that a role change was ordered gives no second order.
    """
    LeaderElection.update = _return_true  # type: ignore[method-assign]
    Capacity.role_changes_left_s = _report_no_role_changes  # type: ignore[method-assign]


def _report_no_role_changes(self: Capacity, now: float) -> dict[str, float]:
    return {}


_keys_seen: dict[bytes, Organisation] = {}


def _find_current_or_old_key(self: KeyTable, digest: bytes) -> Organisation | None:
    organisation = _original_find_key(self, digest)
    if organisation is not None:
        _keys_seen[digest] = organisation
    return _keys_seen.get(digest)


_original_find_key = KeyTable.find
_original_note_sent = Call.note_sent
_original_apply_table = Follower.apply_table_if_newer


def _read_empty_notice(self: Protocol, head: Any, request_id: str | None = None) -> EndpointNotice:
    return EMPTY_NOTICE


def _read_notice_without_backoff(
    self: Protocol, head: Any, request_id: str | None = None
) -> EndpointNotice:
    return _original_read_notice(self, head, request_id)._replace(backoff_s=0.0)


def _return_era_zero(self: StoreClient, head: Any) -> int:
    return 0


def _ignore_eras() -> None:
    """Ignore the eras of the store, and reread it without a delay after a failed watch."""
    StoreClient._read_era = _return_era_zero  # type: ignore[method-assign]
    Follower._full_read_delay_s = _return_no_delay  # type: ignore[method-assign]


def _return_no_delay(self: Follower) -> float:
    return 0.0


def _attribute_all_responses() -> None:
    """Take each response for the one to the request that was sent last on its connection."""
    _make_patch(ResponseAttribution, "owner", property(_return_this_request))()
    _make_patch(ResponseAttribution, "check", _accept_response)()
    _make_patch(ResponseAttribution, "allows_reuse", property(_return_true))()
    _make_patch(ResponseAttribution, "allows_request", _return_true)()


def _return_this_request(self: ResponseAttribution) -> ResponseOwner:
    return ResponseOwner.THIS_REQUEST


def _accept_response(self: ResponseAttribution) -> None:
    return None


_original_read_notice = Protocol.read_notice

ABLATIONS = {
    "leaving-words": Ablation(
        _make_patch(Protocol, "read_notice", _read_empty_notice),
        "a worker's word is heard",
        (FaultKind.WORKER_WORD,),
    ),
    "rests": Ablation(
        _make_patch(Protocol, "read_notice", _read_notice_without_backoff),
        "rests are kept",
        (FaultKind.WORKER_REST,),
    ),
    "stream-builds": Ablation(
        _make_patch(StreamOrigin, "resolve", _resume_anywhere),
        "a stream is of one build",
        (FaultKind.WORKER_RELEASE, FaultKind.WORKER_LINK_RESET),
    ),
    "eras": Ablation(
        _ignore_eras,
        "calls to the store stay few",
        (FaultKind.STORE_RESTORE, FaultKind.CONFIGURATION),
    ),
    "ran-memory": Ablation(
        _make_patch(Call, "note_sent", _note_sent_as_not_run),
        "'not run' is true",
        (FaultKind.WORKER_LINK_RESET, FaultKind.WORKER_FAULTS),
    ),
    "whose-answer": Ablation(
        _make_patch(ResponseAttribution, "check", _accept_response),
        "the whole answer to its own request",
        (FaultKind.WORKER_FAULTS,),
    ),
    "rejected-request": Ablation(
        _attribute_all_responses,
        "'not run' is true",
        (FaultKind.WORKERS_REPEAT,),
    ),
    "planned-stop": Ablation(
        _make_patch(RelayInstance, "_stop", _stop_immediately),
        "a planned stop cuts nothing off",
        (FaultKind.INSTANCE_STOP,),
    ),
    "stop-foresight": Ablation(
        _make_patch(PlannedStop, "leaves_time", _return_true),
        "a planned stop cuts nothing off",
        (FaultKind.INSTANCE_STOP, FaultKind.INSTANCE_ROLL),
    ),
    "caller-watch": Ablation(
        _make_patch(CallerConnection, "_cancel_on_close", _skip_watch),
        "no work for callers that are gone",
        (FaultKind.INSTANCE_RELOAD,),
    ),
    "leaving": Ablation(
        _make_patch(Capacity, "in_role", _list_with_leaving),
        "a leaving worker gets nothing",
        (FaultKind.WORKER_DRAIN,),
    ),
    "new-tables": Ablation(
        _make_patch(Follower, "apply_table_if_newer", _apply_only_first_table),
        "a configuration is in force",
        (FaultKind.CONFIGURATION,),
    ),
    "upwards-only": Ablation(
        _make_patch(FleetRecords, "offer_table", _accept_any_table),
        "a configuration never reverts",
        (FaultKind.CONFIGURATION, FaultKind.STORE_OLD_READ),
    ),
    "no-repeat": Ablation(
        _make_patch(Call, "repeatable", property(_return_true)),
        "at most once",
        (FaultKind.WORKER_FAULTS,),
    ),
    "event-numbers": Ablation(
        _make_patch(EventParser, "_is_new", _return_true),
        "events in order",
        (FaultKind.WORKER_FAULTS, FaultKind.WORKER_CRASH),
    ),
    "endpoint-limits": Ablation(
        _make_patch(EndpointLimits, "_find_limit", lambda *_: None),
        "limits of workers hold",
        (FaultKind.WORKER_LIMIT,),
    ),
    "quarantine": Ablation(
        _make_patch(Call, "find_send_refusal", lambda self: None),
        "requests that crash workers stop",
        (FaultKind.CRASHING_REQUEST,),
    ),
    "prompt-parts": Ablation(
        _make_patch(Call, "prompt", NO_PROMPT),
        "parts of prompts that crash workers stop",
        (FaultKind.CRASHING_PART,),
    ),
    "key-table": Ablation(
        _make_patch(KeyTable, "find", _find_current_or_old_key),
        "keys in force",
        (FaultKind.KEY,),
    ),
    "shared-limits": Ablation(
        _make_patch(OrganisationLimits, "admit", lambda *_: Admission(True, 0)),
        "limits hold over all",
        (FaultKind.LIMIT,),
    ),
    "key-withheld": Ablation(
        _make_patch(OrganisationAccess, "checks_keys", False),
        "workers are told whose a request is",
        (FaultKind.INSTANCE_RELOAD,),
    ),
    "leadership": Ablation(
        _lead_without_election,
        "one gives orders",
        (FaultKind.INSTANCE_RELOAD,),
        # Without a prefill engine the leader has to order a role change.
        prefill_count=0,
    ),
}

if __name__ == "__main__":
    ABLATIONS[sys.argv.pop(1)].switch_off()
    main()
