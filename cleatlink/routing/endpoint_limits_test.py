"""Limits that endpoints name: whose word counts, how calls stand in line, many instances."""

import random
from typing import NamedTuple

import pytest

from cleatlink.limits import PeerTotals
from cleatlink.routing.endpoint_limits import EndpointLimits, LimitWord

LIFE = "i-1"
# A span within which calls are counted, in seconds, and how many of them are bearable.
SPAN_S = 4.0


def limited(rate_per_s: float = 2.0, now: float = 0.0) -> EndpointLimits:
    limits = EndpointLimits(0.0)
    limits.note_answer(LIFE, rate_per_s, now)
    return limits


def test_without_a_limit_nothing_waits_and_nothing_is_kept() -> None:
    limits = EndpointLimits(0.0)
    assert limits.due_in_s(LIFE, 1.0) == 0.0
    assert limits.book("a", LIFE, 1.0) == 1.0
    limits.note_sent(LIFE, 1.0)
    assert limits.totals(1.0, whole=True) == {}
    assert limits.pause_s(LIFE) == 0.0


def test_calls_stand_in_line() -> None:
    limits = limited(2.0)
    assert [limits.book(key, LIFE, 10.0) for key in "abc"] == pytest.approx([10.0, 10.2, 10.7])
    assert limits.due_in_s(LIFE, 10.0) == pytest.approx(1.2)


def test_call_that_leaves_the_line_gives_its_turn_to_the_next() -> None:
    limits = limited(2.0)
    for key in "abc":
        limits.book(key, LIFE, 10.0)
    limits.give_up("b", 10.0)
    limits.give_up("b", 10.0)
    assert limits.due_in_s(LIFE, 10.0) == pytest.approx(0.7)
    assert limits.totals(10.0) == {LIFE: 3}
    assert limits.returned(10.0) == {LIFE: 1}


def test_call_that_was_sent_gives_nothing_back() -> None:
    limits = limited(2.0)
    limits.book("a", LIFE, 10.0)
    limits.note_sent(LIFE, 10.0)
    limits.give_up("a", 10.1)
    assert limits.totals(10.1) == {LIFE: 1}
    assert limits.returned(10.1) == {}


def test_call_that_nobody_booked_counts_when_it_is_sent() -> None:
    limits = limited(2.0)
    limits.note_sent(LIFE, 10.0)
    limits.note_sent(LIFE, 10.0)
    assert limits.level(LIFE, 10.0) == pytest.approx(1.6 - 2)
    assert limits.totals(10.0) == {LIFE: 2}


def test_everybody_is_told_of_a_unit_at_once() -> None:
    limits, told = limited(2.0), []
    limits.listen(lambda: told.append(True))
    limits.book("a", LIFE, 10.0)
    limits.give_up("a", 10.0)
    limits.note_sent(LIFE, 10.0)
    assert len(told) == 3


def test_limit_ends_with_an_answer_that_no_longer_names_it() -> None:
    limits = limited(2.0, now=10.0)
    # Answers can overtake each other.
    assert not limits.note_answer(LIFE, None, 10.2)
    assert limits.rate_per_s(LIFE) == 2.0
    assert limits.note_answer(LIFE, None, 10.7)
    assert limits.rate_per_s(LIFE) is None
    assert limits.due_in_s(LIFE, 10.7) == 0.0


def test_limit_that_is_named_again_begins_empty_and_totals_never_fall() -> None:
    limits = limited(2.0)
    limits.note_sent(LIFE, 10.0)
    limits.note_answer(LIFE, None, 11.0)
    limits.note_answer(LIFE, 2.0, 20.0)
    assert limits.level(LIFE, 20.0) == 0.0
    limits.note_sent(LIFE, 21.0)
    assert limits.totals(21.0) == {LIFE: 2}


def test_limit_that_goes_up_and_down_gives_nothing_on_top() -> None:
    limits = limited(2.0, now=10.0)
    for step in range(10):
        limits.note_answer(LIFE, 200.0 if step % 2 else 2.0, 10.0)
    assert limits.level(LIFE, 10.0) == 0.0


