"""Loads at their worst, replayed on the decisions about plain calls of many instances.

Workers of plain calls queue what they get. While each instance knew its own calls alone, a
burst, or the loss of half of the workers, made nearly all who were served late: the queues
stayed full, and what one worker refused was tried at the next.

Arrivals and outcomes are fed to the decisions; what instances tell each other is a part of a
second old, and one message in ten is lost.
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
from cleatlink.routing.mechanisms import Mechanism, Switches
from cleatlink.routing.plain_admission import WAIT_SHARE, Ticket, retry_after_s
from cleatlink.routing.plain_judge import Applicant, PlainJudge
from cleatlink.routing.plain_load import CallEnd, CallTotals, Demand, EndpointTotals
from cleatlink.routing.relay_place import Seeker, place_plain
from cleatlink.routing.reservation import Reservation

SLOTS, QUEUED = 6, 24
WORK_S, TARGET_S = 0.045, 0.2
WORKERS, DATA_CENTRES = 4, 3
# Calls a second that all workers serve.
BORNE = WORKERS * SLOTS / WORK_S
TOLD_S, DELAY_S, LOST = 0.25, 0.05, 0.1


class Load(NamedTuple):
    """A pattern of load.

    Attributes:
        rate: Calls a second at a time, of all callers.
        workers: How many workers there are at a time.
        urgent: Share of the calls whose priority is 0; the others' is 1.
        abusive: Share of the callers who come back at once, three times.
        flood: Calls a second at a time that one organisation adds, of priority 2.
        lasts_s: Seconds for which callers come.
    """

    rate: Callable[[float], float]
    workers: Callable[[float], int] = lambda _: WORKERS
    urgent: float = 0.5
    abusive: float = 0.0
    flood: Callable[[float], float] = lambda _: 0.0
    lasts_s: float = 4.0


class Caller(NamedTuple):
    """One call of a caller."""

    number: int
    priority: int
    came_at: float
    tries_left: int
    abusive: bool
    instance: int


class Worker:
    """Serves calls in their order, some at a time."""

    def __init__(self) -> None:
        self.ends: list[float] = []

    def take(self, now: float, work_s: float) -> float | None:
        """Give when a call ends; None if the queue is full."""
        self.ends = sorted(end for end in self.ends if end > now)
        if len(self.ends) >= SLOTS + QUEUED:
            return None
        free_at = now if len(self.ends) < SLOTS else self.ends[-SLOTS]
        self.ends.append(free_at + work_s)
        return self.ends[-1]


class Node:
    """One instance's decisions."""

    def __init__(self, number: int, without: set[Mechanism]) -> None:
        self.rng = random.Random(number)
        self.data_centre = f"dc{number % DATA_CENTRES}"
        self.capacity = Capacity(Switches(without), 0.0)
        self.judge = PlainJudge(self.capacity, self.rng)
        self.waits: dict[Ticket, Caller] = {}
        self.name = str(number)
        self.told_arrived: dict[Demand, int] = {}
        self.told_endpoints: dict[str, EndpointTotals] = {}
        for worker in range(WORKERS):
            place = f"dc{worker % DATA_CENTRES}"
            self.capacity.set_endpoint(
                RoutedEndpoint(f"w{worker}", "127.0.0.1:1", place, "s", Role.PLAIN, SLOTS)
            )

    def place(self, excluded: frozenset[str], now: float) -> str | None:
        seeker = Seeker(self.data_centre, excluded, now, self.rng)
        found = place_plain("s", self.capacity, seeker)
        return None if found is None else found.name


