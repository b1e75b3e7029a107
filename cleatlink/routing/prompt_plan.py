"""Decides where a stream's prompt is computed: at a prefill, or at the decode itself.

A prefill computes it at its full pace, but may have others to do first. A decode
that computes a prompt between the tokens of its other streams holds those up: an
event of theirs may have to wait for all of it. So the decode does it when there is
no prefill, or when every prefill is too busy for the stream to be in time and the
pause that it causes is one that the route bears.
"""

from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import Inbound, Route, RoutedService
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.pace import DIRECT_FACTOR
from cleatlink.routing.relay_place import Seeker, estimate_output

__all__ = ["PromptPlan", "plan_prompt"]


class PromptPlan(NamedTuple):
    """Where a prompt is to be computed.

    Attributes:
        direct: Whether the decode computes it.
        ready_s: Seconds until it should be done, queue included.
        queue_s: Seconds until it should begin.
        spare_s: Seconds for which the stream may still wait for room and be in time;
            negative if it can't be.
        stay_s: Seconds for which it may still wait and be served before its caller leaves.
    """

    direct: bool
    ready_s: float
    queue_s: float
    spare_s: float
    stay_s: float

    @property
    def is_late(self) -> bool:
        """Whether the stream will be late even if it has room now."""
        return self.spare_s < 0


class _Ready(NamedTuple):
    """When a prefill has a prompt ready, in seconds.

    Attributes:
        queue_s: Until it begins.
        prompt_s: What it takes then.
    """

    queue_s: float
    prompt_s: float


def plan_prompt(
    inbound: Inbound,
    route: Route,
    service: RoutedService,
    capacity: Capacity,
    seeker: Seeker,
) -> PromptPlan:
    """Plan where a stream's prompt is computed if it gets room now."""
    assert service.engine is not None, "only engines compute prompts"
    pace = capacity.pace(service.name)
    alone_s = pace.prompt_s(inbound.prompt_tokens)
    age_s = seeker.now - inbound.arrived_at
    in_time_s = pace.bearable_s(route.target_s, alone_s) - age_s
    # Callers leave a stream that does not begin, and one that they have no time left to read.
    rest_s = pace.token_s * estimate_output(inbound, pace)
    lasts_s = min(route.timeout_s, inbound.deadline - inbound.arrived_at)
    leaves_s = pace.bearable_s(min(route.patience_s, lasts_s - rest_s), alone_s) - age_s

    def plan(direct: bool, queue_s: float, prompt_s: float, start_s: float) -> PromptPlan:
        ready_s = queue_s + prompt_s
        first_s = ready_s + start_s
        return PromptPlan(direct, ready_s, queue_s, in_time_s - first_s, leaves_s - first_s)

    direct_s = DIRECT_FACTOR * alone_s
    direct = plan(True, 0.0, direct_s, pace.token_s)
    first = _first_ready(service.name, capacity, seeker, alone_s)
    if first is None:
        return direct
    apart = plan(False, first.queue_s, first.prompt_s, pace.start_s)
    pause_s = pace.direct_pause_s(alone_s, service.engine.event_tokens)
    shares = capacity.switches.uses(Mechanism.SHARED_PROMPTS)
    if not apart.is_late or pause_s > route.event_gap_s or not shares:
        return apart
    return apart if direct.is_late else direct


def _first_ready(service: str, capacity: Capacity, seeker: Seeker, alone_s: float) -> _Ready | None:
    """Give when the prefill that has a prompt ready first is done; None without any.

    Args:
        service: The service.
        capacity: What is believed of its endpoints.
        seeker: Who seeks.
        alone_s: Seconds that one of the usual speed takes for the prompt.
    """
    names = (item.name for item in capacity.candidates(service, Role.PREFILL, seeker.now))
    found = (
        _Ready(capacity.begins_in_s(name, seeker.now), alone_s / capacity.speed(name, seeker.now))
        for name in names
        if name not in seeker.excluded
    )
    return min(found, key=sum, default=None)
