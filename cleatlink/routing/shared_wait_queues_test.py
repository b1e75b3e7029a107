"""Replays arrivals to test the shared order of the wait queues of many instances.

A replay passes arrivals, ends of streams and the reports of other instances to the code that
decides which stream is placed. Reports are 0.25 to 1 s old, and some of them are lost. The same
arrivals are also replayed without sharing, where each instance orders only its own streams.
"""

import random
from collections import defaultdict
from collections.abc import Iterable, Sequence
from functools import partial
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineProperties, RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.relay_placement import (
    PlacementContext,
    StreamSize,
    choose_decode,
    count_fitting_streams,
)
from cleatlink.routing.shared_wait_queues import (
    HEAD_START_PER_POINT_S,
    NONE_AHEAD,
    QueuedAhead,
    QueuedStream,
    SharedWaitQueues,
    WaitingGroup,
    WaitQueueReport,
    YieldLimit,
    compute_effective_arrival,
    urgency_of,
)
from cleatlink.routing.wait_queue import WaitQueue

INSTANCE_COUNTS = [8, 60, 90, 360]
TICK_S = 0.05
REPORT_INTERVAL_S = 0.25
STREAM_S = 1.0
CALLER_TIMEOUT_S = 6.0
TARGETS_S = {0: 0.8, 1: 1.0, 2: 2.0}


class Arrival(NamedTuple):
    """A stream that arrives at an instance."""

    at: float
    instance: int
    priority: int


