"""Gets registrations that peers know and this instance lacks.

The configuration service is asked first: it may have lost a wait of this instance, and it bears
all instances at once better than a peer does. An instance that the service turns away copies them.
"""

import random

import trio

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.peers.catch_up_rounds import CatchUpRounds
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import Beat
from cleatlink.relay.peers.peer_copier import PeerCopier
from cleatlink.relay.peers.snapshots import Part

__all__ = ["RegistrationCatchUp"]

# The service has so long to tell, and up to twice that, before a peer is asked.
_ASK_PEER_S = 0.2


class RegistrationCatchUp(CatchUpRounds[StoreRevision]):
    """Gets registrations from the service, or else from a peer."""

    def __init__(self, hooks: PeerHooks, copier: PeerCopier, rng: random.Random) -> None:
        """Prepare.

        Args:
            hooks: Give what this instance knows, and have the service asked anew.
            copier: Copies from peers.
            rng: Spreads the instances over time.
        """
        super().__init__()
        self._hooks = hooks
        self._copier = copier
        self._rng = rng

    def revision_of(self, beat: Beat) -> StoreRevision:
        """Give the newest revision that a peer knows."""
        return beat.newest_revision

    def known(self) -> StoreRevision:
        """Give the newest revision that is known here."""
        return self._hooks.state().newest

    def is_later(self, revision: StoreRevision, than: StoreRevision) -> bool:
        """Tell whether a revision is later than another one."""
        return revision > than

    async def get(self, beat: Beat) -> None:
        """Have the service asked anew; if that does not help, copy from a peer."""
        self._hooks.look_again()
        await trio.sleep(_ASK_PEER_S * (1 + self._rng.random()))
        if not self.lacks(beat):
            return
        holders = self._copier.holders(self.lacks)
        if holders:
            await self._copier.copy(holders[0], Part.REGISTRATIONS)
