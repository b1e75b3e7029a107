"""Settings of a relay instance, validated before it starts."""

from typing import NamedTuple

from cleatlink.core.address import Address
from cleatlink.organisations import LimitTolerance
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.spill_over import CROSSING_SHARE

__all__ = ["RelaySettings"]


class RelaySettings(NamedTuple):
    """The settings of a relay instance.

    Attributes:
        name: Name of this instance.
        data_centre: Data centre in which this instance runs.
        listen: Address on which it serves callers.
        ready_listen: Address on which it serves readiness checks.
        peer_listen: Address on which it serves other instances, over TCP and UDP.
        peers: Instances to contact first; they may no longer exist.
        store: Address of the configuration service.
        metrics_listen: Address on which it serves metrics; None disables them.
        tunnel_listen: Address on which it connects to endpoints on behalf of other instances; None
            disables that, and peers are not asked either.
        drain_s: Longest time from a planned stop to the end of the process, in seconds.
        retry_ratio: Extra sends allowed as a share of requests, over all instances.
        retry_allowance: Extra sends allowed in addition to that share, over all instances.
        retry_window_s: Time window of the retry budget, in seconds.
        endpoint_leave_s: Time after which a leaving endpoint must get no more requests, in seconds.
        lease_s: Time that must pass after the last order of a leader before another instance may
            give orders, in seconds.
        history_s: Time for which the configuration service keeps its history, in seconds.
        limit_tolerance: By how much organisations may exceed their limits while instances can't
            reach each other.
        memory_mb: Memory of the machine, in megabytes; 0 if it is unknown.
        size: Processor share of this instance, in cores.
        data_centres: Names of all data centres with instances; empty if they are not known.
        is_first_start: Whether no process of the fleet has run before.
        crossing_share: Cost of sending a stream to another data centre, as a share of the stream's
            target.
        without: Mechanisms that are disabled for an experiment.
    """

    name: str
    data_centre: str
    listen: Address
    ready_listen: Address
    peer_listen: Address
    peers: tuple[Address, ...]
    store: Address
    metrics_listen: Address | None = None
    tunnel_listen: Address | None = None
    drain_s: float = 8.0
    retry_ratio: float = 0.1
    retry_allowance: float = 20.0
    retry_window_s: float = 10.0
    endpoint_leave_s: float = 2.0
    lease_s: float = 3.0
    history_s: float = 20.0
    limit_tolerance: LimitTolerance = LimitTolerance()
    memory_mb: float = 0.0
    size: float = 1.0
    data_centres: tuple[str, ...] = ()
    is_first_start: bool = True
    crossing_share: float = CROSSING_SHARE
    without: frozenset[Mechanism] = frozenset()
