"""Settings of a relay instance, checked before anything starts."""

from typing import NamedTuple

from cleatlink.core.address import Address
from cleatlink.organisations import LimitTolerance
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.spill_over import CROSSING_SHARE

__all__ = ["RelaySettings"]


class RelaySettings(NamedTuple):
    """What a relay instance learns before it starts.

    Attributes:
        name: Name of this instance.
        data_centre: Data centre in which it runs.
        listen: Where callers reach it.
        ready_listen: Where it is asked whether it takes new connections.
        peer_listen: Where other instances reach it, over TCP and UDP.
        peers: Instances to ask first; they may be gone.
        store: Address of the configuration service.
        metrics_listen: Where counters are read; None serves none.
        drain_s: Longest time from a planned stop to the end of the process.
        retry_ratio: Extra sends as a share of requests, over all instances.
        retry_allowance: Extra sends beyond that, over all instances.
        retry_window_s: Window of the retry budget.
        leaving_s: Time within which an endpoint that leaves gets nothing more.
        lease_s: Silence after which another instance may give orders.
        history_s: Time for which the configuration service keeps its history.
        limit_tolerance: By how much organisations may pass their limits in a cut.
        memory_mb: Memory of the machine, in megabytes; 0 where it is not known.
        size: Its part of processors, in cores.
        crossing_share: What it costs to send a stream to another data centre, as a share of its
            target.
        without: Mechanisms that are switched off for an experiment.
    """

    name: str
    data_centre: str
    listen: Address
    ready_listen: Address
    peer_listen: Address
    peers: tuple[Address, ...]
    store: Address
    metrics_listen: Address | None = None
    drain_s: float = 8.0
    retry_ratio: float = 0.1
    retry_allowance: float = 20.0
    retry_window_s: float = 10.0
    leaving_s: float = 2.0
    lease_s: float = 3.0
    history_s: float = 20.0
    limit_tolerance: LimitTolerance = LimitTolerance()
    memory_mb: float = 0.0
    size: float = 1.0
    crossing_share: float = CROSSING_SHARE
    without: frozenset[Mechanism] = frozenset()
