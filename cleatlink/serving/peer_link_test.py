"""Datagrams between entries, of any size that a datagram may have."""

import trio

from cleatlink.members import Heartbeat, ReportedState
from cleatlink.serving.peer_link import HttpPeerLink, Message, encode_message
from cleatlink.serving.settings import Address
from standins.ports import free_port


def heartbeat(leaving: int) -> Message:
    """Make a heartbeat that names so many endpoints that leave."""
    names = tuple(f"endpoint-of-a-usual-name-{number}" for number in range(leaving))
    return Message("beat", Heartbeat("e1", 1, "a", "127.0.0.1:1", ReportedState.READY, 3, names, 0))


async def test_heartbeat_that_names_many_leaving_endpoints_is_heard() -> None:
    """Only the first 8 kB of a datagram were read: a longer heartbeat was not understood."""
    link = HttpPeerLink(Address("127.0.0.1", free_port()))
    try:
        link.send(link.address, encode_message(heartbeat(1_000)))
        with trio.fail_after(2.0):
            message, _ = await link.receive()
        assert message == heartbeat(1_000)
    finally:
        await link.close()