class Replay:
    """Plays a load with or without admission; counts what callers' calls came to."""

    def __init__(self, load: Load, instances: int, *, admits: bool, seed: int = 1) -> None:
        off = set() if admits else {Mechanism.PLAIN_ADMISSION}
        self.admits = admits
        self.load = load
        self.rng = random.Random(seed)
        self.nodes = [Node(number, off) for number in range(instances)]
        self.workers = [Worker() for _ in range(WORKERS)]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = itertools.count()
        self.served: Counter[int] = Counter()
        self.counts: Counter[tuple[str, int]] = Counter()

    def at(self, time: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time, next(self.numbers), act))

    def run(self) -> "Replay":
        for caller in self._callers():
            self.at(caller.came_at, lambda now, caller=caller: self.arrive(caller, now))
        for node in self.nodes:
            if self.admits:
                self.at(self.rng.random() * TOLD_S, lambda now, node=node: self.tell(node, now))
        while self.events:
            now, _, act = heapq.heappop(self.events)
            act(now)
        return self

    def _callers(self) -> Iterator[Caller]:
        now = 0.0
        for number in itertools.count():
            base, flood = self.load.rate(now), self.load.flood(now)
            now += self.rng.expovariate(base + flood)
            if now > self.load.lasts_s:
                return
            is_flood = self.rng.random() * (base + flood) < flood
            priority = 2 if is_flood else int(self.rng.random() >= self.load.urgent)
            abusive = self.rng.random() < self.load.abusive
            instance = self.rng.randrange(len(self.nodes))
            yield Caller(number, priority, now, 3 if abusive else 1, abusive, instance)

    def tell(self, node: Node, now: float) -> None:
        plain = node.capacity.plain
        arrived = dict(plain.arrivals.items() - node.told_arrived.items())
        endpoints = dict(plain.totals(now).items() - node.told_endpoints.items())
        node.told_arrived |= arrived
        node.told_endpoints |= endpoints
        told = CallTotals(node.name, 1, now, arrived, endpoints)
        returns = node.capacity.plain_returns.untold(6, now)
        if arrived or endpoints:
            self.at(now + DELAY_S, lambda later: self.hear(node, told, returns, later))
        if now < self.load.lasts_s:
            self.at(now + TOLD_S, lambda later: self.tell(node, later))

    def hear(
        self, sender: Node, told: CallTotals, returns: list[tuple[bytes, float]], now: float
    ) -> None:
        for node in self.nodes:
            if node is not sender and self.rng.random() >= LOST:
                node.capacity.plain.take(told, now)
                for identity, left_s in returns:
                    node.capacity.plain_returns.expect_told(identity, now + left_s)

    def arrive(self, caller: Caller, now: float) -> None:
        node = self.nodes[caller.instance]
        if not self.admits:
            self.send(node, caller, frozenset(), now)
            return
        judged = node.judge.judge(Applicant("s", caller.priority, b"%d" % caller.number), now)
        queue = node.judge.queue("s")
        if judged.bearing.is_free:
            passing = queue.clear()
        else:
            ticket = queue.arrive(judged.rank, judged.share)
            node.waits[ticket] = caller
            passing = list(iter(queue.pass_next, None))
            if ticket not in passing:
                self.wait(node, ticket, node.judge.expected(judged, "s", 0.05, now), now)
        for other in passing:
            self.send(node, node.waits.pop(other), frozenset(), now)
        if judged.bearing.is_free:
            self.send(node, caller, frozenset(), now)

    def wait(self, node: Node, ticket: Ticket, expected: float, now: float) -> None:
        soon = node.judge.queue("s").may_pass_within(ticket, expected)
        until = now + WAIT_SHARE * TARGET_S if soon else now
        self.at(until, lambda later: self.give_up(node, ticket, later))

    def give_up(self, node: Node, ticket: Ticket, now: float) -> None:
        if node.judge.queue("s").remove(ticket):
            self.refuse(node, node.waits.pop(ticket), now)

    def send(self, node: Node, caller: Caller, excluded: frozenset[str], now: float) -> None:
        life = node.place(excluded, now)
        if life is None:
            self.refuse(node, caller, now)
            return
        key = str(next(self.numbers))
        node.capacity.reserve(key, Reservation(life, Role.PLAIN, 0, now + 1))
        node.capacity.plain.begin(life, now)
        number = int(life[1:])
        end = None
        if number < self.load.workers(now):
            end = self.workers[number].take(now, self.rng.expovariate(1 / WORK_S))
        if end is None:
            node.capacity.release(key)
            node.capacity.plain.end(life, CallEnd.REFUSED, now)
            node.capacity.note_full(life, now)
            if len(excluded) < WORKERS - 1:
                self.send(node, caller, excluded | {life}, now)
            else:
                self.refuse(node, caller, now)
            return
        self.at(end, lambda later: self.finish(node, caller, key, life, later))

    def finish(self, node: Node, caller: Caller, key: str, life: str, now: float) -> None:
        node.capacity.release(key)
        node.capacity.plain.end(life, CallEnd.RAN, now)
        node.capacity.note_room(life)
        node.capacity.pace("s").note_plain(now - caller.came_at)
        self.served[caller.number] += 1
        in_time = now - caller.came_at <= TARGET_S
        self.counts["in time" if in_time else "late", caller.priority] += 1

    def refuse(self, node: Node, caller: Caller, now: float) -> None:
        if not caller.tries_left:
            self.counts["refused", caller.priority] += 1
            return
        wait_s = 0.5
        if self.admits:
            wait_s = retry_after_s(0.8, node.rng.random())
            node.capacity.plain_returns.expect(b"%d" % caller.number, now + wait_s)
        back_at = now + (0.01 if caller.abusive else wait_s)
        instance = self.rng.randrange(len(self.nodes))
        again = caller._replace(
            came_at=back_at, tries_left=caller.tries_left - 1, instance=instance
        )
        self.at(back_at, lambda later: self.arrive(again, later))

    def share(self, outcome: str, priority: int | None = None) -> float:
        """Give the share of callers with an outcome."""
        wanted = [(key, count) for key, count in self.counts.items() if priority in (None, key[1])]
        total = sum(count for _, count in wanted)
        return sum(count for key, count in wanted if key[0] == outcome) / max(1, total)


