"""Tests of messages that exceed a datagram."""

import eliot
import pytest
import trio

from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.datagrams import DatagramSocket
from cleatlink.relay.peers.messages import OrganisationUsage, encode
from standins.relay.fleet import free_address

pytestmark = pytest.mark.virtual_time


async def test_message_that_is_too_long_is_logged() -> None:
    """Guards against dropping a message without a log line, which hid what peers had missed."""
    lines: list[dict[str, object]] = []
    totals = {f"organisation-{number}": number for number in range(5_000)}
    message = OrganisationUsage("n1", 1, totals, {}, 1.0, 1)
    socket = DatagramSocket(free_address(), RelayMetrics())
    eliot.add_destinations(lines.append)
    try:
        for _ in range(100):
            socket.send(message, ["127.0.0.1:9", "127.0.0.1:10"])
    finally:
        eliot.remove_destination(lines.append)
        socket.close()
    reported = [
        line
        for line in lines
        if line["message_type"] == "peers: message exceeds the datagram limit; not sent"
    ]
    assert 0 < len(reported) < 100
    assert reported[0]["bytes"] == len(encode(message))
    assert reported[0]["addresses"] == 2


async def test_receive_ends_when_the_socket_was_closed_after_data_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a loop without a pause: the task that waits was woken before the close."""
    socket = DatagramSocket(free_address(), RelayMetrics())

    async def close_and_return(_: object) -> None:
        socket.close()

    monkeypatch.setattr(trio.lowlevel, "wait_readable", close_and_return)
    with pytest.raises(trio.ClosedResourceError):
        await socket.receive()
