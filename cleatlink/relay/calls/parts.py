"""Components of an instance that all its calls share."""

import random
from collections.abc import Callable
from typing import NamedTuple

from cleatlink.organisations import OrganisationGate
from cleatlink.relay.calls.planned_stop import PlannedStop
from cleatlink.relay.endpoints.crash_watch import CrashWatch
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import HintKind
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.request.shared_budget import SharedRetryBudget
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.table_knowledge import TableKnowledge

__all__ = ["RelayParts"]


class RelayParts(NamedTuple):
    """Components of an instance that all its calls share.

    Attributes:
        data_centre: Data centre in which this instance runs.
        protocol: Header names, paths and message formats on the wire.
        pool: Connections to endpoints.
        capacity: Known state of the endpoints.
        stop: The planned stop of this instance.
        gate: Checks API keys and the limits of organisations.
        tables: The revision of the route table in force, and that of the newest one known.
        metrics: Counters and histograms.
        rng: The seeded random generator.
        budget: Returns the retry budget of a service.
        members: Returns the number of instances that may share a retry budget.
        on_work: Called with the keys of this instance's reservations that changed.
        on_spending: Called when little is left of an organisation's limit.
        on_endpoint_problem: Called with an endpoint that was slow or unreachable.
        on_rejection: Called with a decode endpoint that rejected a stream, and the tokens that the
            stream needed.
        crashes: Finds out whether an endpoint that interrupted a request has crashed.
        quarantine: Requests that are suspected of crashing endpoints.
        spawn: Starts a task that outlives the call that starts it.
    """

    data_centre: str
    protocol: Protocol
    pool: ConnectionPool
    capacity: Capacity
    stop: PlannedStop
    gate: OrganisationGate
    tables: TableKnowledge
    metrics: RelayMetrics
    rng: random.Random
    budget: Callable[[str], SharedRetryBudget]
    members: Callable[[], int]
    on_work: Callable[..., None]
    on_spending: Callable[[], None]
    on_endpoint_problem: Callable[[str, HintKind], None]
    on_rejection: Callable[[str, int], None]
    crashes: CrashWatch
    quarantine: SharedQuarantine
    spawn: Callable[..., None]
