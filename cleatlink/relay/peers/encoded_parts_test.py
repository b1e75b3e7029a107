"""Tests that copied state is encoded once for each change, not for each requesting peer."""

import pytest

from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import CallerLimits, RouteTable
from cleatlink.relay.peers.deflate import decompress
from cleatlink.relay.peers.encoded_parts import EncodedParts
from cleatlink.relay.peers.messages import encode
from cleatlink.relay.peers.snapshots import Snapshot, SnapshotPart, decode_snapshot
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords


def create_table(revision: int) -> RouteTable:
    return RouteTable(revision, (), {}, CallerLimits())


def create_record(name: str, revision: int) -> EndpointRecord:
    return EndpointRecord(name, StoreRevision(2, revision), None)


@pytest.fixture
def records() -> FleetRecords:
    records = FleetRecords()
    records.offer_table(create_table(3))
    records.offer_record(create_record("one", 7))
    records.note_complete(StoreRevision(2, 8))
    return records


@pytest.mark.parametrize("part", SnapshotPart)
@pytest.mark.parametrize("is_compressed", [False, True])
def test_second_request_reuses_the_encoding(
    records: FleetRecords, part: SnapshotPart, is_compressed: bool
) -> None:
    parts = EncodedParts(records)
    first = parts.get(part, is_compressed=is_compressed)
    assert parts.get(part, is_compressed=is_compressed) is first


def test_table_is_not_encoded_again_when_registrations_change(records: FleetRecords) -> None:
    parts = EncodedParts(records)
    before = parts.get(SnapshotPart.TABLE, is_compressed=True)
    records.offer_record(create_record("two", 9))
    records.note_complete(StoreRevision(2, 9))
    assert parts.get(SnapshotPart.TABLE, is_compressed=True) is before


def test_registrations_are_not_encoded_again_when_the_table_changes(records: FleetRecords) -> None:
    parts = EncodedParts(records)
    before = parts.get(SnapshotPart.REGISTRATIONS, is_compressed=True)
    records.offer_table(create_table(4))
    assert parts.get(SnapshotPart.REGISTRATIONS, is_compressed=True) is before


def test_late_registration_with_an_older_revision_is_included(records: FleetRecords) -> None:
    parts = EncodedParts(records)
    parts.get(SnapshotPart.REGISTRATIONS, is_compressed=True)
    newest = records.newest_record_revision
    records.offer_record(create_record("late", 6))
    assert records.newest_record_revision == newest
    data = parts.get(SnapshotPart.REGISTRATIONS, is_compressed=True)
    names = [item.name for item in decode_snapshot(decompress(data, 10_000)).records]
    assert names == ["one", "late"]


@pytest.mark.parametrize("is_compressed", [False, True])
def test_each_part_contains_only_its_own_state(records: FleetRecords, is_compressed: bool) -> None:
    parts = EncodedParts(records)

    def read(part: SnapshotPart) -> Snapshot:
        data = parts.get(part, is_compressed=is_compressed)
        return decode_snapshot(decompress(data, 10_000) if is_compressed else data)

    for revision in (4, 5):
        records.offer_table(create_table(revision))
        records.offer_record(create_record("one", 6 + revision))
        table, registrations = read(SnapshotPart.TABLE), read(SnapshotPart.REGISTRATIONS)
        assert table == Snapshot(create_table(revision), [], 0)
        assert registrations.table is None
        assert registrations.endpoint_records() == list(records.records)
        assert registrations.complete_revision == StoreRevision(2, 8)
        assert read(SnapshotPart.WHOLE).table == create_table(revision)
        assert read(SnapshotPart.WHOLE).endpoint_records() == list(records.records)


def test_uncompressed_whole_state_equals_the_answer_of_earlier_builds(
    records: FleetRecords,
) -> None:
    data = EncodedParts(records).get(SnapshotPart.WHOLE, is_compressed=False)
    assert data == encode(
        Snapshot.from_records(records.table, records.records, records.complete_revision)
    )


@pytest.mark.parametrize(
    ("target", "part"),
    [
        (b"/table", SnapshotPart.TABLE),
        (b"/table?x=1", SnapshotPart.TABLE),
        (b"/registrations", SnapshotPart.REGISTRATIONS),
        (b"/snapshot", SnapshotPart.WHOLE),
        (b"/", SnapshotPart.WHOLE),
        (b"/table/", SnapshotPart.WHOLE),
        (b"*", SnapshotPart.WHOLE),
    ],
)
def test_unknown_path_requests_the_whole_state(target: bytes, part: SnapshotPart) -> None:
    assert SnapshotPart.from_path(target) is part
