"""What all calls of an instance share."""

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
    """What all calls of an instance share.

    Attributes:
        data_centre: Where this instance runs.
        protocol: Names on the wire.
        pool: Connections to endpoints.
        capacity: What is believed of endpoints.
        stop: The planned stop of this instance.
        gate: Whose requests are served, and how many.
        tables: Which route table is in force, and whether a newer one is known to exist.
        metrics: Counters and histograms.
        rng: The seeded generator.
        budget: Gives the retry budget of a service.
        members: Gives how many instances may share a budget.
        on_work: To be called when own reservations changed, with their keys.
        on_spending: To be called when little is left of an organisation's limit.
        on_hint: To be called with an endpoint that was slow or out of reach.
        on_shed: To be called with a decode that had no room for a stream of so many tokens.
        crashes: Finds out whether an endpoint that broke a request off has crashed.
        quarantine: Which requests crash endpoints.
        spawn: Runs what must go on although its caller has gone.
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
    on_hint: Callable[[str, HintKind], None]
    on_shed: Callable[[str, int], None]
    crashes: CrashWatch
    quarantine: SharedQuarantine
    spawn: Callable[..., None]
