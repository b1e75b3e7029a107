"""Detection and quarantine of requests that crash endpoints.

This package does no I/O and reads no clock: callers pass the current time.
"""

from cleatlink.quarantine.decision import (
    CRASHES_TO_QUARANTINE,
    Quarantine,
    QuarantineDecision,
    Trial,
)
from cleatlink.quarantine.evidence import CrashAttribution, CrashEvidence, CrashReport

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "CrashAttribution",
    "CrashEvidence",
    "CrashReport",
    "Quarantine",
    "Trial",
    "QuarantineDecision",
]
