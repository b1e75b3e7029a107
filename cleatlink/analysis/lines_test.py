"""Lines of logs: with and without a prefix, packed, and unreadable ones."""

import gzip
from pathlib import Path

from cleatlink.analysis.lines import LogReader

LINE = (
    '{"message_type": "relay: caller retried after a refusal", "timestamp": 7.5, '
    '"request": "r1", "age_ms": 3}'
)


def test_line_stands_alone_or_behind_a_time_and_a_name(tmp_path: Path) -> None:
    file = tmp_path / "n1.log"
    file.write_text(f"{LINE}\n  12.25 front-2 {LINE}\n")
    first, second = LogReader([file])
    assert (first.at, first.instance, first.message) == (
        7.5,
        "n1",
        "relay: caller retried after a refusal",
    )
    assert (second.at, second.instance, second.request) == (12.25, "front-2", "r1")
    assert second.number("age_ms") == 3
    assert second.number("request") == 0


def test_packed_files_are_read_and_one_cut_short_is_told_of(tmp_path: Path) -> None:
    whole, cut = tmp_path / "a.gz", tmp_path / "b.gz"
    packed = gzip.compress(f"{LINE}\n".encode() * 500)
    whole.write_bytes(packed)
    cut.write_bytes(packed[: len(packed) // 2])
    reader = LogReader([whole, cut])
    assert len(list(reader)) >= 500
    assert reader.unread == {"a packed file that ends too early": 1}


def test_unreadable_lines_are_counted_by_what_is_wrong(tmp_path: Path) -> None:
    file = tmp_path / "n1.log"
    file.write_bytes(
        b"Traceback\n\n{broken\n"
        + b'{"timestamp": 1}\n{"message_type": 3, "timestamp": 1}\n\xff{\n'
    )
    reader = LogReader([file])
    assert list(reader) == []
    assert reader.unread == {
        "no JSON object": 1,
        "broken JSON": 2,
        "no message_type or timestamp": 2,
    }


def test_progress_adds_up_to_the_size_of_the_files(tmp_path: Path) -> None:
    told: list[int] = []
    files = [tmp_path / "a.log", tmp_path / "b.log.gz"]
    files[0].write_text(f"{LINE}\n" * 3000)
    files[1].write_bytes(gzip.compress(f"{LINE}\n".encode() * 3000))
    assert len(list(LogReader(files, told.append))) == 6000
    assert sum(told) == sum(file.stat().st_size for file in files)
