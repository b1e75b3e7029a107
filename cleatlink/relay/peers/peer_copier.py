"""Copy parts of a peer's state into the state of this instance."""

import random
from collections.abc import Callable

import eliot
import trio

from cleatlink.core.errors import PeerError
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import HeartbeatMessage
from cleatlink.relay.peers.peer_copy import fetch_snapshot
from cleatlink.relay.peers.snapshots import SnapshotPart

__all__ = ["PeerCopier"]

# Milliseconds per second.
_MS_PER_S = 1000.0


class PeerCopier:
    """Chooses peers to copy from, and copies their state."""

    def __init__(
        self,
        data_centre: str,
        hooks: PeerHooks,
        live_peers: LivePeers,
        metrics: RelayMetrics,
        rng: random.Random,
    ) -> None:
        """Initialise the copier.

        Args:
            data_centre: Data centre of this instance.
            hooks: Process the copied state.
            live_peers: The peers to copy from.
            metrics: Counters.
            rng: Randomises which peers the instances copy from.
        """
        self._data_centre = data_centre
        self._hooks = hooks
        self._live_peers = live_peers
        self._metrics = metrics
        self._rng = rng

    def peers_with(
        self, has_missing_state: Callable[[HeartbeatMessage], bool]
    ) -> list[HeartbeatMessage]:
        """Return the heartbeats of peers that have the missing state, in order of preference.

        Peers of this data centre come first and leaving peers last.

        Args:
            has_missing_state: Return whether a peer has the missing state, judged by its heartbeat.
        """
        candidates = [
            heartbeat for heartbeat in self._live_peers.heartbeats if has_missing_state(heartbeat)
        ]
        self._rng.shuffle(candidates)
        return sorted(
            candidates, key=lambda heartbeat: (heartbeat.leaving, not self.is_local(heartbeat))
        )

    def is_local(self, heartbeat: HeartbeatMessage) -> bool:
        """Check whether a peer is in this data centre."""
        return heartbeat.data_centre == self._data_centre

    async def copy(self, heartbeat: HeartbeatMessage, part: SnapshotPart) -> None:
        """Copy a part of a peer's state; a failure is logged."""
        started_at = trio.current_time()
        try:
            copy = await fetch_snapshot(heartbeat.address, part)
        except PeerError as error:
            eliot.log_message(
                message_type="peers: failed to copy state from a peer",
                peer=heartbeat.name,
                part=part.name.lower(),
                error=repr(error),
                took_ms=_ms_since(started_at),
            )
            return
        self._hooks.on_snapshot(copy.snapshot)
        self._metrics.count_peer_message("snapshot")
        eliot.log_message(
            message_type="peers: copied state from a peer",
            peer=heartbeat.name,
            part=part.name.lower(),
            table=heartbeat.table_revision,
            newest=heartbeat.newest_registration,
            era=heartbeat.era,
            bytes=copy.transferred_bytes,
            took_ms=_ms_since(started_at),
        )


def _ms_since(started_at: float) -> int:
    return int(_MS_PER_S * (trio.current_time() - started_at))
