"""Spreads plain calls over endpoints that are busy with peers' calls.

The load that it answers: many instances that each see few calls. Each of them sees idle
endpoints, its own data centre's first, and all take the same one at the same moment.
"""

import math
from collections.abc import Sequence

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.plain_admission import bears
from cleatlink.routing.plain_load import PlainLoad

__all__ = ["plain_weights", "spread_share"]

# Calls begin to queue at an endpoint of few places once it is busier than this.
_BUSY_FILL = 0.4
# From here on nothing but the draw decides.
_FULL_FILL = 0.8


def spread_share(endpoint: RoutedEndpoint, load: PlainLoad, now: float) -> float:
    """Give the share of calls that are drawn, rather than sent to the endpoint that seems best.

    Calls of this instance are known exactly and need no draw.

    Args:
        endpoint: The endpoint that seems best.
        load: The plain calls of all instances.
        now: The time.
    """
    lately = load.endpoint(endpoint.name, now)
    running = max(lately.running, float(endpoint.slots)) if lately.refused else lately.running
    if running <= 0:
        return 0.0
    fill = running / max(1, endpoint.slots)
    share = min(1.0, max(0.0, (fill - _BUSY_FILL) / (_FULL_FILL - _BUSY_FILL)))
    return share * min(1.0, load.others_running(endpoint.name, now) / running)


def plain_weights(
    endpoints: Sequence[RoutedEndpoint], capacity: Capacity, now: float
) -> list[float]:
    """Give the weights by which calls are drawn to endpoints: what each of them bears.

    Args:
        endpoints: The endpoints.
        capacity: What is believed of them.
        now: The time.
    """
    weights = [
        bears(
            endpoint, capacity.plain.endpoint(endpoint.name, now), capacity.plain_s(endpoint, now)
        )
        for endpoint in endpoints
    ]
    if not all(map(math.isfinite, weights)):
        return [float(max(1, endpoint.slots)) for endpoint in endpoints]
    return weights
