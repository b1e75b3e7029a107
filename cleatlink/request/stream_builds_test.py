"""Tests of the records of the builds at which streams began."""

from cleatlink.request.stream_builds import StreamBuild, StreamBuildRecords, stream_key

KEY = stream_key("first", "r1")


def test_record_lasts_until_the_caller_no_longer_waits() -> None:
    records = StreamBuildRecords()
    records.add(StreamBuild(KEY, "v1", 5.0), 100.0)
    assert records.find(KEY, 104.9) == ("v1",)
    assert records.find(KEY, 105.0) == ()
    records.remove_expired(105.0)
    assert len(records) == 0


def test_expired_record_is_not_added() -> None:
    records = StreamBuildRecords()
    records.add(StreamBuild(KEY, "v1", -1.0), 100.0)
    records.add(StreamBuild(KEY, "v1", float("nan")), 100.0)
    assert len(records) == 0


def test_infinite_deadline_is_bounded() -> None:
    records = StreamBuildRecords()
    records.add(StreamBuild(KEY, "v1", float("inf")), 100.0)
    assert records.find(KEY, 100.0) == ("v1",)
    assert records.find(KEY, 701.0) == ()


def test_one_identifier_for_streams_of_two_builds_is_ambiguous() -> None:
    records = StreamBuildRecords()
    for build in ("v1", "v2", "v1"):
        records.add(StreamBuild(KEY, build, 5.0), 100.0)
    assert records.find(KEY, 100.0) == ("v1", "v2")
    assert [stream.build for stream in records.streams(100.0)] == ["v1", "v2"]


def test_organisation_is_part_of_the_key() -> None:
    assert stream_key("second", "r1") != KEY
    assert stream_key("a", "br1") != stream_key("ab", "r1")


def test_number_of_records_is_bounded() -> None:
    records = StreamBuildRecords()
    for number in range(50_010):
        records.add(StreamBuild(b"%d" % number, "v1", 5.0), 100.0)
    assert len(records) == 50_000
    assert records.find(b"0", 100.0) == ()
