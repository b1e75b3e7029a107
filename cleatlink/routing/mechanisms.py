"""Routing mechanisms that can be switched off to measure their benefit.

This is meant for experiments. An instance without one of the mechanisms still meets all its
guarantees, but makes worse decisions in some situations.
"""

from collections.abc import Set
from enum import StrEnum

__all__ = ["Mechanism", "MechanismSwitches"]


class Mechanism(StrEnum):
    """A mechanism that can be switched off; the value is its name on the command line."""

    # Use measured service times and lengths of answers. Off: estimate them from the routes.
    MEASURED_SERVICE_TIMES = "learned-pace"
    # Use the speed of each endpoint, as measured by all instances. Off: use its service's speed.
    ENDPOINT_SPEEDS = "endpoint-pace"
    # Reserve memory at decodes for answers that become longer than estimated.
    LONG_ANSWER_RESERVE = "spread-room"
    # Refuse a stream as soon as the forecast says that it would be late. Off: all streams wait.
    FORECAST = "forecast"
    # Recognise the retries of refused callers, and queue them by the time of the refusal.
    EXPECTED_RETRIES = "returns"
    # Let decodes compute prompts when every prefill is too busy.
    SHARED_PROMPTS = "shared-prompts"
    # Change the roles of engines between prefill and decode as demand moves.
    ROLE_CHANGES = "role-shifts"
    # Delay role changes while a lost endpoint may return.
    ROLE_CHANGE_DELAY = "shift-patience"
    # Reserve capacity at the decode before the prompt is computed.
    CAPACITY_RESERVATIONS = "holds"
    # Avoid endpoints that peers reported as slow or unreachable.
    PEER_REPORTS = "hints"
    # Prefer decodes of the own data centre.
    LOCALITY = "locality"
    # After an engine refuses a stream for lack of capacity, send no stream of that size to it from
    # any instance until some work ends there.
    REJECTION_BOUNDS = "shed-limits"
    # Let a few instances of a data centre watch the configuration service for all its instances.
    SHARED_WATCH = "shared-watch"
    # In large fleets, let some instances forward messages. Off: send messages to each instance.
    REFLECTORS = "reflectors"
    # Send a safe call to another endpoint when the first one does not respond in time.
    RETRY_AFTER_SILENCE = "patience"
    # Leave capacity for streams that wait at other instances and are ahead in the order.
    SHARED_WAITING = "shared-waiting"
    # In large fleets, choose the better of two random endpoints instead of the apparent best.
    TWO_CHOICES = "two-choices"
    # Send priorities to engines, which then start urgent streams first.
    ENDPOINT_PRIORITY = "endpoint-priority"
    # Send some streams to another data centre before the own one is full.
    SPILL_OVER = "spill-over"
    # Spread and admit plain calls by the totals of all instances. Off: use only the own calls.
    PLAIN_ADMISSION = "plain-admission"
    # Connect to endpoints through a peer where this instance lost its own path to them.
    TUNNELS = "tunnels"
    # Close some new connections of callers unread while this instance is late.
    INTAKE_LIMIT = "intake-limit"


class MechanismSwitches:
    """Records which mechanisms are switched off."""

    def __init__(self, disabled: Set[Mechanism] = frozenset()) -> None:
        self._disabled = disabled

    @property
    def disabled_names(self) -> list[str]:
        """Names of the mechanisms that are switched off, sorted."""
        return sorted(self._disabled)

    def is_enabled(self, mechanism: Mechanism) -> bool:
        """Check whether a mechanism is in use."""
        return mechanism not in self._disabled
