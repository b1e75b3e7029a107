"""Registrations under any order of writes, copies, restores, cuts and late answers.

A simple model of a store stands beside instances that read it, watch it and tell each other what
they know. Whatever happened before: once those that live have written themselves again and an
instance has heard of it, it knows what the store holds, and no more.
"""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cleatlink.core.data import Role
from cleatlink.core.revisions import NO_REVISION, StoreRevision
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords

NAMES = ("x", "y")
INSTANCES = 2


class Answer(NamedTuple):
    """What the store told of registrations."""

    records: list[EndpointRecord]
    revision: StoreRevision
    is_whole: bool


class ModelStore:
    """Items, a history, an era, and copies of all of it."""

    def __init__(self) -> None:
        self.era = 1
        self.number = 1
        self.items: dict[str, EndpointRecord] = {}
        self.history: list[EndpointRecord] = []
        self.forgotten = 0

    @property
    def revision(self) -> StoreRevision:
        return StoreRevision(self.era, self.number)

    def write(self, name: str, *, there: bool) -> None:
        self.number += 1
        record = EndpointRecord(name, self.revision, endpoint(name) if there else None)
        if there:
            self.items[name] = record
        else:
            self.items.pop(name, None)
        self.history.append(record)

    def copy(self) -> tuple[int, dict[str, EndpointRecord], list[EndpointRecord]]:
        return self.number, dict(self.items), list(self.history)

    def restore(self, copy: tuple[int, dict[str, EndpointRecord], list[EndpointRecord]]) -> None:
        self.number, items, history = copy
        self.era += 1
        self.items = dict(items)
        self.history = list(history)

    def read(self) -> Answer:
        return Answer([self._now(item) for item in self.items.values()], self.revision, True)

    def watch(self, after: StoreRevision) -> Answer | None:
        """Tell the changes since a number; None where they are gone."""
        if not self.forgotten <= after.number <= self.number:
            return None
        changes = [item for item in self.history if item.revision.number > after.number]
        return Answer([self._now(item) for item in changes], self.revision, False)

    def _now(self, record: EndpointRecord) -> EndpointRecord:
        """Give a record as the store tells it: with its number, and the era of the answer."""
        return record._replace(revision=StoreRevision(self.era, record.revision.number))


class Reader:
    """An instance's side, as far as it decides what is known."""

    def __init__(self) -> None:
        self.records = FleetRecords()
        self.era = 0

    def take(self, answer: Answer) -> bool:
        """Take an answer; tells whether it was of use."""
        if answer.revision.era < self.era:
            return False
        self.era = answer.revision.era
        if not answer.is_whole and answer.revision.era != self.records.revision.era:
            return False
        records = answer.records
        if answer.is_whole:
            records = self.records.changes_of_list(records, answer.revision)
        self._offer(records, answer.revision)
        return True

    def follow(self, store: ModelStore) -> None:
        """Watch, and read everything where that is of no use."""
        answer = store.watch(self.records.revision) if self.records.revision.number else None
        if answer is None or not self.take(answer):
            assert self.take(store.read())

    def hear(self, peer: "Reader") -> None:
        """Take all that a peer knows."""
        revision = peer.records.revision
        records = self.records.changes_of_snapshot(list(peer.records.records), revision)
        self._offer(records, revision)

    def _offer(self, records: list[EndpointRecord], revision: StoreRevision) -> None:
        for record in records:
            self.records.offer_record(record)
        self.records.note_complete(revision)

    def known(self) -> set[str]:
        return {item.name for item in self.records.records if item.endpoint is not None}


def endpoint(name: str) -> RoutedEndpoint:
    return RoutedEndpoint(name, "127.0.0.1:1", "a", "s", Role.PLAIN, 4)


