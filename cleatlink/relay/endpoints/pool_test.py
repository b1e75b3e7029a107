"""Connections to endpoints that are kept."""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.pool import FRESH_LIMIT_S, ConnectionPool
from standins.relay import Worker


@pytest.mark.parametrize(("allowed", "kept"), [(0.5, 1), (6.0, 3), (1000.0, 8)])
async def test_idle_connections_stay_within_this_instances_part(allowed: float, kept: int) -> None:
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        endpoint = RoutedEndpoint(worker.name, worker.address, "a", "plain", Role.PLAIN, 6)
        pool = ConnectionPool(lambda _: allowed)
        taken = [await pool.take(endpoint, FRESH_LIMIT_S) for _ in range(8)]
        for connection in taken:
            pool.keep(endpoint, connection)
        again = [await pool.take(endpoint, FRESH_LIMIT_S) for _ in range(8)]
        assert len(set(map(id, taken)) & set(map(id, again))) == kept
        for connection in again:
            connection.close()
        worker.close()
        nursery.cancel_scope.cancel()
