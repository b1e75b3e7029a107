"""What an instance answers to peers is encoded once for each change, not for each asker."""

import pytest

from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import CallerLimits, RouteTable
from cleatlink.relay.peers.deflate import decompress
from cleatlink.relay.peers.encoded_parts import EncodedParts
from cleatlink.relay.peers.messages import encode
from cleatlink.relay.peers.snapshots import Part, Snapshot, decode_snapshot
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords


def table_of(revision: int) -> RouteTable:
    return RouteTable(revision, (), {}, CallerLimits())


def record_of(name: str, revision: int) -> EndpointRecord:
    return EndpointRecord(name, StoreRevision(2, revision), None)


@pytest.fixture
def records() -> FleetRecords:
    known = FleetRecords()
    known.offer_table(table_of(3))
    known.offer_record(record_of("one", 7))
    known.note_complete(StoreRevision(2, 8))
    return known


@pytest.mark.parametrize("part", Part)
@pytest.mark.parametrize("is_compressed", [False, True])
def test_second_asker_costs_no_encoding(
    records: FleetRecords, part: Part, is_compressed: bool
) -> None:
    parts = EncodedParts(records)
    first = parts.get(part, is_compressed=is_compressed)
    assert parts.get(part, is_compressed=is_compressed) is first


def test_table_is_not_encoded_again_when_registrations_change(records: FleetRecords) -> None:
    parts = EncodedParts(records)
    before = parts.get(Part.TABLE, is_compressed=True)
    records.offer_record(record_of("two", 9))
    records.note_complete(StoreRevision(2, 9))
    assert parts.get(Part.TABLE, is_compressed=True) is before


def test_registrations_are_not_encoded_again_when_the_table_changes(records: FleetRecords) -> None:
    parts = EncodedParts(records)
    before = parts.get(Part.REGISTRATIONS, is_compressed=True)
    records.offer_table(table_of(4))
    assert parts.get(Part.REGISTRATIONS, is_compressed=True) is before


def test_registration_that_is_not_the_newest_is_told_too(records: FleetRecords) -> None:
    parts = EncodedParts(records)
    parts.get(Part.REGISTRATIONS, is_compressed=True)
    newest = records.newest
    records.offer_record(record_of("late", 6))
    assert records.newest == newest
    data = parts.get(Part.REGISTRATIONS, is_compressed=True)
    names = [item.name for item in decode_snapshot(decompress(data, 10_000)).records]
    assert names == ["one", "late"]


@pytest.mark.parametrize("is_compressed", [False, True])
def test_each_part_holds_what_its_name_says(records: FleetRecords, is_compressed: bool) -> None:
    parts = EncodedParts(records)

    def read(part: Part) -> Snapshot:
        data = parts.get(part, is_compressed=is_compressed)
        return decode_snapshot(decompress(data, 10_000) if is_compressed else data)

    for revision in (4, 5):
        records.offer_table(table_of(revision))
        records.offer_record(record_of("one", 6 + revision))
        table, records_alone = read(Part.TABLE), read(Part.REGISTRATIONS)
        assert table == Snapshot(table_of(revision), [], 0)
        assert records_alone.table is None
        assert records_alone.endpoint_records() == list(records.records)
        assert records_alone.complete_revision == StoreRevision(2, 8)
        assert read(Part.WHOLE).table == table_of(revision)
        assert read(Part.WHOLE).endpoint_records() == list(records.records)


def test_whole_without_compression_is_what_earlier_builds_were_answered(
    records: FleetRecords,
) -> None:
    data = EncodedParts(records).get(Part.WHOLE, is_compressed=False)
    assert data == encode(Snapshot.of(records.table, records.records, records.revision))


@pytest.mark.parametrize(
    ("target", "part"),
    [
        (b"/table", Part.TABLE),
        (b"/table?x=1", Part.TABLE),
        (b"/registrations", Part.REGISTRATIONS),
        (b"/snapshot", Part.WHOLE),
        (b"/", Part.WHOLE),
        (b"/table/", Part.WHOLE),
        (b"*", Part.WHOLE),
    ],
)
def test_path_that_is_not_known_means_everything(target: bytes, part: Part) -> None:
    assert Part.of_target(target) is part
