"""What an instance pays for its peers, by their number: a fleet in one process, in virtual time.

Datagrams are carried from memory to memory: what the kernel takes for them is not counted.
"""

import cProfile
import gc
import pstats
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

import trio
from trio.testing import MockClock

from cleatlink.core.address import Address
from cleatlink.core.data import Role
from cleatlink.core.revisions import NO_REVISION
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.organisations import OrganisationLimits
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers import group as group_module
from cleatlink.relay.peers.advertised_state import AdvertisedState
from cleatlink.relay.peers.endpoint_notice_channel import EndpointNoticeChannel
from cleatlink.relay.peers.group import PeerGroup
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import Message, decode_datagram, encode
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_speeds import SpeedSampleKind
from cleatlink.routing.notices import EndpointNotices
from cleatlink.routing.plain_load import CallOutcome
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.shared_wait_queues import WaitingGroup

__all__ = ["measure_peers", "profile_peers"]

_PLACES = ("a", "b", "c", "d")
_ENGINES = 44
_WORKERS = 4
_PORT = 7000
# Virtual seconds until all hear all, and over which is measured.
_START_S = 6.0
_MEASURED_S = 10.0
# Each instance has a stream and a plain call a second; one stream in ten waits for room.
_STREAM_S = 1.4
_PROMPT_S = 0.2
_WAIT_SHARE = 0.1
_WAIT_S = 0.8
_CALL_S = 0.05

# Steps of the table, by the functions whose time they are, with all that these call.
_STEPS = {
    "bundles taken": ("group._handle_bundle",),
    "  held to pass on": ("delivery._hold",),
    "  known already": ("duplicates.record_if_new",),
    "  decoded": ("messages.decode_datagram",),
    "  same heartbeats": ("live_peers.record_repeated_heartbeat",),
    "  other heartbeats": ("group._handle_heartbeat",),
    "  changes of work": ("group._handle_work_changes",),
    "  lists of work": ("group._handle_work_list",),
    "  waiting": ("group._handle_waiting_update",),
    "  plain calls": ("group._handle_plain_calls",),
    "  endpoint paces": ("group._handle_endpoint_speeds",),
    "rosters taken": ("group._handle_roster",),
    "part of all that is heard": ("group._check_heard_share",),
    "ticks": ("group._tick",),
    "  reflectors": ("delivery.tick",),
    "  told to few": ("group._send_to_random_peers",),
    "silent ones forgotten": ("group._remove_silent_peers",),
    "changes told": ("group._send_work_changes",),
    "news told": ("group._send_channel_updates",),
    "bundles passed on": ("delivery.run",),
}


class _Network:
    """Carries datagrams at once."""

    def __init__(self) -> None:
        self._inboxes: dict[str, list[bytes]] = {}
        self._wakes: dict[str, trio.Event] = {}
        self.datagrams = 0

    def open(self, address: str) -> None:
        self._inboxes[address] = []
        self._wakes[address] = trio.Event()

    def carry(self, receiver: str, data: bytes) -> None:
        inbox = self._inboxes.get(receiver)
        if inbox is not None:
            self.datagrams += 1
            inbox.append(data)
            self._wakes[receiver].set()

    async def receive(self, address: str) -> list[bytes]:
        await self._wakes[address].wait()
        self._wakes[address] = trio.Event()
        found, self._inboxes[address] = self._inboxes[address], []
        return found


class _Socket:
    """Stands for an instance's socket."""

    def __init__(self, network: _Network, address: Address) -> None:
        self._network = network
        self._address = str(address)
        network.open(self._address)

    def close(self) -> None:
        """Nothing is held."""

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        self.send_bytes(encode(message), addresses)

    def send_bytes(self, data: bytes, addresses: Iterable[str]) -> None:
        for address in addresses:
            self._network.carry(address, data)

    async def receive(self) -> list[Message | None]:
        return [decode_datagram(data) for data in await self._network.receive(self._address)]


class _Instance(NamedTuple):
    """An instance of the fleet."""

    name: str
    place: str
    group: PeerGroup
    capacity: Capacity


def _endpoints() -> list[RoutedEndpoint]:
    engines = [
        RoutedEndpoint(f"engine-{number}", "10.1.0.1:1", _PLACES[number % 4], "s", Role.DECODE, 8)
        for number in range(_ENGINES)
    ]
    workers = [
        RoutedEndpoint(f"worker-{number}", "10.1.0.1:1", _PLACES[number], "p", Role.PLAIN, 6)
        for number in range(_WORKERS)
    ]
    return engines + workers


def _open(number: int) -> _Instance:
    place = _PLACES[number % len(_PLACES)]
    address = Address(f"10.0.0.{number}", _PORT)
    name = f"front-{place}-{number}"
    first = (Address("10.0.0.0", _PORT),)
    settings = RelaySettings(name, place, address, address, address, first, address)
    settings = settings._replace(size=1.0 + number % 7)
    capacity = Capacity(now=trio.current_time())
    for endpoint in _endpoints():
        capacity.set_endpoint(endpoint)
    group = PeerGroup(
        settings,
        1,
        capacity,
        OrganisationLimits(settings.limit_tolerance, trio.current_time()),
        quarantine=SharedQuarantine(name, random.Random(number)),
        notices=EndpointNoticeChannel(name, EndpointNotices(), random.Random(number)),
        metrics=RelayMetrics(),
        hooks=PeerHooks(
            lambda: AdvertisedState(False, 0, NO_REVISION),
            lambda: None,
            lambda snapshot: None,
            lambda: None,
            lambda work: None,
            lambda life: None,
            lambda news: None,
        ),
    )
    return _Instance(name, place, group, capacity)


