"""Learns what a peer knows and this instance does not.

An instance that watches the configuration service asks it anew first: it may have lost a wait.
Registrations are copied from the peer after that. A route table is copied from a peer of the same
data centre, which costs the service nothing; if that takes long, the service is asked for the
table as well, whatever revision of registrations is known here.
"""

import random
from collections.abc import Awaitable, Callable
from functools import partial

import eliot
import trio

from cleatlink.core.errors import PeerError
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.heard import HeardPeers
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import Beat
from cleatlink.relay.peers.peer_copy import fetch
from cleatlink.relay.peers.snapshots import Part

__all__ = ["CatchUp"]

# Pauses before the configuration service is asked, and the peer.
_HEAR_OF_IT_S = 0.15
_ASK_PEER_S = 0.2
# Instances ask peers within so long of each other: who asks later finds more that have it.
_SPREAD_S = 0.2
# A peer of the same data centre has so long before the service is asked for a table beside it.
_NEAR_COPY_S = 0.4
_MS = 1000.0


class CatchUp:
    """Catches up with one peer at a time."""

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
            rng: Spreads the instances over the peers that they ask.
            must_watch: Tells whether this instance watches the service itself.
        """
        self._data_centre = data_centre
        self._hooks = hooks
        self._heard = heard
        self._metrics = metrics
        self._rng = rng
        self._must_watch = must_watch
        self._busy = False

    def note(self, beat: Beat, spawn: Callable[..., None]) -> None:
        """Begin to catch up if a peer's heartbeat tells of something newer."""
        self._hooks.on_table(beat.table, beat.name, beat.finds_source)
        if self._hooks.state().is_behind(beat) and not self._busy:
            self._busy = True
            spawn(self._run, beat)

    async def _run(self, beat: Beat) -> None:
        try:
            await trio.sleep(_HEAR_OF_IT_S)
            if self._needs_source(beat):
                self._hooks.look_again()
                await trio.sleep(_ASK_PEER_S)
            await trio.sleep(_SPREAD_S * self._rng.random())
            state = self._hooks.state()
            if state.lacks_table(beat):
                await self._get_table(beat)
            elif state.is_behind(beat):
                await self._copy(beat, Part.REGISTRATIONS)
        finally:
            self._busy = False

    def _needs_source(self, beat: Beat) -> bool:
        """Tell whether a look at the changes of the service may bring what is missing."""
        state = self._hooks.state()
        if state.lacks_table(beat):
            return self._must_watch()
        return state.is_behind(beat)

    async def _get_table(self, beat: Beat) -> None:
        """Get a newer table: from a near peer, from the service, at last from any peer."""
        near = self._heard.table_holders(beat.table, self._data_centre)
        async with trio.open_nursery() as nursery:
            if near:
                copy = partial(self._copy, self._rng.choice(near), Part.TABLE)
                nursery.start_soon(self._until_known, beat, copy, nursery.cancel_scope)
                await trio.sleep(_NEAR_COPY_S)
            read = self._hooks.read_table
            nursery.start_soon(self._until_known, beat, read, nursery.cancel_scope)
        holders = self._heard.table_holders(beat.table)
        if holders and self._hooks.state().lacks_table(beat):
            await self._copy(self._rng.choice(holders), Part.TABLE)

    async def _until_known(
        self, beat: Beat, get: Callable[[], Awaitable[None]], others: trio.CancelScope
    ) -> None:
        """Get a table one way; once it is known, the other ways are ended."""
        await get()
        if not self._hooks.state().lacks_table(beat):
            others.cancel()

    async def _copy(self, beat: Beat, part: Part) -> None:
        """Copy a part of what a peer knows."""
        started_at = trio.current_time()
        try:
            copy = await fetch(beat.address, part)
        except PeerError as error:
            eliot.log_message(
                message_type="peers: can't fetch",
                peer=beat.name,
                part=part.name.lower(),
                error=repr(error),
                took_ms=_ms_since(started_at),
            )
            return
        self._hooks.on_snapshot(copy.snapshot)
        self._metrics.count_message("snapshot")
        eliot.log_message(
            message_type="peers: took what a peer knows",
            peer=beat.name,
            part=part.name.lower(),
            table=beat.table,
            newest=beat.newest,
            era=beat.era,
            bytes=copy.transferred_bytes,
            took_ms=_ms_since(started_at),
        )


def _ms_since(started_at: float) -> int:
    return int(_MS * (trio.current_time() - started_at))
