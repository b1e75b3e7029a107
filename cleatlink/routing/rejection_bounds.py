"""Sizes that decode engines rejected, as upper bounds on what they can hold.

The bounds count tokens in the same way as the estimate of the work held by an engine. An engine
that rejects a stream for lack of capacity has less free than estimated, and the same is true for
all instances. Until some of the work that is estimated to run there ends, or the rejection is old,
no stream of that size fits: another attempt would be rejected too, and each attempt costs a call.
If no work is estimated to run there, there is nothing to wait for, and the engine is tried again
soon. The routing mechanism is called `shed-limits` and can be switched off.
"""

import math
from typing import NamedTuple

__all__ = ["RejectionBounds"]

# Lifetime of a bound without another rejection. The estimate differs from the actual work by lost
# or late messages, and heartbeats correct that within a second.
_BOUND_LIFETIME_S = 1.0


class _Bound(NamedTuple):
    """The bound from a rejection.

    Attributes:
        below_tokens: The engine can hold fewer tokens than this.
        expires_at: When the bound ends.
    """

    below_tokens: int
    expires_at: float


class RejectionBounds:
    """Bounds by endpoint; methods that depend on time take it as an argument."""

    def __init__(self) -> None:
        self._bounds: dict[str, _Bound] = {}

    def note_rejected(self, name: str, held_tokens: int, tokens: int, now: float) -> bool:
        """Record that an endpoint had no capacity for a stream.

        Args:
            name: Name of the endpoint.
            held_tokens: Estimated tokens that it holds without the stream.
            tokens: Size of the stream at its end.
            now: The current time.

        Returns:
            Whether the bound is lower than the known one.
        """
        below_tokens = held_tokens + tokens
        is_lower = below_tokens < self.bound_tokens(name, now)
        if is_lower or name not in self._bounds:
            self._bounds[name] = _Bound(below_tokens, now + _BOUND_LIFETIME_S)
        return is_lower

    def note_accepted(self, name: str, held_tokens: int) -> None:
        """Record that an endpoint accepted a stream and now holds ``held_tokens``."""
        bound = self._bounds.get(name)
        if bound is not None and held_tokens >= bound.below_tokens:
            del self._bounds[name]

    def bound_tokens(self, name: str, now: float) -> float:
        """Return the bound of an endpoint in tokens; infinite if there is none."""
        bound = self._bounds.get(name)
        if bound is None or bound.expires_at <= now:
            return math.inf
        return bound.below_tokens

    def remove(self, name: str) -> None:
        """Delete the bound of an endpoint."""
        self._bounds.pop(name, None)
