"""What engines did: room reserved, prompts computed, forecasts and changes of role."""

from collections import Counter, defaultdict
from typing import NamedTuple

from cleatlink.analysis.lines import LogLine
from cleatlink.analysis.quantiles import Sample

__all__ = ["EngineTable", "EngineUse", "RoleChange"]

_SLICE_S = 2
_MS = 1000.0


class EngineUse(NamedTuple):
    """What an engine did within a slice of time.

    Attributes:
        streams: Streams that got room there.
        prompts: Prompts that it computed for others, or for its own streams.
        refused: Times that it had no room or did not run what it was sent.
        most_reserved: Most tokens of its memory that were reserved, as last told.
        most_running: Most streams at a time.
    """

    streams: int = 0
    prompts: int = 0
    refused: int = 0
    most_reserved: int = 0
    most_running: int = 0


class RoleChange(NamedTuple):
    """A change of role.

    Attributes:
        at: When it was planned.
        endpoint: The engine.
        role: Its new role.
        rate: Streams that arrived a second.
        late_share: Share of them that was foreseen to be late without the change.
        served_after_s: Seconds until it served in that role; None if that was not seen.
    """

    at: float
    endpoint: str
    role: str
    rate: float
    late_share: float
    served_after_s: float | None = None


class EngineTable:
    """Sums up what lines tell of engines."""

    def __init__(self) -> None:
        self._uses: dict[tuple[str, int], EngineUse] = defaultdict(EngineUse)
        self._changes: list[RoleChange] = []
        self._served: dict[tuple[str, str], dict[int, float]] = defaultdict(dict)
        self.length_errors = Sample()
        self.duration_errors = Sample()
        self.prompt_errors = Sample()
        self.token_ms = Sample()
        self.prompt_ms = Sample()
        self.room_forecasts_s = Sample()
        self.holds: Counter[str] = Counter()

    @property
    def uses(self) -> dict[tuple[str, int], EngineUse]:
        """What each engine did, by its name and the start of a slice of two seconds."""
        return self._uses

    def add(self, line: LogLine) -> None:
        """Take a line."""
        endpoint = str(line.fields.get("endpoint", ""))
        key = endpoint, int(line.at // _SLICE_S) * _SLICE_S
        if line.message == "relay: decode capacity reserved":
            self._note_room(key, line)
        elif line.message == "relay: prefill completed":
            self._note_prompt(key, line)
        elif line.message == "relay: endpoint reports that it did not run the request":
            self._uses[key] = self._uses[key]._replace(refused=self._uses[key].refused + 1)
        elif line.message == "relay: reservation requested at the endpoint":
            self._note_hold(key, line)
        elif line.message == "relay: stream completed":
            self._note_stream(line)
        elif (
            line.message == "relay: request refused: no decode endpoint has capacity"
            and line.fields.get("room_in_s") is not None
        ):
            self.room_forecasts_s.add(line.number("room_in_s"))
        elif line.message == "orders: plans a role change":
            self._note_change(endpoint, line)

    def _note_room(self, key: tuple[str, int], line: LogLine) -> None:
        use = self._uses[key]
        self._uses[key] = use._replace(
            streams=use.streams + 1,
            prompts=use.prompts + bool(line.fields.get("computes_prompt")),
            most_reserved=max(use.most_reserved, int(line.number("reserved"))),
            most_running=max(use.most_running, int(line.number("running"))),
        )
        self._note_served(key[0], "decode", line.at)

    def _note_prompt(self, key: tuple[str, int], line: LogLine) -> None:
        use = self._uses[key]
        self._uses[key] = use._replace(prompts=use.prompts + 1)
        took_ms, expected_ms = line.number("took_ms"), line.number("expected_ms")
        self.prompt_ms.add(took_ms)
        if expected_ms > 0:
            self.prompt_errors.add(took_ms / expected_ms)
        self._note_served(key[0], "prefill", line.at)

    def _note_hold(self, key: tuple[str, int], line: LogLine) -> None:
        result = str(line.fields.get("result", ""))
        self.holds[result] += 1
        if result == "full":
            self._uses[key] = self._uses[key]._replace(refused=self._uses[key].refused + 1)

    def _note_stream(self, line: LogLine) -> None:
        tokens, took_ms = line.number("tokens"), line.number("took_ms")
        if line.number("expected_tokens") > 0:
            self.length_errors.add(tokens / line.number("expected_tokens"))
        if line.number("expected_ms") > 0:
            self.duration_errors.add(took_ms / line.number("expected_ms"))
        if tokens > 0:
            self.token_ms.add(took_ms / tokens)

    def _note_change(self, endpoint: str, line: LogLine) -> None:
        change = RoleChange(
            line.at,
            endpoint,
            str(line.fields.get("role", "")),
            line.number("rate"),
            line.number("late_share"),
        )
        self._changes.append(change)

    def _note_served(self, endpoint: str, role: str, at: float) -> None:
        """Note that an engine served in a role; files come one after the other."""
        seconds = self._served[endpoint, role]
        seconds[int(at)] = min(at, seconds.get(int(at), at))

    def changes(self) -> list[RoleChange]:
        """Give the changes of role in the order of time."""
        return [self._with_end(change) for change in sorted(self._changes)]

    def _with_end(self, change: RoleChange) -> RoleChange:
        served = self._served[change.endpoint, change.role].values()
        first = min((at for at in served if at > change.at), default=None)
        return change if first is None else change._replace(served_after_s=first - change.at)
