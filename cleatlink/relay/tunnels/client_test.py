"""Tests of the choice among peers when a tunnel is opened."""

import random

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import DirectDialer
from cleatlink.relay.endpoints.path_monitor import PathMonitor
from cleatlink.relay.endpoints.streams import TcpConnector
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.sockets import listen
from cleatlink.relay.tunnels.client import PeerFailure, TunnelClient, TunnelFailedError
from cleatlink.relay.tunnels.server import TunnelServer
from cleatlink.routing.endpoint_paths import EndpointPaths
from cleatlink.routing.tunnel_peers import TunnelPeer
from standins.relay import Worker
from standins.relay.fleet import free_address

ACK_TIMEOUT_S = 1.0
TIMEOUT_S = 0.2


class Peers:
    """Some peers, of which each carries tunnels, freezes or has no path."""

    def __init__(self, nursery: trio.Nursery, endpoint: RoutedEndpoint) -> None:
        self.endpoint = endpoint
        self.endpoints = {endpoint.name: endpoint}
        self.listed: list[TunnelPeer] = []
        self.paths: dict[str, EndpointPaths] = {}
        self.client = TunnelClient(
            "n1",
            "a",
            local_host="127.0.0.1",
            list_peers=lambda: self.listed,
            is_path_lost=lambda _: True,
            rng=random.Random(1),
        )
        self._nursery = nursery

    def add(self, name: str, data_centre: str = "a", *, is_frozen: bool = False) -> None:
        address = free_address()
        self.listed.append(TunnelPeer(name, str(address), data_centre, frozenset()))
        listener = listen(address.host, address.port)
        if is_frozen:
            # The kernel of a frozen process still accepts connections.
            self._nursery.start_soon(_hold, listener)
            return
        self.paths[name], metrics = EndpointPaths(), RelayMetrics()
        monitor = PathMonitor(self.paths[name], metrics)
        self.paths[name].track(self.endpoints)
        server = TunnelServer(
            DirectDialer(TcpConnector(), monitor),
            monitor,
            metrics,
            cores=1.0,
            find_endpoint=self.endpoints.get,
            is_peer=lambda *_: True,
            is_stopping=lambda: False,
        )
        self._nursery.start_soon(server.serve, listener)

    async def open(self) -> str:
        """Open a tunnel; return the peer that carries it."""
        stream = await self.client.open(self.endpoint, ACK_TIMEOUT_S, TIMEOUT_S)
        peer = stream.peer
        stream.close()
        return peer


async def _hold(listener: trio.SocketListener) -> None:
    try:
        await trio.sleep_forever()
    finally:
        listener.socket.close()


def make_endpoint(worker: Worker) -> RoutedEndpoint:
    return RoutedEndpoint(worker.name, worker.address, "a", "plain", Role.PLAIN, 6)


async def test_frozen_peer_costs_more_than_one_try() -> None:
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        peers = Peers(nursery, make_endpoint(worker))
        peers.add("frozen", is_frozen=True)
        peers.add("far", "b")
        began_at = trio.current_time()
        assert await peers.open() == "far"
        first_s = trio.current_time() - began_at
        began_at = trio.current_time()
        assert await peers.open() == "far"
        assert first_s < TIMEOUT_S
        assert trio.current_time() - began_at < 0.03
        worker.close()
        nursery.cancel_scope.cancel()


async def test_peer_without_path_is_asked_again_at_once() -> None:
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        peers = Peers(nursery, make_endpoint(worker))
        peers.add("near")
        peers.add("far", "b")
        lost = peers.paths["near"]
        lost.note_failed(worker.name, trio.current_time())
        lost.note_reached_by_peer(worker.name, trio.current_time())
        assert [await peers.open() for _ in range(2)] == ["far", "far"]
        worker.close()
        nursery.cancel_scope.cancel()


async def test_dead_endpoint_and_missing_peers_are_told_apart() -> None:
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        peers = Peers(nursery, make_endpoint(worker))
        other = Worker("plain")
        await other.start(nursery)
        peers.endpoints[other.name] = make_endpoint(other)
        worker.close()
        with pytest.raises(TunnelFailedError) as failure:
            await peers.open()
        assert failure.value.reason is PeerFailure.NO_PEER
        for name in ("first", "second", "third"):
            peers.add(name)
        with pytest.raises(TunnelFailedError) as failure:
            await peers.open()
        assert failure.value.reason is PeerFailure.REFUSED
        tried = [name for name, paths in peers.paths.items() if paths.unreachable()]
        assert len(tried) == 2
        other.close()
        nursery.cancel_scope.cancel()
