"""Decides whether a request that comes may run: freely, apart from others, or not for now."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.quarantine.evidence import Blame, CrashEvidence, CrashReport

__all__ = ["CRASHES_TO_HOLD", "Quarantine", "Trial", "Verdict"]

# Crashes of one request after which it is held back. Two can be chance where endpoints crash
# often; each one more costs some five neighbours.
CRASHES_TO_HOLD = 3
# For so long at first, doubled with each try that crashed one more, up to the longest: three
# tries in the first hour, then two an hour at the most.
_HOLD_S = 300.0
_LONGEST_HOLD_S = 1800.0
# A request that was not seen at a crash for so long is forgotten.
_FORGET_S = 3600.0
# A try is over by then: longer than answers of usual routes take.
_TRIAL_S = 30.0


class Trial(NamedTuple):
    """A careful try of a request whose time in quarantine is over.

    Attributes:
        identity: The request.
        age_s: Seconds since the try began.
    """

    identity: bytes
    age_s: float


class Verdict(NamedTuple):
    """What is decided about a request.

    Attributes:
        suspicion: At how many crashes it was without having been served since; from two on it
            has to be kept apart from others like it.
        is_held: Whether it may not run now.
        needs_trial: Whether it may run as the one careful try of all instances.
        retry_after_s: Seconds until it may run, if it is held.
        blame: The crashes that are put down to it.
    """

    suspicion: int = 0
    is_held: bool = False
    needs_trial: bool = False
    retry_after_s: float = 0.0
    blame: Blame = Blame()


_FREE = Verdict()


class Quarantine:
    """What one instance knows of requests that crash endpoints."""

    def __init__(self) -> None:
        self.evidence = CrashEvidence(_FORGET_S)
        self._trials: dict[bytes, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence against any request."""
        return not len(self.evidence)

    def judge(self, identity: bytes, now: float) -> Verdict:
        """Decide about a request."""
        suspicion = self.evidence.suspicion(identity)
        if not suspicion:
            return _FREE
        blame = self.evidence.blame(identity)
        extra = blame.crashes - CRASHES_TO_HOLD
        if extra < 0:
            return Verdict(suspicion, blame=blame)
        hold_s = min(_LONGEST_HOLD_S, _HOLD_S * 2**extra)
        trial_at = self._trials.get(identity, -math.inf)
        until = max(blame.last_at + hold_s, trial_at + _TRIAL_S)
        if now < until:
            return Verdict(suspicion, is_held=True, retry_after_s=until - now, blame=blame)
        return Verdict(suspicion, needs_trial=True, blame=blame)

    def begin_trial(self, identity: bytes, now: float) -> None:
        """Note that this instance makes the one careful try of a request."""
        self._trials[identity] = now

    def trials(self, now: float) -> list[Trial]:
        """Give the tries that may be in progress."""
        return [Trial(identity, now - at) for identity, at in self._trials.items()]

    def take_trials(self, trials: Iterable[Trial], now: float) -> None:
        """Take what peers try; one that is over is of no interest."""
        for trial in trials:
            if trial.age_s < _TRIAL_S:
                known = self._trials.get(trial.identity, -math.inf)
                self._trials[trial.identity] = max(known, now - trial.age_s)

    def take_report(self, report: CrashReport, now: float) -> bool:
        """Take a report of a crash in; tells whether it had anything new."""
        return self.evidence.add(report, now)

    def forget(self, now: float) -> None:
        """Forget what is long ago."""
        self.evidence.forget(now)
        self._trials = {name: at for name, at in self._trials.items() if now - at < _TRIAL_S}
