"""Tests of the address at which an instance connects to endpoints on behalf of its peers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import h11
import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import DirectDialer
from cleatlink.relay.endpoints.path_monitor import PathMonitor
from cleatlink.relay.endpoints.streams import TcpConnector
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.sockets import listen
from cleatlink.relay.tunnels.channel import TunnelChannel
from cleatlink.relay.tunnels.messages import TunnelRequest, TunnelStatus
from cleatlink.relay.tunnels.server import TunnelServer
from cleatlink.routing.endpoint_paths import EndpointPaths
from standins.relay import Worker
from standins.relay.fleet import free_address

PEER = "peer"


class Door:
    """A tunnel server for one worker, and what the tests change about it."""

    def __init__(self, worker: Worker) -> None:
        self.endpoint = RoutedEndpoint(worker.name, worker.address, "a", "plain", Role.PLAIN, 6)
        self.endpoints = {self.endpoint.name: self.endpoint}
        self.paths = EndpointPaths()
        self.is_stopping = False
        self.address = free_address()
        metrics = RelayMetrics()
        monitor = PathMonitor(self.paths, metrics)
        self.server = TunnelServer(
            DirectDialer(TcpConnector(), monitor),
            monitor,
            metrics,
            cores=0.01,
            find_endpoint=self.endpoints.get,
            is_peer=lambda name, host: (name, host) == (PEER, "127.0.0.1"),
            is_stopping=lambda: self.is_stopping,
        )

    def request(self) -> TunnelRequest:
        return TunnelRequest(self.endpoint.name, self.endpoint.address, PEER, 0.2)

    async def ask(self, request: TunnelRequest) -> tuple[int, TunnelChannel]:
        """Ask for a tunnel; return the status and the tunnel."""
        stream = await trio.open_tcp_stream(self.address.host, self.address.port)
        channel = TunnelChannel(stream, h11.CLIENT)
        try:
            await channel.send_request(request.headers())
            return await channel.receive_status(), channel
        except trio.BrokenResourceError:
            channel.close()
            raise


@asynccontextmanager
async def open_door() -> AsyncIterator[tuple[Door, Worker]]:
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        door = Door(worker)
        nursery.start_soon(door.server.serve, listen(door.address.host, door.address.port))
        yield door, worker
        worker.close()
        nursery.cancel_scope.cancel()


async def test_tunnel_carries_bytes_both_ways_unchanged() -> None:
    async with open_door() as (door, worker):
        status, channel = await door.ask(door.request())
        assert status == TunnelStatus.OPEN
        assert channel.is_open_without_input
        await channel.send_all(b"GET /a HTTP/1.1\r\nAttempt-Id: r1\r\n\r\n")
        answer = b""
        while b"served" not in answer:
            answer += await channel.receive_some()
        assert answer.startswith(b"HTTP/1.1 200")
        assert [run.request for run in worker.runs] == ["r1"]
        assert channel.is_open_without_input
        channel.close()


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"sender": "stranger"}, TunnelStatus.FORBIDDEN),
        ({"endpoint": "unknown"}, TunnelStatus.UNKNOWN_ENDPOINT),
        ({"address": "127.0.0.1:1"}, TunnelStatus.UNKNOWN_ENDPOINT),
        ({"sender": ""}, TunnelStatus.INVALID),
    ],
)
async def test_tunnel_leads_only_from_peers_to_registered_endpoints(
    change: dict[str, str], status: TunnelStatus
) -> None:
    async with open_door() as (door, worker):
        answered, channel = await door.ask(door.request()._replace(**change))
        assert answered == status
        assert worker.accepted_connections == 0
        channel.close()


async def test_no_tunnel_leads_through_two_peers() -> None:
    async with open_door() as (door, _):
        door.paths.note_failed(door.endpoint.name, trio.current_time())
        assert door.paths.note_reached_by_peer(door.endpoint.name, trio.current_time())
        status, channel = await door.ask(door.request())
        assert status == TunnelStatus.NO_PATH
        channel.close()


async def test_stopping_instance_and_one_with_many_tunnels_accept_no_more() -> None:
    async with open_door() as (door, _):
        channels = []
        for _ in range(16):
            status, channel = await door.ask(door.request())
            assert status == TunnelStatus.OPEN
            channels.append(channel)
        status, channel = await door.ask(door.request())
        assert (status, door.server.open_count) == (TunnelStatus.UNAVAILABLE, 16)
        for item in (channel, *channels):
            item.close()
        with trio.fail_after(1.0):
            while door.server.open_count:
                await trio.sleep(0.01)
        door.is_stopping = True
        status, channel = await door.ask(door.request())
        assert status == TunnelStatus.UNAVAILABLE
        channel.close()


@pytest.mark.parametrize("has_control", [False, True])
async def test_instance_that_reaches_no_endpoint_calls_one_dead(has_control: bool) -> None:
    """A refused connection says something only beside one to another endpoint that opens."""
    async with open_door() as (door, worker), trio.open_nursery() as nursery:
        other = Worker("plain")
        await other.start(nursery)
        endpoint = RoutedEndpoint(other.name, other.address, "a", "plain", Role.PLAIN, 6)
        door.endpoints[other.name] = endpoint
        door.paths.note_connected(other.name, trio.current_time())
        worker.close()
        if not has_control:
            other.close()
        status, channel = await door.ask(door.request())
        assert status == (TunnelStatus.REFUSED if has_control else TunnelStatus.NO_PATH)
        assert await channel.receive_some() == b""
        channel.close()
        other.close()
        nursery.cancel_scope.cancel()


class _OpenTunnel(NamedTuple):
    """Both sides of a tunnel through which the first part of an answer was sent."""

    channel: TunnelChannel
    peer: TunnelChannel


@asynccontextmanager
async def open_tunnel() -> AsyncIterator[_OpenTunnel]:
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    stream = await trio.open_tcp_stream("127.0.0.1", listener.socket.getsockname()[1])
    peer = TunnelChannel(await listener.accept(), h11.SERVER)
    channel = TunnelChannel(stream, h11.CLIENT)
    request = TunnelRequest("e", "127.0.0.1:1", PEER, 0.1)
    await channel.send_request(request.headers())
    await peer.receive_request()
    await peer.send_status(TunnelStatus.OPEN)
    await peer.send_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    try:
        yield _OpenTunnel(channel, peer)
    finally:
        channel.close()
        peer.close()
        listener.socket.close()


async def receive_first_part(channel: TunnelChannel) -> None:
    assert await channel.receive_status() == TunnelStatus.OPEN
    assert await channel.receive_some() == b"HTTP/1.1 200 OK\r\n\r\nhalf"


async def test_killed_peer_makes_no_answer_look_complete() -> None:
    """A peer that ends closes its connection without the regular end of the tunnel."""
    async with open_tunnel() as (channel, peer):
        await receive_first_part(channel)
        peer.close()
        with pytest.raises(trio.BrokenResourceError):
            await channel.receive_some()


async def test_end_before_the_peer_took_all_data_makes_an_answer_look_complete() -> None:
    """The endpoint closes its connection while more of the request is on its way to the peer."""
    async with open_tunnel() as (channel, peer), trio.open_nursery() as nursery:
        await peer.send_end()
        nursery.start_soon(channel.send_all, b"x" * 20_000_000)
        while not channel.count_unacknowledged():
            await trio.sleep(0.01)
        await receive_first_part(channel)
        with pytest.raises(trio.BrokenResourceError):
            await channel.receive_some()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("timeout", [b"\xb2", b"\xc2\xb2", b"9" * 400, b"-1", b"", b"1.5"])
def test_timeout_that_is_no_number_fails_to_be_rejected(timeout: bytes) -> None:
    headers = TunnelRequest("e", "127.0.0.1:1", PEER, 0.2).headers()
    changed = tuple(
        (name, timeout if name == b"timeout-milliseconds" else value) for name, value in headers
    )
    assert TunnelRequest.from_headers(headers) is not None
    assert TunnelRequest.from_headers(changed) is None


async def test_bytes_that_are_no_request_end_the_server() -> None:
    async with open_door() as (door, _):
        for data in (b"\x00\x01\r\n\r\n", b"GET /tunnel HTTP/1.1\r\nHost: a\r\n\r\n", b"x" * 9000):
            stream = await trio.open_tcp_stream(door.address.host, door.address.port)
            await stream.send_all(data)
            with trio.move_on_after(0.2):
                await stream.receive_some()
            stream.socket.close()
        status, channel = await door.ask(door.request())
        assert status == TunnelStatus.OPEN
        channel.close()


async def test_name_that_no_header_can_carry_fails_only_its_tunnel() -> None:
    async with open_door() as (door, _):
        with pytest.raises(trio.BrokenResourceError):
            await door.ask(door.request()._replace(endpoint="a\r\nb"))
        status, channel = await door.ask(door.request()._replace(endpoint="ž"))
        assert status == TunnelStatus.UNKNOWN_ENDPOINT
        channel.close()
