"""Log lines with and without a prefix, in compressed files, and unreadable ones."""

import gzip
from pathlib import Path

from cleatlink.analysis.log_reader import LogReader

LINE = (
    '{"message_type": "relay: caller retried after a refusal", "timestamp": 7.5, '
    '"request": "r1", "age_ms": 3}'
)


def test_line_may_have_prefix_of_timestamp_and_instance_name(tmp_path: Path) -> None:
    file = tmp_path / "n1.log"
    file.write_text(f"{LINE}\n  12.25 front-2 {LINE}\n")
    first, second = LogReader([file])
    assert (first.timestamp_s, first.instance, first.message_type) == (
        7.5,
        "n1",
        "relay: caller retried after a refusal",
    )
    assert (second.timestamp_s, second.instance, second.request_id) == (12.25, "front-2", "r1")
    assert second.number("age_ms") == 3
    assert second.number("request") == 0


def test_gzip_files_are_read_and_truncated_file_is_counted(tmp_path: Path) -> None:
    complete, truncated = tmp_path / "a.gz", tmp_path / "b.gz"
    compressed = gzip.compress(f"{LINE}\n".encode() * 500)
    complete.write_bytes(compressed)
    truncated.write_bytes(compressed[: len(compressed) // 2])
    reader = LogReader([complete, truncated])
    assert len(list(reader)) >= 500
    assert reader.unreadable == {"truncated or invalid gzip file": 1}


def test_unreadable_lines_are_counted_by_reason(tmp_path: Path) -> None:
    file = tmp_path / "n1.log"
    file.write_bytes(
        b"Traceback\n\n{broken\n"
        + b'{"timestamp": 1}\n{"message_type": 3, "timestamp": 1}\n\xff{\n'
    )
    reader = LogReader([file])
    assert list(reader) == []
    assert reader.unreadable == {
        "no JSON object": 1,
        "invalid JSON": 2,
        "message_type or timestamp is missing or invalid": 2,
    }


def test_reported_progress_adds_up_to_file_sizes(tmp_path: Path) -> None:
    byte_counts: list[int] = []
    files = [tmp_path / "a.log", tmp_path / "b.log.gz"]
    files[0].write_text(f"{LINE}\n" * 3000)
    files[1].write_bytes(gzip.compress(f"{LINE}\n".encode() * 3000))
    assert len(list(LogReader(files, byte_counts.append))) == 6000
    assert sum(byte_counts) == sum(file.stat().st_size for file in files)
