"""Tests of messages that are sent directly to some peers of a large fleet."""

from collections.abc import Iterable

import msgspec
import pytest

from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.datagrams import DatagramSocket
from cleatlink.relay.peers.delivery import Delivery
from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import (
    Bundle,
    HeartbeatMessage,
    Message,
    OrganisationUsage,
    decode_datagram,
    encode,
)
from cleatlink.relay.settings import RelaySettings
from standins.relay.fleet import free_address

pytestmark = pytest.mark.virtual_time

MAX_DATAGRAM_BYTES = 60_000
FLEET_SIZE = 20


class SentDatagrams(DatagramSocket):
    """Records the sent datagrams."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        self.sent += [encode(message) for _ in addresses]


def open_delivery(socket: DatagramSocket) -> Delivery:
    """Create the delivery of one instance in a fleet that uses reflectors."""
    settings = RelaySettings(
        name="n0",
        data_centre="a",
        listen=free_address(),
        ready_listen=free_address(),
        peer_listen=free_address(),
        peers=(),
        store=free_address(),
    )
    peers = LivePeers("n0", (), 0.0)
    for number in range(1, FLEET_SIZE):
        heartbeat = HeartbeatMessage(
            f"n{number}", 1, "a", f"127.0.0.1:{number}", False, 0, 0, [], 0, {}, "", 1
        )
        peers.record_heartbeat(msgspec.structs.replace(heartbeat, size=1.0), 0.0)
    return Delivery(settings, 1, peers, socket, RelayMetrics())


def usage_message(number: int, organisations: int) -> OrganisationUsage:
    """Create a message whose size grows with the number of organisations."""
    totals = {f"organisation-{number}-{item}": 1 for item in range(organisations)}
    return OrganisationUsage("n0", 1, totals, {}, 1.0, organisations)


async def test_messages_that_exceed_one_datagram_are_split_into_several() -> None:
    """Guards against dropping all initial messages to a new peer because they are too long.

    No log line reported it.
    """
    socket = SentDatagrams()
    messages = [usage_message(number, 1_000) for number in range(6)]
    open_delivery(socket).send_directly(messages, ["127.0.0.1:7"])
    assert max(map(len, socket.sent)) <= MAX_DATAGRAM_BYTES
    bundles = [decode_datagram(data) for data in socket.sent]
    assert all(isinstance(bundle, Bundle) for bundle in bundles)
    items = [item for bundle in bundles if isinstance(bundle, Bundle) for item in bundle.items]
    assert [decode_datagram(item.data) for item in items] == messages
