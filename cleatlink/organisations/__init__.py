"""API keys and rate limits of organisations, shared by all instances; no I/O, no clock."""

from cleatlink.organisations.gate import NOBODY, Holder, OrganisationGate
from cleatlink.organisations.keys import KeyTable, read_key
from cleatlink.organisations.limits import Admission, LimitTolerance, OrganisationLimits

__all__ = [
    "NOBODY",
    "Admission",
    "Holder",
    "KeyTable",
    "LimitTolerance",
    "OrganisationGate",
    "OrganisationLimits",
    "read_key",
]
