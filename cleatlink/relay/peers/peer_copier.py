"""Copies parts of what peers know into what this instance knows."""

import random
from collections.abc import Callable

import eliot
import trio

from cleatlink.core.errors import PeerError
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.heard import HeardPeers
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import Beat
from cleatlink.relay.peers.peer_copy import fetch
from cleatlink.relay.peers.snapshots import Part

__all__ = ["PeerCopier"]

# Milliseconds a second.
_MS = 1000.0


class PeerCopier:
    """Picks the peers that are asked, and copies from them."""

    def __init__(
        self,
        data_centre: str,
        hooks: PeerHooks,
        heard: HeardPeers,
        metrics: RelayMetrics,
        rng: random.Random,
    ) -> None:
        """Prepare.

        Args:
            data_centre: Where this instance runs.
            hooks: Take what is copied.
            heard: The peers that can be asked.
            metrics: Counters.
            rng: Spreads the instances over the peers that they ask.
        """
        self._data_centre = data_centre
        self._hooks = hooks
        self._heard = heard
        self._metrics = metrics
        self._rng = rng

    def holders(self, has: Callable[[Beat], bool]) -> list[Beat]:
        """Give peers in the order in which to ask them: near ones first, leaving ones last.

        Args:
            has: Tells by a peer's heartbeat whether it has what is missing here.
        """
        found = [beat for beat in self._heard.beats if has(beat)]
        self._rng.shuffle(found)
        return sorted(found, key=lambda beat: (beat.leaving, not self.is_near(beat)))

    def is_near(self, beat: Beat) -> bool:
        """Tell whether a peer is in this data centre."""
        return beat.data_centre == self._data_centre

    async def copy(self, beat: Beat, part: Part) -> None:
        """Copy a part of what a peer knows; a copy that fails is logged."""
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
