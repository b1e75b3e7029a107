"""Waiting over all instances, replayed on loads that were seen or are feared.

A replay feeds arrivals, ends of streams and what instances hear of each other to the
decisions. What is heard is 0.25 to 1 s old, and a part of it is lost. The present way, each
instance by itself, gets the same arrivals.
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
from cleatlink.core.routes import EngineTraits, RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.relay_place import Seeker, StreamSize, count_places, place_decode
from cleatlink.routing.shared_waiting import (
    HEAD_START_S,
    NOBODY_AHEAD,
    Ahead,
    Claim,
    LeftRoom,
    SharedWaiting,
    WaitingGroup,
    WaitingReport,
    due_at,
    rank,
)
from cleatlink.routing.waiting import WaitingRoom

SIZES = [8, 60, 90, 360]
TICK_S = 0.05
TOLD_EACH_S = 0.25
STREAM_S = 1.0
PATIENCE_S = 6.0
TARGETS_S = {0: 0.8, 1: 1.0, 2: 2.0}


class Arrival(NamedTuple):
    """A stream that comes to an instance."""

    at: float
    instance: int
    priority: int


class Replay:
    """Some instances and the places that they share."""

    def __init__(self, instances: int, places: int, *, shared: bool, seed: int = 1) -> None:
        self.waits_s: dict[Arrival, float] = {}
        self.deaf: set[int] = set()
        self._rng = random.Random(seed)
        self._shared = [SharedWaiting(is_on=shared) for _ in range(instances)]
        self._rooms = [WaitingRoom() for _ in range(instances)]
        for one, room in zip(self._shared, self._rooms, strict=True):
            one.note_peers(10_000)
            if shared:
                room.head_start_s = HEAD_START_S
        self._is_shared = shared
        self._free = places
        self._left: list[Arrival] = []
        self._left_room: dict[Arrival, tuple[LeftRoom, float]] = {}
        self._full_at = -1.0
        self._step = 0
        self._now = 0.0
        self._ends: list[float] = []
        self._mail: list[tuple[float, int, WaitingReport]] = []
        self._numbers: dict[int, int] = defaultdict(int)
        self._told: set[int] = set()

    def run(self, arrivals: Iterable[Arrival], until: float) -> None:
        """Play arrivals from the start to a time."""
        self._left = sorted(arrivals)
        self.go_on(until)

    def go_on(self, until: float) -> None:
        """Play on to a time."""
        while self._step * TICK_S < until:
            step, now = self._step, self._step * TICK_S
            self._step += 1
            over = [end for end in self._ends if end <= now]
            self._free += len(over)
            self._ends = [end for end in self._ends if end > now]
            self._deliver(now)
            while self._left and self._left[0].at <= now:
                self._come(self._left.pop(0), now)
            order = list(range(len(self._rooms)))
            self._rng.shuffle(order)
            for instance in order:
                self._now = now
                if self._free and len(self._rooms[instance]):
                    self._rooms[instance].offer()
                if self._is_shared and (step + instance) % int(TOLD_EACH_S / TICK_S) == 0:
                    self._tell(instance, now)

    def served(self, arrivals: Sequence[Arrival], priority: int) -> float:
        """Give the share of a priority's streams that was served at all."""
        mine = [item for item in arrivals if item.priority == priority]
        return sum(item in self.waits_s for item in mine) / len(mine)

    def in_time(self, arrivals: Sequence[Arrival], priority: int) -> float:
        """Give the share of a priority's streams that was served in time."""
        mine = [item for item in arrivals if item.priority == priority]
        waits_s = (self.waits_s.get(item, PATIENCE_S) for item in mine)
        return sum(wait_s <= TARGETS_S[priority] for wait_s in waits_s) / len(mine)

    def _come(self, arrival: Arrival, now: float) -> None:
        self._now = now
        urgency = -arrival.priority
        if self._is_shared:
            urgency = rank(arrival.priority)
            shared = self._shared[arrival.instance]
            urgency = shared.draw_urgency("s", urgency, self._rng, now)
        room = self._rooms[arrival.instance]
        attempt = partial(self._attempt, arrival, urgency)
        late_at = arrival.at + TARGETS_S[arrival.priority]
        if room.must_wait("s", urgency, arrival.at) or not attempt():
            room.add(
                "s",
                urgency,
                arrival.at,
                attempt,
                lambda: self._now > late_at,
                tokens=100,
                late_at=late_at,
            )

    def _attempt(self, arrival: Arrival, urgency: int) -> bool:
        """Try to place a stream; one whose caller has left ends its wait without a place."""
        if self._now - arrival.at > PATIENCE_S:
            return True
        left, tried_at = self._left_room.get(arrival, (LeftRoom(), self._now))
        self._left_room[arrival] = left, self._now
        if self._full_at >= tried_at:
            left.note_none()
        if self._free < 1:
            return False
        is_late = self._now - arrival.at > TARGETS_S[arrival.priority]
        claim = Claim("s", due_at(arrival.at, urgency), is_late)
        ahead = self._shared[arrival.instance].ahead(claim, self._now)
        if not left.may_take(ahead, self._free - 1, self._now):
            return False
        self._free -= 1
        if not self._free:
            self._full_at = self._now
        self._ends.append(self._now + STREAM_S)
        self.waits_s[arrival] = self._now - arrival.at
        return True

    def _tell(self, instance: int, now: float) -> None:
        groups = tuple(self._rooms[instance].groups(now))
        if not groups and instance not in self._told:
            return
        if groups:
            self._told.add(instance)
        else:
            self._told.remove(instance)
        self._numbers[instance] += 1
        number = self._numbers[instance]
        report = WaitingReport(str(instance), 1, number, "a", groups)
        for other in range(len(self._rooms)):
            is_lost = self._rng.random() < 0.1 or {instance, other} & self.deaf
            if other != instance and not is_lost:
                self._mail.append((now + self._rng.uniform(0.0, 0.5), other, report))

    def _deliver(self, now: float) -> None:
        due = [item for item in self._mail if item[0] <= now]
        self._mail = [item for item in self._mail if item[0] > now]
        for _, other, report in due:
            self._shared[other].note(report, now)


