"""Detection and quarantine of requests that crash endpoints.

This package does no I/O and reads no clock: callers pass the current time.
"""

from cleatlink.quarantine.evidence import Blame, CrashEvidence, CrashReport
from cleatlink.quarantine.verdict import CRASHES_TO_HOLD, Quarantine, Trial, Verdict

__all__ = [
    "CRASHES_TO_HOLD",
    "Blame",
    "CrashEvidence",
    "CrashReport",
    "Quarantine",
    "Trial",
    "Verdict",
]
