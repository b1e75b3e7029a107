"""The fleet of a run: store, workers behind links, and instances behind theirs."""

from pathlib import Path

import trio

from soak.link import Link
from soak.organisations import SoakOrganisations
from soak.processes import InstanceProcess, free_ports, instance_ip
from soak.records import LeavingWord, NamedLimit, Rest, Spell, Stop, Switch, Withdrawal
from soak.workers import SoakWorker
from standins.relay.fleet import Fleet

__all__ = ["SoakFleet"]

_SEEDS = 3
_ENGINES = 5
_ENGINE = {"slots": 16, "kv_cache_tokens": 4000, "role_switch_s": 2.0}

# A worker that crashed is back after so long.
_BACK_S = 0.5


class SoakFleet:
    """Everything that a run consists of, and the record of what was done to it."""

    def __init__(
        self,
        nursery: trio.Nursery,
        folder: Path,
        instances: int,
        without: str,
        *,
        organisations: SoakOrganisations | None = None,
        older: Path | None = None,
        moves_clocks: bool = False,
    ) -> None:
        """Prepare a fleet.

        Args:
            nursery: Runs what is no process.
            folder: Where settings and output go.
            instances: How many there are.
            without: A mechanism that is switched off in them; empty for none.
            organisations: Whose requests they get; None for nobody's.
            older: Sources of the build that instances run at first; None for this one.
            moves_clocks: Whether instances' clocks are to be set on.
        """
        self.platform = Fleet(nursery)
        self.organisations = organisations
        self.workers: list[SoakWorker] = []
        self.present: list[SoakWorker] = []
        self.links: dict[str, Link] = {}
        self.store_links: list[Link] = []
        self.switches: list[Switch] = []
        self.withdrawals: list[Withdrawal] = []
        self.stops: list[Stop] = []
        self.spells: list[Spell] = []
        self.exits: list[str] = []
        self.words: list[LeavingWord] = []
        self.rests: list[Rest] = []
        self.named_limits: list[NamedLimit] = []
        self.older = older
        # What each worker last wrote of itself, and the worker.
        self._entries: dict[str, tuple[SoakWorker, str]] = {}
        self._nursery = nursery
        ports = free_ports(instances)
        seeds = tuple(instance_ip(number + 1) for number in range(min(_SEEDS, instances)))
        self.instances = [
            InstanceProcess(number + 1, ports, seeds, folder, without, moves_clocks=moves_clocks)
            for number in range(instances)
        ]
        for instance in self.instances:
            instance.tree = older

    async def start(self, prefills: int) -> None:
        """Start all and wait until it serves.

        Args:
            prefills: How many of the engines begin as prefills; without any, whoever leads
                orders one to become one.
        """
        self.platform.store.era = 1
        await self.platform.store.start(self._nursery)
        for service, stage, count in (
            ("plain", "", 3),
            ("model", "prefill", prefills),
            ("model", "decode", _ENGINES - prefills),
        ):
            for _ in range(count):
                await self.add_worker(service, stage)
        self.platform.add_route("/safe/", "safe", "plain", timeout_ms=3000)
        self.platform.add_route("/unsafe/", "unsafe", "plain", timeout_ms=3000)
        self.platform.add_route("/stream/", "streaming", "model", timeout_ms=8000)
        self.platform.add_route(
            "/resume/", "streaming", "model", timeout_ms=8000, attempts=3, resumable=True
        )
        self.platform.add_route("/switch/", "safe", "plain", attempts=1)
        await self.move_switch()
        for instance in self.instances:
            link = Link(self.platform.store.address)
            await link.start(self._nursery)
            self.store_links.append(link)
            instance.write_settings(link.address)
            instance.start()
        for instance in self.instances:
            if not await instance.wait_ready():
                self.exits.append(f"{instance.name} was not ready in time after its first start")

    def write_settings(self, instance: InstanceProcess, retry_allowance: int) -> None:
        """Write an instance's settings file, with a retry allowance."""
        store = self.store_links[instance.number - 1].address
        instance.write_settings(store, retry_allowance)

    def close(self) -> None:
        """End every process, and close every socket."""
        for instance in self.instances:
            instance.end()
        self.platform.store.close()
        for worker in self.workers:
            worker.close()
        for link in (*self.links.values(), *self.store_links):
            link.close()

    async def add_worker(
        self, service: str, stage: str = "", link: Link | None = None
    ) -> SoakWorker:
        """Start a worker behind a link, its own or one that was another's, and register it."""
        worker = SoakWorker(service, stage)
        await worker.start(self._nursery)
        if link is None:
            link = Link(worker.address)
            await link.start(self._nursery)
        link.target = worker.address
        worker.address = link.address
        self.links[worker.name] = link
        self.workers.append(worker)
        self.present.append(worker)
        self.register(worker)
        self._nursery.start_soon(self._replace_when_crashed, worker)
        return worker

    async def _replace_when_crashed(self, worker: SoakWorker) -> None:
        """Have another worker come at the address of one that a request crashed."""
        await worker.crashed.wait()
        link, began_at = self.links[worker.name], trio.current_time()
        link.refuse()
        if worker in self.present:
            self.present.remove(worker)
        await trio.sleep(_BACK_S)
        self.unregister(worker)
        await link.accept_again(self._nursery)
        await self.add_worker(worker.service, worker.stage, link)
        self.note_spell(worker.name, began_at)

    def register(self, worker: SoakWorker, state: str = "ready") -> None:
        """Have a worker write its entry."""
        self._entries[worker.name] = (worker, state)
        self.platform.register(worker, state)

    def unregister(self, worker: SoakWorker) -> None:
        """Have a worker's entry go."""
        self._entries.pop(worker.name, None)
        self.platform.unregister(worker)

    def write_again(self) -> None:
        """Have the operator and the workers write again what a copy of the store lacks."""
        for worker, state in self._entries.values():
            self.platform.register(worker, state)
        self.platform.publish_again()

    def let_lapse(self) -> None:
        """Have entries go that a copy brought back and nobody renews."""
        self.platform.store.keep_only("servers/", {f"servers/{name}" for name in self._entries})

    async def move_switch(self) -> None:
        """Move the route that moves to a service that is new, with a worker of its own."""
        service = f"move-{len(self.switches)}"
        self.platform.plain_services.append(service)
        worker = await self.add_worker(service)
        self.present.remove(worker)
        for route in self.platform.routes:
            if route["path_prefix"] == "/switch/":
                route["service"] = service
        self.publish()
        self.switches.append(Switch(service, trio.current_time()))

    def publish(self) -> None:
        """Publish the routes and organisations as they are now."""
        if self.organisations is not None:
            self.platform.organisations = self.organisations.entries()
        self.platform.configure(_ENGINE)

    def note_spell(self, what: str, began_at: float) -> None:
        """Note that something was disturbed until now."""
        self.spells.append(Spell(what, began_at, trio.current_time()))
