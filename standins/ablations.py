"""Pytest plugin that disables one mechanism, to show that its scenarios then fail.

The environment variable ``CLEATLINK_ABLATE`` names the mechanism.
"""

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
from cleatlink.serving import caller_app, peers
from cleatlink.serving.canceller import Canceller
from cleatlink.serving.entry import Entry

ABLATION_VARIABLE = "CLEATLINK_ABLATE"


class Ablation(NamedTuple):
    """A mechanism that can be disabled, and the scenarios that must then fail.

    Attributes:
        switch_off: Disables the mechanism in this process.
        scenarios: Pytest ``-k`` expression that selects the scenarios.
        guarantee: Guarantee of the router that the scenarios check.
    """

    switch_off: Callable[[], None]
    scenarios: str
    guarantee: str


def _replace_attribute(owner: Any, name: str, value: Any) -> Callable[[], None]:
    return lambda: setattr(owner, name, value)


def _forward_every_chunk(self: ModelRequestMachine, event: Any) -> list[Any]:
    if event.end:
        return _original_receive(self, event._replace(position=self._next_position))
    self._next_position = event.position + 1
    return [ForwardEvent(event.position, event.data), ReadStreamEvent(self._attempt)]


def _grant_every_claim(self: IdempotencyKeyRegistry, *arguments: Any) -> ClaimResult:
    return ClaimResult(ClaimState.GRANTED)


def _accept_every_key(created_at: float, owner_since: float, now: float) -> bool:
    return True


def _owner_without_instance_list(
    self: MembershipView, key: str, data_centre: str, now: float
) -> Any:
    listed, self._listed = self._listed, {}
    try:
        return _original_owner(self, key, data_centre, now)
    finally:
        self._listed = listed


def _retry_unknown_outcome(self: CallMachine, event: Any) -> list[Any]:
    self._repeatable = True
    return _original_fail(self, event)


def _report_not_run(self: CallMachine) -> Any:
    return Refusal(ErrorKind.ENDPOINT_REFUSED, "")


def _is_always_usable(self: FleetView, endpoint: Any, now: float) -> bool:
    return True


def _is_usable_by_report(self: FleetView, endpoint: Any, now: float) -> bool:
    return not endpoint.leaving and endpoint.name in self._reports


def _adopt_every_revision(self: ActiveConfiguration, published: Any) -> OfferResult:
    self._published = None
    return _original_offer(self, published)


async def _stop_without_drain(self: Entry) -> None:
    self._stopping = True


async def _skip_peers(self: Entry) -> None:
    await trio.lowlevel.checkpoint()


async def _cancel_once(self: Canceller, *arguments: Any) -> bool:
    await _original_send_once(self, *arguments)
    return True


async def _run_in_caller_task(parts: Any, run: Callable[[], Any]) -> Any:
    return await run()


def _do_nothing(*arguments: Any, **keywords: Any) -> Any:
    return []


_original_receive = ModelRequestMachine._receive
_original_owner = MembershipView.owner
_original_fail = CallMachine._fail
_original_offer = ActiveConfiguration.offer
_original_send_once = Canceller._send_once

ABLATIONS = {
    "cancel": Ablation(
        _replace_attribute(Canceller, "cancel", _do_nothing),
        "caller_goes_away and not order",
        "no memory stays reserved",
    ),
    "cancel-retry": Ablation(
        _replace_attribute(Canceller, "_send_once", _cancel_once),
        "cancels_are_lost",
        "no memory stays reserved",
    ),
    "notes": Ablation(
        _replace_attribute(InFlightNotes, "take_due", _do_nothing),
        "entry_dies and not prefilling",
        "no memory stays reserved",
    ),
    "note-repeat": Ablation(
        _replace_attribute(peers.Peers, "_resend_notes", _do_nothing),
        "first_notes",
        "no memory stays reserved",
    ),
    "stream-position": Ablation(
        _replace_attribute(ModelRequestMachine, "_receive", _forward_every_chunk),
        "chunks_go_wrong and (drop or double or swap or foreign)",
        "complete answer, exactly once",
    ),
    "resume": Ablation(
        _replace_attribute(
            ModelRequestMachine, "_resume", lambda self: self._give_up(self._failure_refusal())
        ),
        "chunks_go_wrong and (drop or swap or cut)",
        "complete answer",
    ),
    "key-owner": Ablation(
        _replace_attribute(IdempotencyKeyRegistry, "claim", _grant_every_claim),
        "one_key_at_two",
        "at most one execution",
    ),
    "key-age": Ablation(
        _replace_attribute(
            IdempotencyKeyRegistry, "_is_grantable", staticmethod(_accept_every_key)
        ),
        "owner_of_the_key_dies or all_entries_are_replaced",
        "at most one execution",
    ),
    "listed-owner": Ablation(
        _replace_attribute(MembershipView, "owner", _owner_without_instance_list),
        "within_a_data_centre",
        "at most one execution",
    ),
    "no-repeat": Ablation(
        _replace_attribute(CallMachine, "_fail", _retry_unknown_outcome),
        "connection_to_the_endpoint_fails and after",
        "at most one execution",
    ),
    "ran-memory": Ablation(
        _replace_attribute(CallMachine, "_failure_refusal", _report_not_run),
        "connection_to_the_endpoint_fails and (during or after)",
        "'not run' is never reported for a call that may have run",
    ),
    "key-refusal": Ablation(
        _replace_attribute(caller_app, "_admit_call", caller_app._admit),
        "stopping_entry",
        "'not run' is never reported for a call that may have run",
    ),
    "run-to-end": Ablation(
        _replace_attribute(caller_app, "_run_despite_disconnect", _run_in_caller_task),
        "caller_goes_away_while_its_order",
        "at most one execution",
    ),
    "leaving": Ablation(
        _replace_attribute(FleetView, "is_usable", _is_usable_by_report),
        "an_endpoint_is_leaving and (report or refusals or peer)",
        "no new work for a leaving endpoint",
    ),
    "report-age": Ablation(
        _replace_attribute(FleetView, "is_usable", _is_always_usable),
        "reports_stop",
        "no new work for a leaving endpoint",
    ),
    "drain": Ablation(
        _replace_attribute(Entry, "stop", _stop_without_drain),
        "planned_stop",
        "no request lost by a planned stop",
    ),
    "upwards-only": Ablation(
        _replace_attribute(ActiveConfiguration, "offer", _adopt_every_revision),
        "old_replica",
        "configuration",
    ),
    "ask-peers": Ablation(
        _replace_attribute(Entry, "_request_peer_documents", _skip_peers),
        "starts_beside_a_stale",
        "configuration",
    ),
}

if os.environ.get(ABLATION_VARIABLE):
    ABLATIONS[os.environ[ABLATION_VARIABLE]].switch_off()