def test_newest_word_wins_whoever_heard_it() -> None:
    limits = limited(2.0, now=10.0)
    assert not limits.note_told(LimitWord(LIFE, 9.0, 5.0), 11.0)
    assert limits.note_told(LimitWord(LIFE, 3.0, 0.5), 11.0)
    assert limits.rate_per_s(LIFE) == 3.0
    assert limits.note_told(LimitWord(LIFE, 0.0, 0.1), 11.0)
    assert limits.rate_per_s(LIFE) is None


def test_only_what_was_heard_itself_is_repeated_and_all_is_told_to_who_is_new() -> None:
    limits = limited(2.0, now=10.0)
    limits.note_told(LimitWord("i-2", 3.0, 1.0), 10.0)
    assert limits.words(10.5, 10) == [LimitWord(LIFE, 2.0, 0.5)]
    assert {word.life for word in limits.words(10.5, 10, all_known=True)} == {LIFE, "i-2"}
    assert len(limits.words(10.5, 1, all_known=True)) == 1


def test_limit_that_nobody_has_heard_of_for_long_is_over() -> None:
    limits = limited(2.0, now=10.0)
    limits.note_sent(LIFE, 10.0)
    limits.forget(60.0)
    assert limits.rate_per_s(LIFE) == 2.0
    limits.forget(71.0)
    assert limits.rate_per_s(LIFE) is None
    limits.forget(700.0)
    assert limits.totals(700.0, whole=True) == {}


class Pattern(NamedTuple):
    """A case of the model.

    Attributes:
        demand: Calls a second, in all.
        spread: Share of the instances that callers reach.
        cut: Whether the two halves do not hear each other for a while.
        restarts: Whether some instances start anew.
        rate_per_s: What the endpoint takes; a third of it from the middle on if it falls.
        falls: Whether it falls.
    """

    demand: float = 40.0
    spread: float = 1.0
    cut: bool = False
    restarts: bool = False
    rate_per_s: float = 3.0
    falls: bool = False


PATTERNS = {
    "usual": Pattern(),
    "all at one": Pattern(spread=0.0),
    "crowd": Pattern(demand=400.0),
    "cut": Pattern(cut=True),
    "restarts": Pattern(restarts=True),
    "falls": Pattern(rate_per_s=9.0, falls=True),
    "rare": Pattern(rate_per_s=0.5),
    "high": Pattern(rate_per_s=40.0, demand=120.0),
}


