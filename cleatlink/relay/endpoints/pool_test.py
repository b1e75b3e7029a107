"""Tests of the pool of connections to endpoints."""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.pool import UNREPEATABLE_IDLE_LIMIT_S, ConnectionPool
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
