"""Recent outcomes of calls to endpoints, and which endpoints are avoided because of them."""

import math

__all__ = ["EndpointOutcomes"]

# Back-off after a failure of an endpoint, in seconds; doubled for each further failure in a row.
_AVOID_S = 0.5
# Upper limit of this back-off, in seconds: an endpoint that recovers is tried again within it.
_MAX_AVOID_S = 8.0
# Back-off after an endpoint refused work for lack of capacity, in seconds; doubled for each further
# refusal in a row. The estimate of its capacity is wrong then, and it is unknown for how long.
_FULL_AVOID_S = 0.15
_MAX_FULL_AVOID_S = 1.2
# Number of failures from which on an endpoint counts as unreachable.
_UNREACHABLE_FAILURES = 3
# An endpoint that peers could not reach is avoided for _PEER_FAILURE_AVOID_S seconds, unless a call
# of this instance to it succeeded within the last _RECENT_SUCCESS_S seconds.
_PEER_FAILURE_AVOID_S = 0.8
_RECENT_SUCCESS_S = 0.5
# An endpoint that several instances found slow is avoided for this time, in seconds.
_SLOW_AVOID_S = 2.5


class _Outcomes:
    """Recent outcomes of calls to one endpoint."""

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
    """Recent outcomes by endpoint; methods that depend on the time take it as an argument."""

    def __init__(self) -> None:
        self._outcomes: dict[str, _Outcomes] = {}

    def remove(self, name: str) -> None:
        """Drop the outcomes of an endpoint."""
        self._outcomes.pop(name, None)

    def note_success(self, name: str, now: float) -> None:
        """Record a successful call."""
        outcomes = self._of(name)
        # After repeated failures, each success cancels only one of them.
        outcomes.failures = max(0, outcomes.failures - 1)
        outcomes.avoid_until = 0.0
        outcomes.succeeded_at = now

    def note_unreachable_from_peers(self, name: str, now: float) -> None:
        """Record that peers with the same network links could not reach an endpoint."""
        outcomes = self._of(name)
        if now - outcomes.succeeded_at > _RECENT_SUCCESS_S:
            outcomes.avoid_until = max(outcomes.avoid_until, now + _PEER_FAILURE_AVOID_S)

    def note_failure(self, name: str, now: float) -> None:
        """Record a failure; the endpoint is avoided for the back-off time."""
        outcomes = self._of(name)
        avoid_s = min(_MAX_AVOID_S, _AVOID_S * 2**outcomes.failures)
        outcomes.failures += 1
        outcomes.avoid_until = now + avoid_s

    def clear_failures(self, name: str) -> None:
        """Forget the failures of an endpoint, which were those of the path to it."""
        outcomes = self._outcomes.get(name)
        if outcomes is not None:
            outcomes.failures = 0
            outcomes.avoid_until = 0.0

    def note_slow(self, name: str, now: float) -> None:
        """Record that several instances found an endpoint slow."""
        self._of(name).slow_until = now + _SLOW_AVOID_S

    def note_refusal(self, name: str, now: float) -> None:
        """Record that an endpoint refused work for lack of capacity."""
        outcomes = self._of(name)
        full_s = min(_MAX_FULL_AVOID_S, _FULL_AVOID_S * 2**outcomes.refusals)
        outcomes.refusals += 1
        outcomes.full_until = now + full_s

    def note_accepted(self, name: str) -> None:
        """Record that an endpoint accepted work; this resets the back-off after refusals."""
        outcomes = self._outcomes.get(name)
        if outcomes is not None:
            outcomes.refusals = 0

    def is_unreachable(self, name: str, now: float) -> bool:
        """Check whether an endpoint counts as unreachable after repeated failures."""
        outcomes = self._outcomes.get(name)
        if outcomes is None or outcomes.failures < _UNREACHABLE_FAILURES:
            return False
        return now < outcomes.avoid_until

    def is_avoided(self, name: str, now: float) -> bool:
        """Check whether an endpoint is avoided because it failed or was slow."""
        outcomes = self._outcomes.get(name)
        return outcomes is not None and now < max(outcomes.avoid_until, outcomes.slow_until)

    def full_until(self, name: str) -> float:
        """Return the end of the back-off after an endpoint refused work for lack of capacity."""
        outcomes = self._outcomes.get(name)
        return outcomes.full_until if outcomes is not None else 0.0

    def _of(self, name: str) -> _Outcomes:
        return self._outcomes.setdefault(name, _Outcomes())
