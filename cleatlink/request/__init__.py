"""Request processing without I/O: state machines, retry budgets, idempotency keys and notes."""

from cleatlink.request.call_machine import CallMachine, is_repeatable
from cleatlink.request.idempotency_keys import (
    ClaimResult,
    ClaimState,
    IdempotencyKeyRegistry,
    StoredAnswer,
    find_home_data_centre,
    parse_key_time,
)
from cleatlink.request.in_flight_notes import InFlightNote, InFlightNotes, OrphanedWork
from cleatlink.request.model_machine import ModelRequestMachine, Phase
from cleatlink.request.retry_budget import RetryBudget

__all__ = [
    "CallMachine",
    "ClaimResult",
    "ClaimState",
    "IdempotencyKeyRegistry",
    "ModelRequestMachine",
    "InFlightNote",
    "InFlightNotes",
    "OrphanedWork",
    "Phase",
    "RetryBudget",
    "StoredAnswer",
    "find_home_data_centre",
    "is_repeatable",
    "parse_key_time",
]
