"""Tests of the pool of connections to endpoints."""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import DirectDialer
from cleatlink.relay.endpoints.pool import UNREPEATABLE_IDLE_LIMIT_S, ConnectionPool
from cleatlink.relay.endpoints.streams import EndpointStream, SocketStream, TcpConnector
from standins.relay import Worker


@pytest.mark.parametrize(("connection_limit", "expected"), [(0.5, 1), (6.0, 3), (1000.0, 8)])
async def test_idle_connections_stay_within_this_instances_share(
    connection_limit: float, expected: int
) -> None:
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        endpoint = RoutedEndpoint(worker.name, worker.address, "a", "plain", Role.PLAIN, 6)
        pool = ConnectionPool(lambda _: connection_limit)
        acquired = [await pool.acquire(endpoint, UNREPEATABLE_IDLE_LIMIT_S) for _ in range(8)]
        for connection in acquired:
            pool.return_unused(endpoint, connection)
        acquired_again = [await pool.acquire(endpoint, UNREPEATABLE_IDLE_LIMIT_S) for _ in range(8)]
        assert len(set(map(id, acquired)) & set(map(id, acquired_again))) == expected
        for connection in acquired_again:
            connection.close()
        worker.close()
        nursery.cancel_scope.cancel()


class _TunnelStream(SocketStream):
    """A connection that looks as if a peer held it."""

    @property
    def is_direct(self) -> bool:
        return False


class _TunnelDialer(DirectDialer):
    """Opens tunnels, unless a direct connection is required."""

    async def dial(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        host, _, port = endpoint.address.rpartition(":")
        return _TunnelStream(await trio.open_tcp_stream(host, int(port)))


async def test_role_order_goes_through_a_peer() -> None:
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        endpoint = RoutedEndpoint(worker.name, worker.address, "a", "plain", Role.PLAIN, 6)
        pool = ConnectionPool(dialer=_TunnelDialer(TcpConnector()))
        tunnel = await pool.acquire(endpoint, UNREPEATABLE_IDLE_LIMIT_S)
        assert not tunnel.is_direct
        pool.return_unused(endpoint, tunnel)
        direct = await pool.acquire(endpoint, UNREPEATABLE_IDLE_LIMIT_S, must_be_direct=True)
        assert direct.is_direct
        direct.close()
        pool.close()
        worker.close()
        nursery.cancel_scope.cancel()
