"""Tests the exchange of queued streams between instances."""

import trio

from cleatlink.relay.peers.messages import WaitQueueUpdate, decode_datagram, encode
from cleatlink.relay.peers.wait_queue_channel import WaitQueueChannel
from cleatlink.routing.shared_wait_queues import (
    QueuedAhead,
    QueuedStream,
    SharedWaitQueues,
    WaitingGroup,
)

GROUP = WaitingGroup("s", -1, False, 2, 6000, 0.5, 1.2)


def create_channel(name: str, peers: int = 60) -> tuple[WaitQueueChannel, SharedWaitQueues]:
    """Return the channel of an instance and the queue state that it shares."""
    waiting = SharedWaitQueues()
    waiting.set_peer_count(peers)
    return WaitQueueChannel(name, 1, "a", waiting), waiting


async def collect(channel: WaitQueueChannel, within_s: float) -> list[WaitQueueUpdate]:
    """Return the messages that a channel sends within ``within_s`` seconds."""
    messages: list[WaitQueueUpdate] = []
    with trio.move_on_after(within_s):
        while True:
            messages.extend(await channel.next_messages())
    return messages


async def test_queued_streams_are_reported_repeatedly_until_the_queue_is_empty(
    autojump_clock: object,
) -> None:
    channel, waiting = create_channel("n1")
    groups = [GROUP]
    waiting.set_local_source(lambda: tuple(groups))
    waiting.notify_change()
    first = await collect(channel, 2.0)
    assert 3 <= len(first) <= 5
    assert all(message.groups for message in first)
    groups.clear()
    waiting.notify_change()
    last = await collect(channel, 2.0)
    assert [message.groups for message in last] == [[]]


async def test_no_messages_while_no_streams_are_queued(autojump_clock: object) -> None:
    channel, waiting = create_channel("n1")
    waiting.notify_change()
    assert await collect(channel, 5.0) == []


async def test_small_group_sends_no_messages(autojump_clock: object) -> None:
    channel, waiting = create_channel("n1", peers=16)
    waiting.set_local_source(lambda: (GROUP,))
    waiting.notify_change()
    assert await collect(channel, 5.0) == []


async def test_peer_counts_reported_streams_as_queued_ahead(autojump_clock: object) -> None:
    channel, waiting = create_channel("n1")
    peer, peer_waiting = create_channel("n2")
    waiting.set_local_source(lambda: (GROUP,) * 20)
    waiting.notify_change()
    message = (await collect(channel, 0.3))[0]
    data = encode(message)
    assert len(data) < 400
    decoded = decode_datagram(data)
    assert isinstance(decoded, WaitQueueUpdate)
    peer.record_queue(decoded)
    claim = QueuedStream("s", 1e9, False)
    assert peer_waiting.queued_ahead(claim, trio.current_time()) == QueuedAhead(16, 3000)
    channel.record_queue(decoded)
    assert waiting.queued_ahead(claim, trio.current_time()).streams == 0
