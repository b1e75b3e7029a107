"""Tells peers at which build a stream begins, and asks them for the build of a stream.

A stream goes on only at the build that began it, also when its caller takes it up at another
instance because the first one died. Before the first event is passed on, a few peers are told, most
of them in this data centre, where the caller usually returns. The peers are chosen by a hash of the
stream, so that an instance that needs the build asks them first.
"""

from collections.abc import Callable, Iterable

import trio

from cleatlink.relay.peers.datagrams import DatagramSocket
from cleatlink.relay.peers.live_peers import LivePeers, StreamKeeper
from cleatlink.relay.peers.stream_build_messages import (
    StreamBuildAnswer,
    StreamBuildItem,
    StreamBuildQuery,
    StreamBuildUpdate,
)
from cleatlink.request.stream_builds import StreamBuild, StreamBuildRecords
from cleatlink.routing.fleet_sizes import MAX_DIRECT_PEERS
from cleatlink.routing.hashing import rank_names

__all__ = ["StreamBuildDirectory"]

# Number of peers that remember a stream, and how many of them are in this data centre.
_KEEPER_COUNT = 3
_LOCAL_KEEPER_COUNT = 2
# Time after which the peers that have not answered are asked again, and all others too, in seconds.
_ASK_AGAIN_S = 0.06
# Longest time to wait for an answer, in seconds.
_ANSWER_TIMEOUT_S = 0.2
# Records in one message; it stays below the size of a datagram.
_MAX_STREAMS_PER_MESSAGE = 200


class _Question:
    """A question that peers have not answered yet."""

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.builds: tuple[str, ...] = ()
        self.asked: set[str] = set()
        self.answered: set[str] = set()
        self.has_changed = trio.Event()

    @property
    def is_open(self) -> bool:
        """Whether an answer is still missing."""
        return not self.builds and bool(self.asked - self.answered)

    async def wait(self, seconds: float) -> None:
        """Wait until a peer knows the build, all have answered, or the time is over."""
        with trio.move_on_after(seconds):
            while self.is_open:
                await self.has_changed.wait()


class StreamBuildDirectory:
    """The builds of streams that this instance and its peers remember."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        peers: LivePeers,
        get_socket: Callable[[], DatagramSocket],
    ) -> None:
        """Start without records.

        Args:
            name: Name of this instance.
            data_centre: Data centre of this instance.
            peers: The live peers.
            get_socket: Returns the socket on which messages are sent.
        """
        self._name = name
        self._data_centre = data_centre
        self._peers = peers
        self._get_socket = get_socket
        self._records = StreamBuildRecords()
        self._questions: dict[int, _Question] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._records)

    def announce(self, stream: StreamBuild) -> None:
        """Remember the build of a stream that begins, and have some peers remember it.

        The messages are sent when this method returns.
        """
        self._records.add(stream, trio.current_time())
        self._send_streams([stream], self._choose_keepers(stream.key))

    async def find(self, key: bytes) -> tuple[str, ...]:
        """Return the builds at which a stream began.

        Returns:
            The build; nothing if no peer that answers knows the stream, several builds if its
            caller used one identifier for several streams.
        """
        builds = self._records.find(key, trio.current_time())
        peers = self._peers.stream_keepers()
        if builds or not peers:
            return builds
        is_small = len(peers) <= MAX_DIRECT_PEERS
        self._last_number += 1
        number, question = self._last_number, _Question(key)
        self._questions[number] = question
        try:
            self._ask(number, question, peers if is_small else self._choose_keepers(key))
            await question.wait(_ASK_AGAIN_S)
            if not question.builds:
                self._ask(number, question, peers)
                await question.wait(_ANSWER_TIMEOUT_S - _ASK_AGAIN_S)
        finally:
            del self._questions[number]
        return question.builds

    def _ask(self, number: int, question: _Question, peers: Iterable[StreamKeeper]) -> None:
        """Ask those of some peers that have not answered."""
        silent = [peer for peer in peers if peer.name not in question.answered]
        question.asked |= {peer.name for peer in silent}
        message = StreamBuildQuery(self._name, number, question.key)
        self._get_socket().send(message, [peer.address for peer in silent])

    def handle_query(self, query: StreamBuildQuery) -> None:
        """Answer a question of a peer."""
        address = self._peers.address(query.name)
        if address is None:
            return
        builds = self._records.find(query.key, trio.current_time())
        answer = StreamBuildAnswer(self._name, query.number, list(builds))
        self._get_socket().send(answer, [address])

    def handle_answer(self, answer: StreamBuildAnswer) -> None:
        """Process a peer's answer."""
        question = self._questions.get(answer.number)
        if question is None:
            return
        question.answered.add(answer.name)
        question.builds = question.builds or tuple(answer.builds)
        question.has_changed.set()
        question.has_changed = trio.Event()

    def handle_update(self, update: StreamBuildUpdate) -> None:
        """Remember streams for a peer."""
        now = trio.current_time()
        for item in update.streams:
            self._records.add(StreamBuild(item.key, item.build, item.expires_in_s), now)

    def hand_over(self) -> None:
        """Have peers remember all streams, because this instance stops."""
        by_keeper: dict[StreamKeeper, list[StreamBuild]] = {}
        for stream in self._records.streams(trio.current_time()):
            for keeper in self._choose_keepers(stream.key):
                by_keeper.setdefault(keeper, []).append(stream)
        for keeper, streams in by_keeper.items():
            for begin in range(0, len(streams), _MAX_STREAMS_PER_MESSAGE):
                self._send_streams(streams[begin : begin + _MAX_STREAMS_PER_MESSAGE], [keeper])

    def remove_expired(self) -> None:
        """Remove the records of streams that can't be taken up any more."""
        self._records.remove_expired(trio.current_time())

    def _send_streams(self, streams: list[StreamBuild], keepers: list[StreamKeeper]) -> None:
        items = [
            StreamBuildItem(item.key, item.build, round(item.expires_in_s, 1)) for item in streams
        ]
        self._get_socket().send(StreamBuildUpdate(items), [peer.address for peer in keepers])

    def _choose_keepers(self, key: bytes) -> list[StreamKeeper]:
        """Return the peers that remember a stream, at least one of them in another data centre."""
        peers = {peer.name: peer for peer in self._peers.stream_keepers()}
        ranked = [peers[name] for name in rank_names(key.hex(), peers)]
        local = [peer for peer in ranked if peer.data_centre == self._data_centre]
        remote = [peer for peer in ranked if peer.data_centre != self._data_centre]
        chosen = local[:_LOCAL_KEEPER_COUNT]
        chosen += remote[: _KEEPER_COUNT - len(chosen)]
        return chosen + local[_LOCAL_KEEPER_COUNT:][: _KEEPER_COUNT - len(chosen)]
