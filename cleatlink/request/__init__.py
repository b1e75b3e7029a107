"""Request processing without I/O: state machines, retry budgets, idempotency keys and notes."""

from cleatlink.request.budget import RetryBudget
from cleatlink.request.call import CallMachine, is_repeatable
from cleatlink.request.keys import (
    Claim,
    ClaimState,
    KeyRegistry,
    StoredAnswer,
    find_home,
    parse_key_time,
)
from cleatlink.request.machine import ModelMachine, Phase
from cleatlink.request.notes import Note, NoteBook, Orphan

__all__ = [
    "CallMachine",
    "Claim",
    "ClaimState",
    "KeyRegistry",
    "ModelMachine",
    "Note",
    "NoteBook",
    "Orphan",
    "Phase",
    "RetryBudget",
    "StoredAnswer",
    "find_home",
    "is_repeatable",
    "parse_key_time",
]
