"""What calls to endpoints came to lately, and which endpoints are avoided for it."""

import math

__all__ = ["EndpointOutcomes"]

# An endpoint that failed is avoided for this long, doubled for each failure in a row.
_AVOID_S = 0.5
# The longest; an endpoint that is back is found within it.
_MOST_AVOID_S = 8.0
# An endpoint that had no room gets nothing new for so long, doubled for each time in a row:
# what was believed of its room is wrong then, and nothing tells when it will be right.
_FULL_AVOID_S = 0.15
_MOST_FULL_AVOID_S = 1.2
# Failures in a row after which an endpoint counts as out of reach.
_OUT_OF_REACH_FAILURES = 3
# What peers could not reach is avoided for so long, unless it answered here just now.
_HINT_S = 0.8
_REACHED_S = 0.5
# An endpoint that several instances found slow gets nothing new for so long.
_SLOW_S = 2.5


class _Outcomes:
    """What calls to one endpoint came to lately."""

    __slots__ = (
        "avoid_until",
        "failures",
        "full_until",
        "refusals",
        "slow_until",
        "succeeded_at",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.succeeded_at = -math.inf
        self.avoid_until = 0.0
        self.full_until = 0.0
        self.refusals = 0
        self.slow_until = 0.0


class EndpointOutcomes:
    """Outcomes by endpoint; every method takes the time as an argument."""

    def __init__(self) -> None:
        self._outcomes: dict[str, _Outcomes] = {}

    def forget(self, name: str) -> None:
        """Forget an endpoint."""
        self._outcomes.pop(name, None)

    def note_success(self, name: str, now: float) -> None:
        """Note that an endpoint did what it was asked."""
        outcomes = self._of(name)
        # One that failed often is trusted again by degrees.
        outcomes.failures = max(0, outcomes.failures - 1)
        outcomes.avoid_until = 0.0
        outcomes.succeeded_at = now

    def note_unreached_by_peers(self, name: str, now: float) -> None:
        """Note that peers that share this instance's links can't reach an endpoint."""
        outcomes = self._of(name)
        if now - outcomes.succeeded_at > _REACHED_S:
            outcomes.avoid_until = max(outcomes.avoid_until, now + _HINT_S)

    def note_failure(self, name: str, now: float) -> None:
        """Note that an endpoint failed; it is avoided for a while."""
        outcomes = self._of(name)
        avoid_s = min(_MOST_AVOID_S, _AVOID_S * 2**outcomes.failures)
        outcomes.failures += 1
        outcomes.avoid_until = now + avoid_s

    def note_slow(self, name: str, now: float) -> None:
        """Note that several instances found an endpoint slow."""
        self._of(name).slow_until = now + _SLOW_S

    def note_full(self, name: str, now: float) -> None:
        """Note that an endpoint had no room just now."""
        outcomes = self._of(name)
        full_s = min(_MOST_FULL_AVOID_S, _FULL_AVOID_S * 2**outcomes.refusals)
        outcomes.refusals += 1
        outcomes.full_until = now + full_s

    def note_room(self, name: str) -> None:
        """Note that an endpoint had room just now."""
        outcomes = self._outcomes.get(name)
        if outcomes is not None:
            outcomes.refusals = 0

    def is_out_of_reach(self, name: str, now: float) -> bool:
        """Tell whether an endpoint has failed so often that it counts as out of reach."""
        outcomes = self._outcomes.get(name)
        if outcomes is None or outcomes.failures < _OUT_OF_REACH_FAILURES:
            return False
        return now < outcomes.avoid_until

    def is_avoided(self, name: str, now: float) -> bool:
        """Tell whether an endpoint failed or was slow just now."""
        outcomes = self._outcomes.get(name)
        return outcomes is not None and now < max(outcomes.avoid_until, outcomes.slow_until)

    def full_until(self, name: str) -> float:
        """Give until when an endpoint gets nothing new because it had no room."""
        outcomes = self._outcomes.get(name)
        return outcomes.full_until if outcomes is not None else 0.0

    def _of(self, name: str) -> _Outcomes:
        return self._outcomes.setdefault(name, _Outcomes())
