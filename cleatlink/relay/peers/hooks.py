"""Callbacks from the peer group into its instance."""

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

import trio

from cleatlink.relay.peers.advertised_state import AdvertisedState
from cleatlink.relay.peers.messages import RegistrationUpdate
from cleatlink.relay.peers.snapshots import Snapshot
from cleatlink.routing.reservation import Reservation

__all__ = ["PeerHooks"]


class PeerHooks(NamedTuple):
    """Callbacks from the peer group into its instance.

    Attributes:
        state: Return the state that the instance advertises.
        poll_service: Query the configuration service again.
        on_snapshot: Process a copy of a peer's state.
        on_work_change: Process a change of peers' work.
        on_placement: Process a reservation that a peer made.
        on_endpoint_leaving: Process a peer's report that an endpoint's incarnation is leaving.
        on_registration_update: Process registration changes that a peer read from the configuration
            service.
        on_table_revision: Process the revision of a peer's route table, the peer's name, and
            whether the peer's last request to the configuration service was answered.
        read_table: Read only the route table from the configuration service.
        retry_usage: Return what this instance used of the retry allowances, by service.
        on_predecessor_usage: Process a peer's report of what the process used that this one
            replaced, by service, and of the number of instances.
    """

    state: Callable[[], AdvertisedState]
    poll_service: Callable[[], None]
    on_snapshot: Callable[[Snapshot], None]
    on_work_change: Callable[[], None]
    on_placement: Callable[[Reservation], None]
    on_endpoint_leaving: Callable[[str], None]
    on_registration_update: Callable[[RegistrationUpdate], None]
    on_table_revision: Callable[[int, str, bool], None] = lambda *_: None
    read_table: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
    retry_usage: Callable[[], Mapping[str, float]] = dict
    on_predecessor_usage: Callable[[Mapping[str, float], int], None] = lambda *_: None