class Replay:
    """Some instances and the endpoint slots that they share."""

    def __init__(self, instances: int, slots: int, *, shared: bool, seed: int = 1) -> None:
        self.waits_s: dict[Arrival, float] = {}
        self.disconnected: set[int] = set()
        self._rng = random.Random(seed)
        self._shared = [SharedWaitQueues(is_on=shared) for _ in range(instances)]
        self._queues = [WaitQueue() for _ in range(instances)]
        for shared_waiting, queue in zip(self._shared, self._queues, strict=True):
            shared_waiting.set_peer_count(10_000)
            if shared:
                queue.head_start_s = HEAD_START_PER_POINT_S
        self._is_shared = shared
        self._free_slots = slots
        self._pending: list[Arrival] = []
        self._yield_limits: dict[Arrival, tuple[YieldLimit, float]] = {}
        self._full_at = -1.0
        self._step = 0
        self._now = 0.0
        self._end_times: list[float] = []
        self._reports_in_transit: list[tuple[float, int, WaitQueueReport]] = []
        self._numbers: dict[int, int] = defaultdict(int)
        self._reported: set[int] = set()

    def run(self, arrivals: Iterable[Arrival], until: float) -> None:
        """Replay arrivals from the start to a time."""
        self._pending = sorted(arrivals)
        self.run_until(until)

    def run_until(self, until: float) -> None:
        """Continue the replay to a time."""
        while self._step * TICK_S < until:
            step, now = self._step, self._step * TICK_S
            self._step += 1
            ended = [end for end in self._end_times if end <= now]
            self._free_slots += len(ended)
            self._end_times = [end for end in self._end_times if end > now]
            self._deliver_reports(now)
            while self._pending and self._pending[0].at <= now:
                self._handle_arrival(self._pending.pop(0), now)
            order = list(range(len(self._queues)))
            self._rng.shuffle(order)
            for instance in order:
                self._now = now
                if self._free_slots and len(self._queues[instance]):
                    self._queues[instance].place_waiting()
                if self._is_shared and (step + instance) % int(REPORT_INTERVAL_S / TICK_S) == 0:
                    self._send_report(instance, now)

    def served_share(self, arrivals: Sequence[Arrival], priority: int) -> float:
        """Return the share of a priority's streams that was served at all."""
        matching = [item for item in arrivals if item.priority == priority]
        return sum(item in self.waits_s for item in matching) / len(matching)

    def in_time_share(self, arrivals: Sequence[Arrival], priority: int) -> float:
        """Return the share of a priority's streams that was served in time."""
        matching = [item for item in arrivals if item.priority == priority]
        waits_s = (self.waits_s.get(item, CALLER_TIMEOUT_S) for item in matching)
        return sum(wait_s <= TARGETS_S[priority] for wait_s in waits_s) / len(matching)

    def _handle_arrival(self, arrival: Arrival, now: float) -> None:
        self._now = now
        urgency = -arrival.priority
        if self._is_shared:
            urgency = urgency_of(arrival.priority)
            shared = self._shared[arrival.instance]
            urgency = shared.draw_urgency("s", urgency, self._rng, now)
        queue = self._queues[arrival.instance]
        attempt = partial(self._attempt, arrival, urgency)
        late_at = arrival.at + TARGETS_S[arrival.priority]
        if queue.must_wait("s", urgency, arrival.at) or not attempt():
            queue.add(
                "s",
                urgency,
                arrival.at,
                attempt,
                lambda: self._now > late_at,
                tokens=100,
                late_at=late_at,
            )

    def _attempt(self, arrival: Arrival, urgency: int) -> bool:
        """Try to place a stream; a stream whose caller has left ends its wait unplaced."""
        if self._now - arrival.at > CALLER_TIMEOUT_S:
            return True
        yield_limit, tried_at = self._yield_limits.get(arrival, (YieldLimit(), self._now))
        self._yield_limits[arrival] = yield_limit, self._now
        if self._full_at >= tried_at:
            yield_limit.note_no_capacity()
        if self._free_slots < 1:
            return False
        is_late = self._now - arrival.at > TARGETS_S[arrival.priority]
        stream = QueuedStream("s", compute_effective_arrival(arrival.at, urgency), is_late)
        ahead = self._shared[arrival.instance].queued_ahead(stream, self._now)
        if not yield_limit.may_take(ahead, self._free_slots - 1, self._now):
            return False
        self._free_slots -= 1
        if not self._free_slots:
            self._full_at = self._now
        self._end_times.append(self._now + STREAM_S)
        self.waits_s[arrival] = self._now - arrival.at
        return True

    def _send_report(self, instance: int, now: float) -> None:
        groups = tuple(self._queues[instance].groups(now))
        if not groups and instance not in self._reported:
            return
        if groups:
            self._reported.add(instance)
        else:
            self._reported.remove(instance)
        self._numbers[instance] += 1
        number = self._numbers[instance]
        report = WaitQueueReport(str(instance), 1, number, "a", groups)
        for other in range(len(self._queues)):
            is_dropped = self._rng.random() < 0.1 or {instance, other} & self.disconnected
            if other != instance and not is_dropped:
                self._reports_in_transit.append((now + self._rng.uniform(0.0, 0.5), other, report))

    def _deliver_reports(self, now: float) -> None:
        due = [item for item in self._reports_in_transit if item[0] <= now]
        self._reports_in_transit = [item for item in self._reports_in_transit if item[0] > now]
        for _, other, report in due:
            self._shared[other].add_report(report, now)


def draw_arrivals(
    per_s: float, priority: int, instances: int, span: tuple[float, float], seed: int
) -> list[Arrival]:
    """Return arrivals at a rate, at random instances."""
    rng = random.Random(seed)
    count = int(per_s * (span[1] - span[0]))
    times = sorted(rng.uniform(*span) for _ in range(count))
    return [Arrival(at, rng.randrange(instances), priority) for at in times]


def compare(arrivals: list[Arrival], instances: int, until: float = 11.0) -> list[Replay]:
    """Replay arrivals without and with sharing, on slots that serve 20 streams a second."""
    replays = [Replay(instances, 20, shared=shared) for shared in (False, True)]
    for replay in replays:
        replay.run(arrivals, until)
    return replays


