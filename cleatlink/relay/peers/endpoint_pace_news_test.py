"""Tests the exchange of endpoints' speeds between instances."""

import trio

from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.endpoint_pace_news import EndpointPaceTeller
from cleatlink.relay.peers.messages import EndpointPaceNews, PaceItem, decode_datagram, encode
from cleatlink.routing.endpoint_pace import EndpointPaces, PaceKind


def create_channel(name: str, paces: EndpointPaces) -> EndpointPaceTeller:
    return EndpointPaceTeller(name, 1, paces, RelayMetrics())


def add_samples(paces: EndpointPaces, incarnation: str, ratio: float = 0.5, count: int = 6) -> None:
    for _ in range(count):
        paces.note(incarnation, PaceKind.PROMPT, ratio, trio.current_time())


def transmit(message: EndpointPaceNews) -> EndpointPaceNews:
    """Return a message after encoding and decoding; its size is bounded."""
    data = encode(message)
    assert len(data) <= 800
    decoded = decode_datagram(data)
    assert isinstance(decoded, EndpointPaceNews)
    return decoded


async def test_only_changed_endpoints_are_reported(autojump_clock: trio.abc.Clock) -> None:
    paces, peer_paces = EndpointPaces(), EndpointPaces()
    channel, peer = create_channel("i1", paces), create_channel("i2", peer_paces)
    add_samples(paces, "e1")
    (message,) = await channel.next()
    peer.take(transmit(message))
    assert 1.5 < peer_paces.speed("e1", trio.current_time()) < 2.5
    add_samples(paces, "e2")
    (message,) = await channel.next()
    assert list(message.lives) == ["e2"]
    with trio.move_on_after(60) as no_further_message:
        await channel.next()
    assert no_further_message.cancelled_caught


async def test_late_duplicate_and_own_messages_are_ignored(autojump_clock: trio.abc.Clock) -> None:
    paces, peer_paces = EndpointPaces(), EndpointPaces()
    channel, peer = create_channel("i1", paces), create_channel("i2", peer_paces)
    add_samples(paces, "e1", 1.0)
    (old,) = await channel.next()
    add_samples(paces, "e1", 0.4)
    (new,) = await channel.next()
    for message in (new, old, new):
        peer.take(transmit(message))
        channel.take(transmit(message))
    assert peer_paces.count("e1") == 6
    assert peer_paces.speed("e1", trio.current_time()) > 1.3
    assert paces.count("e1") == 12


async def test_new_peer_receives_newest_endpoints_and_ignores_unknown_kinds(
    autojump_clock: trio.abc.Clock,
) -> None:
    paces, peer_paces = EndpointPaces(), EndpointPaces()
    channel, peer = create_channel("i1", paces), create_channel("i2", peer_paces)
    for number in range(20):
        add_samples(paces, f"e{number}", count=2)
    messages = channel.introduction()
    assert len(messages) == 2
    assert [len(message.lives) for message in channel.repeat()] == [8]
    for message in messages:
        peer.take(transmit(message))
    assert len(peer_paces.speeds(trio.current_time())) == 16
    unknown_kind = EndpointPaceNews("i3", 1, 1, {"e0": [PaceItem(99, 1, 1)]})
    peer.take(transmit(unknown_kind))
    assert peer_paces.count("e0") == 2