async def _use(instance: _Instance, rng: random.Random) -> None:
    """Place streams and plain calls on the endpoints, one of each a second."""
    capacity = instance.capacity
    waiting: list[WaitingGroup] = []
    capacity.shared_wait_queues.set_local_source(lambda: waiting)
    near = [name for name, item in capacity.endpoints.items() if item.data_centre == instance.place]
    engines = [name for name in near if name.startswith("engine")]
    count = 0
    await trio.sleep(rng.random())
    while True:
        count += 1
        now = trio.current_time()
        capacity.plain_load.note_arrival("p", 1, now)
        worker = f"worker-{rng.randrange(_WORKERS)}"
        capacity.plain_load.call_started(worker, now)
        if rng.random() < _WAIT_SHARE:
            waiting.append(WaitingGroup("s", 0, False, 1, 3000, 0.0, 2.0))
            capacity.shared_wait_queues.notify_change()
            await trio.sleep(_WAIT_S)
            waiting.clear()
            capacity.shared_wait_queues.notify_change()
        await trio.sleep(_CALL_S)
        capacity.plain_load.call_ended(worker, CallOutcome.COMPLETED, trio.current_time())
        key, engine, now = f"{instance.name}-{count}/1/d", rng.choice(engines), trio.current_time()
        stream = Reservation(engine, Role.DECODE, 3000, now + _STREAM_S, _STREAM_S, 900)
        _place(instance, key, stream)
        prompt = Reservation(engine, Role.PREFILL, 2000, now + _PROMPT_S, _PROMPT_S, 0)
        _place(instance, key + "/p", prompt)
        await trio.sleep(_PROMPT_S)
        _end(instance, key + "/p")
        capacity.endpoint_speeds.note_ratio(
            engine, SpeedSampleKind.PROMPT, 1.0, trio.current_time()
        )
        await trio.sleep(max(0.0, 1.0 - _PROMPT_S - _CALL_S) * 2 * rng.random())
        _end(instance, key)


def _place(instance: _Instance, key: str, work: Reservation) -> None:
    instance.capacity.reserve(key, work)
    instance.group.announce_work(key)


def _end(instance: _Instance, key: str) -> None:
    instance.capacity.release(key)
    instance.group.announce_work(key)


async def _run(count: int, seed: int, during: Callable[[], Callable[[], None]]) -> dict[str, Any]:
    """Run a fleet; gives what an instance had a second.

    Args:
        count: How many instances.
        seed: Of the load.
        during: Called when measuring begins; what it gives is called at the end.
    """
    network = _Network()
    sockets = mock.patch.object(
        group_module, "DatagramSocket", lambda address, metrics: _Socket(network, address)
    )
    async with trio.open_nursery() as nursery:
        with sockets:
            instances = [_open(number) for number in range(count)]
        for number, instance in enumerate(instances):
            instance.group.start(nursery.start_soon, nursery.start_soon)
            nursery.start_soon(_use, instance, random.Random(seed * 1000 + number))
        await trio.sleep(_START_S)
        heard = min(instance.group.live_instances for instance in instances)
        assert heard == count, "all hear all"
        # One process holds the whole fleet: collections would look at all of it.
        gc.collect()
        gc.disable()
        datagrams, before_s = network.datagrams, time.process_time()
        stop = during()
        await trio.sleep(_MEASURED_S)
        stop()
        used_s = time.process_time() - before_s
        gc.enable()
        nursery.cancel_scope.cancel()
    share = count * _MEASURED_S
    return {
        "instances": count,
        "processor_ms_a_s": 1e3 * used_s / share,
        "datagrams_a_s": (network.datagrams - datagrams) / share,
    }


def measure_peers(count: int, seed: int) -> dict[str, Any]:
    """Measure what belonging together costs each instance of a fleet at a request a second.

    Returns:
        One row: milliseconds of processor time and datagrams taken, an instance and second.
    """
    return trio.run(_run, count, seed, lambda: lambda: None, clock=MockClock(autojump_threshold=0))


def profile_peers(count: int, seed: int) -> list[dict[str, Any]]:
    """Profile the same.

    Returns:
        A row for each step: calls, and milliseconds under the profiler, an instance and second.
    """
    profile = cProfile.Profile()

    def during() -> Callable[[], None]:
        profile.enable()
        return profile.disable

    trio.run(_run, count, seed, during, clock=MockClock(autojump_threshold=0))
    return _steps(pstats.Stats(profile), count)


def _steps(profile: pstats.Stats, count: int) -> list[dict[str, Any]]:
    """Give the steps of a profile, the first for everything."""
    share = count * _MEASURED_S
    calls: Counter[str] = Counter()
    spent_s: dict[str, float] = defaultdict(float)
    stats = profile.stats  # type: ignore[attr-defined]
    for (path, _, function), (_, number, _, cumulative_s, _) in stats.items():
        name = f"{Path(path).stem}.{function}"
        calls[name] += number
        spent_s[name] += cumulative_s
    everything = ("everything", calls.total(), profile.total_tt)  # type: ignore[attr-defined]
    steps = [
        (step, sum(calls[name] for name in names), sum(spent_s[name] for name in names))
        for step, names in _STEPS.items()
    ]
    return [
        {
            "instances": count,
            "step": step,
            "calls_a_s": number / share,
            "profiled_ms_a_s": 1e3 * seconds / share,
        }
        for step, number, seconds in (everything, *steps)
    ]
