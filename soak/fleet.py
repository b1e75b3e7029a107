"""The fleet of a run: a store, instances and workers, with a link in front of each connection."""

from pathlib import Path

import trio

from soak.link import Link
from soak.organisations import SoakOrganisations
from soak.processes import InstanceProcess, find_free_ports, instance_ip
from soak.records import (
    AnnouncedWorkerLimit,
    CrashingPart,
    Disturbance,
    Downtime,
    LostPaths,
    RequestedBackoff,
    RouteMove,
    SkewedConnections,
    Stop,
    Withdrawal,
    WorkerLeavingNotice,
)
from soak.workers import BUILDS, SoakWorker
from standins.relay.fleet import Fleet

__all__ = ["SoakFleet"]

_MAX_SEED_PEERS = 3
_ENGINE_COUNT = 5
_ENGINE_SETTINGS = {"slots": 16, "kv_cache_tokens": 4000, "role_switch_s": 2.0}
# Seconds until a worker that a request crashed is replaced.
_CRASH_RESTART_DELAY_S = 0.5


class SoakFleet:
    """The store, workers and instances of a run, with a record of the injected faults."""

    def __init__(
        self,
        nursery: trio.Nursery,
        folder: Path,
        instance_count: int,
        ablation: str,
        *,
        organisations: SoakOrganisations | None = None,
        earlier_build_folder: Path | None = None,
        shifts_clocks: bool = False,
        cuts_paths: bool = False,
        retry_allowance: int = 50,
        mixes_builds: bool = False,
    ) -> None:
        """Create a fleet without starting it.

        Args:
            nursery: Runs the tasks of the store, workers and links.
            folder: Folder for the settings and logs of the instances.
            instance_count: Number of instances.
            ablation: Mechanism that is disabled in the instances; empty for none.
            organisations: Organisations that send requests; None for a fleet without
                organisations.
            earlier_build_folder: Sources of the build that the instances run first; None for
                this build.
            shifts_clocks: Whether faults can shift the clocks of the instances.
            cuts_paths: Whether faults can cut the paths of instances to workers.
            retry_allowance: Retry allowance in the settings of the instances.
            mixes_builds: Whether the workers of a service run two builds.
        """
        self.platform = Fleet(nursery)
        self.organisations = organisations
        self.workers: list[SoakWorker] = []
        self.active_workers: list[SoakWorker] = []
        self.links: dict[str, Link] = {}
        self.store_links: list[Link] = []
        self.route_moves: list[RouteMove] = []
        self.withdrawals: list[Withdrawal] = []
        self.stops: list[Stop] = []
        self.disturbances: list[Disturbance] = []
        self.process_failures: list[str] = []
        self.leaving_notices: list[WorkerLeavingNotice] = []
        self.backoffs: list[RequestedBackoff] = []
        self.announced_limits: list[AnnouncedWorkerLimit] = []
        self.lost_paths: list[LostPaths] = []
        self.downtimes: list[Downtime] = []
        self.crashing_parts: list[CrashingPart] = []
        self.skewed_connections: list[SkewedConnections] = []
        # Instance that gets most new connections; None if they go to all alike.
        self.preferred_instance: InstanceProcess | None = None
        self.earlier_build_folder = earlier_build_folder
        # Workers with an entry in the store, and the state in the entry, by worker name.
        self._registered: dict[str, tuple[SoakWorker, str]] = {}
        self._nursery = nursery
        self._retry_allowance = retry_allowance
        self.mixes_builds = mixes_builds
        ports = find_free_ports(instance_count)
        seeds = tuple(
            instance_ip(number + 1) for number in range(min(_MAX_SEED_PEERS, instance_count))
        )
        self.instances = [
            InstanceProcess(
                number + 1,
                ports,
                seeds,
                folder,
                ablation,
                shifts_clocks=shifts_clocks,
                cuts_paths=cuts_paths,
            )
            for number in range(instance_count)
        ]
        for instance in self.instances:
            instance.source_folder = earlier_build_folder

    async def start(self, prefill_count: int) -> None:
        """Start the fleet and wait until the instances are ready.

        Args:
            prefill_count: Number of engines that start in the prefill role. If it is 0, the
                leader orders an engine to change to that role.
        """
        self.platform.store.era = 1
        await self.platform.store.start(self._nursery)
        for service, stage, count in (
            ("plain", "", 3),
            ("model", "prefill", prefill_count),
            ("model", "decode", _ENGINE_COUNT - prefill_count),
        ):
            for number in range(count):
                build = BUILDS[number % len(BUILDS)] if self.mixes_builds else BUILDS[0]
                await self.add_worker(service, stage, build=build)
        self.platform.add_route("/safe/", "safe", "plain", timeout_ms=3000)
        self.platform.add_route("/unsafe/", "unsafe", "plain", timeout_ms=3000)
        self.platform.add_route("/stream/", "streaming", "model", timeout_ms=8000)
        self.platform.add_route(
            "/resume/", "streaming", "model", timeout_ms=8000, attempts=3, resumable=True
        )
        self.platform.add_route("/switch/", "safe", "plain", attempts=1)
        await self.move_route()
        for instance in self.instances:
            link = Link(self.platform.store.address)
            await link.start(self._nursery)
            self.store_links.append(link)
            instance.write_settings(link.address, self._retry_allowance)
            instance.start()
        for instance in self.instances:
            if not await instance.wait_ready():
                self.process_failures.append(
                    f"{instance.name} was not ready in time after its first start"
                )
            self.write_settings(instance, self._retry_allowance)

    def write_settings(self, instance: InstanceProcess, retry_allowance: int) -> None:
        """Write an instance's settings file, with a retry allowance."""
        store_address = self.store_links[instance.number - 1].address
        instance.write_settings(store_address, retry_allowance)

    def close(self) -> None:
        """Kill every process and close every socket."""
        for instance in self.instances:
            instance.kill()
        self.platform.store.close()
        for worker in self.workers:
            worker.close()
        for link in (*self.links.values(), *self.store_links):
            link.close()

    async def add_worker(
        self,
        service: str,
        stage: str = "",
        link: Link | None = None,
        *,
        build: str = BUILDS[0],
    ) -> SoakWorker:
        """Start a worker behind a new link or the link of an earlier worker, and register it."""
        worker = SoakWorker(service, stage, build)
        await worker.start(self._nursery)
        if link is None:
            link = Link(worker.address)
            await link.start(self._nursery)
        link.target = worker.address
        worker.address = link.address
        self.links[worker.name] = link
        self.workers.append(worker)
        self.active_workers.append(worker)
        self.register(worker)
        self._nursery.start_soon(self._replace_when_crashed, worker)
        return worker

    async def _replace_when_crashed(self, worker: SoakWorker) -> None:
        """Start another worker at the address of a worker once a request has crashed it."""
        await worker.crashed.wait()
        link, began_at = self.links[worker.name], trio.current_time()
        link.stop_accepting()
        if worker in self.active_workers:
            self.active_workers.remove(worker)
        await trio.sleep(_CRASH_RESTART_DELAY_S)
        self.unregister(worker)
        await link.resume_accepting(self._nursery)
        await self.add_worker(worker.service, worker.stage, link, build=worker.build)
        self.note_disturbance(worker.name, began_at)

    def register(self, worker: SoakWorker, state: str = "ready") -> None:
        """Write a worker's entry to the store."""
        self._registered[worker.name] = (worker, state)
        self.platform.register(worker, state)

    def unregister(self, worker: SoakWorker) -> None:
        """Delete a worker's entry from the store."""
        self._registered.pop(worker.name, None)
        self.platform.unregister(worker)

    def rewrite_entries(self) -> None:
        """Write the configuration and all entries again, after the store was restored."""
        for worker, state in self._registered.values():
            self.platform.register(worker, state)
        self.platform.republish_newest()

    def rewrite_entry(self, worker: SoakWorker) -> None:
        """Write a worker's entry again, in its present state, unless it was deleted."""
        if worker.name in self._registered:
            self.register(worker, self._registered[worker.name][1])

    def expire_stale_entries(self) -> None:
        """Delete entries of stopped workers that came back when the store was restored."""
        self.platform.store.delete_all_except(
            "servers/", {f"servers/{name}" for name in self._registered}
        )

    async def move_route(self) -> None:
        """Move the ``/switch/`` route to a new service with its own worker."""
        service = f"move-{len(self.route_moves)}"
        self.platform.plain_services.append(service)
        worker = await self.add_worker(service)
        self.active_workers.remove(worker)
        for route in self.platform.routes:
            if route["path_prefix"] == "/switch/":
                route["service"] = service
        self.publish()
        self.route_moves.append(RouteMove(service, trio.current_time()))

    def publish(self) -> None:
        """Publish the current routes and organisations."""
        if self.organisations is not None:
            self.platform.organisations = self.organisations.entries()
        self.platform.configure(_ENGINE_SETTINGS)

    def note_disturbance(self, component: str, began_at: float) -> None:
        """Record that a component was disturbed from a time until now."""
        self.disturbances.append(Disturbance(component, began_at, trio.current_time()))
