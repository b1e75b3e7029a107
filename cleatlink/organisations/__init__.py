"""Organisations: their keys and their limits over all instances; no I/O, no clock."""

from cleatlink.organisations.gate import NOBODY, Holder, OrganisationGate
from cleatlink.organisations.keys import KeyTable, read_key
from cleatlink.organisations.limits import (
    HEARD_S,
    Admission,
    LimitTolerance,
    OrganisationLimits,
    PeerTotals,
)

__all__ = [
    "HEARD_S",
    "NOBODY",
    "Admission",
    "Holder",
    "KeyTable",
    "LimitTolerance",
    "OrganisationGate",
    "OrganisationLimits",
    "PeerTotals",
    "read_key",
]
