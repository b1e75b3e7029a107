"""Spreads plain calls randomly over endpoints that are busy with calls of peers.

Without this, many instances with few calls each would overload one endpoint: every instance sees
idle endpoints, prefers those of its own data centre, and all choose the same one at once.
"""

import math
from collections.abc import Sequence

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.plain_admission import sustainable_rate
from cleatlink.routing.plain_load import PlainLoad

__all__ = ["sustainable_weights", "random_assignment_share"]

# Share of the slots in use above which calls begin to queue at an endpoint with few slots.
_QUEUEING_FILL = 0.4
# Share of the slots in use from which on all calls are assigned at random.
_RANDOM_FILL = 0.8


def random_assignment_share(endpoint: RoutedEndpoint, load: PlainLoad, now: float) -> float:
    """Return the share of calls to assign at random instead of to the best endpoint.

    Load from this instance's own calls is known exactly, so it needs no random assignment.

    Args:
        endpoint: The endpoint that would otherwise be chosen.
        load: Load of plain calls from all instances.
        now: The current time.
    """
    endpoint_load = load.endpoint_load(endpoint.name, now)
    running = (
        max(endpoint_load.running, float(endpoint.slots))
        if endpoint_load.refused
        else endpoint_load.running
    )
    if running <= 0:
        return 0.0
    fill = running / max(1, endpoint.slots)
    share = min(1.0, max(0.0, (fill - _QUEUEING_FILL) / (_RANDOM_FILL - _QUEUEING_FILL)))
    return share * min(1.0, load.peers_running(endpoint.name, now) / running)


def sustainable_weights(
    endpoints: Sequence[RoutedEndpoint], capacity: Capacity, now: float
) -> list[float]:
    """Return the weights for random assignment: the call rate that each endpoint can sustain.

    Args:
        endpoints: The endpoints.
        capacity: Estimated state of the endpoints.
        now: The current time.
    """
    weights = [
        sustainable_rate(
            endpoint,
            capacity.plain_load.endpoint_load(endpoint.name, now),
            capacity.plain_call_s(endpoint, now),
        )
        for endpoint in endpoints
    ]
    if not all(map(math.isfinite, weights)):
        return [float(max(1, endpoint.slots)) for endpoint in endpoints]
    return weights
