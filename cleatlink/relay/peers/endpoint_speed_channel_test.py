"""Tests the exchange of endpoints' speeds between instances."""

import trio

from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.endpoint_speed_channel import EndpointSpeedChannel
from cleatlink.relay.peers.messages import (
    EndpointSpeedUpdate,
    SpeedMeasurement,
    decode_datagram,
    encode,
)
from cleatlink.routing.endpoint_speeds import EndpointSpeeds, SpeedSampleKind


def create_channel(name: str, speeds: EndpointSpeeds) -> EndpointSpeedChannel:
    return EndpointSpeedChannel(name, 1, speeds, RelayMetrics())


def add_samples(
    speeds: EndpointSpeeds, incarnation: str, ratio: float = 0.5, count: int = 6
) -> None:
    for _ in range(count):
        speeds.note_ratio(incarnation, SpeedSampleKind.PROMPT, ratio, trio.current_time())


def transmit(message: EndpointSpeedUpdate) -> EndpointSpeedUpdate:
    """Return a message after encoding and decoding; its size is bounded."""
    data = encode(message)
    assert len(data) <= 800
    decoded = decode_datagram(data)
    assert isinstance(decoded, EndpointSpeedUpdate)
    return decoded


async def test_only_changed_endpoints_are_reported(autojump_clock: trio.abc.Clock) -> None:
    speeds, peer_speeds = EndpointSpeeds(), EndpointSpeeds()
    channel, peer = create_channel("i1", speeds), create_channel("i2", peer_speeds)
    add_samples(speeds, "e1")
    (message,) = await channel.next_messages()
    peer.record_measurements(transmit(message))
    assert 1.5 < peer_speeds.speed("e1", trio.current_time()) < 2.5
    add_samples(speeds, "e2")
    (message,) = await channel.next_messages()
    assert list(message.measurements) == ["e2"]
    with trio.move_on_after(60) as no_further_message:
        await channel.next_messages()
    assert no_further_message.cancelled_caught


async def test_late_duplicate_and_own_messages_are_ignored(autojump_clock: trio.abc.Clock) -> None:
    speeds, peer_speeds = EndpointSpeeds(), EndpointSpeeds()
    channel, peer = create_channel("i1", speeds), create_channel("i2", peer_speeds)
    add_samples(speeds, "e1", 1.0)
    (old,) = await channel.next_messages()
    add_samples(speeds, "e1", 0.4)
    (new,) = await channel.next_messages()
    for message in (new, old, new):
        peer.record_measurements(transmit(message))
        channel.record_measurements(transmit(message))
    assert peer_speeds.sample_count("e1") == 6
    assert peer_speeds.speed("e1", trio.current_time()) > 1.3
    assert speeds.sample_count("e1") == 12


async def test_new_peer_receives_newest_endpoints_and_ignores_unknown_kinds(
    autojump_clock: trio.abc.Clock,
) -> None:
    speeds, peer_speeds = EndpointSpeeds(), EndpointSpeeds()
    channel, peer = create_channel("i1", speeds), create_channel("i2", peer_speeds)
    for number in range(20):
        add_samples(speeds, f"e{number}", count=2)
    messages = channel.initial_messages()
    assert len(messages) == 2
    assert [len(message.measurements) for message in channel.repeated_messages()] == [8]
    for message in messages:
        peer.record_measurements(transmit(message))
    assert len(peer_speeds.speeds(trio.current_time())) == 16
    unknown_kind = EndpointSpeedUpdate("i3", 1, 1, {"e0": [SpeedMeasurement(99, 1, 1)]})
    peer.record_measurements(transmit(unknown_kind))
    assert peer_speeds.sample_count("e0") == 2
