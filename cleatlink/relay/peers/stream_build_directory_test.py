"""Tests of who is told and asked about the builds of streams."""

from collections.abc import Iterable
from typing import cast

import msgspec
import pytest
import trio

from cleatlink.relay.peers.datagrams import DatagramSocket
from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import (
    HeartbeatMessage,
    Message,
    StreamBuildAnswer,
    StreamBuildQuery,
    StreamBuildUpdate,
)
from cleatlink.relay.peers.stream_build_directory import StreamBuildDirectory
from cleatlink.request.stream_builds import StreamBuild

pytestmark = pytest.mark.virtual_time

KEY = b"12345678"
STREAM = StreamBuild(KEY, "v1", 10.0)


class RecordingSocket:
    """Records the messages that are sent, and the addresses."""

    def __init__(self) -> None:
        self.sent: list[tuple[Message, list[str]]] = []

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        self.sent.append((message, list(addresses)))


class TestDirectory:
    """A directory of an instance in data centre ``a`` of three."""

    def open(
        self, peer_count: int, *, keeps_stream_builds: bool = True
    ) -> tuple[StreamBuildDirectory, RecordingSocket]:
        peers, socket = LivePeers("n0", (), 0.0), RecordingSocket()
        for number in range(1, peer_count + 1):
            beat = HeartbeatMessage(
                f"n{number}", 1, "abc"[number % 3], f"{number}:1", False, 0, 0, [], 0, {}, "", 1
            )
            beat = msgspec.structs.replace(beat, keeps_stream_builds=keeps_stream_builds)
            peers.record_heartbeat(beat, 0.0)
        directory = StreamBuildDirectory("n0", "a", peers, lambda: cast(DatagramSocket, socket))
        return directory, socket

    async def test_two_near_peers_and_a_far_one_remember_a_stream(self) -> None:
        directory, socket = self.open(30)
        directory.announce(STREAM)
        [(message, addresses)] = socket.sent
        assert isinstance(message, StreamBuildUpdate)
        near = [address for address in addresses if int(address[:-2]) % 3 == 0]
        assert (len(addresses), len(near)) == (3, 2)
        assert await directory.find(KEY) == ("v1",)
        assert len(socket.sent) == 1

    async def test_peers_of_earlier_builds_are_not_told_or_asked(self) -> None:
        directory, socket = self.open(5, keeps_stream_builds=False)
        directory.announce(STREAM)
        assert socket.sent[0][1] == []
        assert await directory.find(b"other") == ()
        assert len(socket.sent) == 1

    async def test_large_fleet_is_asked_only_if_the_first_peers_do_not_know(self) -> None:
        directory, socket = self.open(30)
        began_at = trio.current_time()
        assert await directory.find(KEY) == ()
        assert [len(addresses) for _, addresses in socket.sent] == [3, 30]
        assert trio.current_time() - began_at == pytest.approx(0.2, abs=0.01)

    async def test_first_answer_that_knows_the_stream_ends_the_question(self) -> None:
        directory, socket = self.open(5)
        found: list[tuple[str, ...]] = []

        async def find() -> None:
            found.append(await directory.find(KEY))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(find)
            await trio.sleep(0.001)
            query = socket.sent[0][0]
            assert isinstance(query, StreamBuildQuery)
            directory.handle_answer(StreamBuildAnswer("n1", query.number, []))
            directory.handle_answer(StreamBuildAnswer("n2", query.number, ["v2"]))
        assert found == [("v2",)]
        directory.handle_answer(StreamBuildAnswer("n3", query.number, ["v1"]))
        assert len(socket.sent) == 1

    async def test_all_negative_answers_end_the_question_at_once(self) -> None:
        directory, socket = self.open(3)
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(directory.find, KEY)
            await trio.sleep(0.001)
            query = socket.sent[0][0]
            assert isinstance(query, StreamBuildQuery)
            for number in range(1, 4):
                directory.handle_answer(StreamBuildAnswer(f"n{number}", query.number, []))
        assert trio.current_time() - began_at < 0.01

    async def test_stopping_instance_hands_its_records_over(self) -> None:
        directory, socket = self.open(6)
        for number in range(500):
            directory.announce(StreamBuild(b"%8d" % number, "v1", 10.0))
        socket.sent.clear()
        directory.hand_over()
        told = [
            (item.key, address)
            for message, addresses in socket.sent
            if isinstance(message, StreamBuildUpdate)
            for item in message.streams
            for address in addresses
        ]
        assert len(set(told)) == 3 * 500
        assert all(
            len(message.streams) <= 200
            for message, _ in socket.sent
            if isinstance(message, StreamBuildUpdate)
        )
