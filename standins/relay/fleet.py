"""A small fleet on loopback: a store, workers and instances of the relay, in one process."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from cleatlink.core.address import Address
from cleatlink.platform import PROTOCOL, PlatformStore
from cleatlink.relay.instance import RelayInstance
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.mechanisms import Mechanism
from standins.ports import free_port
from standins.relay.cut_paths import CuttableConnector
from standins.relay.extra_arrivals import WorkerArrival
from standins.relay.raw_client import Caller
from standins.relay.raw_server import close_connections
from standins.relay.store import Store
from standins.relay.worker import Worker

__all__ = ["Fleet", "free_address", "open_fleet"]

_READY_TIMEOUT_S = 5.0
_POLL_INTERVAL_S = 0.01


class Fleet:
    """A simulated platform, and the instances that run on it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = Store()
        self.workers: list[Worker] = []
        self.instances: list[RelayInstance] = []
        self.stop_events: list[trio.Event] = []
        self.end_events: list[trio.Event] = []
        # Connectors of the instances, which can lose their paths to workers.
        self.connectors: list[CuttableConnector] = []
        self.callers: list[Caller] = []
        self._settings: list[RelaySettings] = []
        self._platform_stores: list[PlatformStore] = []
        self._scopes: list[trio.CancelScope] = []
        self._incarnations = 0
        self._nursery = nursery
        self._version = 3
        self.routes: list[dict[str, Any]] = []
        self.plain_services = ["plain", "other"]
        self.published: list[dict[str, Any]] = []
        # Longest duration of a planned stop, for instances that are started from now on.
        self.drain_s = 3.0
        # Limits of the retry budgets, for instances that are started from now on.
        self.retry_ratio = 0.2
        self.retry_allowance = 50.0
        # Organisations of the next configuration; None leaves them out of it.
        self.organisations: list[dict[str, Any]] | None = None
        self.limits: dict[str, int] = {"idle_timeout_ms": 2000, "header_timeout_ms": 500}

    async def add_worker(self, worker: Worker, port: int = 0) -> Worker:
        """Start a worker and register it; port 0 chooses a free port."""
        await worker.start(self._nursery, port)
        self.workers.append(worker)
        self.register(worker)
        return worker

    def restart_after_crashes(self, worker: Worker, after_s: float) -> None:
        """Replace a worker by another at the same address a given time after each crash.

        Where the worker is behind a proxy, connections are closed in the meantime.
        """
        self._nursery.start_soon(self._restart_after_crashes, worker, after_s)

    async def _restart_after_crashes(self, worker: Worker, after_s: float) -> None:
        while True:
            await worker.crashed.wait()
            if worker.is_behind_proxy:
                with trio.move_on_after(after_s):
                    await close_connections(worker.port)
            else:
                await trio.sleep(after_s)
            if not worker.born:
                self.unregister(worker)
            worker = worker.successor()
            await self.add_worker(worker, worker.port)

    def register(self, worker: Worker, state: str = "ready") -> None:
        """Write a worker's entry to the store."""
        self.store.put(f"servers/{worker.name}", worker.registration(state))

    def unregister(self, worker: Worker) -> None:
        """Remove a worker's entry from the store."""
        self.store.delete(f"servers/{worker.name}")

    def add_route(self, prefix: str, kind: str, service: str, **fields: Any) -> None:
        """Add a route, which ``configure`` publishes; ``fields`` override the defaults."""
        route = {
            "name": f"r-{prefix.strip('/')}",
            "host": "h.example",
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": service,
            "attempts": 2,
            "sticky": False,
            "resumable": False,
        }
        self.routes.append({**route, **fields})

    def configure(self, engine: dict[str, Any] | None = None) -> int:
        """Publish the routes as a new version of the configuration.

        Args:
            engine: Properties of the model service's engines that differ from the defaults.

        Returns:
            The number of the version.
        """
        self._version += 2
        engine_properties = {"slots": 8, "kv_cache_tokens": 1000, "handle_retention_s": 0.5}
        engine_properties.update(engine or {})
        services: list[dict[str, Any]] = [
            {"name": name, "connection_limit": 100} for name in self.plain_services
        ]
        services.append({"name": "model", "connection_limit": 100, "engine": engine_properties})
        value = {
            "version": self._version,
            "routes": [dict(route) for route in self.routes],
            "services": services,
            "limits": self.limits,
        }
        if self.organisations is not None:
            value["tenants"] = [dict(organisation) for organisation in self.organisations]
        self.published.append(value)
        self.store.put("op/config", value)
        return self._version

    def republish_newest(self) -> None:
        """Write the newest configuration again, unchanged."""
        self.store.put("op/config", self.published[-1])

    def start_instance(self, data_centre: str = "a", *without: Mechanism) -> RelayInstance:
        """Start an instance, with all earlier ones as its peers.

        Args:
            data_centre: Data centre in which the instance runs.
            *without: Mechanisms that are disabled in the instance.
        """
        number = len(self.instances) + 1
        settings = RelaySettings(
            name=f"n{number}",
            data_centre=data_centre,
            listen=free_address(),
            ready_listen=free_address(),
            peer_listen=free_address(),
            peers=tuple(item.peer_listen for item in self._settings),
            store=Address("127.0.0.1", int(self.store.address.rpartition(":")[2])),
            tunnel_listen=free_address(),
            drain_s=self.drain_s,
            retry_ratio=self.retry_ratio,
            retry_allowance=self.retry_allowance,
            lease_s=0.2,
            without=frozenset(without),
        )
        self._settings.append(settings)
        self.connectors.append(CuttableConnector())
        self._run_instance(number - 1)
        return self.instances[-1]

    def _run_instance(self, index: int) -> None:
        """Run a process of an instance, the first one or one that replaces the last."""
        settings = self._settings[index]
        platform_store = PlatformStore(settings.store)
        self._incarnations += 1
        instance = RelayInstance(
            settings,
            PROTOCOL,
            platform_store,
            self._incarnations,
            connector=self.connectors[index],
            measures_loop=False,
        )
        stop, ended, scope = trio.Event(), trio.Event(), trio.CancelScope()
        # Replaces the items of an earlier process, or appends them.
        here = slice(index, index + 1)
        self._platform_stores[here] = [platform_store]
        self.instances[here] = [instance]
        self.stop_events[here] = [stop]
        self.end_events[here] = [ended]
        self._scopes[here] = [scope]

        async def run() -> None:
            with scope:
                await instance.run(stop)
            ended.set()

        self._nursery.start_soon(run)

    def kill_instance(self, index: int) -> None:
        """End an instance at once, without a planned stop."""
        self._scopes[index].cancel()

    async def restart_instance(self, index: int) -> None:
        """Start a new process of an instance that was killed or stopped."""
        await self.end_events[index].wait()
        self._settings[index] = self._settings[index]._replace(is_first_start=False)
        self._run_instance(index)

    def arrival_records(self) -> list[WorkerArrival]:
        """Return the arrivals of requests at all workers."""
        return [record for worker in self.workers for record in worker.arrival_records]

    def refuse_store_access(self, instance_index: int) -> None:
        """Make an instance's connections to the store fail from now on."""
        platform_store = self._platform_stores[instance_index]
        for client in (platform_store._client, platform_store._table_client):
            client.close()
            client._address = free_address()

    def caller(self, instance_index: int = 0) -> Caller:
        """Return a new caller of an instance."""
        caller = Caller(str(self._settings[instance_index].listen))
        self.callers.append(caller)
        return caller

    def readiness_client(self, instance_index: int = 0) -> Caller:
        """Return a client of an instance's readiness check."""
        caller = Caller(str(self._settings[instance_index].ready_listen))
        self.callers.append(caller)
        return caller

    def peer_address(self, instance_index: int = 0) -> str:
        """Return the address at which an instance serves its peers."""
        return str(self._settings[instance_index].peer_listen)

    async def wait_until(self, condition: Any, within_s: float = _READY_TIMEOUT_S) -> None:
        """Wait until a condition holds, or raise ``trio.TooSlowError`` after the time limit."""
        with trio.fail_after(within_s):
            while not condition():
                await trio.sleep(_POLL_INTERVAL_S)

    async def wait_for_peers(self) -> None:
        """Wait until all instances know each other."""
        count = len(self.instances)
        await self.wait_until(
            lambda: all(item._peers.live_instances == count for item in self.instances)
        )

    async def wait_ready(self) -> None:
        """Wait until every instance serves callers and knows every worker."""
        names = {worker.name for worker in self.workers}

        def registered_names(instance: RelayInstance) -> set[str]:
            return {endpoint.registered_name for endpoint in instance.capacity.endpoints.values()}

        await self.wait_until(
            lambda: all(item.ready and names <= registered_names(item) for item in self.instances)
        )


@asynccontextmanager
async def open_fleet() -> AsyncIterator[Fleet]:
    """Open a fleet with a running store; on exit, end all that runs in it."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        await fleet.store.start(nursery)
        try:
            yield fleet
        finally:
            nursery.cancel_scope.cancel()
            fleet.store.close()
            for worker in fleet.workers:
                worker.close()
            for caller in fleet.callers:
                caller.close()


def free_address() -> Address:
    """Find a loopback address with a port that is free for TCP and UDP."""
    return Address("127.0.0.1", free_port())