class RestoredStore(RuleBasedStateMachine):
    """Any order of what can happen."""

    def __init__(self) -> None:
        super().__init__()
        self.store = ModelStore()
        self.copy = self.store.copy()
        self.readers = [Reader() for _ in range(INSTANCES)]
        self.late: list[Answer] = []
        self.alive: set[str] = set()
        self.seen = [NO_REVISION] * INSTANCES

    @rule(name=st.sampled_from(NAMES))
    def register(self, name: str) -> None:
        self.alive.add(name)
        self.store.write(name, there=True)

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name: str) -> None:
        self.alive.discard(name)
        self.store.write(name, there=False)

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name: str) -> None:
        """An endpoint ends, and its registration lapses later if it is still there."""
        self.alive.discard(name)

    @rule()
    def take_copy(self) -> None:
        self.copy = self.store.copy()

    @rule()
    def restore(self) -> None:
        self.store.restore(self.copy)

    @rule()
    def forget_history(self) -> None:
        self.store.history.clear()
        self.store.forgotten = self.store.number

    @rule(number=st.integers(0, INSTANCES - 1))
    def follow(self, number: int) -> None:
        self.readers[number].follow(self.store)

    @rule(number=st.integers(0, INSTANCES - 1))
    def join(self, number: int) -> None:
        """An instance starts anew, with nothing."""
        self.readers[number] = Reader()
        self.seen[number] = NO_REVISION

    @rule()
    def delay_an_answer(self) -> None:
        self.late.append(self.store.read())

    @rule(number=st.integers(0, INSTANCES - 1))
    def take_a_late_answer(self, number: int) -> None:
        """A whole list of an earlier era arrives; one of this era is never that late."""
        for answer in self.late:
            if answer.revision.era < self.readers[number].era:
                assert not self.readers[number].take(answer)

    @rule(teller=st.integers(0, INSTANCES - 1), hearer=st.integers(0, INSTANCES - 1))
    def tell(self, teller: int, hearer: int) -> None:
        self.readers[hearer].hear(self.readers[teller])

    @invariant()
    def nobody_goes_back(self) -> None:
        for number, reader in enumerate(self.readers):
            assert reader.records.revision >= self.seen[number]
            self.seen[number] = reader.records.revision

    def teardown(self) -> None:
        """In the end those that live and are not there write themselves again; others lapse."""
        for name in NAMES:
            is_there = name in self.store.items
            if is_there is not (name in self.alive):
                self.store.write(name, there=name in self.alive)
        for reader in self.readers:
            reader.follow(self.store)
            assert reader.known() == self.alive
        for teller in self.readers:
            for hearer in self.readers:
                hearer.hear(teller)
                assert hearer.known() == self.alive


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = settings(max_examples=600, stateful_step_count=25, deadline=None)


def test_later_era_goes_before_any_number() -> None:
    assert StoreRevision(2, 1) > StoreRevision(1, 1_000_000)
    records = FleetRecords()
    assert records.offer_record(EndpointRecord("x", StoreRevision(1, 50), endpoint("x")))
    assert records.offer_record(EndpointRecord("x", StoreRevision(2, 3), None))
    assert records.offer_record(EndpointRecord("x", StoreRevision(1, 60), endpoint("x"))) is None
    assert records.was_removed(endpoint("x"))


def test_peer_that_did_not_see_it_go_brings_nothing_back() -> None:
    records = FleetRecords()
    records.note_complete(StoreRevision(1, 100))
    assert records.offer_record(EndpointRecord("x", StoreRevision(1, 50), endpoint("x"))) is None
    assert records.offer_record(EndpointRecord("x", StoreRevision(1, 101), endpoint("x")))


def test_what_was_lost_with_a_copy_is_gone_on_the_word_of_a_peer() -> None:
    records = FleetRecords()
    records.offer_record(EndpointRecord("x", StoreRevision(1, 50), endpoint("x")))
    records.offer_record(EndpointRecord("y", StoreRevision(1, 51), endpoint("y")))
    records.note_complete(StoreRevision(1, 60))
    told = [
        EndpointRecord("y", StoreRevision(2, 4), endpoint("y")),
        # What the peer knew before, and has not heard of since.
        EndpointRecord("x", StoreRevision(1, 50), endpoint("x")),
    ]
    changes = records.changes_of_snapshot(told, StoreRevision(2, 5))
    assert {(item.name, item.endpoint is None) for item in changes} == {("x", True), ("y", False)}