def burst(now: float) -> float:
    return BORNE * (1.2 if 1.0 < now < 3.0 else 0.5)


def hot(now: float) -> float:
    return BORNE * (0.1 * 8 if now > 1.0 else 0.1)


LOADS = {
    "burst": Load(burst),
    "half of the workers gone": Load(
        lambda _: 0.65 * BORNE, lambda now: WORKERS if now < 1.0 else WORKERS // 2
    ),
    "one organisation at eight times its usual": Load(lambda _: 0.5 * BORNE, flood=hot),
    "callers who repeat at once": Load(burst, abusive=1 / 3),
    "restarted at once": Load(lambda _: 1.2 * BORNE),
    "calm": Load(lambda _: 0.45 * BORNE),
}


def both(name: str, instances: int) -> tuple[Replay, Replay]:
    """Play a load with the decisions as they were, and as they are."""
    load = LOADS[name]
    before = Replay(load, instances, admits=False).run()
    after = Replay(load, instances, admits=True).run()
    for replay in (before, after):
        assert max(replay.served.values()) == 1, "a call was served twice"
    return before, after


def tell(name: str, instances: int, *replays: Replay) -> None:
    """Print what a load came to, for who looks into it."""
    for replay in replays:
        found = {item: round(replay.share(item), 3) for item in ("in time", "late", "refused")}
        print(name, instances, "admits" if replay.admits else "as before", found)


@pytest.mark.parametrize("instances", [8, 60, 90])
@pytest.mark.parametrize("name", [name for name in LOADS if name != "calm"])
def test_overload_makes_few_late(name: str, instances: int) -> None:
    """The most urgent are served in time; as many as before are served in time in all."""
    before, after = both(name, instances)
    tell(name, instances, before, after)
    assert after.share("late") < 0.6 * before.share("late")
    assert after.share("in time") > before.share("in time")
    assert after.share("in time", 0) > before.share("in time", 0) + 0.1
    least = max(priority for _, priority in after.counts)
    assert after.share("in time", least) > 0.05, "the least urgent starved"


def test_360_instances_that_start_into_an_overload() -> None:
    load = LOADS["restarted at once"]._replace(lasts_s=2.5)
    before = Replay(load, 360, admits=False).run()
    after = Replay(load, 360, admits=True).run()
    tell("restarted at once", 360, before, after)
    assert after.share("late") < 0.5 * before.share("late")
    assert after.share("in time", 0) > before.share("in time", 0) + 0.2


@pytest.mark.parametrize("instances", [1, 8, 60])
def test_calm_service_refuses_nobody(instances: int) -> None:
    before, after = both("calm", instances)
    assert after.share("refused") == 0.0
    assert after.share("in time") > before.share("in time") - 0.01
