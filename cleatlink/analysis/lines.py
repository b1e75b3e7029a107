"""Reads lines of logs as the programs wrote them, or as something put a time before them.

A line is one JSON object. What stands before it may be the seconds of a clock and
the name of an instance, as log collectors and test benches add. Files that end in
``.gz`` are unpacked while they are read. Lines that can't be read are counted and
never fatal.
"""

import gzip
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import IO, Any, NamedTuple

import msgspec

__all__ = ["LogLine", "LogReader"]

_MOST_LINE_BYTES = 65_536
_DECODER = msgspec.json.Decoder(dict[str, Any])


class LogLine(NamedTuple):
    """One line.

    Attributes:
        at: Seconds, of the clock before the line or of the instance that wrote it.
        instance: Who wrote it; the file's name where the line does not tell.
        message: What happened.
        fields: The rest of the line.
    """

    at: float
    instance: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """The request that it is about; empty for none."""
        return str(self.fields.get("request", ""))

    def number(self, name: str, default: float = 0.0) -> float:
        """Give a field that is a number."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, int | float) else default


class LogReader:
    """Reads files one after the other and counts what it can't read."""

    def __init__(self, paths: Sequence[Path], on_bytes: Callable[[int], None] | None = None):
        """Prepare to read.

        Args:
            paths: The files.
            on_bytes: Told how many bytes of a file, as it lies on the disk, were read.
        """
        self._paths = paths
        self._on_bytes = on_bytes or (lambda _: None)
        self.unread: Counter[str] = Counter()
        self.read = 0

    def __iter__(self) -> Iterator[LogLine]:
        """Give the lines.

        Raises:
            OSError: A file can't be opened.
        """
        for path in self._paths:
            yield from self._read_file(path)

    def _read_file(self, path: Path) -> Iterator[LogLine]:
        with path.open("rb") as raw:
            if path.suffix != ".gz":
                yield from self._read_lines(raw, raw, path.stem)
                return
            try:
                with gzip.open(raw) as unpacked:
                    yield from self._read_lines(unpacked, raw, path.stem)
            except (EOFError, gzip.BadGzipFile):
                self.unread["a packed file that ends too early"] += 1

    def _read_lines(
        self, file: IO[bytes] | gzip.GzipFile, raw: IO[bytes], instance: str
    ) -> Iterator[LogLine]:
        told = 0
        while data := file.readline(_MOST_LINE_BYTES):
            line = self._parse(data, instance)
            if line is not None:
                self.read += 1
                yield line
            told, before = raw.tell(), told
            self._on_bytes(told - before)

    def _parse(self, data: bytes, instance: str) -> LogLine | None:
        data = data.strip()
        start = data.find(b"{")
        if not data:
            return None
        if start < 0:
            self.unread["no JSON object"] += 1
            return None
        try:
            fields = _DECODER.decode(data[start:])
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.unread["broken JSON"] += 1
            return None
        message = fields.pop("message_type", None)
        written_at = fields.pop("timestamp", None)
        if not isinstance(message, str) or not isinstance(written_at, int | float):
            self.unread["no message_type or timestamp"] += 1
            return None
        at, name = _read_prefix(data[:start])
        return LogLine(float(written_at) if at is None else at, name or instance, message, fields)


def _read_prefix(prefix: bytes) -> tuple[float | None, str]:
    """Read the time and the name that stand before a line, if they do."""
    words = prefix.decode("utf-8", "replace").split()
    if not words:
        return None, ""
    try:
        at: float | None = float(words[0])
    except ValueError:
        return None, words[0]
    return at, words[1] if len(words) > 1 else ""
