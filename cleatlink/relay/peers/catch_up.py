"""Learns what a peer knows and this instance does not.

The configuration service is asked first: it may have lost a wait of this
instance, and it bears all instances at once better than a peer does. An
instance that the service turns away fetches everything from the peer.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import eliot
import msgspec
import trio

from cleatlink.core.errors import EndpointError
from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import Beat
from cleatlink.relay.peers.snapshots import Snapshot, decode_snapshot

__all__ = ["CatchUp", "KnownState"]

# A peer answers with all that it knows in milliseconds; one that does not is left.
_FETCH_S = 1.0
# Far above the largest table and list: a store's value holds a megabyte.
_FETCH_BYTES = 64_000_000
# Pauses before the configuration service is asked, and the peer.
_HEAR_OF_IT_S = 0.15
_ASK_PEER_S = 0.2
_SNAPSHOT_PATH = b"/snapshot"
_MS = 1000.0


class KnownState(NamedTuple):
    """What an instance tells of itself.

    Attributes:
        leaving: Whether it is stopping.
        table: Revision of its route table.
        newest: Revision of the newest registration that it knows.
        finds_source: Whether the configuration service answered it last.
    """

    leaving: bool
    table: int
    newest: StoreRevision
    finds_source: bool = False

    def is_behind(self, beat: Beat) -> bool:
        """Tell whether a peer knows something newer."""
        return beat.table > self.table or beat.newest_revision > self.newest


class CatchUp:
    """Catches up with one peer at a time."""

    def __init__(
        self,
        state: Callable[[], KnownState],
        look_again: Callable[[], None],
        on_snapshot: Callable[[Snapshot], None],
        metrics: RelayMetrics,
        rng: random.Random,
        *,
        on_table: Callable[[int, str, bool], None],
    ) -> None:
        """Prepare.

        Args:
            state: Gives what this instance knows.
            look_again: Has the configuration service asked anew.
            on_snapshot: Takes what a peer knows.
            metrics: Counters.
            rng: Spreads the instances that ask one peer.
            on_table: Told of the revision of a peer's route table, the peer's name, and whether
                the configuration service answered it last.
        """
        self._state = state
        self._look_again = look_again
        self._on_snapshot = on_snapshot
        self._metrics = metrics
        self._rng = rng
        self._on_table = on_table
        self._busy = False

    def note(self, beat: Beat, spawn: Callable[..., None]) -> None:
        """Begin to catch up if a peer's heartbeat tells of something newer."""
        self._on_table(beat.table, beat.name, beat.finds_source)
        if self._state().is_behind(beat) and not self._busy:
            self._busy = True
            spawn(self._run, beat)

    async def _run(self, beat: Beat) -> None:
        try:
            await trio.sleep(_HEAR_OF_IT_S)
            if not self._state().is_behind(beat):
                return
            self._look_again()
            await trio.sleep(_ASK_PEER_S * (1 + self._rng.random()))
            if self._state().is_behind(beat):
                await self._fetch(beat)
        finally:
            self._busy = False

    async def _fetch(self, beat: Beat) -> None:
        started_at = trio.current_time()
        try:
            with trio.move_on_after(_FETCH_S) as scope:
                body = await _ask(beat.address)
                self._on_snapshot(decode_snapshot(body))
                self._metrics.count_message("snapshot")
                eliot.log_message(
                    message_type="peers: took what a peer knows",
                    peer=beat.name,
                    table=beat.table,
                    newest=beat.newest,
                    era=beat.era,
                    bytes=len(body),
                    took_ms=_ms_since(started_at),
                )
            if scope.cancelled_caught:
                eliot.log_message(
                    message_type="peers: gave a fetch up",
                    peer=beat.name,
                    table=beat.table,
                    newest=beat.newest,
                    took_ms=_ms_since(started_at),
                )
        except (EndpointError, msgspec.MsgspecError) as error:
            eliot.log_message(message_type="peers: can't fetch", peer=beat.name, error=repr(error))


def _ms_since(started_at: float) -> int:
    return int(_MS * (trio.current_time() - started_at))


async def _ask(address: str) -> bytes:
    connection = await EndpointConnection.open(address, _FETCH_S, _FETCH_S)
    try:
        headers = ((b"Host", address.encode()),)
        await connection.exchange(OutgoingRequest(b"GET", _SNAPSHOT_PATH, headers, b""))
        return await connection.read_body(_FETCH_BYTES)
    finally:
        connection.close()
