"""Lists parts of prompts that were in progress at crashes, and the decisions about them."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

from cleatlink.analysis.log_reader import LogLine

__all__ = ["PartRow", "PartTable"]

_CRASH_MESSAGE = "endpoint: crashed with requests in progress"
_FAILURE_MESSAGE = "relay: endpoint failed the request"
_HELD_BACK_MESSAGE = "quarantine: prompts with these parts are held back after crashes"
_ANSWER_MESSAGE = "quarantine: answer goes on; clearing its prompt of earlier crashes"
_REFUSAL_MESSAGE = "relay: request refused: it is in quarantine"


class PartRow(NamedTuple):
    """One part of prompts.

    Attributes:
        part: Digest of the part.
        name: Name of the part in requests; empty if no line has it.
        endpoint_count: Number of endpoints that crashed while prompts with it were in progress.
        request_count: Number of requests with it that were in progress at these crashes.
        quarantined_at: Time of its first quarantine, in seconds; None if it was never quarantined.
        refusal_count: Number of attempts that were refused because of the part.
        clearance_count: Number of times that an answer cleared it of earlier crashes.
    """

    part: str
    name: str
    endpoint_count: int
    request_count: int
    quarantined_at: float | None
    refusal_count: int
    clearance_count: int


class PartTable:
    """Collects crashes and decisions by the parts of prompts."""

    def __init__(self) -> None:
        self._endpoints: dict[str, set[str]] = defaultdict(set)
        self._requests: dict[str, set[str]] = defaultdict(set)
        self._names: dict[str, str] = {}
        self._quarantined_at: dict[str, float] = {}
        self._refusal_counts: Counter[str] = Counter()
        self._clearance_counts: Counter[str] = Counter()

    def add(self, line: LogLine) -> None:
        """Add a log line; lines about anything else are ignored."""
        if line.message_type == _CRASH_MESSAGE:
            self._add_crash(line)
        elif line.message_type == _HELD_BACK_MESSAGE:
            for part in _read_list(line.fields.get("parts")):
                self._quarantined_at.setdefault(part, line.timestamp_s)
        elif line.message_type == _ANSWER_MESSAGE:
            self._clearance_counts.update(_read_list(line.fields.get("cleared")))
        elif line.message_type in (_FAILURE_MESSAGE, _REFUSAL_MESSAGE):
            names = _read_map(line.fields.get("parts"))
            self._names.update({part: str(name) for part, name in names.items()})
            if line.message_type == _REFUSAL_MESSAGE:
                self._refusal_counts.update(names.keys())

    def _add_crash(self, line: LogLine) -> None:
        for identity, parts in _read_map(line.fields.get("parts")).items():
            for part in _read_list(parts):
                self._endpoints[part].add(str(line.fields.get("endpoint")))
                self._requests[part].add(identity)

    def rows(self) -> Iterator[PartRow]:
        """Yield parts that were at two or more crashes or quarantined, most crashes first."""
        for part, endpoints in sorted(self._endpoints.items(), key=lambda item: -len(item[1])):
            quarantined_at = self._quarantined_at.get(part)
            if len(endpoints) > 1 or quarantined_at is not None:
                yield PartRow(
                    part,
                    self._names.get(part, ""),
                    len(endpoints),
                    len(self._requests[part]),
                    quarantined_at,
                    self._refusal_counts[part],
                    self._clearance_counts[part],
                )


def _read_list(value: Any) -> list[str]:
    return [str(item) for item in value] if isinstance(value, list) else []


def _read_map(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}
