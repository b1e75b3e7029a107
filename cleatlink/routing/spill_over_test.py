"""Streams that go to another data centre before their own is full.

The replay feeds arrivals, and what instances know of each other's work, to the placement.
Work at a data centre is known to its own instances at once, to the others up to a second later;
a tenth of it is heard only then, everywhere. An engine turns away what it has no memory for.
"""

import heapq
import itertools
import math
import random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineTraits, RoutedEndpoint
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism, Switches
from cleatlink.routing.relay_place import Seeker, StreamSize, place_decode, place_prefill
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.spill_over import CROSSING_SHARE, ONLY_IF_FULL, SpillOver, prompt_waits

PLACES = ("a", "b", "c")
MEMORY = 1000
TRAITS = EngineTraits(slots=40, memory_tokens=MEMORY, handle_lifetime_s=0.5, role_switch_s=6.0)
SIZE = StreamSize(100, 0, 1.0)
AGAIN_S = 0.1
LATE_S = 0.05


class Arrival(NamedTuple):
    """A stream that comes to an instance of a data centre."""

    at: float
    number: int
    place: str
    instance: int


class Replay:
    """Instances of three data centres, and their engines."""

    def __init__(
        self,
        instances: int,
        without: Mechanism | None = None,
        near_s: float = 0.0,
        engines: int = 3,
    ) -> None:
        """Start without work.

        Args:
            instances: How many instances there are.
            without: What is switched off.
            near_s: Up to how long work takes to be known at its data centre.
            engines: How many each data centre has.
        """
        self.waits_s: dict[Arrival, float] = {}
        self.crossed = 0
        self._rng = random.Random(3)
        self._near_s = near_s
        switches = Switches(frozenset() if without is None else frozenset({without}))
        count = max(1, instances // len(PLACES))
        self._views = {place: [Capacity(switches) for _ in range(count)] for place in PLACES}
        for view in itertools.chain(*self._views.values()):
            view.spill_over.note_peers(60)
            view.waiting.note_peers(60)
            for place, number in itertools.product(PLACES, range(engines)):
                name = f"{place}{number}"
                endpoint = RoutedEndpoint(name, "127.0.0.1:1", place, "s", Role.DECODE, 40)
                view.set_endpoint(endpoint)
        self._held = {f"{place}{number}": 0 for place in PLACES for number in range(engines)}
        self._events: list[tuple[float, int, object, object]] = []
        self._count = itertools.count()

    def run(self, arrivals: list[Arrival]) -> None:
        """Play arrivals to the end."""
        for arrival in arrivals:
            self._later(arrival.at, self._come, arrival)
        while self._events:
            now, _, act, argument = heapq.heappop(self._events)
            act(argument, now)  # type: ignore[operator]

    @property
    def late(self) -> float:
        """The share of streams that were turned away or had to wait."""
        return sum(wait_s > LATE_S for wait_s in self.waits_s.values()) / len(self.waits_s)

    def _later(self, at: float, act: object, argument: object) -> None:
        heapq.heappush(self._events, (at, next(self._count), act, argument))

    def _come(self, arrival: Arrival, now: float) -> None:
        views = self._views[arrival.place]
        view = views[arrival.instance % len(views)]
        seeker = Seeker(arrival.place, frozenset(), now, self._rng)
        found = place_decode("s", SIZE, TRAITS, view, seeker)
        if found is None or self._held[found.name] + SIZE.prompt > MEMORY:
            if found is not None:
                view.note_full(found.name, now)
            self._later(now + AGAIN_S, self._come, arrival)
            return
        self.waits_s[arrival] = now - arrival.at
        self.crossed += found.data_centre != arrival.place
        self._held[found.name] += SIZE.prompt
        self._later(now + SIZE.duration_s, self._end, found.name)
        self._tell(str(arrival.number), SIZE.reserve(found.name, now), arrival.place, view, now)

    def _end(self, name: str, now: float) -> None:
        self._held[name] -= SIZE.prompt

    def _tell(self, key: str, work: Reservation, place: str, own: Capacity, now: float) -> None:
        for other, views in self._views.items():
            for view in views:
                is_near = other in {place, work.endpoint[0]}
                at = now + self._rng.uniform(0.25, 1.0)
                if is_near and self._rng.random() > 0.1:
                    at = now + self._rng.uniform(0.0, self._near_s)
                if view is own:
                    at = now
                self._later(at, self._hear, (view, key, work))
                self._later(max(at, work.ends_at) + 0.01, self._forget, (view, key))

    def _hear(self, told: tuple[Capacity, str, Reservation], now: float) -> None:
        told[0].peer_reserve("n", told[1], told[2])

    def _forget(self, told: tuple[Capacity, str], now: float) -> None:
        told[0].peer_release("n", told[1])


def waves(instances: int, *, swing: float, per_s: float = 22.0) -> list[Arrival]:
    """Give arrivals of 10 s whose rate goes up and down, a third of a wave apart."""
    rng = random.Random(4)
    found = []
    for number, place in enumerate(PLACES):
        now = 0.0
        while now < 10.0:
            phase = 2 * math.pi * (now / 8 + number / len(PLACES))
            now += rng.expovariate(per_s * (1 + swing * math.sin(phase)))
            found.append((now, place, rng.randrange(instances)))
    return [Arrival(at, number, *rest) for number, (at, *rest) in enumerate(sorted(found))]


def compare(arrivals: list[Arrival], instances: int) -> tuple[Replay, Replay]:
    """Play arrivals in the present way and with crossings before all is full."""
    present, spilled = Replay(instances, Mechanism.SPILL_OVER), Replay(instances)
    for replay in (present, spilled):
        replay.run(arrivals)
    return present, spilled


@pytest.mark.parametrize("instances", [8, 60, 90, 360])
def test_waves_out_of_phase_make_fewer_streams_late(instances: int) -> None:
    """Each data centre is full at its wave's height, while the two others have room."""
    arrivals = waves(instances, swing=0.7)
    present, spilled = compare(arrivals, instances)
    assert spilled.late < 0.7 * present.late


@pytest.mark.parametrize("instances", [60, 90])
def test_endpoint_that_looks_best_to_all_is_not_chosen_by_all(instances: int) -> None:
    """Two holds of three were refused, mostly by engines that looked half empty.

    All instances chose the engine that looked best, which is the one whose work they had not
    heard of yet. An instance's view was some tens to hundreds of ms old.
    """
    arrivals = waves(instances, swing=0.0, per_s=60.0)
    best = Replay(instances, Mechanism.TWO_CHOICES, near_s=0.2, engines=8)
    two = Replay(instances, near_s=0.2, engines=8)
    for replay in (best, two):
        replay.run(arrivals)
    assert two.late < 0.7 * best.late


def test_even_demand_stays_at_home() -> None:
    arrivals = waves(60, swing=0.0, per_s=15.0)
    present, spilled = compare(arrivals, 60)
    assert spilled.crossed <= present.crossed + 0.02 * len(arrivals)
    assert spilled.late <= present.late


def spilling(crossing_share: float = CROSSING_SHARE) -> SpillOver:
    """Give a choice that is in use."""
    spill_over = SpillOver()
    spill_over.crossing_share = crossing_share
    spill_over.note_peers(60)
    return spill_over


@given(st.floats(0.0, 3.0), st.floats(0.0, 3.0), st.floats(0.01, 5.0))
def test_two_data_centres_never_send_each_other_their_load(
    one: float, other: float, crossing_share: float
) -> None:
    spill_over = spilling(crossing_share)
    assert not (spill_over.crosses(one, other) and spill_over.crosses(other, one))


@given(st.floats(0.0, 9.0), st.floats(0.0, 9.0))
def test_few_instances_cross_only_where_nothing_else_has_room(near: float, far: float) -> None:
    spill_over = SpillOver()
    spill_over.note_peers(16)
    assert spill_over.crosses(near, far) == (far + ONLY_IF_FULL < near)


def test_cost_that_an_operator_states_decides() -> None:
    assert spilling().crosses(0.95, 0.4)
    assert not spilling().crosses(0.95, 0.8)
    assert not spilling().crosses(0.8, 0.0)
    assert not spilling(1.0).crosses(0.95, 0.0)
    assert spilling(1.0).crosses(math.inf, 0.9)


def test_prompt_waits_count_as_shares_of_the_target() -> None:
    waits = prompt_waits({"a": 0.6, "b": 0.1}, {"a", "b", "c"}, 1.0, 0.25)
    assert waits == pytest.approx({"a": 0.35, "b": 0.1, "c": 0.35})
    assert prompt_waits({}, {"a"}, 1.0, 0.25) == {}
    assert prompt_waits({"a": 0.6}, {"a"}, math.inf, 0.25) == {}


def test_prompt_does_not_cross_for_less_than_the_crossing_costs() -> None:
    """Prompts crossed for a queue of 45 ms, and took hundreds of megabytes with them."""
    capacity = Capacity()
    for place in ("a", "b"):
        name = f"p{place}"
        capacity.set_endpoint(RoutedEndpoint(name, "127.0.0.1:1", place, "s", Role.PREFILL, 4))
    capacity.reserve("k", Reservation("pa", Role.PREFILL, 4000, 1.0, 1.0))
    queue_s = capacity.queue_s("pa")
    seeker = Seeker("a", frozenset(), 0.0, random.Random(1))
    assert queue_s > capacity.pace("s").prompt_s(1500)

    def goes_to(target_s: float) -> str:
        found = place_prefill("s", capacity, seeker, "a", target_s=target_s)
        assert found is not None
        return found.data_centre

    assert goes_to(1.0) == "b"
    capacity.spill_over.note_peers(60)
    assert goes_to(1.0) == "a"
    assert goes_to(0.3) == "b"