@pytest.mark.parametrize("instances", INSTANCE_COUNTS)
def test_overload_of_the_least_urgent_does_not_delay_urgent_streams(instances: int) -> None:
    """At the highest load, the most urgent streams earned less of their value than the least.

    Each urgent stream waited at its own instance, while other instances placed streams that had
    just arrived.
    """
    arrivals = [
        *draw_arrivals(6, 0, instances, (0.0, 6.0), 1),
        *draw_arrivals(6, 1, instances, (0.0, 6.0), 2),
        *draw_arrivals(30, 2, instances, (1.0, 5.0), 3),
    ]
    unshared, shared = compare(arrivals, instances)
    assert unshared.in_time_share(arrivals, 0) < 0.8
    assert shared.in_time_share(arrivals, 0) > 0.95
    assert shared.in_time_share(arrivals, 1) > unshared.in_time_share(arrivals, 1)
    assert shared.served_share(arrivals, 2) > 0.6 * unshared.served_share(arrivals, 2)


@pytest.mark.parametrize("instances", INSTANCE_COUNTS)
def test_overload_of_the_most_urgent_does_not_starve_the_least_urgent(instances: int) -> None:
    """The most urgent streams alone exceed the capacity; the others still get a part of it."""
    arrivals = [
        *draw_arrivals(40, 0, instances, (0.0, 6.0), 1),
        *draw_arrivals(6, 2, instances, (0.0, 6.0), 2),
    ]
    _, shared = compare(arrivals, instances)
    assert shared.served_share(arrivals, 2) > 0.25 * shared.served_share(arrivals, 0)


@pytest.mark.parametrize("instances", INSTANCE_COUNTS)
def test_urgent_streams_go_first_within_a_second_of_a_restart_of_all_instances(
    instances: int,
) -> None:
    """No instance has any reports, and all callers retry within 0.1 s."""
    arrivals = [
        *draw_arrivals(150, 0, instances, (0.0, 0.1), 1),
        *draw_arrivals(600, 2, instances, (0.0, 0.1), 2),
        *draw_arrivals(6, 0, instances, (1.0, 5.0), 3),
    ]
    unshared, shared = compare(arrivals, instances, 7.0)
    later = [arrival for arrival in arrivals if arrival.at >= 1.0]
    assert shared.in_time_share(later, 0) > 0.9 > unshared.in_time_share(later, 0)


