"""Runs scenarios in virtual time on a small fleet with complete entry instances in this process."""

import random
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import msgspec
import trio
import trio.testing

from cleatlink.routing import place_request
from cleatlink.serving.caller_app import CallerApp
from cleatlink.serving.entry import Entry, EntryDependencies
from cleatlink.serving.model_request_driver import PlaceRequest
from cleatlink.serving.settings import Address, Settings
from standins.engine import Engine, EngineSettings, KvReference, expected_tokens
from standins.fakes import Caller, FakeClient, FakeLink, FakePlatform, Fleet, Network
from standins.platform import Platform
from standins.service import PlainService

CONFIGURATION = """
version: 1
data_centres: { a: { region: r }, b: { region: r } }
services:
  lm: { kind: model, models: [m] }
  orders: { kind: plain, unrepeatable: [{ method: POST, path: "/orders*" }] }
pools:
  prefill: { service: lm, role: prefill }
  decode: { service: lm, role: decode }
  orders: { service: orders, role: plain }
classes:
  question: { service: lm, deadline_s: 60, max_wait_s: 1 }
  order: { service: orders, deadline_s: 10, max_wait_s: 0.5 }
limits: { max_attempts: 4, retry_share: 1 }
"""
POOL_BY_ENDPOINT = {
    "p1": "prefill",
    "p2": "prefill",
    "d1": "decode",
    "d2": "decode",
    "s1": "orders",
    "s2": "orders",
}
# Time after which all peers have exchanged heartbeats and key ownership is confirmed, in seconds.
WARM_UP_S = 8.0
SEED = 7
UNIX_TIME_AT_CLOCK_ZERO_S = 1_700_000_000.0
PROMPT = "What is repaired next? " * 40


def make_scheduling_deterministic(seed: int) -> None:
    """Make trio run tasks in the same order in each run.

    Trio deliberately shuffles tasks that are ready at the same time, with a random
    generator of its own. Hypothesis sets the same two private names for this purpose.
    """
    runner: Any = trio._core._run
    runner._ALLOW_DETERMINISTIC_SCHEDULING = True
    runner._r.seed(seed)


class RunningEntry(NamedTuple):
    """An entry instance that runs in this process, with its fakes and its nursery."""

    entry: Entry
    app: CallerApp
    client: FakeClient
    platform: FakePlatform
    link: FakeLink
    nursery: trio.Nursery


