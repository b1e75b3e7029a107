"""Requests that crash the endpoints which run them: evidence and verdicts; no I/O, no clock."""

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
