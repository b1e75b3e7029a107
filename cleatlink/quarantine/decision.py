"""Decides whether a request may run freely, only apart from other suspects, or not for now.

A request is in quarantine itself, or because of parts of its prompt.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.quarantine.attribution import CrashAttribution, PartAttribution
from cleatlink.quarantine.crash import CrashReport
from cleatlink.quarantine.evidence import CrashEvidence
from cleatlink.quarantine.prompts import NO_PROMPT, PromptParts

__all__ = ["CRASHES_TO_QUARANTINE", "Quarantine", "Trial", "QuarantineDecision"]

# Crashes after which a request or a part of prompts is quarantined. Two can be chance where
# endpoints crash often; each further crash breaks off some five other requests.
CRASHES_TO_QUARANTINE = 3
# First quarantine time, doubled with each trial that crashes another endpoint, up to the maximum:
# three trials in the first hour, then at most two an hour.
_QUARANTINE_S = 300.0
_MAX_QUARANTINE_S = 1800.0
# The same for parts of prompts. It is shorter, because many callers wait for the trial of a part.
_PART_QUARANTINE_S = 60.0
# Size of the key under which the trials of parts are recorded, as that of a request's identity.
_KEY_BYTES = 8
# Crashes are removed after this time, in seconds.
_RETENTION_S = 3600.0
# Maximum duration of a trial, in seconds: longer than the answers of most routes take.
_MAX_TRIAL_S = 30.0


class Trial(NamedTuple):
    """A single trial run of a request or of parts of prompts whose quarantine time is over.

    Attributes:
        identity: Identity of the request, or the key of the parts.
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
        attribution: The crashes that are attributed to it, or to parts of its prompt.
        parts: The parts of its prompt to which they are attributed; empty if it is the request.
        trial_key: Key under which a trial is recorded; empty if no crash counts against it.
    """

    suspicion: int = 0
    is_quarantined: bool = False
    needs_trial: bool = False
    retry_after_s: float = 0.0
    attribution: CrashAttribution = CrashAttribution()
    parts: frozenset[bytes] = frozenset()
    trial_key: bytes = b""


_NO_SUSPICION = QuarantineDecision()


class Quarantine:
    """One instance's evidence of crashes, and its decisions about the suspected requests."""

    def __init__(self, part_trial_delay_s: float = 0.0) -> None:
        """Start without crashes.

        Args:
            part_trial_delay_s: Seconds by which this instance starts a trial of parts later than
                they could; it differs between instances, so that one of them is the first.
        """
        self.evidence = CrashEvidence(_RETENTION_S)
        self._part_trial_delay_s = part_trial_delay_s
        self._trials: dict[bytes, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not len(self.evidence)

    def decide(
        self, identity: bytes, now: float, prompt: PromptParts = NO_PROMPT
    ) -> QuarantineDecision:
        """Decide whether a request may run now.

        Args:
            identity: Identity of the request.
            now: The current time, in seconds.
            prompt: The parts of its prompt.
        """
        by_parts = [
            self.decide_by_parts(attribution, now)
            for attribution in self.evidence.part_attributions()
            if attribution.concerns(prompt)
        ]
        decisions = [self._decide_by_request(identity, now), *by_parts]
        suspicion = max(decision.suspicion for decision in decisions)
        unexplained_crashes = self.evidence.unexplained_crashes(prompt.service)
        if unexplained_crashes >= CRASHES_TO_QUARANTINE:
            # All prompts of the service run apart, so that the next crash shows its cause, and an
            # answer goes on that clears the others.
            suspicion = max(suspicion, unexplained_crashes)
        strictest = max(decisions, key=_strictness)
        return strictest._replace(suspicion=suspicion)

    def _decide_by_request(self, identity: bytes, now: float) -> QuarantineDecision:
        """Decide by the crashes at which the request itself was in progress."""
        suspicion = self.evidence.suspicion(identity)
        if not suspicion:
            return _NO_SUSPICION
        attribution = self.evidence.attribution(identity)
        blocked_until = self._blocked_until(identity, attribution, _QUARANTINE_S)
        decision = _make_decision(suspicion, attribution, blocked_until, now)
        return decision._replace(trial_key=identity)

    def decide_by_parts(self, attribution: PartAttribution, now: float) -> QuarantineDecision:
        """Decide about prompts with certain parts, by the crashes that are attributed to them."""
        crashes = attribution.crashes
        key = _key_of_parts(attribution.parts)
        blocked_until = self._blocked_until(key, crashes, _PART_QUARANTINE_S)
        decision = _make_decision(
            crashes.independent_crashes, crashes, blocked_until + self._part_trial_delay_s, now
        )
        return decision._replace(parts=attribution.parts, trial_key=key)

    def _blocked_until(self, key: bytes, crashes: CrashAttribution, first_s: float) -> float:
        """Return the end of a quarantine, or of the trial that follows it.

        Args:
            key: Identity of the request, or key of the parts.
            crashes: The crashes that are attributed to it.
            first_s: Length of the first quarantine, in seconds.
        """
        extra_crashes = crashes.independent_crashes - CRASHES_TO_QUARANTINE
        if extra_crashes < 0:
            return -math.inf
        quarantine_s = min(_MAX_QUARANTINE_S, first_s * 2.0**extra_crashes)
        trial_began_at = self._trials.get(key, -math.inf)
        return max(crashes.last_crash_at + quarantine_s, trial_began_at + _MAX_TRIAL_S)

    def begin_trial(self, identity: bytes, now: float) -> None:
        """Record that this instance starts the single trial of a request or of parts."""
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


def _key_of_parts(parts: frozenset[bytes]) -> bytes:
    """Return the key under which a trial of some parts is recorded."""
    return hashlib.blake2b(b"".join(sorted(parts)), digest_size=_KEY_BYTES).digest()


def _make_decision(
    suspicion: int, crashes: CrashAttribution, blocked_until: float, now: float
) -> QuarantineDecision:
    """Return the decision about a request or parts, given the end of their quarantine."""
    if crashes.independent_crashes < CRASHES_TO_QUARANTINE:
        return QuarantineDecision(suspicion, attribution=crashes)
    if now < blocked_until:
        return QuarantineDecision(
            suspicion,
            is_quarantined=True,
            retry_after_s=blocked_until - now,
            attribution=crashes,
        )
    return QuarantineDecision(suspicion, needs_trial=True, attribution=crashes)


def _strictness(decision: QuarantineDecision) -> tuple[bool, float, bool, int]:
    """Return the sort key by which one of several decisions about a request applies."""
    return (
        decision.is_quarantined,
        decision.retry_after_s,
        decision.needs_trial,
        decision.attribution.independent_crashes,
    )
