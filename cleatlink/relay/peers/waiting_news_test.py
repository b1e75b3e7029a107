"""Tests the exchange of queued streams between instances."""

import trio

from cleatlink.relay.peers.messages import WaitNews, decode_datagram, encode
from cleatlink.relay.peers.waiting_news import WaitingNews
from cleatlink.routing.shared_waiting import Ahead, Claim, SharedWaiting, WaitingGroup

GROUP = WaitingGroup("s", -1, False, 2, 6000, 0.5, 1.2)


def create_channel(name: str, peers: int = 60) -> tuple[WaitingNews, SharedWaiting]:
    """Return the channel of an instance and the queue state that it shares."""
    waiting = SharedWaiting()
    waiting.note_peers(peers)
    return WaitingNews(name, 1, "a", waiting), waiting


async def collect(channel: WaitingNews, within_s: float) -> list[WaitNews]:
    """Return the messages that a channel sends within ``within_s`` seconds."""
    messages: list[WaitNews] = []
    with trio.move_on_after(within_s):
        while True:
            messages.extend(await channel.next())
    return messages


async def test_queued_streams_are_reported_repeatedly_until_the_queue_is_empty(
    autojump_clock: object,
) -> None:
    channel, waiting = create_channel("n1")
    groups = [GROUP]
    waiting.attach(lambda: tuple(groups))
    waiting.note_changed()
    first = await collect(channel, 2.0)
    assert 3 <= len(first) <= 5
    assert all(message.items for message in first)
    groups.clear()
    waiting.note_changed()
    last = await collect(channel, 2.0)
    assert [message.items for message in last] == [[]]


async def test_no_messages_while_no_streams_are_queued(autojump_clock: object) -> None:
    channel, waiting = create_channel("n1")
    waiting.note_changed()
    assert await collect(channel, 5.0) == []


async def test_small_group_sends_no_messages(autojump_clock: object) -> None:
    channel, waiting = create_channel("n1", peers=16)
    waiting.attach(lambda: (GROUP,))
    waiting.note_changed()
    assert await collect(channel, 5.0) == []


async def test_peer_counts_reported_streams_as_queued_ahead(autojump_clock: object) -> None:
    channel, waiting = create_channel("n1")
    peer, peer_waiting = create_channel("n2")
    waiting.attach(lambda: (GROUP,) * 20)
    waiting.note_changed()
    message = (await collect(channel, 0.3))[0]
    data = encode(message)
    assert len(data) < 400
    decoded = decode_datagram(data)
    assert isinstance(decoded, WaitNews)
    peer.take(decoded)
    claim = Claim("s", 1e9, False)
    assert peer_waiting.ahead(claim, trio.current_time()) == Ahead(16, 3000)
    channel.take(decoded)
    assert waiting.ahead(claim, trio.current_time()).streams == 0
