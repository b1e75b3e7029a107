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
from cleatlink.routing.relay_place import Seeker

__all__ = ["PromptPlan", "plan_prompt"]

# Share of the target that waiting, prompt and start together may take: what is foreseen
# is right at the median only.
_TARGET_SHARE = 0.9
# A stream that is late on an idle fleet may take so many times what it takes there: a short
# queue, which is seen with an error of about a half, does not count.
_IDLE_FACTOR = 1.5


class PromptPlan(NamedTuple):
    """Where a prompt is to be computed.

    Attributes:
        direct: Whether the decode computes it.
        ready_s: Seconds until it should be done, queue included.
        spare_s: Seconds for which the stream may still wait for room and be in time;
            negative if it can't be.
    """

    direct: bool
    ready_s: float
    spare_s: float


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
    # Where even an idle prefill is too slow for the target, nothing is won by a refusal.
    target_s = max(_TARGET_SHARE * route.target_s, _IDLE_FACTOR * (alone_s + pace.start_s))
    left_s = target_s - (seeker.now - inbound.arrived_at)
    direct_s = DIRECT_FACTOR * alone_s
    queue_s = _shortest_queue_s(service.name, capacity, seeker)
    if queue_s is None:
        return PromptPlan(True, direct_s, left_s - direct_s - pace.token_s)
    apart = PromptPlan(False, queue_s + alone_s, left_s - queue_s - alone_s - pace.start_s)
    pause_s = direct_s + service.engine.event_tokens * pace.token_s
    shares = capacity.switches.uses(Mechanism.SHARED_PROMPTS)
    if apart.spare_s >= 0 or pause_s > route.event_gap_s or not shares:
        return apart
    direct = PromptPlan(True, direct_s, left_s - direct_s - pace.token_s)
    return direct if direct.spare_s >= 0 else apart


def _shortest_queue_s(service: str, capacity: Capacity, seeker: Seeker) -> float | None:
    """Give how long the prefill that is free first is still busy; None without any."""
    names = (item.name for item in capacity.candidates(service, Role.PREFILL, seeker.now))
    queues = (capacity.queue_s(name) for name in names if name not in seeker.excluded)
    return min(queues, default=None)
