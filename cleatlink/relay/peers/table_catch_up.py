"""Gets a route table that peers have and this instance lacks.

It is copied from a peer of the same data centre first, which costs the service nothing. While that
goes on, the service is read for the table as well, whatever revision of registrations is known
here, and then further peers; the first way to bring it ends the others.
"""

import random
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from cleatlink.relay.peers.catch_up_rounds import CatchUpRounds
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import Beat
from cleatlink.relay.peers.peer_copier import PeerCopier
from cleatlink.relay.peers.snapshots import Part

__all__ = ["TableCatchUp"]

# An instance that watches the service has so long to hear of a change there.
_WATCH_S = 0.2
# Instances ask peers within so long of each other: who asks later finds more that have it.
_SPREAD_S = 0.2
# Each way to the table has so long before the next one is tried beside it.
_NEXT_WAY_S = 0.4
# Peers that are asked in one round.
_MOST_PEERS = 3

_Way = Callable[[], Awaitable[None]]


class TableCatchUp(CatchUpRounds[int]):
    """Gets route tables, several ways beside each other."""

    def __init__(
        self,
        hooks: PeerHooks,
        copier: PeerCopier,
        rng: random.Random,
        must_watch: Callable[[], bool],
    ) -> None:
        """Prepare.

        Args:
            hooks: Give what this instance knows, and read the service.
            copier: Copies from peers.
            rng: Spreads the instances over time.
            must_watch: Tells whether this instance watches the service itself.
        """
        super().__init__()
        self._hooks = hooks
        self._copier = copier
        self._rng = rng
        self._must_watch = must_watch
        # The last table for which the service's changes were asked for anew.
        self._looked_for = 0

    def revision_of(self, beat: Beat) -> int:
        """Give the revision of a peer's table."""
        return beat.table

    def known(self) -> int:
        """Give the revision of the table in force here."""
        return self._hooks.state().table

    def is_later(self, revision: int, than: int) -> bool:
        """Tell whether a revision is later than another one."""
        return revision > than

    async def get(self, beat: Beat) -> None:
        """Get a table: from a near peer, from the service, from further peers."""
        await self._wait_for_watch(beat)
        await trio.sleep(_SPREAD_S * self._rng.random())
        if not self.lacks(beat):
            return
        async with trio.open_nursery() as nursery:
            for way in self._ways():
                nursery.start_soon(self._until_known, beat, way, nursery.cancel_scope)
                await trio.sleep(_NEXT_WAY_S)

    async def _wait_for_watch(self, beat: Beat) -> None:
        """Have a wait for changes begun anew that the service may have forgotten, once a table."""
        if not self._must_watch() or beat.table == self._looked_for:
            return
        self._looked_for = beat.table
        self._hooks.look_again()
        await trio.sleep(_WATCH_S)

    def _ways(self) -> list[_Way]:
        """Give the ways to a newer table, in the order in which they are tried."""
        known = self.known()
        holders = self._copier.holders(lambda beat: beat.table > known)[:_MOST_PEERS]
        ways: list[_Way] = [partial(self._copier.copy, beat, Part.TABLE) for beat in holders]
        has_near = bool(holders) and self._copier.is_near(holders[0])
        ways.insert(1 if has_near else 0, self._hooks.read_table)
        return ways

    async def _until_known(self, beat: Beat, way: _Way, others: trio.CancelScope) -> None:
        """Try one way; once the table is known, the others are ended."""
        await way()
        if not self.lacks(beat):
            others.cancel()
