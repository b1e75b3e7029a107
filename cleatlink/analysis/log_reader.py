"""Reads log files, as written by the relay or with a prefix added to each line.

A line is one JSON object. Log collectors and test benches may add a prefix: a timestamp in seconds,
the name of an instance, or both. Files with the suffix ``.gz`` are decompressed while they are
read. Unreadable lines are counted and skipped.
"""

import gzip
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import IO, Any, NamedTuple

import msgspec

__all__ = ["LogLine", "LogReader"]

_MAX_LINE_BYTES = 65_536
_DECODER = msgspec.json.Decoder(dict[str, Any])


class LogLine(NamedTuple):
    """One log line.

    Attributes:
        timestamp_s: Time in seconds, from the prefix or else from the line itself.
        instance: Name of the instance from the prefix, or else the name of the file.
        message_type: The event that the line reports.
        fields: All other fields of the line.
    """

    timestamp_s: float
    instance: str
    message_type: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """ID of the request that the line is about; empty if there is none."""
        return str(self.fields.get("request", ""))

    def number(self, name: str, default: float = 0.0) -> float:
        """Return the value of a field, or the default if it is missing or not a number."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, int | float) else default


class LogReader:
    """Reads files one after the other and counts the unreadable lines by reason."""

    def __init__(self, paths: Sequence[Path], on_bytes: Callable[[int], None] | None = None):
        """Prepare to read.

        Args:
            paths: The files.
            on_bytes: Called with the number of bytes read since the last call. Bytes of compressed
                files are counted as stored.
        """
        self._paths = paths
        self._on_bytes = on_bytes or (lambda _: None)
        self.unreadable: Counter[str] = Counter()
        self.line_count = 0

    def __iter__(self) -> Iterator[LogLine]:
        """Yield the readable lines of all files.

        Raises:
            OSError: A file can't be opened.
        """
        for path in self._paths:
            yield from self._read_file(path)

    def _read_file(self, path: Path) -> Iterator[LogLine]:
        with path.open("rb") as raw_file:
            if path.suffix != ".gz":
                yield from self._read_lines(raw_file, raw_file, path.stem)
                return
            try:
                with gzip.open(raw_file) as unpacked_file:
                    yield from self._read_lines(unpacked_file, raw_file, path.stem)
            except (EOFError, gzip.BadGzipFile):
                self.unreadable["truncated or invalid gzip file"] += 1

    def _read_lines(
        self, file: IO[bytes] | gzip.GzipFile, raw_file: IO[bytes], default_instance: str
    ) -> Iterator[LogLine]:
        position = 0
        while data := file.readline(_MAX_LINE_BYTES):
            line = self._parse(data, default_instance)
            if line is not None:
                self.line_count += 1
                yield line
            position, last_position = raw_file.tell(), position
            self._on_bytes(position - last_position)

    def _parse(self, data: bytes, default_instance: str) -> LogLine | None:
        data = data.strip()
        start = data.find(b"{")
        if not data:
            return None
        if start < 0:
            self.unreadable["no JSON object"] += 1
            return None
        try:
            fields = _DECODER.decode(data[start:])
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.unreadable["invalid JSON"] += 1
            return None
        message_type = fields.pop("message_type", None)
        written_at = fields.pop("timestamp", None)
        if not isinstance(message_type, str) or not isinstance(written_at, int | float):
            self.unreadable["message_type or timestamp is missing or invalid"] += 1
            return None
        prefix_timestamp_s, prefix_instance = _parse_prefix(data[:start])
        return LogLine(
            float(written_at) if prefix_timestamp_s is None else prefix_timestamp_s,
            prefix_instance or default_instance,
            message_type,
            fields,
        )


def _parse_prefix(prefix: bytes) -> tuple[float | None, str]:
    """Return the timestamp and the instance name in a line's prefix; both may be missing."""
    words = prefix.decode("utf-8", "replace").split()
    if not words:
        return None, ""
    try:
        timestamp_s: float | None = float(words[0])
    except ValueError:
        return None, words[0]
    return timestamp_s, words[1] if len(words) > 1 else ""
