"""Instances tell each other what waits, and nothing while nothing does."""

import trio

from cleatlink.relay.peers.messages import WaitNews, decode_datagram, encode
from cleatlink.relay.peers.waiting_news import WaitingNews
from cleatlink.routing.shared_waiting import Ahead, Claim, SharedWaiting, WaitingGroup

GROUP = WaitingGroup("s", -1, False, 2, 6000, 0.5, 1.2)


def shared(name: str, peers: int = 60) -> tuple[WaitingNews, SharedWaiting]:
    """Give one instance's side, and what it knows."""
    waiting = SharedWaiting()
    waiting.note_peers(peers)
    return WaitingNews(name, 1, "a", waiting), waiting


async def told(news: WaitingNews, within_s: float) -> list[WaitNews]:
    """Give what is told within some seconds."""
    found: list[WaitNews] = []
    with trio.move_on_after(within_s):
        while True:
            found.extend(await news.next())
    return found


async def test_what_waits_is_told_again_until_it_is_over(autojump_clock: object) -> None:
    news, waiting = shared("n1")
    groups = [GROUP]
    waiting.attach(lambda: tuple(groups))
    waiting.note_changed()
    first = await told(news, 2.0)
    assert 3 <= len(first) <= 5
    assert all(message.items for message in first)
    groups.clear()
    waiting.note_changed()
    last = await told(news, 2.0)
    assert [message.items for message in last] == [[]]


async def test_nothing_is_told_while_nothing_waits(autojump_clock: object) -> None:
    news, waiting = shared("n1")
    waiting.note_changed()
    assert await told(news, 5.0) == []


async def test_few_instances_tell_nothing(autojump_clock: object) -> None:
    news, waiting = shared("n1", peers=16)
    waiting.attach(lambda: (GROUP,))
    waiting.note_changed()
    assert await told(news, 5.0) == []


async def test_peer_takes_what_is_told(autojump_clock: object) -> None:
    news, waiting = shared("n1")
    other, heard = shared("n2")
    waiting.attach(lambda: (GROUP,) * 20)
    waiting.note_changed()
    message = (await told(news, 0.3))[0]
    data = encode(message)
    assert len(data) < 400
    decoded = decode_datagram(data)
    assert isinstance(decoded, WaitNews)
    other.take(decoded)
    claim = Claim("s", 1e9, False)
    assert heard.ahead(claim, trio.current_time()) == Ahead(16, 3000)
    news.take(decoded)
    assert waiting.ahead(claim, trio.current_time()).streams == 0
