"""Simulations of overload with the decisions of many instances about plain calls.

Workers queue the plain calls that they accept. When each instance knew only its own calls, a
burst or the loss of half of the workers made nearly all served calls late: the queues stayed
full, and a call that one worker refused was tried at the next.

The simulation feeds arrivals and outcomes to the admission and placement code. Messages between
instances arrive after a fraction of a second, and one in ten is lost.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches
from cleatlink.routing.plain_admission import MAX_WAIT_SHARE, Ticket, retry_after_s
from cleatlink.routing.plain_admission_policy import AdmissionRequest, PlainAdmissionPolicy
from cleatlink.routing.plain_load import CallOutcome, DemandKey, EndpointTotals, PeerCallTotals
from cleatlink.routing.relay_placement import PlacementContext, choose_plain
from cleatlink.routing.reservation import Reservation

SLOTS, QUEUE_LENGTH = 6, 24
WORK_S, TARGET_S = 0.045, 0.2
WORKERS, DATA_CENTRES = 4, 3
# Calls per second that all workers together can serve.
SUSTAINABLE_PER_S = WORKERS * SLOTS / WORK_S
MESSAGE_INTERVAL_S, MESSAGE_DELAY_S, LOST_SHARE = 0.25, 0.05, 0.1


class Load(NamedTuple):
    """A load pattern over time.

    Attributes:
        rate: Returns the calls per second of all callers at a given time.
        workers: Returns the number of running workers at a given time.
        urgent_share: Share of the calls with priority 0; the others have priority 1.
        abusive_share: Share of the callers that retry up to three times, without the required
            delay.
        flood: Returns the additional calls per second of one organisation at a given time; they
            have priority 2.
        duration_s: Time during which calls arrive, in seconds.
    """

    rate: Callable[[float], float]
    workers: Callable[[float], int] = lambda _: WORKERS
    urgent_share: float = 0.5
    abusive_share: float = 0.0
    flood: Callable[[float], float] = lambda _: 0.0
    duration_s: float = 4.0


class Caller(NamedTuple):
    """A caller with one call and its remaining retries."""

    number: int
    priority: int
    arrived_at: float
    retries_left: int
    is_abusive: bool
    instance: int


class Worker:
    """Serves calls in order of arrival, several at a time."""

    def __init__(self) -> None:
        self.ends: list[float] = []

    def accept(self, now: float, work_s: float) -> float | None:
        """Return the time at which a call ends; None if the queue is full."""
        self.ends = sorted(end for end in self.ends if end > now)
        if len(self.ends) >= SLOTS + QUEUE_LENGTH:
            return None
        free_at = now if len(self.ends) < SLOTS else self.ends[-SLOTS]
        self.ends.append(free_at + work_s)
        return self.ends[-1]


class Node:
    """Admission and placement state of one instance."""

    def __init__(self, number: int, disabled: set[Mechanism]) -> None:
        self.rng = random.Random(number)
        self.data_centre = f"dc{number % DATA_CENTRES}"
        self.capacity = Capacity(MechanismSwitches(disabled), 0.0)
        self.policy = PlainAdmissionPolicy(self.capacity, self.rng)
        self.waiting: dict[Ticket, Caller] = {}
        self.name = str(number)
        self.announced_arrived: dict[DemandKey, int] = {}
        self.announced_endpoints: dict[str, EndpointTotals] = {}
        for worker in range(WORKERS):
            location = f"dc{worker % DATA_CENTRES}"
            self.capacity.set_endpoint(
                RoutedEndpoint(f"w{worker}", "127.0.0.1:1", location, "s", Role.PLAIN, SLOTS)
            )

    def choose_worker(self, excluded: frozenset[str], now: float) -> str | None:
        context = PlacementContext(self.data_centre, excluded, now, self.rng)
        found = choose_plain("s", self.capacity, context)
        return None if found is None else found.name


class Replay:
    """Simulates a load with or without admission control and counts the outcomes of calls."""

    def __init__(self, load: Load, instances: int, *, has_admission: bool, seed: int = 1) -> None:
        disabled = set() if has_admission else {Mechanism.PLAIN_ADMISSION}
        self.has_admission = has_admission
        self.load = load
        self.rng = random.Random(seed)
        self.nodes = [Node(number, disabled) for number in range(instances)]
        self.workers = [Worker() for _ in range(WORKERS)]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = itertools.count()
        self.served: Counter[int] = Counter()
        self.counts: Counter[tuple[str, int]] = Counter()

    def schedule(self, time: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time, next(self.sequence), action))

    def run(self) -> "Replay":
        for caller in self._callers():
            self.schedule(caller.arrived_at, lambda now, caller=caller: self.arrive(caller, now))
        for node in self.nodes:
            if self.has_admission:
                self.schedule(
                    self.rng.random() * MESSAGE_INTERVAL_S,
                    lambda now, node=node: self.announce(node, now),
                )
        while self.events:
            now, _, action = heapq.heappop(self.events)
            action(now)
        return self

    def _callers(self) -> Iterator[Caller]:
        now = 0.0
        for number in itertools.count():
            base, flood = self.load.rate(now), self.load.flood(now)
            now += self.rng.expovariate(base + flood)
            if now > self.load.duration_s:
                return
            is_flood = self.rng.random() * (base + flood) < flood
            priority = 2 if is_flood else int(self.rng.random() >= self.load.urgent_share)
            is_abusive = self.rng.random() < self.load.abusive_share
            instance = self.rng.randrange(len(self.nodes))
            yield Caller(number, priority, now, 3 if is_abusive else 1, is_abusive, instance)

    def announce(self, node: Node, now: float) -> None:
        plain = node.capacity.plain_load
        arrived = dict(plain.arrival_totals.items() - node.announced_arrived.items())
        endpoints = dict(plain.endpoint_totals(now).items() - node.announced_endpoints.items())
        node.announced_arrived |= arrived
        node.announced_endpoints |= endpoints
        message = PeerCallTotals(node.name, 1, now, arrived, endpoints)
        refusals = node.capacity.expected_plain_retries.take_unannounced(6, now)
        if arrived or endpoints:
            self.schedule(
                now + MESSAGE_DELAY_S, lambda later: self.receive(node, message, refusals, later)
            )
        if now < self.load.duration_s:
            self.schedule(now + MESSAGE_INTERVAL_S, lambda later: self.announce(node, later))

    def receive(
        self, sender: Node, message: PeerCallTotals, refusals: list[tuple[bytes, float]], now: float
    ) -> None:
        for node in self.nodes:
            if node is not sender and self.rng.random() >= LOST_SHARE:
                node.capacity.plain_load.update_peer(message, now)
                for identity, left_s in refusals:
                    node.capacity.expected_plain_retries.note_refusal(identity, now + left_s)

    def arrive(self, caller: Caller, now: float) -> None:
        node = self.nodes[caller.instance]
        if not self.has_admission:
            self.send(node, caller, frozenset(), now)
            return
        assessed = node.policy.assess(
            AdmissionRequest("s", caller.priority, b"%d" % caller.number), now
        )
        queue = node.policy.queue("s")
        if assessed.service_load.has_free_capacity:
            admitted = queue.admit_all()
        else:
            ticket = queue.add(assessed.rank, assessed.share)
            node.waiting[ticket] = caller
            admitted = list(iter(queue.admit_next, None))
            if ticket not in admitted:
                self.wait(
                    node, ticket, node.policy.expected_admissions(assessed, "s", 0.05, now), now
                )
        for other in admitted:
            self.send(node, node.waiting.pop(other), frozenset(), now)
        if assessed.service_load.has_free_capacity:
            self.send(node, caller, frozenset(), now)

    def wait(self, node: Node, ticket: Ticket, expected: float, now: float) -> None:
        is_soon = node.policy.queue("s").is_likely_admitted(ticket, expected)
        until = now + MAX_WAIT_SHARE * TARGET_S if is_soon else now
        self.schedule(until, lambda later: self.give_up(node, ticket, later))

    def give_up(self, node: Node, ticket: Ticket, now: float) -> None:
        if node.policy.queue("s").remove(ticket):
            self.refuse(node, node.waiting.pop(ticket), now)

    def send(self, node: Node, caller: Caller, excluded: frozenset[str], now: float) -> None:
        worker = node.choose_worker(excluded, now)
        if worker is None:
            self.refuse(node, caller, now)
            return
        key = str(next(self.sequence))
        node.capacity.reserve(key, Reservation(worker, Role.PLAIN, 0, now + 1))
        node.capacity.plain_load.call_started(worker, now)
        number = int(worker[1:])
        end = None
        if number < self.load.workers(now):
            end = self.workers[number].accept(now, self.rng.expovariate(1 / WORK_S))
        if end is None:
            node.capacity.release(key)
            node.capacity.plain_load.call_ended(worker, CallOutcome.REFUSED, now)
            node.capacity.note_full(worker, now)
            if len(excluded) < WORKERS - 1:
                self.send(node, caller, excluded | {worker}, now)
            else:
                self.refuse(node, caller, now)
            return
        self.schedule(end, lambda later: self.finish(node, caller, key, worker, later))

    def finish(self, node: Node, caller: Caller, key: str, worker: str, now: float) -> None:
        node.capacity.release(key)
        node.capacity.plain_load.call_ended(worker, CallOutcome.COMPLETED, now)
        node.capacity.note_free_capacity(worker)
        node.capacity.service_times("s").note_plain_call(now - caller.arrived_at)
        self.served[caller.number] += 1
        is_in_time = now - caller.arrived_at <= TARGET_S
        self.counts["in time" if is_in_time else "late", caller.priority] += 1

    def refuse(self, node: Node, caller: Caller, now: float) -> None:
        if not caller.retries_left:
            self.counts["refused", caller.priority] += 1
            return
        wait_s = 0.5
        if self.has_admission:
            wait_s = retry_after_s(0.8, node.rng.random())
            node.capacity.expected_plain_retries.note_own_refusal(
                b"%d" % caller.number, now + wait_s
            )
        retry_at = now + (0.01 if caller.is_abusive else wait_s)
        instance = self.rng.randrange(len(self.nodes))
        retried = caller._replace(
            arrived_at=retry_at, retries_left=caller.retries_left - 1, instance=instance
        )
        self.schedule(retry_at, lambda later: self.arrive(retried, later))

    def share(self, outcome: str, priority: int | None = None) -> float:
        """Return the share of callers with an outcome, of one priority or of all."""
        selected = [
            (key, count) for key, count in self.counts.items() if priority in (None, key[1])
        ]
        total = sum(count for _, count in selected)
        return sum(count for key, count in selected if key[0] == outcome) / max(1, total)


def burst(now: float) -> float:
    return SUSTAINABLE_PER_S * (1.2 if 1.0 < now < 3.0 else 0.5)


def eightfold_flood(now: float) -> float:
    return SUSTAINABLE_PER_S * (0.1 * 8 if now > 1.0 else 0.1)


LOADS = {
    "burst": Load(burst),
    "half of the workers lost": Load(
        lambda _: 0.65 * SUSTAINABLE_PER_S, lambda now: WORKERS if now < 1.0 else WORKERS // 2
    ),
    "one organisation at eight times its usual rate": Load(
        lambda _: 0.5 * SUSTAINABLE_PER_S, flood=eightfold_flood
    ),
    "callers that retry at once": Load(burst, abusive_share=1 / 3),
    "overload from the start": Load(lambda _: 1.2 * SUSTAINABLE_PER_S),
    "calm": Load(lambda _: 0.45 * SUSTAINABLE_PER_S),
}


def simulate_both(name: str, instances: int) -> tuple[Replay, Replay]:
    """Simulate a load without and with admission control."""
    load = LOADS[name]
    without_admission = Replay(load, instances, has_admission=False).run()
    with_admission = Replay(load, instances, has_admission=True).run()
    for replay in (without_admission, with_admission):
        assert max(replay.served.values()) == 1, "a call was served twice"
    return without_admission, with_admission


def print_shares(name: str, instances: int, *replays: Replay) -> None:
    """Print the shares of outcomes, to help with failures."""
    for replay in replays:
        shares = {item: round(replay.share(item), 3) for item in ("in time", "late", "refused")}
        print(
            name,
            instances,
            "admission" if replay.has_admission else "no-admission",
            shares,
        )


@pytest.mark.parametrize("instances", [8, 60, 90])
@pytest.mark.parametrize("name", [name for name in LOADS if name != "calm"])
def test_admission_lowers_the_share_of_late_calls_under_overload(name: str, instances: int) -> None:
    """More calls are served in time, also of the most urgent, and no priority starves."""
    without_admission, with_admission = simulate_both(name, instances)
    print_shares(name, instances, without_admission, with_admission)
    assert with_admission.share("late") < 0.6 * without_admission.share("late")
    assert with_admission.share("in time") > without_admission.share("in time")
    assert with_admission.share("in time", 0) > without_admission.share("in time", 0) + 0.1
    least_urgent = max(priority for _, priority in with_admission.counts)
    assert with_admission.share("in time", least_urgent) > 0.05, "the least urgent calls starved"


def test_360_instances_that_start_during_an_overload() -> None:
    load = LOADS["overload from the start"]._replace(duration_s=2.5)
    without_admission = Replay(load, 360, has_admission=False).run()
    with_admission = Replay(load, 360, has_admission=True).run()
    print_shares("overload from the start", 360, without_admission, with_admission)
    assert with_admission.share("late") < 0.5 * without_admission.share("late")
    assert with_admission.share("in time", 0) > without_admission.share("in time", 0) + 0.2


@pytest.mark.parametrize("instances", [1, 8, 60])
def test_service_with_low_load_refuses_no_call(instances: int) -> None:
    without_admission, with_admission = simulate_both("calm", instances)
    assert with_admission.share("refused") == 0.0
    assert with_admission.share("in time") > without_admission.share("in time") - 0.01