class World:
    """Simulated environment of a scenario; ``run`` runs the scenario in virtual time.

    Attributes:
        fleet: Engines and plain services.
        network: Connections between entries.
        platform: Platform stand-in.
        entries: Entry instances by name, including killed entries.
        listed_data_centres: Data centres of the entries in the platform's instance list, by name.
        preparations: Setup steps that run before the scenario, after the warm-up.
        callers: Callers of all requests, in the order of the requests.
        settings: Additional settings of the entries.
        engine_settings: Settings of the engines.
        caller_receive_delay_s: Delay before a caller receives each message, in seconds.
        placement_function: Placement function of the entries.
        configuration: Configuration published at the start.
        pools: Pool of each endpoint by name.
    """

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.network = Network()
        self.platform = Platform()
        self.entries: dict[str, RunningEntry] = {}
        self.listed_data_centres: dict[str, str] = {}
        self.preparations: list[Callable[[World], None]] = []
        self.callers: list[Caller] = []
        self.settings: dict[str, Any] = {}
        self.engine_settings: dict[str, Any] = {}
        self.caller_receive_delay_s = 0.0
        self.placement_function: PlaceRequest = place_request
        self.configuration = CONFIGURATION
        self.pools = dict(POOL_BY_ENDPOINT)
        self._nursery: trio.Nursery | None = None
        self._rng = random.Random(SEED)
        self._incarnation = 0

    @property
    def nursery(self) -> trio.Nursery:
        """Nursery of the running scenario."""
        assert self._nursery is not None
        return self._nursery

    def run(self, scenario: Callable[["World"], Awaitable[None]], *entries: str) -> None:
        """Start the fleet and the entries, then run a scenario.

        Args:
            scenario: Async function to run; it fails after 600 s of virtual time.
            entries: Entries to start, each as ``name/data centre``.
        """

        async def run_scenario() -> None:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._start_fleet()
                for entry in entries or ("e1/a",):
                    await self.start_entry(*entry.split("/"))
                self.publish_fleet()
                for name in self.entries:
                    await self.wait_ready(name)
                await trio.sleep(WARM_UP_S)
                for setup_step in self.preparations:
                    setup_step(self)
                with trio.fail_after(600):
                    await scenario(self)
                nursery.cancel_scope.cancel()

        make_scheduling_deterministic(SEED)
        trio.run(run_scenario, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _start_fleet(self) -> None:
        async def fetch(kv: KvReference) -> int:
            return await self.fleet.engines[kv.engine].export_kv(kv.request, kv.attempt)

        for name, pool in self.pools.items():
            if pool == "orders":
                self.fleet.services[name] = PlainService(name)
                continue
            engine = Engine(EngineSettings(name, **self.engine_settings), fetch)
            self.fleet.engines[name] = engine
            await self.nursery.start(engine.run)
        self.platform.publish("config", self.configuration)

    async def start_entry(self, name: str, data_centre: str) -> None:
        """Start an entry instance and add it to ``listed_data_centres``."""
        started = trio.Event()
        self._incarnation += 1

        async def run_entry() -> None:
            client, platform = FakeClient(self.fleet), FakePlatform(self.platform)
            # Nothing connects to this address; it only identifies the instance.
            link = FakeLink(self.network, f"{name}#{self._incarnation}")
            settings = Settings(
                name,
                data_centre,
                Address("127.0.0.1", 0),
                Address("127.0.0.1", 0),
                None,
                incarnation=self._incarnation,
                **self.settings,
            )
            entry = Entry(
                settings,
                EntryDependencies(client, platform, link, self.wall_time, self.placement_function),
            )
            link.peers = entry.peers
            async with trio.open_nursery() as nursery:
                app = entry.start(nursery)
                self.entries[name] = RunningEntry(entry, app, client, platform, link, nursery)
                started.set()
                await trio.sleep_forever()

        self.nursery.start_soon(run_entry)
        await started.wait()
        self.listed_data_centres[name] = data_centre

    def publish_fleet(self, *leaving: str) -> None:
        """Publish the instance list.

        Args:
            leaving: Names of the endpoints to list as leaving.
        """
        endpoints = [
            {
                "name": name,
                "address": name,
                "data_centre": "a",
                "pool": pool,
                "state": "leaving" if name in leaving else "live",
            }
            for name, pool in self.pools.items()
        ]
        instances = [
            {
                "name": name,
                "peer_address": self.entries[name].link.address,
                "data_centre": data_centre,
            }
            for name, data_centre in self.listed_data_centres.items()
        ]
        self.platform.publish("instances", {"endpoints": endpoints, "instances": instances})

    def kill(self, name: str) -> None:
        """Kill an entry; none of its messages is delivered afterwards."""
        running = self.entries[name]
        running.link.dead = running.client.dead = True
        running.nursery.cancel_scope.cancel()

    async def wait_ready(self, name: str) -> None:
        """Wait until an entry is ready."""
        while not self.entries[name].entry.ready:
            await trio.sleep(0.05)

    def wall_time(self) -> float:
        """Return the time in seconds since 1970, which advances with the virtual clock."""
        return UNIX_TIME_AT_CLOCK_ZERO_S + trio.current_time()

    def make_idempotency_key(self, home_data_centre: str = "") -> str:
        """Return an idempotency key: a UUIDv7 of the current time.

        Args:
            home_data_centre: Data centre to write before the UUID; none if empty.
        """
        value = int(self.wall_time() * 1000) << 80 | 0x7 << 76 | 0x2 << 62
        value |= self._rng.getrandbits(12) << 64 | self._rng.getrandbits(62)
        key = str(uuid.UUID(int=value))
        return f"{home_data_centre}:{key}" if home_data_centre else key

    def start_model_request(
        self,
        name: str = "e1",
        tokens: int = 20,
        prompt: str = PROMPT,
        headers: Mapping[str, str] | None = None,
    ) -> Caller:
        """Start a streamed model request in the background and return its caller."""
        caller = Caller(self.entries[name].app)
        caller.receive_delay_s = self.caller_receive_delay_s
        body = {"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": True}
        self.entries[name].nursery.start_soon(
            caller.request, "POST", "/v1/completions", msgspec.json.encode(body), headers or {}
        )
        self.callers.append(caller)
        return caller

    async def call(self, name: str, key: str = "", body: bytes = b"{}") -> Caller:
        """Post to the ``orders`` service, whose calls must not be repeated; return the caller."""
        caller = Caller(self.entries[name].app)
        caller.receive_delay_s = self.caller_receive_delay_s
        headers = {"idempotency-key": key} if key else {}
        self.callers.append(caller)
        return await caller.request("POST", "/services/orders/orders", body, headers)

    def executions(self) -> dict[str, int]:
        """Return the number of executions by key, as counted by all plain services."""
        total: Counter[str] = Counter()
        for service in self.fleet.services.values():
            total.update(service.executions)
        return dict(total)

    async def wait_for_free_memory(self, timeout_s: float) -> None:
        """Wait until no engine has reserved memory, for at most ``timeout_s`` seconds."""
        with trio.move_on_after(timeout_s):
            while any(self.fleet.memory().values()):
                await trio.sleep(0.05)


async def wait_for_tokens(caller: Caller, count: int) -> None:
    """Wait until a caller has received ``count`` tokens, or its answer has ended or failed."""
    while (
        len(caller.event_ids) < count
        and not caller.end_mark_count
        and b'"error"' not in caller.body
    ):
        await caller.changed.wait()


def expected_text(tokens: int) -> str:
    """Return the text with which every engine answers ``PROMPT``."""
    return "".join(expected_tokens(PROMPT, tokens))
