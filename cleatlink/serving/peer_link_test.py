"""Datagrams between entries, up to the largest size."""

import trio

from cleatlink.members import Heartbeat, ReportedState
from cleatlink.serving.peer_link import HttpPeerLink, Message, encode_message
from cleatlink.serving.settings import Address
from standins.ports import free_port


def make_heartbeat(leaving_count: int) -> Message:
    """Make a heartbeat message with a given number of leaving endpoints."""
    names = tuple(f"endpoint-of-a-usual-name-{number}" for number in range(leaving_count))
    return Message("beat", Heartbeat("e1", 1, "a", "127.0.0.1:1", ReportedState.READY, 3, names, 0))


async def test_heartbeat_with_many_leaving_endpoints_is_received() -> None:
    """A heartbeat of more than 8 kB must not be truncated, as it can't be decoded then."""
    link = HttpPeerLink(Address("127.0.0.1", free_port()))
    try:
        link.send(link.address, encode_message(make_heartbeat(1_000)))
        with trio.fail_after(2.0):
            message, _ = await link.receive()
        assert message == make_heartbeat(1_000)
    finally:
        await link.close()
