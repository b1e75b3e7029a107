"""Decides whether a prefill or a decode endpoint computes the prompt of a stream.

A prefill endpoint computes prompts at full speed, but may have a queue. A decode endpoint that
computes a prompt delays its other streams: one of their events may have to wait until the whole
prompt is computed. So the decode endpoint computes the prompt only if there is no prefill
endpoint, or if every prefill endpoint is too busy for the stream to be in time and the delay of
the other streams is within the route's limit.
"""

from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import InboundRequest, Route, RoutedService
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.relay_placement import PlacementContext, estimate_output_tokens
from cleatlink.routing.service_times import DECODE_PROMPT_FACTOR

__all__ = ["PromptPlan", "plan_prompt"]


class PromptPlan(NamedTuple):
    """Where a prompt is to be computed.

    Attributes:
        computed_by_decode: Whether the decode endpoint computes the prompt.
        ready_s: Expected time until the prompt is computed, including the queue, in seconds.
        queue_s: Expected time until the computation begins, in seconds.
        slack_s: Time for which the stream may still wait for capacity and be in time, in
            seconds; negative if it can't be in time.
        caller_slack_s: Time for which the stream may still wait for capacity and be served before
            its caller leaves, in seconds.
    """

    computed_by_decode: bool
    ready_s: float
    queue_s: float
    slack_s: float
    caller_slack_s: float

    @property
    def is_late(self) -> bool:
        """Whether the stream will be late even if it is placed now."""
        return self.slack_s < 0


class _PrefillTime(NamedTuple):
    """Time that a prefill endpoint needs for a prompt.

    Attributes:
        queue_s: Time until the computation begins, in seconds.
        prompt_s: Time that the computation takes, in seconds.
    """

    queue_s: float
    prompt_s: float


def plan_prompt(
    inbound: InboundRequest,
    route: Route,
    service: RoutedService,
    capacity: Capacity,
    context: PlacementContext,
) -> PromptPlan:
    """Decide where a stream's prompt is computed if the stream is placed now."""
    assert service.engine is not None, "only engines compute prompts"
    times = capacity.service_times(service.name)
    idle_prompt_s = times.prompt_s(inbound.prompt_tokens)
    age_s = context.now - inbound.arrived_at
    target_slack_s = times.achievable_limit_s(route.target_s, idle_prompt_s) - age_s
    # Callers leave if a stream does not begin in time, or if the time left is too short for its
    # output.
    output_s = times.token_s * estimate_output_tokens(inbound, times)
    time_limit_s = min(route.timeout_s, inbound.deadline - inbound.arrived_at)
    caller_slack_s = (
        times.achievable_limit_s(min(route.abandon_after_s, time_limit_s - output_s), idle_prompt_s)
        - age_s
    )

    def plan(
        computed_by_decode: bool, queue_s: float, prompt_s: float, start_s: float
    ) -> PromptPlan:
        ready_s = queue_s + prompt_s
        first_token_s = ready_s + start_s
        return PromptPlan(
            computed_by_decode,
            ready_s,
            queue_s,
            target_slack_s - first_token_s,
            caller_slack_s - first_token_s,
        )

    decode_prompt_s = DECODE_PROMPT_FACTOR * idle_prompt_s
    on_decode = plan(True, 0.0, decode_prompt_s, times.token_s)
    earliest = _earliest_prefill(service.name, capacity, context, idle_prompt_s)
    if earliest is None:
        return on_decode
    on_prefill = plan(False, earliest.queue_s, earliest.prompt_s, times.first_event_s)
    event_gap_s = times.prompt_event_gap_s(idle_prompt_s, service.engine.event_tokens)
    may_use_decode = capacity.switches.is_enabled(Mechanism.SHARED_PROMPTS)
    if not on_prefill.is_late or event_gap_s > route.event_gap_target_s or not may_use_decode:
        return on_prefill
    return on_prefill if on_decode.is_late else on_decode


def _earliest_prefill(
    service: str, capacity: Capacity, context: PlacementContext, idle_prompt_s: float
) -> _PrefillTime | None:
    """Return the times of the prefill endpoint that completes the prompt first, or None.

    Args:
        service: Name of the service.
        capacity: Known state of its endpoints.
        context: Data centre, time and call of the decision.
        idle_prompt_s: Seconds that an idle endpoint of the usual speed needs for the prompt.
    """
    names = (
        item.name for item in capacity.candidates(service, Role.PREFILL, context.now, context.build)
    )
    times = (
        _PrefillTime(
            capacity.prompt_starts_in_s(name, context.now),
            idle_prompt_s / capacity.relative_speed(name, context.now),
        )
        for name in names
        if name not in context.excluded
    )
    return min(times, key=sum, default=None)