def steady(
    per_s: float, priority: int, instances: int, span: tuple[float, float], seed: int
) -> list[Arrival]:
    """Give arrivals at a rate, spread over instances by chance."""
    rng = random.Random(seed)
    count = int(per_s * (span[1] - span[0]))
    times = sorted(rng.uniform(*span) for _ in range(count))
    return [Arrival(at, rng.randrange(instances), priority) for at in times]


def compare(arrivals: list[Arrival], instances: int, until: float = 11.0) -> list[Replay]:
    """Play arrivals in the present way and with shared waiting, with room for 20 a second."""
    replays = [Replay(instances, 20, shared=shared) for shared in (False, True)]
    for replay in replays:
        replay.run(arrivals, until)
    return replays


@pytest.mark.parametrize("instances", SIZES)
def test_flood_of_the_least_urgent_leaves_room_to_urgent_streams(instances: int) -> None:
    """On the heaviest day the most urgent streams earned less of their worth than the least.

    Each waited at an instance of its own while others placed what had just come to them.
    """
    arrivals = [
        *steady(6, 0, instances, (0.0, 6.0), 1),
        *steady(6, 1, instances, (0.0, 6.0), 2),
        *steady(30, 2, instances, (1.0, 5.0), 3),
    ]
    present, shared = compare(arrivals, instances)
    assert present.in_time(arrivals, 0) < 0.8
    assert shared.in_time(arrivals, 0) > 0.95
    assert shared.in_time(arrivals, 1) > present.in_time(arrivals, 1)
    assert shared.served(arrivals, 2) > 0.6 * present.served(arrivals, 2)


@pytest.mark.parametrize("instances", SIZES)
def test_flood_of_the_most_urgent_starves_nobody(instances: int) -> None:
    """Urgent streams alone ask for more than there is: the others still get a part."""
    arrivals = [
        *steady(40, 0, instances, (0.0, 6.0), 1),
        *steady(6, 2, instances, (0.0, 6.0), 2),
    ]
    _, shared = compare(arrivals, instances)
    assert shared.served(arrivals, 2) > 0.25 * shared.served(arrivals, 0)


@pytest.mark.parametrize("instances", SIZES)
def test_after_a_restart_of_all_urgent_streams_go_first_within_a_second(instances: int) -> None:
    """Nobody has heard of anybody, and all callers come back within a tenth of a second."""
    arrivals = [
        *steady(150, 0, instances, (0.0, 0.1), 1),
        *steady(600, 2, instances, (0.0, 0.1), 2),
        *steady(6, 0, instances, (1.0, 5.0), 3),
    ]
    present, shared = compare(arrivals, instances, 7.0)
    later = [arrival for arrival in arrivals if arrival.at >= 1.0]
    assert shared.in_time(later, 0) > 0.9 > present.in_time(later, 0)