@pytest.mark.parametrize("instances", INSTANCE_COUNTS)
def test_loss_of_the_data_centre_with_most_waiting_streams_delays_no_stream(instances: int) -> None:
    """Reports of a third of the instances, which hold most waiting streams, stop after 2 s."""
    arrivals = [
        *draw_arrivals(6, 0, instances, (0.0, 6.0), 1),
        *draw_arrivals(20, 2, instances, (0.0, 6.0), 2),
        *draw_arrivals(15, 0, instances // 3, (0.0, 2.0), 3),
    ]
    unshared, connected, partitioned = (
        Replay(instances, 20, shared=is_shared) for is_shared in (False, True, True)
    )
    for replay in (unshared, connected, partitioned):
        replay.run(arrivals, 2.0)
        replay.disconnected = set(range(instances // 3)) if replay is partitioned else set()
        replay.run_until(11.0)
    assert len(partitioned.waits_s) > 0.95 * len(connected.waits_s)
    assert partitioned.in_time_share(arrivals, 0) > unshared.in_time_share(arrivals, 0)


GROUPS = st.builds(
    WaitingGroup,
    service=st.just("s"),
    urgency=st.integers(-200, 0),
    is_late=st.booleans(),
    streams=st.integers(1, 5),
    tokens=st.integers(1, 9_000),
    oldest_s=st.floats(0.0, 20.0),
    slack_s=st.floats(-5.0, 5.0),
)


@given(st.lists(GROUPS, min_size=1, max_size=12))
def test_some_stream_always_has_none_ahead(groups: list[WaitingGroup]) -> None:
    """If each group counted another one ahead of it, free capacity would stay unused."""
    now = 100.0
    shared_by_group = []
    for own, _ in enumerate(groups):
        shared = SharedWaitQueues()
        for number, group in enumerate(groups):
            if number != own:
                report = WaitQueueReport(str(number), 1, 1, "a", (group,))
                shared.add_report(report, now)
        shared_by_group.append(shared)
    streams = [
        QueuedStream(
            "s",
            compute_effective_arrival(now - group.oldest_s, group.urgency),
            group.is_late or group.slack_s < 0,
        )
        for group in groups
    ]
    ahead = [
        shared.queued_ahead(stream, now)
        for shared, stream in zip(shared_by_group, streams, strict=True)
    ]
    assert NONE_AHEAD in ahead


@given(GROUPS, st.floats(1.0, 60.0))
def test_expired_report_delays_no_stream(group: WaitingGroup, age_s: float) -> None:
    shared = SharedWaitQueues()
    shared.add_report(WaitQueueReport("n1", 1, 1, "a", (group,)), 0.0)
    assert shared.queued_ahead(QueuedStream("s", 1e9, True), age_s) == NONE_AHEAD


def test_older_and_repeated_reports_are_ignored() -> None:
    group = WaitingGroup("s", 0, False, 3, 300, 1.0)
    shared = SharedWaitQueues()
    stream = QueuedStream("s", 100.0, False)
    shared.add_report(WaitQueueReport("n1", 1, 2, "a", (group,)), 0.0)
    shared.add_report(WaitQueueReport("n1", 1, 1, "a", ()), 0.0)
    shared.add_report(WaitQueueReport("n1", 1, 2, "a", ()), 0.0)
    assert shared.queued_ahead(stream, 0.1) == QueuedAhead(3, 100)
    assert shared.count_by_data_centre("s", 0.1) == {"a": 3}
    shared.add_report(WaitQueueReport("n1", 2, 1, "a", ()), 0.0)
    assert shared.queued_ahead(stream, 0.1) == NONE_AHEAD
    shared.add_report(WaitQueueReport("n2", 1, 1, "a", (group,)), 0.0)
    shared.remove_report("n2")
    assert shared.queued_ahead(stream, 0.1) == NONE_AHEAD


def test_priority_of_an_organisation_outweighs_that_of_its_routes() -> None:
    """In a deployment whose organisations had equal priority, all streams had equal urgency.

    The priorities of routes were ignored, and the most urgent streams did worse than the least
    urgent ones.
    """
    assert urgency_of(1, 0) > urgency_of(1, 1) > urgency_of(1, 2) > urgency_of(2, 0)
    assert urgency_of(1, 2) == urgency_of(1, 9)
    assert urgency_of(0) > urgency_of(1) > urgency_of(2)


def test_few_instances_do_not_share_their_wait_queues() -> None:
    shared = SharedWaitQueues()
    shared.set_peer_count(16)
    assert not shared.is_in_use
    assert shared.draw_urgency("s", -2, random.Random(1), 0.0) == -2
    shared.set_peer_count(17)
    assert shared.is_in_use


TRAITS = EngineProperties(slots=6, memory_tokens=1000, handle_lifetime_s=0.5, role_switch_s=6.0)


@given(
    st.lists(st.lists(st.integers(1, 400), max_size=5), min_size=1, max_size=5),
    st.integers(1, 500),
    st.integers(1, 400),
)
def test_counted_capacity_can_be_used(
    placed: list[list[int]], own_tokens: int, tokens: int
) -> None:
    """As many streams as are counted can be placed, one after the other."""
    capacity = Capacity()
    size = StreamSize(own_tokens, 0, 1.0)
    for number, stream_tokens in enumerate(placed):
        name = f"e{number}"
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", "a", "s", Role.DECODE, 6))
        for key, placed_tokens in enumerate(stream_tokens):
            reservation = StreamSize(placed_tokens, 0, 1.0).make_reservation(name, 0.0)
            capacity.reserve(f"{name}/{key}", reservation)
    context = PlacementContext("a", frozenset(), 0.0, random.Random(1))
    found = choose_decode("s", size, TRAITS, capacity, context)
    if found is None:
        return
    own_reservation = size.make_reservation(found.name, 0.0)
    count = count_fitting_streams(
        "s", tokens, TRAITS, capacity, context, placed_first=own_reservation
    )
    capacity.reserve("own", own_reservation)
    for key in range(count):
        other = StreamSize(tokens, 0, 1.0)
        chosen = choose_decode("s", other, TRAITS, capacity, context)
        assert chosen is not None
        capacity.reserve(f"ahead/{key}", other.make_reservation(chosen.name, 0.0))
