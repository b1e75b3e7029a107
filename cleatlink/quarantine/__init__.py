"""Detection and quarantine of requests that crash endpoints.

This package does no I/O and reads no clock: callers pass the current time.
"""

from cleatlink.quarantine.attribution import NO_CRASHES, CrashAttribution, PartAttribution
from cleatlink.quarantine.crash import CrashReport
from cleatlink.quarantine.decision import (
    CRASHES_TO_QUARANTINE,
    Quarantine,
    QuarantineDecision,
    Trial,
)
from cleatlink.quarantine.evidence import CrashEvidence
from cleatlink.quarantine.prompts import (
    MAX_PARTS,
    NO_PROMPT,
    PromptParts,
    Suspect,
    digest_prompt,
    select_parts,
)

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "CrashAttribution",
    "CrashEvidence",
    "CrashReport",
    "MAX_PARTS",
    "NO_CRASHES",
    "NO_PROMPT",
    "PartAttribution",
    "PromptParts",
    "Quarantine",
    "QuarantineDecision",
    "Suspect",
    "Trial",
    "digest_prompt",
    "select_parts",
]