@pytest.mark.parametrize("instances", SIZES)
def test_cut_of_the_fullest_data_centre_holds_nothing_up(instances: int) -> None:
    """A third of the instances, with most of what waits, is not heard from 2 s on."""
    arrivals = [
        *steady(6, 0, instances, (0.0, 6.0), 1),
        *steady(20, 2, instances, (0.0, 6.0), 2),
        *steady(15, 0, instances // 3, (0.0, 2.0), 3),
    ]
    present, whole, cut = (Replay(instances, 20, shared=way) for way in (False, True, True))
    for replay in (present, whole, cut):
        replay.run(arrivals, 2.0)
        replay.deaf = set(range(instances // 3)) if replay is cut else set()
        replay.go_on(11.0)
    assert len(cut.waits_s) > 0.95 * len(whole.waits_s)
    assert cut.in_time(arrivals, 0) > present.in_time(arrivals, 0)


GROUPS = st.builds(
    WaitingGroup,
    service=st.just("s"),
    urgency=st.integers(-200, 0),
    is_late=st.booleans(),
    streams=st.integers(1, 5),
    tokens=st.integers(1, 9_000),
    oldest_s=st.floats(0.0, 20.0),
    spare_s=st.floats(-5.0, 5.0),
)


@given(st.lists(GROUPS, min_size=1, max_size=12))
def test_somebody_is_always_first(groups: list[WaitingGroup]) -> None:
    """If each saw another one ahead, room would stay empty."""
    now = 100.0
    heard = []
    for own, _ in enumerate(groups):
        shared = SharedWaiting()
        for number, group in enumerate(groups):
            if number != own:
                report = WaitingReport(str(number), 1, 1, "a", (group,))
                shared.note(report, now)
        heard.append(shared)
    claims = [
        Claim(
            "s",
            due_at(now - group.oldest_s, group.urgency),
            group.is_late or group.spare_s < 0,
        )
        for group in groups
    ]
    ahead = [shared.ahead(claim, now) for shared, claim in zip(heard, claims, strict=True)]
    assert NOBODY_AHEAD in ahead


@given(GROUPS, st.floats(1.0, 60.0))
def test_what_is_stale_holds_nothing_up(group: WaitingGroup, age_s: float) -> None:
    shared = SharedWaiting()
    shared.note(WaitingReport("n1", 1, 1, "a", (group,)), 0.0)
    assert shared.ahead(Claim("s", 1e9, True), age_s) == NOBODY_AHEAD


def test_older_and_doubled_reports_change_nothing() -> None:
    group = WaitingGroup("s", 0, False, 3, 300, 1.0)
    shared = SharedWaiting()
    claim = Claim("s", 100.0, False)
    shared.note(WaitingReport("n1", 1, 2, "a", (group,)), 0.0)
    shared.note(WaitingReport("n1", 1, 1, "a", ()), 0.0)
    shared.note(WaitingReport("n1", 1, 2, "a", ()), 0.0)
    assert shared.ahead(claim, 0.1) == Ahead(3, 100)
    assert shared.counts("s", 0.1) == {"a": 3}
    shared.note(WaitingReport("n1", 2, 1, "a", ()), 0.0)
    assert shared.ahead(claim, 0.1) == NOBODY_AHEAD
    shared.note(WaitingReport("n2", 1, 1, "a", (group,)), 0.0)
    shared.forget("n2")
    assert shared.ahead(claim, 0.1) == NOBODY_AHEAD


def test_priority_of_an_organisation_goes_before_that_of_its_routes() -> None:
    """All streams of a deployment were alike: its organisations had one priority.

    The routes' own was not looked at then, and the most urgent did worse than the least.
    """
    assert rank(1, 0) > rank(1, 1) > rank(1, 2) > rank(2, 0)
    assert rank(1, 2) == rank(1, 9)
    assert rank(0) > rank(1) > rank(2)


def test_few_instances_tell_each_other_nothing() -> None:
    shared = SharedWaiting()
    shared.note_peers(16)
    assert not shared.is_in_use
    assert shared.draw_urgency("s", -2, random.Random(1), 0.0) == -2
    shared.note_peers(17)
    assert shared.is_in_use


TRAITS = EngineTraits(slots=6, memory_tokens=1000, handle_lifetime_s=0.5, role_switch_s=6.0)


@given(
    st.lists(st.lists(st.integers(1, 400), max_size=5), min_size=1, max_size=5),
    st.integers(1, 500),
    st.integers(1, 400),
)
def test_room_that_is_left_is_there(placed: list[list[int]], own: int, tokens: int) -> None:
    """All the places that are counted can be taken, one after the other."""
    capacity = Capacity()
    size = StreamSize(own, 0, 1.0)
    for number, work in enumerate(placed):
        name = f"e{number}"
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", "a", "s", Role.DECODE, 6))
        for key, held in enumerate(work):
            item = StreamSize(held, 0, 1.0).reserve(name, 0.0)
            capacity.reserve(f"{name}/{key}", item)
    seeker = Seeker("a", frozenset(), 0.0, random.Random(1))
    found = place_decode("s", size, TRAITS, capacity, seeker)
    if found is None:
        return
    beside = size.reserve(found.name, 0.0)
    places = count_places("s", tokens, TRAITS, capacity, seeker, beside=beside)
    capacity.reserve("own", beside)
    for key in range(places):
        other = StreamSize(tokens, 0, 1.0)
        place = place_decode("s", other, TRAITS, capacity, seeker)
        assert place is not None
        capacity.reserve(f"ahead/{key}", other.reserve(place.name, 0.0))
