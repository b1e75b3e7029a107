"""API keys and rate limits of organisations, shared by all instances; no I/O, no clock."""

from cleatlink.organisations.access import ANONYMOUS, CallerIdentity, OrganisationAccess
from cleatlink.organisations.keys import KeyTable, read_key
from cleatlink.organisations.limits import Admission, LimitTolerance, OrganisationLimits

__all__ = [
    "ANONYMOUS",
    "Admission",
    "CallerIdentity",
    "KeyTable",
    "LimitTolerance",
    "OrganisationAccess",
    "OrganisationLimits",
    "read_key",
]
