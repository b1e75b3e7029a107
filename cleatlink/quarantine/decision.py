"""Decides whether a request may run freely, only apart from other suspects, or not for now."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.quarantine.evidence import CrashAttribution, CrashEvidence, CrashReport

__all__ = ["CRASHES_TO_QUARANTINE", "Quarantine", "Trial", "QuarantineDecision"]

# Crashes after which a request is quarantined. Two can be chance where endpoints crash often; each
# further crash breaks off some five other requests.
CRASHES_TO_QUARANTINE = 3
# First quarantine time, doubled with each trial that crashes another endpoint, up to the maximum:
# three trials in the first hour, then at most two an hour.
_QUARANTINE_S = 300.0
_MAX_QUARANTINE_S = 1800.0
# Crashes are removed after this time, in seconds.
_RETENTION_S = 3600.0
# Maximum duration of a trial, in seconds: longer than the answers of most routes take.
_MAX_TRIAL_S = 30.0


class Trial(NamedTuple):
    """A single trial run of a request whose quarantine time is over.

    Attributes:
        identity: Identity of the request.
        age_s: Seconds since the trial began.
    """

    identity: bytes
    age_s: float


class QuarantineDecision(NamedTuple):
    """The decision about a request.

    Attributes:
        suspicion: Number of crashes that count against it, without those it is cleared of; with two
            or more it has to run apart from other suspects.
        is_quarantined: Whether it is in quarantine and may not run now.
        needs_trial: Whether it may run only as the single trial of all instances.
        retry_after_s: Seconds until it may run, if it is in quarantine.
        attribution: The crashes that are attributed to it.
    """

    suspicion: int = 0
    is_quarantined: bool = False
    needs_trial: bool = False
    retry_after_s: float = 0.0
    attribution: CrashAttribution = CrashAttribution()


_NO_SUSPICION = QuarantineDecision()


class Quarantine:
    """One instance's evidence of crashes, and its decisions about the suspected requests."""

    def __init__(self) -> None:
        self.evidence = CrashEvidence(_RETENTION_S)
        self._trials: dict[bytes, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not len(self.evidence)

    def decide(self, identity: bytes, now: float) -> QuarantineDecision:
        """Decide whether a request may run now."""
        suspicion = self.evidence.suspicion(identity)
        if not suspicion:
            return _NO_SUSPICION
        attribution = self.evidence.attribution(identity)
        extra_crashes = attribution.independent_crashes - CRASHES_TO_QUARANTINE
        if extra_crashes < 0:
            return QuarantineDecision(suspicion, attribution=attribution)
        quarantine_s = min(_MAX_QUARANTINE_S, _QUARANTINE_S * 2**extra_crashes)
        trial_began_at = self._trials.get(identity, -math.inf)
        blocked_until = max(attribution.last_crash_at + quarantine_s, trial_began_at + _MAX_TRIAL_S)
        if now < blocked_until:
            return QuarantineDecision(
                suspicion,
                is_quarantined=True,
                retry_after_s=blocked_until - now,
                attribution=attribution,
            )
        return QuarantineDecision(suspicion, needs_trial=True, attribution=attribution)

    def begin_trial(self, identity: bytes, now: float) -> None:
        """Record that this instance starts the single trial of a request."""
        self._trials[identity] = now

    def active_trials(self, now: float) -> list[Trial]:
        """Return the trials that may still be in progress."""
        return [Trial(identity, now - began_at) for identity, began_at in self._trials.items()]

    def add_peer_trials(self, trials: Iterable[Trial], now: float) -> None:
        """Add trials of peers; those that must be over are ignored."""
        for trial in trials:
            if trial.age_s < _MAX_TRIAL_S:
                known_began_at = self._trials.get(trial.identity, -math.inf)
                self._trials[trial.identity] = max(known_began_at, now - trial.age_s)

    def add_report(self, report: CrashReport, now: float) -> bool:
        """Add a report of a crash.

        Returns:
            Whether anything in it was new.
        """
        return self.evidence.add_report(report, now)

    def remove_expired(self, now: float) -> None:
        """Remove expired crashes and trials."""
        self.evidence.remove_expired(now)
        self._trials = {
            identity: began_at
            for identity, began_at in self._trials.items()
            if now - began_at < _MAX_TRIAL_S
        }
