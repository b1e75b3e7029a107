"""Fetch route tables and registrations that peers have and this instance lacks."""

import random
from collections.abc import Callable

from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import HeartbeatMessage
from cleatlink.relay.peers.peer_copier import PeerCopier
from cleatlink.relay.peers.registration_catch_up import RegistrationCatchUp
from cleatlink.relay.peers.table_catch_up import TableCatchUp

__all__ = ["CatchUp"]


class CatchUp:
    """Catches up with route tables and registrations, independently of each other."""

    def __init__(
        self,
        data_centre: str,
        hooks: PeerHooks,
        live_peers: LivePeers,
        metrics: RelayMetrics,
        rng: random.Random,
        *,
        must_watch: Callable[[], bool],
    ) -> None:
        """Initialise the catch-up of tables and of registrations.

        Args:
            data_centre: Data centre of this instance.
            hooks: Return the local state, and process the fetched state.
            live_peers: The peers to copy from.
            metrics: Counters.
            rng: Randomises when instances send requests, and to which peers.
            must_watch: Return whether this instance watches the configuration service itself.
        """
        self._hooks = hooks
        copier = PeerCopier(data_centre, hooks, live_peers, metrics, rng)
        self._tables = TableCatchUp(hooks, copier, rng, must_watch)
        self._registrations = RegistrationCatchUp(hooks, copier, rng)

    def handle_heartbeat(self, heartbeat: HeartbeatMessage, spawn: Callable[..., None]) -> None:
        """Start to catch up if a peer's heartbeat reports a newer revision."""
        self._hooks.on_table_revision(
            heartbeat.table_revision, heartbeat.name, heartbeat.source_is_reachable
        )
        self._tables.handle_heartbeat(heartbeat, spawn)
        self._registrations.handle_heartbeat(heartbeat, spawn)
