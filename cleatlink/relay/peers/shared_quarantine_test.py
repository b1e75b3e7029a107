"""Tests of the messages by which instances exchange crash reports."""

import random

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.quarantine import MAX_PARTS, PromptParts, Suspect
from cleatlink.relay.peers.messages import encode
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine

pytestmark = pytest.mark.virtual_time

_MAX_DATAGRAM_BYTES = 65_507
_CRASHES, _REQUESTS = 40, 64


def digest(*numbers: int) -> bytes:
    return random.Random(repr(numbers)).randbytes(8)


def known_crashes(quarantine: SharedQuarantine) -> set[str]:
    """Return the known crashes with their suspects and prompts, without their ages."""
    reports = (
        item.to_report() for message in quarantine.initial_messages() for item in message.crashes
    )
    return {repr((item.incarnation, item.suspects, item.prompts)) for item in reports}


@pytest.mark.parametrize("part_count", [3, 10, MAX_PARTS])
async def test_crashes_of_long_prompts_fit_into_datagrams(part_count: int) -> None:
    """Guards against a peer that gets no evidence because its messages exceed a datagram."""
    own = SharedQuarantine("n1", random.Random(1))
    for number in range(_CRASHES):
        endpoint = RoutedEndpoint(f"i-{number}", "127.0.0.1:1", "a", "model", Role.DECODE, 64)
        requests = [
            Suspect(
                digest(number, request),
                PromptParts(
                    b"service",
                    b"caller",
                    tuple(digest(number, request, part) for part in range(part_count)),
                ),
                0.1,
            )
            for request in range(_REQUESTS)
        ]
        own.record_crash(endpoint, requests)
        await trio.sleep(0.2)
    messages = own.initial_messages()
    assert all(len(encode(message)) <= _MAX_DATAGRAM_BYTES for message in messages)
    crashes = [item for message in messages for item in message.crashes]
    assert len(crashes) == _CRASHES
    assert all(len(item.suspects) == _REQUESTS for item in crashes)
    peer = SharedQuarantine("n2", random.Random(2))
    for message in messages:
        peer.record_update(message)
    assert known_crashes(peer) == known_crashes(own)


async def test_largest_crash_fits_into_a_datagram() -> None:
    own = SharedQuarantine("n1", random.Random(1))
    endpoint = RoutedEndpoint("i-1", "127.0.0.1:1", "a", "model", Role.DECODE, 128)
    requests = [
        Suspect(
            digest(request),
            PromptParts(
                digest(-1),
                digest(-2 - request),
                tuple(digest(request, part) for part in range(MAX_PARTS)),
            ),
            0.123,
        )
        for request in range(200)
    ]
    own.record_crash(endpoint, requests)
    (message,) = own.initial_messages()
    assert len(message.crashes[0].suspects) == 128
    assert len(encode(message)) <= _MAX_DATAGRAM_BYTES
    for request in requests[:60]:
        own.record_completed(request.identity)
    own.record_crash(endpoint, requests[60:])
    (message,) = own.initial_messages()
    assert len(message.crashes[0].suspects) == 128
    assert len(encode(message)) <= _MAX_DATAGRAM_BYTES
