"""Fetch registrations that peers have and this instance lacks.

The configuration service is queried first: it may have lost this instance's pending watch request,
and it copes better with requests of all instances at once than a peer does. An instance refused
by the service copies the registrations from a peer.
"""

import random

import trio

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.peers.catch_up_rounds import CatchUpRounds
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import HeartbeatMessage
from cleatlink.relay.peers.peer_copier import PeerCopier
from cleatlink.relay.peers.snapshots import SnapshotPart

__all__ = ["RegistrationCatchUp"]

# Minimum time that the service has to respond before a peer is asked, in seconds. The actual time
# is random, up to twice this.
_SERVICE_WAIT_S = 0.2


class RegistrationCatchUp(CatchUpRounds[StoreRevision]):
    """Fetches registrations from the configuration service, or else from a peer."""

    def __init__(self, hooks: PeerHooks, copier: PeerCopier, rng: random.Random) -> None:
        """Initialise the catch-up.

        Args:
            hooks: Return the local state, and query the configuration service again.
            copier: Copies state from peers.
            rng: Randomises when instances ask peers.
        """
        super().__init__()
        self._hooks = hooks
        self._copier = copier
        self._rng = rng

    def revision_of(self, heartbeat: HeartbeatMessage) -> StoreRevision:
        """Return the newest registration revision that a peer knows."""
        return heartbeat.newest_registration_revision

    def local_revision(self) -> StoreRevision:
        """Return the newest registration revision that this instance knows."""
        return self._hooks.state().newest_revision

    def is_later(self, revision: StoreRevision, than: StoreRevision) -> bool:
        """Check whether a revision is later than another one."""
        return revision > than

    async def fetch(self, heartbeat: HeartbeatMessage) -> None:
        """Query the configuration service again; if that does not help, copy from a peer."""
        self._hooks.poll_service()
        await trio.sleep(_SERVICE_WAIT_S * (1 + self._rng.random()))
        if not self.is_behind(heartbeat):
            return
        peers = self._copier.peers_with(self.is_behind)
        if peers:
            await self._copier.copy(peers[0], SnapshotPart.REGISTRATIONS)
