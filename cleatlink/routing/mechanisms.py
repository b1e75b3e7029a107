"""Mechanisms that can be switched off, to measure what each one is worth.

This is for experiments: an instance that runs without one of them keeps every
promise, but decides worse somewhere.
"""

from collections.abc import Set
from enum import StrEnum

__all__ = ["Mechanism", "Switches"]


class Mechanism(StrEnum):
    """What can be switched off."""

    # Engines' paces and answers' lengths as measured; off: as routes promise.
    LEARNED_PACE = "learned-pace"
    # Endpoints' own speeds as all instances measured them; off: all as their service.
    ENDPOINT_PACE = "endpoint-pace"
    # Room kept for answers that get longer than estimated.
    SPREAD_ROOM = "spread-room"
    # Refusals as soon as it is known that a stream would be late; off: all wait.
    FORECAST = "forecast"
    # Refused callers known when they are back, and room kept for them.
    RETURNS = "returns"
    # Prompts computed by decodes when every prefill is too busy.
    SHARED_PROMPTS = "shared-prompts"
    # Engines that change between prefill and decode as demand moves.
    ROLE_SHIFTS = "role-shifts"
    # Changes of role that wait for their time: an endpoint may be back, others busy.
    SHIFT_PATIENCE = "shift-patience"
    # Room held at the decode before a prompt is computed.
    HOLDS = "holds"
    # Endpoints that peers found slow or out of reach.
    HINTS = "hints"
    # Decodes of this data centre before others.
    LOCALITY = "locality"
    # Refusals of engines for want of room, which all instances go by until some work ends there.
    SHED_LIMITS = "shed-limits"
    # A few instances of a data centre that watch the configuration service for all.
    SHARED_WATCH = "shared-watch"
    # Messages among many instances passed on by some of them; off: told to each one.
    REFLECTORS = "reflectors"
    # Safe calls that leave a silent endpoint for another one.
    PATIENCE = "patience"
    # Room left for streams that wait at other instances and go before.
    SHARED_WAITING = "shared-waiting"
    # The better one of two places picked by chance, in place of the one that looks best.
    TWO_CHOICES = "two-choices"
    # Priorities told to engines, which let urgent streams in first.
    ENDPOINT_PRIORITY = "endpoint-priority"
    # Streams that go to another data centre before their own is full.
    SPILL_OVER = "spill-over"
    # Plain calls spread and admitted by what all instances send; off: each goes by its own.
    PLAIN_ADMISSION = "plain-admission"


class Switches:
    """Tells which mechanisms are in use."""

    def __init__(self, without: Set[Mechanism] = frozenset()) -> None:
        self._without = without

    @property
    def without(self) -> list[str]:
        """Names of those that are switched off."""
        return sorted(self._without)

    def uses(self, mechanism: Mechanism) -> bool:
        """Tell whether a mechanism is in use."""
        return mechanism not in self._without
