"""Found in review: what an instance that lacks a route table does not get, or only late."""

import random

import pytest
import trio
from msgspec.structs import replace

from cleatlink.core.revisions import NO_REVISION
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.newer_table_test import SlowPeer, beat, table_of
from cleatlink.relay.peers.catch_up import CatchUp
from cleatlink.relay.peers.heard import HeardPeers
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.known_state import KnownState
from cleatlink.relay.peers.messages import Beat, encode
from cleatlink.relay.peers.snapshots import Snapshot

pytestmark = pytest.mark.virtual_time

_TABLE = encode(Snapshot(table_of(9, 10), [], 0))


class Behind:
    """An instance that knows table 3, no registrations, and does not watch the service."""

    def __init__(self, *beats: Beat, read_s: float = 0.0, seed: int = 1) -> None:
        self.taken: list[Snapshot] = []
        self.looks: list[float] = []
        self.reads: list[float] = []
        self._read_s = read_s
        self._heard = HeardPeers("n2", [], trio.current_time())
        for item in beats:
            self._heard.note_beat(item, trio.current_time())
        hooks = PeerHooks(
            self._state,
            lambda: self.looks.append(trio.current_time()),
            self.taken.append,
            lambda: None,
            lambda work: None,
            lambda life: None,
            lambda news: None,
            read_table=self._read,
        )
        self.catch_up = CatchUp(
            "a", hooks, self._heard, RelayMetrics(), random.Random(seed), must_watch=lambda: False
        )

    @property
    def has_table(self) -> bool:
        """Whether a table was taken."""
        return any(item.table is not None for item in self.taken)

    def _state(self) -> KnownState:
        return KnownState(False, 9 if self.has_table else 3, NO_REVISION)

    async def _read(self) -> None:
        self.reads.append(trio.current_time())
        await trio.sleep(self._read_s)

    async def hear(self, nursery: trio.Nursery, item: Beat, seconds: int) -> None:
        """Hear a heartbeat twice a second."""
        for _ in range(2 * seconds):
            self.catch_up.note(item, nursery.start_soon)
            await trio.sleep(0.5)


async def test_table_that_only_leaving_peers_have_is_copied_while_the_service_is_away() -> None:
    """Peers that leave still answer, but are not asked for a table."""
    peer = SlowPeer(_TABLE, parts=1, pause_s=0.0)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        told = replace(beat(peer.address, 9), leaving=True)
        behind = Behind(told)
        await behind.hear(nursery, told, 5)
        peer.close()
        nursery.cancel_scope.cancel()
    assert behind.has_table


async def test_registrations_are_asked_for_while_a_table_is_still_copied() -> None:
    """An instance that lacked both did not ask for registrations until the table's round ended."""
    peer = SlowPeer(_TABLE, parts=10, pause_s=0.8)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        told = replace(beat(peer.address, 9), newest=7)
        behind = Behind(told)
        await behind.hear(nursery, told, 3)
        peer.close()
        nursery.cancel_scope.cancel()
    assert behind.looks


async def test_peer_elsewhere_is_asked_while_the_service_sends_its_answer_slowly() -> None:
    """An instance alone in its data centre asked a peer only after the service's answer ended."""
    peer = SlowPeer(_TABLE, parts=1, pause_s=0.0)
    async with trio.open_nursery() as nursery:
        await peer.start(nursery)
        told = replace(beat(peer.address, 9), data_centre="b")
        behind = Behind(told, read_s=10.0)
        await behind.hear(nursery, told, 3)
        peer.close()
        nursery.cancel_scope.cancel()
    assert behind.has_table


async def test_second_near_peer_is_asked_while_the_first_sends_its_copy_slowly() -> None:
    """An instance that the service turns away waited for one peer's whole copy, ten seconds."""
    slow = SlowPeer(_TABLE, parts=30, pause_s=0.9)
    sound = SlowPeer(_TABLE, parts=1, pause_s=0.0)
    async with trio.open_nursery() as nursery:
        await slow.start(nursery)
        await sound.start(nursery)
        beats = [beat(slow.address, 9), replace(beat(sound.address, 9), name="n8")]
        for seed in range(4):
            behind = Behind(*beats, seed=seed)
            await behind.hear(nursery, beats[0], 4)
            assert behind.has_table
        slow.close()
        sound.close()
        nursery.cancel_scope.cancel()
    # By some of the seeds the slow one is asked first.
    assert slow.connections


async def test_word_of_a_newer_table_that_comes_during_a_round_begins_another() -> None:
    """A table told of while an older one was fetched waited for the next heartbeat."""
    async with trio.open_nursery() as nursery:
        told = beat("127.0.0.1:9", 9)
        behind = Behind(told)
        behind.catch_up.note(told, nursery.start_soon)
        await trio.sleep(0.1)
        behind.catch_up.note(replace(told, table=11), nursery.start_soon)
        behind.taken.append(Snapshot(table_of(9, 1), [], 0))
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    assert behind.reads


async def test_copy_of_a_table_that_is_known_by_now_holds_up_no_newer_one() -> None:
    """A copy went on for ten seconds after a watch had brought its table, and blocked the next."""
    slow = SlowPeer(_TABLE, parts=30, pause_s=0.9)
    async with trio.open_nursery() as nursery:
        await slow.start(nursery)
        told = beat(slow.address, 9)
        behind = Behind(told)
        behind.catch_up.note(told, nursery.start_soon)
        await trio.sleep(1.2)
        behind.taken.append(Snapshot(table_of(9, 1), [], 0))
        reads = len(behind.reads)
        await behind.hear(nursery, replace(told, name="n8", table=11), 4)
        slow.close()
        nursery.cancel_scope.cancel()
    assert len(behind.reads) > reads
