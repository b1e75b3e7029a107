"""Fetch a route table that peers have and this instance lacks.

The table is first copied from a peer of the same data centre, which puts no load on the
configuration service. While that copy runs, the table is also read from the service, regardless of
the registrations known here, and then from further peers. The first method to succeed cancels the
others.
"""

import random
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from cleatlink.relay.peers.catch_up_rounds import CatchUpRounds
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import HeartbeatMessage
from cleatlink.relay.peers.peer_copier import PeerCopier
from cleatlink.relay.peers.snapshots import SnapshotPart

__all__ = ["TableCatchUp"]

# Time that a renewed watch has to report the change before other methods start, in seconds.
_WATCH_WAIT_S = 0.2
# Maximum random delay before a fetch, in seconds. More peers have the table by the time that later
# instances ask.
_MAX_RANDOM_DELAY_S = 0.2
# Delay before the next fetch method is started in parallel, in seconds.
_NEXT_METHOD_DELAY_S = 0.4
# Maximum number of peers asked in one round.
_MAX_PEERS = 3

_FetchMethod = Callable[[], Awaitable[None]]


class TableCatchUp(CatchUpRounds[int]):
    """Fetches route tables by several methods in parallel."""

    def __init__(
        self,
        hooks: PeerHooks,
        copier: PeerCopier,
        rng: random.Random,
        must_watch: Callable[[], bool],
    ) -> None:
        """Initialise the catch-up.

        Args:
            hooks: Return the local state, and read the configuration service.
            copier: Copies state from peers.
            rng: Randomises when instances send requests.
            must_watch: Return whether this instance watches the configuration service itself.
        """
        super().__init__()
        self._hooks = hooks
        self._copier = copier
        self._rng = rng
        self._must_watch = must_watch
        # Revision of the last table for which the watch on the service was renewed.
        self._watch_renewed_for = 0

    def revision_of(self, heartbeat: HeartbeatMessage) -> int:
        """Return the revision of a peer's table."""
        return heartbeat.table_revision

    def local_revision(self) -> int:
        """Return the revision of the table in force here."""
        return self._hooks.state().table_revision

    def is_later(self, revision: int, than: int) -> bool:
        """Check whether a revision is later than another one."""
        return revision > than

    async def fetch(self, heartbeat: HeartbeatMessage) -> None:
        """Fetch a table from a local peer, then from the service, then from further peers."""
        await self._renew_watch(heartbeat)
        await trio.sleep(_MAX_RANDOM_DELAY_S * self._rng.random())
        if not self.is_behind(heartbeat):
            return
        async with trio.open_nursery() as nursery:
            for method in self._fetch_methods():
                nursery.start_soon(self._run_method, heartbeat, method, nursery.cancel_scope)
                await trio.sleep(_NEXT_METHOD_DELAY_S)

    async def _renew_watch(self, heartbeat: HeartbeatMessage) -> None:
        """Renew the watch, which the service may have lost, and wait; at most once per table."""
        if not self._must_watch() or heartbeat.table_revision == self._watch_renewed_for:
            return
        self._watch_renewed_for = heartbeat.table_revision
        self._hooks.poll_service()
        await trio.sleep(_WATCH_WAIT_S)

    def _fetch_methods(self) -> list[_FetchMethod]:
        """Return the methods to fetch a newer table, in the order in which they are started."""
        revision = self.local_revision()
        peers = self._copier.peers_with(lambda heartbeat: heartbeat.table_revision > revision)[
            :_MAX_PEERS
        ]
        methods: list[_FetchMethod] = [
            partial(self._copier.copy, heartbeat, SnapshotPart.TABLE) for heartbeat in peers
        ]
        has_local_peer = bool(peers) and self._copier.is_local(peers[0])
        methods.insert(1 if has_local_peer else 0, self._hooks.read_table)
        return methods

    async def _run_method(
        self, heartbeat: HeartbeatMessage, method: _FetchMethod, others: trio.CancelScope
    ) -> None:
        """Run one method and cancel all others if this instance has the table then."""
        await method()
        if not self.is_behind(heartbeat):
            others.cancel()
