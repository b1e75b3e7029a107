"""Switches one mechanism off, as a pytest plugin, to show that a scenario needs it."""

import os
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from cleatlink.config.revision import ActiveConfiguration, OfferResult
from cleatlink.core.data import Refusal
from cleatlink.core.errors import ErrorKind
from cleatlink.members import MembershipView
from cleatlink.request import IdempotencyKeyRegistry, InFlightNotes, ModelRequestMachine
from cleatlink.request.call_machine import CallMachine
from cleatlink.request.events import ForwardEvent, ReadStreamEvent
from cleatlink.request.idempotency_keys import ClaimResult, ClaimState
from cleatlink.routing import FleetView
from cleatlink.serving import callers, peers
from cleatlink.serving.cancels import Canceller
from cleatlink.serving.entry import Entry

VARIABLE = "CLEATLINK_ABLATE"


class Ablation(NamedTuple):
    """One mechanism, how to switch it off, and the scenarios that must then fail."""

    switch_off: Callable[[], None]
    scenarios: str
    promise: str


def _replace(owner: Any, name: str, value: Any) -> Callable[[], None]:
    return lambda: setattr(owner, name, value)


def _relay_anything(self: ModelRequestMachine, event: Any) -> list[Any]:
    if event.end:
        return _receive(self, event._replace(position=self._next_position))
    self._next_position = event.position + 1
    return [ForwardEvent(event.position, event.data), ReadStreamEvent(self._attempt)]


def _grant_always(self: IdempotencyKeyRegistry, *arguments: Any) -> ClaimResult:
    return ClaimResult(ClaimState.GRANTED)


def _any_time(made: float, owner_since: float, now: float) -> bool:
    return True


def _owner_among_alive(self: MembershipView, key: str, data_centre: str, now: float) -> Any:
    listed, self._listed = self._listed, {}
    try:
        return _owner(self, key, data_centre, now)
    finally:
        self._listed = listed


def _retry_unknown(self: CallMachine, event: Any) -> list[Any]:
    self._repeatable = True
    return _fail(self, event)


def _say_not_run(self: CallMachine) -> Any:
    return Refusal(ErrorKind.ENDPOINT_REFUSED, "")


def _usable_always(self: FleetView, endpoint: Any, now: float) -> bool:
    return True


def _usable_by_report(self: FleetView, endpoint: Any, now: float) -> bool:
    return not endpoint.leaving and endpoint.name in self._reports


def _adopt_anything(self: ActiveConfiguration, published: Any) -> OfferResult:
    self._published = None
    return _offer(self, published)


async def _stop_at_once(self: Entry) -> None:
    self._stopping = True


async def _ask_nobody(self: Entry) -> None:
    await trio.lowlevel.checkpoint()


async def _try_once(self: Canceller, *arguments: Any) -> bool:
    await _try(self, *arguments)
    return True


async def _run_here(parts: Any, run: Callable[[], Any]) -> Any:
    return await run()


def _no_action(*arguments: Any, **named: Any) -> Any:
    return []


_receive = ModelRequestMachine._receive
_owner = MembershipView.owner
_fail = CallMachine._fail
_offer = ActiveConfiguration.offer
_try = Canceller._try

ABLATIONS = {
    "cancel": Ablation(
        _replace(Canceller, "cancel", _no_action),
        "caller_goes_away and not order",
        "no memory held",
    ),
    "cancel-retry": Ablation(
        _replace(Canceller, "_try", _try_once), "cancels_are_lost", "no memory held"
    ),
    "notes": Ablation(
        _replace(InFlightNotes, "take_due", _no_action),
        "entry_dies and not prefilling",
        "no memory held",
    ),
    "note-repeat": Ablation(
        _replace(peers.Peers, "_repeat_notes", _no_action), "first_notes", "no memory held"
    ),
    "stream-position": Ablation(
        _replace(ModelRequestMachine, "_receive", _relay_anything),
        "chunks_go_wrong and (drop or double or swap or foreign)",
        "the whole answer, once",
    ),
    "resume": Ablation(
        _replace(
            ModelRequestMachine, "_resume", lambda self: self._give_up(self._failure_refusal())
        ),
        "chunks_go_wrong and (drop or swap or cut)",
        "the whole answer",
    ),
    "key-owner": Ablation(
        _replace(IdempotencyKeyRegistry, "claim", _grant_always), "one_key_at_two", "at most once"
    ),
    "key-age": Ablation(
        _replace(IdempotencyKeyRegistry, "_is_ours", staticmethod(_any_time)),
        "owner_of_the_key_dies or all_entries_are_replaced",
        "at most once",
    ),
    "listed-owner": Ablation(
        _replace(MembershipView, "owner", _owner_among_alive),
        "within_a_data_centre",
        "at most once",
    ),
    "no-repeat": Ablation(
        _replace(CallMachine, "_fail", _retry_unknown),
        "connection_to_the_endpoint_fails and after",
        "at most once",
    ),
    "ran-memory": Ablation(
        _replace(CallMachine, "_failure", _say_not_run),
        "connection_to_the_endpoint_fails and (during or after)",
        "'not run' is true",
    ),
    "key-refusal": Ablation(
        _replace(callers, "_admit_call", callers._admit), "stopping_entry", "'not run' is true"
    ),
    "run-to-end": Ablation(
        _replace(callers, "_run_to_the_end", _run_here),
        "caller_goes_away_while_its_order",
        "at most once",
    ),
    "leaving": Ablation(
        _replace(FleetView, "is_usable", _usable_by_report),
        "an_endpoint_is_leaving and (report or refusals or peer)",
        "a leaving endpoint",
    ),
    "report-age": Ablation(
        _replace(FleetView, "is_usable", _usable_always), "reports_stop", "a leaving endpoint"
    ),
    "drain": Ablation(_replace(Entry, "stop", _stop_at_once), "planned_stop", "a planned stop"),
    "upwards-only": Ablation(
        _replace(ActiveConfiguration, "offer", _adopt_anything), "old_replica", "configuration"
    ),
    "ask-peers": Ablation(
        _replace(Entry, "_ask_peers", _ask_nobody), "starts_beside_a_stale", "configuration"
    ),
}

if os.environ.get(VARIABLE):
    ABLATIONS[os.environ[VARIABLE]].switch_off()