class Model:
    """Instances that send to one endpoint, with datagrams that are late and get lost."""

    TICK_S = 0.005
    LENGTH_S = 24.0
    BEAT_S = 1.0
    # Seconds that a call waits for its turn at the most.
    PATIENCE_S = 0.3
    LOSS = 0.02

    def __init__(self, pattern: Pattern, count: int, seed: int) -> None:
        self.pattern = pattern
        self.count = count
        self.rng = random.Random(seed)
        self.fleet = [EndpointLimits(0.0) for _ in range(count)]
        self.incarnations = [1] * count
        self.began_at = [0.0] * count
        self.heard_at = [[0.0] * count for _ in range(count)]
        self.post: list[tuple[float, int, int, PeerTotals, list[LimitWord]]] = []
        self.sends: list[tuple[float, int]] = []
        self.arrived: list[float] = []
        self.keys = 0
        self.dirty = [False] * count
        for number in range(count):
            self.listen(number)

    def listen(self, number: int) -> None:
        """Have an instance's units told at the next tick."""

        def note() -> None:
            self.dirty[number] = True

        self.fleet[number].listen(note)

    def rate(self, now: float) -> float:
        """Give what the endpoint says that it takes."""
        falls = self.pattern.falls and now >= self.LENGTH_S / 2
        return self.pattern.rate_per_s / (3 if falls else 1)

    def is_cut(self, one: int, other: int, now: float) -> bool:
        """Tell whether two instances do not reach each other."""
        sides = one < self.count / 2, other < self.count / 2
        return self.pattern.cut and 8 <= now < 14 and sides[0] != sides[1]

    def tell(self, number: int, now: float, *, whole: bool = False) -> None:
        """Have an instance tell all others."""
        limits = self.fleet[number]
        totals = PeerTotals(
            str(number),
            self.incarnations[number],
            limits.totals(now, whole=whole),
            limits.spenders,
            now - self.began_at[number],
            limits.returned(now, whole=whole),
        )
        for other in range(self.count):
            if other == number or self.is_cut(number, other, now):
                continue
            if self.rng.random() >= self.LOSS:
                delay_s = 0.003 + 0.007 * self.rng.random()
                self.post.append((now + delay_s, number, other, totals, limits.words(now, 9)))

    def play(self) -> None:
        """Play the whole pattern."""
        for tick in range(int(self.LENGTH_S / self.TICK_S)):
            now = tick * self.TICK_S
            self.deliver(now)
            for number in range(self.count):
                if (tick + 37 * number) % int(self.BEAT_S / self.TICK_S) == 0:
                    self.tell(number, now)
                if self.pattern.restarts and number % 4 == 0 and tick == 1600 + 40 * number:
                    self.restart(number, now)
                if self.dirty[number]:
                    self.dirty[number] = False
                    self.tell(number, now)
            self.send(now)
            self.arrive(now)

    def restart(self, number: int, now: float) -> None:
        """Start an instance anew; it is told what the others know."""
        self.fleet[number] = EndpointLimits(now)
        self.listen(number)
        self.incarnations[number] += 1
        self.began_at[number] = now
        self.tell(number, now)
        for other in range(self.count):
            if other != number:
                self.tell(other, now, whole=True)

    def deliver(self, now: float) -> None:
        """Give what has arrived to whom it was sent, and note who is heard."""
        due = [item for item in self.post if item[0] <= now]
        self.post = [item for item in self.post if item[0] > now]
        for _, sender, receiver, totals, words in due:
            self.heard_at[receiver][sender] = now
            for word in words:
                self.fleet[receiver].note_told(word, now)
            self.fleet[receiver].take_totals(totals, now)
        if int(now / self.TICK_S) % 20 == 0:
            for number, limits in enumerate(self.fleet):
                heard = sum(now - at <= 1.6 for at in self.heard_at[number])
                limits.note_heard(min(1.0, max(1, heard) / max(1, self.count - 1)), now)

    def send(self, now: float) -> None:
        """Send the calls whose turn has come, and hear what their answers say."""
        due = sorted(item for item in self.sends if item[0] <= now)
        self.sends = [item for item in self.sends if item[0] > now]
        for _, number in due:
            self.fleet[number].note_sent(LIFE, now)
            self.arrived.append(now)
            self.fleet[number].note_answer(LIFE, self.rate(now), now)

    def arrive(self, now: float) -> None:
        """Have callers come: those that can't be sent soon go to another endpoint."""
        expected = self.pattern.demand * self.TICK_S
        calls = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(calls):
            number = int(self.pattern.spread * self.rng.random() * self.count)
            limits = self.fleet[number]
            if limits.due_in_s(LIFE, now) > self.PATIENCE_S:
                continue
            self.keys += 1
            self.sends.append((limits.book(str(self.keys), LIFE, now), number))

    def fullest(self, begin_s: float, end_s: float) -> int:
        """Give the most calls that arrived within a span, of those in a part of the time."""
        times = [at for at in self.arrived if begin_s <= at < end_s]
        return max((sum(0 <= at - first < SPAN_S for at in times) for first in times), default=0)


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("count", [8, 60])
def test_limit_holds_over_many_instances_and_is_used(pattern: str, count: int) -> None:
    model = Model(PATTERNS[pattern], count, seed=count)
    model.play()
    half = model.LENGTH_S / 2
    for begin_s, end_s in ((2.0, half), (half + 2.0, model.LENGTH_S)):
        rate = model.rate(begin_s)
        assert model.fullest(begin_s, end_s) <= 1.5 * rate * SPAN_S + 5
        used = sum(begin_s <= at < end_s for at in model.arrived)
        share = 0.4 if model.pattern.cut else 0.85
        assert used >= share * rate * (end_s - begin_s) - 1
