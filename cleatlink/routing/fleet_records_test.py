"""Registrations under any order of writes, backups, restores, lost history and late responses.

A model of the store runs with instances that read it, watch it and send each other their records.
After any sequence of events, once the running endpoints have registered again and an instance has
received these registrations, it knows exactly the registrations that the store holds.
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


class Response(NamedTuple):
    """A response of the store about registrations."""

    records: list[EndpointRecord]
    revision: StoreRevision
    is_full: bool


class ModelStore:
    """Registrations, a history of changes, an epoch (`era`), and backups of them."""

    def __init__(self) -> None:
        self.era = 1
        self.number = 1
        self.items: dict[str, EndpointRecord] = {}
        self.history: list[EndpointRecord] = []
        self.history_begin = 0

    @property
    def revision(self) -> StoreRevision:
        return StoreRevision(self.era, self.number)

    def write(self, name: str, *, is_registered: bool) -> None:
        self.number += 1
        record = EndpointRecord(name, self.revision, endpoint(name) if is_registered else None)
        if is_registered:
            self.items[name] = record
        else:
            self.items.pop(name, None)
        self.history.append(record)

    def back_up(self) -> tuple[int, dict[str, EndpointRecord], list[EndpointRecord]]:
        return self.number, dict(self.items), list(self.history)

    def restore(self, backup: tuple[int, dict[str, EndpointRecord], list[EndpointRecord]]) -> None:
        self.number, items, history = backup
        self.era += 1
        self.items = dict(items)
        self.history = list(history)

    def read(self) -> Response:
        return Response(
            [self._in_current_era(item) for item in self.items.values()], self.revision, True
        )

    def watch(self, after: StoreRevision) -> Response | None:
        """Return the changes since a revision; None if the history does not cover them."""
        if not self.history_begin <= after.number <= self.number:
            return None
        changes = [item for item in self.history if item.revision.number > after.number]
        return Response([self._in_current_era(item) for item in changes], self.revision, False)

    def _in_current_era(self, record: EndpointRecord) -> EndpointRecord:
        """Return a record as the store sends it: with its number, and the era of the response."""
        return record._replace(revision=StoreRevision(self.era, record.revision.number))


class Instance:
    """The part of an instance that decides which registrations it knows."""

    def __init__(self) -> None:
        self.records = FleetRecords()
        self.era = 0

    def apply(self, response: Response) -> bool:
        """Apply a response; return whether it was usable."""
        if response.revision.era < self.era:
            return False
        self.era = response.revision.era
        if not response.is_full and response.revision.era != self.records.complete_revision.era:
            return False
        records = response.records
        if response.is_full:
            records = self.records.changes_in_full_list(records, response.revision)
        self._apply_records(records, response.revision)
        return True

    def update_from(self, store: ModelStore) -> None:
        """Watch for changes, or read everything if the changes are not usable."""
        response = (
            store.watch(self.records.complete_revision)
            if self.records.complete_revision.number
            else None
        )
        if response is None or not self.apply(response):
            assert self.apply(store.read())

    def receive(self, peer: "Instance") -> None:
        """Apply all records of a peer."""
        revision = peer.records.complete_revision
        records = self.records.changes_in_peer_snapshot(list(peer.records.records), revision)
        self._apply_records(records, revision)

    def _apply_records(self, records: list[EndpointRecord], revision: StoreRevision) -> None:
        for record in records:
            self.records.offer_record(record)
        self.records.note_complete(revision)

    def known_names(self) -> set[str]:
        return {item.name for item in self.records.records if item.endpoint is not None}


def endpoint(name: str) -> RoutedEndpoint:
    return RoutedEndpoint(name, "127.0.0.1:1", "a", "s", Role.PLAIN, 4)


class StoreMachine(RuleBasedStateMachine):
    """Any sequence of events at the store, the endpoints and the instances."""

    def __init__(self) -> None:
        super().__init__()
        self.store = ModelStore()
        self.backup = self.store.back_up()
        self.instances = [Instance() for _ in range(INSTANCES)]
        self.late_responses: list[Response] = []
        self.running: set[str] = set()
        self.last_revisions = [NO_REVISION] * INSTANCES

    @rule(name=st.sampled_from(NAMES))
    def register(self, name: str) -> None:
        self.running.add(name)
        self.store.write(name, is_registered=True)

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name: str) -> None:
        self.running.discard(name)
        self.store.write(name, is_registered=False)

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name: str) -> None:
        """An endpoint ends without removing its registration, which expires later."""
        self.running.discard(name)

    @rule()
    def back_up(self) -> None:
        self.backup = self.store.back_up()

    @rule()
    def restore(self) -> None:
        self.store.restore(self.backup)

    @rule()
    def lose_history(self) -> None:
        self.store.history.clear()
        self.store.history_begin = self.store.number

    @rule(number=st.integers(0, INSTANCES - 1))
    def update(self, number: int) -> None:
        self.instances[number].update_from(self.store)

    @rule(number=st.integers(0, INSTANCES - 1))
    def restart(self, number: int) -> None:
        """An instance restarts without any records."""
        self.instances[number] = Instance()
        self.last_revisions[number] = NO_REVISION

    @rule()
    def delay_a_response(self) -> None:
        self.late_responses.append(self.store.read())

    @rule(number=st.integers(0, INSTANCES - 1))
    def receive_late_responses(self, number: int) -> None:
        """Responses of an earlier era arrive late and are rejected.

        Responses of the current era never arrive that late.
        """
        for response in self.late_responses:
            if response.revision.era < self.instances[number].era:
                assert not self.instances[number].apply(response)

    @rule(sender=st.integers(0, INSTANCES - 1), receiver=st.integers(0, INSTANCES - 1))
    def send(self, sender: int, receiver: int) -> None:
        self.instances[receiver].receive(self.instances[sender])

    @invariant()
    def revisions_never_decrease(self) -> None:
        for number, instance in enumerate(self.instances):
            assert instance.records.complete_revision >= self.last_revisions[number]
            self.last_revisions[number] = instance.records.complete_revision

    def teardown(self) -> None:
        """Finally, running endpoints register again, and the registrations of others expire."""
        for name in NAMES:
            is_registered = name in self.store.items
            if is_registered is not (name in self.running):
                self.store.write(name, is_registered=name in self.running)
        for instance in self.instances:
            instance.update_from(self.store)
            assert instance.known_names() == self.running
        for sender in self.instances:
            for receiver in self.instances:
                receiver.receive(sender)
                assert receiver.known_names() == self.running


TestRestoredStore = StoreMachine.TestCase
TestRestoredStore.settings = settings(max_examples=600, stateful_step_count=25, deadline=None)


def test_revision_of_a_later_era_is_newer_whatever_its_number() -> None:
    assert StoreRevision(2, 1) > StoreRevision(1, 1_000_000)
    records = FleetRecords()
    assert records.offer_record(EndpointRecord("x", StoreRevision(1, 50), endpoint("x")))
    assert records.offer_record(EndpointRecord("x", StoreRevision(2, 3), None))
    assert records.offer_record(EndpointRecord("x", StoreRevision(1, 60), endpoint("x"))) is None
    assert records.was_removed(endpoint("x"))


def test_peer_that_missed_a_removal_does_not_bring_the_endpoint_back() -> None:
    records = FleetRecords()
    records.note_complete(StoreRevision(1, 100))
    assert records.offer_record(EndpointRecord("x", StoreRevision(1, 50), endpoint("x"))) is None
    assert records.offer_record(EndpointRecord("x", StoreRevision(1, 101), endpoint("x")))


def test_registration_missing_after_a_restore_is_removed_by_a_peers_records() -> None:
    records = FleetRecords()
    records.offer_record(EndpointRecord("x", StoreRevision(1, 50), endpoint("x")))
    records.offer_record(EndpointRecord("y", StoreRevision(1, 51), endpoint("y")))
    records.note_complete(StoreRevision(1, 60))
    received = [
        EndpointRecord("y", StoreRevision(2, 4), endpoint("y")),
        # A record that the peer had before the restore, without a later change.
        EndpointRecord("x", StoreRevision(1, 50), endpoint("x")),
    ]
    changes = records.changes_in_peer_snapshot(received, StoreRevision(2, 5))
    assert {(item.name, item.endpoint is None) for item in changes} == {("x", True), ("y", False)}
