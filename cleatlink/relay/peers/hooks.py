"""What the group of peers needs of its instance."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from cleatlink.relay.peers.known_state import KnownState
from cleatlink.relay.peers.messages import SourceNews
from cleatlink.relay.peers.snapshots import Snapshot
from cleatlink.routing.reservation import Reservation

__all__ = ["PeerHooks"]


class PeerHooks(NamedTuple):
    """What the group needs of its instance.

    Attributes:
        state: Gives whether it is leaving, and the newest revisions that it knows.
        look_again: Has the configuration service asked anew.
        on_snapshot: Takes what a peer knows.
        on_work: Told that peers' work changed.
        on_placed: Told of each piece of work that a peer placed.
        on_leaving: Told of a life of which a peer tells that it leaves.
        on_source_news: Takes what a peer read from the configuration service.
        on_table: Told of the revision of a peer's route table, the peer's name, and whether the
            configuration service answered it last.
        read_table: Reads the route table alone from the configuration service.
    """

    state: Callable[[], KnownState]
    look_again: Callable[[], None]
    on_snapshot: Callable[[Snapshot], None]
    on_work: Callable[[], None]
    on_placed: Callable[[Reservation], None]
    on_leaving: Callable[[str], None]
    on_source_news: Callable[[SourceNews], None]
    on_table: Callable[[int, str, bool], None] = lambda *_: None
    read_table: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
