"""Learns what a peer knows and this instance does not: route tables and registrations."""

import random
from collections.abc import Callable

from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.heard import HeardPeers
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import Beat
from cleatlink.relay.peers.peer_copier import PeerCopier
from cleatlink.relay.peers.registration_catch_up import RegistrationCatchUp
from cleatlink.relay.peers.table_catch_up import TableCatchUp

__all__ = ["CatchUp"]


class CatchUp:
    """Catches up with route tables and registrations, neither of which waits for the other."""

    def __init__(
        self,
        data_centre: str,
        hooks: PeerHooks,
        heard: HeardPeers,
        metrics: RelayMetrics,
        rng: random.Random,
        *,
        must_watch: Callable[[], bool],
    ) -> None:
        """Prepare.

        Args:
            data_centre: Where this instance runs.
            hooks: Give what this instance knows, and take what it learns.
            heard: The peers that can be asked.
            metrics: Counters.
            rng: Spreads the instances over time and over the peers that they ask.
            must_watch: Tells whether this instance watches the service itself.
        """
        self._hooks = hooks
        copier = PeerCopier(data_centre, hooks, heard, metrics, rng)
        self._tables = TableCatchUp(hooks, copier, rng, must_watch)
        self._registrations = RegistrationCatchUp(hooks, copier, rng)

    def note(self, beat: Beat, spawn: Callable[..., None]) -> None:
        """Begin to catch up if a peer's heartbeat tells of something newer."""
        self._hooks.on_table(beat.table, beat.name, beat.finds_source)
        self._tables.note(beat, spawn)
        self._registrations.note(beat, spawn)
