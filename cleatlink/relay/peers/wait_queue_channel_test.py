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
    wait_queues = SharedWaitQueues()
    wait_queues.set_peer_count(peers)
    return WaitQueueChannel(name, 1, "a", wait_queues), wait_queues


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
    channel, wait_queues = create_channel("n1")
    groups = [GROUP]
    wait_queues.set_local_source(lambda: tuple(groups))
    wait_queues.notify_change()
    first = await collect(channel, 2.0)
    assert 3 <= len(first) <= 5
    assert all(message.groups for message in first)
    groups.clear()
    wait_queues.notify_change()
    last = await collect(channel, 2.0)
    assert [message.groups for message in last] == [[]]


async def test_no_messages_while_no_streams_are_queued(autojump_clock: object) -> None:
    channel, wait_queues = create_channel("n1")
    wait_queues.notify_change()
    assert await collect(channel, 5.0) == []


async def test_small_group_sends_no_messages(autojump_clock: object) -> None:
    channel, wait_queues = create_channel("n1", peers=16)
    wait_queues.set_local_source(lambda: (GROUP,))
    wait_queues.notify_change()
    assert await collect(channel, 5.0) == []


async def test_peer_counts_reported_streams_as_queued_ahead(autojump_clock: object) -> None:
    channel, wait_queues = create_channel("n1")
    peer, peer_wait_queues = create_channel("n2")
    wait_queues.set_local_source(lambda: (GROUP,) * 20)
    wait_queues.notify_change()
    message = (await collect(channel, 0.3))[0]
    data = encode(message)
    assert len(data) < 400
    decoded = decode_datagram(data)
    assert isinstance(decoded, WaitQueueUpdate)
    peer.record_queue(decoded)
    queued_stream = QueuedStream("s", 1e9, False)
    assert peer_wait_queues.queued_ahead(queued_stream, trio.current_time()) == QueuedAhead(
        16, 3000
    )
    channel.record_queue(decoded)
    assert wait_queues.queued_ahead(queued_stream, trio.current_time()).streams == 0
