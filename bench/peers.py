"""Measures the cost of peers for an instance by fleet size, in one process and in virtual time.

Datagrams are delivered in memory, so the kernel's time for them is not counted.
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

_DATA_CENTRES = ("a", "b", "c", "d")
_ENGINE_COUNT = 44
_WORKER_COUNT = 4
_PEER_PORT = 7000
# Time until every instance has discovered all peers, in virtual seconds.
_DISCOVERY_TIME_S = 6.0
# Duration of the measurement, in virtual seconds.
_MEASUREMENT_DURATION_S = 10.0
# Each instance places one stream and one plain call per second; one stream in ten waits for
# free capacity.
_STREAM_DURATION_S = 1.4
_PREFILL_DURATION_S = 0.2
_WAITING_SHARE = 0.1
_WAIT_S = 0.8
_CALL_DURATION_S = 0.05

# Steps of the profile, each with the functions whose time it includes. The time of a function
# includes the functions that it calls.
_STEPS = {
    "bundles received": ("group._handle_bundle",),
    "  queued for forwarding": ("delivery._queue_item",),
    "  checked for duplicates": ("duplicates.record_if_new",),
    "  decoded": ("messages.decode_datagram",),
    "  repeated heartbeats": ("live_peers.record_repeated_heartbeat",),
    "  other heartbeats": ("group._handle_heartbeat",),
    "  work changes": ("group._handle_work_changes",),
    "  work lists": ("group._handle_work_list",),
    "  wait queues": ("group._handle_wait_queue_update",),
    "  plain calls": ("group._handle_plain_calls",),
    "  endpoint speeds": ("group._handle_endpoint_speeds",),
    "rosters received": ("group._handle_roster",),
    "reachable share checks": ("group._check_reachable_share",),
    "ticks": ("group._tick",),
    "  reflector choice": ("delivery.tick",),
    "  messages to random peers": ("group._send_to_random_peers",),
    "silent peers removed": ("group._remove_silent_peers",),
    "work changes sent": ("group._send_work_changes",),
    "channel updates sent": ("group._send_channel_updates",),
    "bundles forwarded": ("delivery.run",),
}


class _Network:
    """Delivers datagrams immediately, in memory."""

    def __init__(self) -> None:
        self._inboxes: dict[str, list[bytes]] = {}
        self._arrivals: dict[str, trio.Event] = {}
        self.datagram_count = 0

    def add_address(self, address: str) -> None:
        self._inboxes[address] = []
        self._arrivals[address] = trio.Event()

    def deliver(self, receiver: str, data: bytes) -> None:
        inbox = self._inboxes.get(receiver)
        if inbox is not None:
            self.datagram_count += 1
            inbox.append(data)
            self._arrivals[receiver].set()

    async def receive(self, address: str) -> list[bytes]:
        await self._arrivals[address].wait()
        self._arrivals[address] = trio.Event()
        received, self._inboxes[address] = self._inboxes[address], []
        return received


class _Socket:
    """Replaces the datagram socket of an instance."""

    def __init__(self, network: _Network, address: Address) -> None:
        self._network = network
        self._address = str(address)
        network.add_address(self._address)

    def close(self) -> None:
        """Do nothing: an in-memory socket holds no resources."""

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        self.send_bytes(encode(message), addresses)

    def send_bytes(self, data: bytes, addresses: Iterable[str]) -> None:
        for address in addresses:
            self._network.deliver(address, data)

    async def receive(self) -> list[Message | None]:
        return [decode_datagram(data) for data in await self._network.receive(self._address)]


class _Instance(NamedTuple):
    """A simulated instance and the parts that the load uses."""

    name: str
    data_centre: str
    group: PeerGroup
    capacity: Capacity


def _make_endpoints() -> list[RoutedEndpoint]:
    engines = [
        RoutedEndpoint(
            f"engine-{number}", "10.1.0.1:1", _DATA_CENTRES[number % 4], "s", Role.DECODE, 8
        )
        for number in range(_ENGINE_COUNT)
    ]
    workers = [
        RoutedEndpoint(f"worker-{number}", "10.1.0.1:1", _DATA_CENTRES[number], "p", Role.PLAIN, 6)
        for number in range(_WORKER_COUNT)
    ]
    return engines + workers


def _make_instance(number: int) -> _Instance:
    data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
    address = Address(f"10.0.0.{number}", _PEER_PORT)
    name = f"front-{data_centre}-{number}"
    seeds = (Address("10.0.0.0", _PEER_PORT),)
    settings = RelaySettings(name, data_centre, address, address, address, seeds, address)
    settings = settings._replace(size=1.0 + number % 7)
    capacity = Capacity(now=trio.current_time())
    for endpoint in _make_endpoints():
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
            lambda reservation: None,
            lambda endpoint_incarnation: None,
            lambda update: None,
        ),
    )
    return _Instance(name, data_centre, group, capacity)


async def _generate_load(instance: _Instance, rng: random.Random) -> None:
    """Place streams and plain calls on the endpoints, about one of each per second."""
    capacity = instance.capacity
    waiting_groups: list[WaitingGroup] = []
    capacity.shared_wait_queues.set_local_source(lambda: waiting_groups)
    local_endpoints = [
        name
        for name, endpoint in capacity.endpoints.items()
        if endpoint.data_centre == instance.data_centre
    ]
    engines = [name for name in local_endpoints if name.startswith("engine")]
    request_count = 0
    await trio.sleep(rng.random())
    while True:
        request_count += 1
        now = trio.current_time()
        capacity.plain_load.note_arrival("p", 1, now)
        worker = f"worker-{rng.randrange(_WORKER_COUNT)}"
        capacity.plain_load.call_started(worker, now)
        if rng.random() < _WAITING_SHARE:
            waiting_groups.append(WaitingGroup("s", 0, False, 1, 3000, 0.0, 2.0))
            capacity.shared_wait_queues.notify_change()
            await trio.sleep(_WAIT_S)
            waiting_groups.clear()
            capacity.shared_wait_queues.notify_change()
        await trio.sleep(_CALL_DURATION_S)
        capacity.plain_load.call_ended(worker, CallOutcome.COMPLETED, trio.current_time())
        key, engine, now = (
            f"{instance.name}-{request_count}/1/d",
            rng.choice(engines),
            trio.current_time(),
        )
        stream = Reservation(
            engine, Role.DECODE, 3000, now + _STREAM_DURATION_S, _STREAM_DURATION_S, 900
        )
        _reserve(instance, key, stream)
        prefill = Reservation(
            engine, Role.PREFILL, 2000, now + _PREFILL_DURATION_S, _PREFILL_DURATION_S, 0
        )
        _reserve(instance, key + "/p", prefill)
        await trio.sleep(_PREFILL_DURATION_S)
        _release(instance, key + "/p")
        capacity.endpoint_speeds.note_ratio(
            engine, SpeedSampleKind.PROMPT, 1.0, trio.current_time()
        )
        await trio.sleep(max(0.0, 1.0 - _PREFILL_DURATION_S - _CALL_DURATION_S) * 2 * rng.random())
        _release(instance, key)


def _reserve(instance: _Instance, key: str, reservation: Reservation) -> None:
    instance.capacity.reserve(key, reservation)
    instance.group.announce_work(key)


def _release(instance: _Instance, key: str) -> None:
    instance.capacity.release(key)
    instance.group.announce_work(key)


async def _run(
    instance_count: int, seed: int, start_measurement: Callable[[], Callable[[], None]]
) -> dict[str, Any]:
    """Run a fleet and return its cost per instance and second.

    Args:
        instance_count: Number of instances.
        seed: Seed of the load.
        start_measurement: Called when the measurement starts; it returns a function that is
            called when the measurement ends.
    """
    network = _Network()
    socket_patch = mock.patch.object(
        group_module, "DatagramSocket", lambda address, metrics: _Socket(network, address)
    )
    async with trio.open_nursery() as nursery:
        with socket_patch:
            instances = [_make_instance(number) for number in range(instance_count)]
        for number, instance in enumerate(instances):
            instance.group.start(nursery.start_soon, nursery.start_soon)
            nursery.start_soon(_generate_load, instance, random.Random(seed * 1000 + number))
        await trio.sleep(_DISCOVERY_TIME_S)
        fewest_live = min(instance.group.live_instances for instance in instances)
        assert fewest_live == instance_count, "an instance has not discovered all peers"
        # Garbage collection would scan the whole fleet, since it is in one process.
        gc.collect()
        gc.disable()
        datagrams_before, before_s = network.datagram_count, time.process_time()
        stop_measurement = start_measurement()
        await trio.sleep(_MEASUREMENT_DURATION_S)
        stop_measurement()
        used_s = time.process_time() - before_s
        gc.enable()
        nursery.cancel_scope.cancel()
    instance_seconds = instance_count * _MEASUREMENT_DURATION_S
    return {
        "instances": instance_count,
        "processor_ms_a_s": 1e3 * used_s / instance_seconds,
        "datagrams_a_s": (network.datagram_count - datagrams_before) / instance_seconds,
    }


def measure_peers(instance_count: int, seed: int) -> dict[str, Any]:
    """Measure the cost of peers for each instance of a fleet at one request per second.

    Args:
        instance_count: Number of instances.
        seed: Seed of the load.

    Returns:
        One row: milliseconds of processor time, and datagrams delivered, each per instance and
        second.
    """
    return trio.run(
        _run, instance_count, seed, lambda: lambda: None, clock=MockClock(autojump_threshold=0)
    )


def profile_peers(instance_count: int, seed: int) -> list[dict[str, Any]]:
    """Profile the fleet that ``measure_peers`` measures.

    Args:
        instance_count: Number of instances.
        seed: Seed of the load.

    Returns:
        A row for each step: calls, and milliseconds under the profiler, each per instance and
        second.
    """
    profile = cProfile.Profile()

    def start_measurement() -> Callable[[], None]:
        profile.enable()
        return profile.disable

    trio.run(_run, instance_count, seed, start_measurement, clock=MockClock(autojump_threshold=0))
    return _profile_rows(pstats.Stats(profile), instance_count)


def _profile_rows(profile: pstats.Stats, instance_count: int) -> list[dict[str, Any]]:
    """Return a row for each step of a profile, after a first row for the whole run."""
    instance_seconds = instance_count * _MEASUREMENT_DURATION_S
    call_counts: Counter[str] = Counter()
    spent_s: dict[str, float] = defaultdict(float)
    stats = profile.stats  # type: ignore[attr-defined]
    for (path, _, function), (_, call_count, _, cumulative_s, _) in stats.items():
        name = f"{Path(path).stem}.{function}"
        call_counts[name] += call_count
        spent_s[name] += cumulative_s
    whole_run = ("everything", call_counts.total(), profile.total_tt)  # type: ignore[attr-defined]
    steps = [
        (step, sum(call_counts[name] for name in names), sum(spent_s[name] for name in names))
        for step, names in _STEPS.items()
    ]
    return [
        {
            "instances": instance_count,
            "step": step,
            "calls_a_s": call_count / instance_seconds,
            "profiled_ms_a_s": 1e3 * seconds / instance_seconds,
        }
        for step, call_count, seconds in (whole_run, *steps)
    ]
