"""Components of an instance that all its calls share."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from cleatlink.organisations import OrganisationAccess
from cleatlink.relay.calls.planned_stop import PlannedStop
from cleatlink.relay.endpoints.crash_detector import CrashDetector
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import HintKind
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.request.shared_retry_budget import SharedRetryBudget
from cleatlink.request.stream_builds import StreamBuild
from cleatlink.routing.buffered_bytes import BufferedBytes
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_paths import EndpointPaths
from cleatlink.routing.table_tracker import TableTracker

__all__ = ["RelayComponents"]


class RelayComponents(NamedTuple):
    """Components of an instance that all its calls share.

    Attributes:
        data_centre: Data centre in which this instance runs.
        protocol: Header names, paths and message formats on the wire.
        pool: Connections to endpoints.
        memory: Counts the bytes that are buffered for callers.
        capacity: Known state of the endpoints.
        planned_stop: The planned stop of this instance.
        organisation_access: Checks API keys and the limits of organisations.
        table_tracker: The revision of the route table in force, and that of the newest one known.
        metrics: Counters and histograms.
        rng: The seeded random generator.
        get_retry_budget: Returns the retry budget of a service.
        count_members: Returns the number of instances that may share a retry budget.
        on_retry_taken: Called when a retry was taken from a budget, before the send.
        on_reservations_changed: Called with the keys of this instance's reservations that changed.
        on_limit_nearly_used: Called when little is left of an organisation's limit.
        on_endpoint_problem: Called with an endpoint that was slow or unreachable.
        on_rejection: Called with a decode endpoint that rejected a stream, and the tokens that the
            stream needed.
        announce_stream: Has peers remember the build at which a stream begins; they have been told
            when it returns.
        find_stream_builds: Returns the builds that are remembered for the key of a stream.
        crash_detector: Finds out whether an endpoint that interrupted a request has crashed.
        quarantine: Requests that are suspected of crashing endpoints.
        paths: Paths from this instance to endpoints.
        spawn: Starts a task that outlives the call that starts it.
    """

    data_centre: str
    protocol: Protocol
    pool: ConnectionPool
    memory: BufferedBytes
    capacity: Capacity
    planned_stop: PlannedStop
    organisation_access: OrganisationAccess
    table_tracker: TableTracker
    metrics: RelayMetrics
    rng: random.Random
    get_retry_budget: Callable[[str], SharedRetryBudget]
    count_members: Callable[[], int]
    on_retry_taken: Callable[[], None]
    on_reservations_changed: Callable[..., None]
    on_limit_nearly_used: Callable[[], None]
    on_endpoint_problem: Callable[[str, HintKind], None]
    on_rejection: Callable[[str, int], None]
    announce_stream: Callable[[StreamBuild], None]
    find_stream_builds: Callable[[bytes], Awaitable[tuple[str, ...]]]
    crash_detector: CrashDetector
    quarantine: SharedQuarantine
    paths: EndpointPaths
    spawn: Callable[..., None]
