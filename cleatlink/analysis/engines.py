"""Summarizes the activity of engines: reservations, prefills, estimates and role changes."""

from collections import Counter, defaultdict
from typing import NamedTuple

from cleatlink.analysis.log_reader import LogLine
from cleatlink.analysis.sampling import ReservoirSample

__all__ = ["EngineTable", "EngineUsage", "RoleChange"]

_INTERVAL_S = 2
_MS_PER_S = 1000.0


class EngineUsage(NamedTuple):
    """What an engine did within one interval.

    Attributes:
        stream_count: Number of streams for which decode capacity was reserved.
        prompt_count: Number of prompts that it computed, as a prefill or for its own streams.
        refusal_count: Number of requests that it reported as not run, and of reservation requests
            that it refused for lack of capacity.
        max_reserved_tokens: Maximum of the reserved memory, in tokens, as logged at reservations.
        max_running: Maximum number of concurrent streams, as logged at reservations.
    """

    stream_count: int = 0
    prompt_count: int = 0
    refusal_count: int = 0
    max_reserved_tokens: int = 0
    max_running: int = 0


class RoleChange(NamedTuple):
    """A role change of an engine.

    Attributes:
        planned_at: Time at which it was planned, in seconds.
        endpoint: Name of the engine.
        role: The new role.
        arrival_rate_per_s: Rate of new streams, per second.
        late_share: Estimated share of streams that would be late without the change.
        served_after_s: Seconds until the engine first served in the new role; None if the logs
            do not show it.
    """

    planned_at: float
    endpoint: str
    role: str
    arrival_rate_per_s: float
    late_share: float
    served_after_s: float | None = None


class EngineTable:
    """Aggregates the log lines about engines."""

    def __init__(self) -> None:
        self._usage: dict[tuple[str, int], EngineUsage] = defaultdict(EngineUsage)
        self._role_changes: list[RoleChange] = []
        self._served_at: dict[tuple[str, str], dict[int, float]] = defaultdict(dict)
        self.output_length_ratios = ReservoirSample()
        self.duration_ratios = ReservoirSample()
        self.prefill_time_ratios = ReservoirSample()
        self.ms_per_token = ReservoirSample()
        self.prefill_ms = ReservoirSample()
        self.estimated_waits_s = ReservoirSample()
        self.reservation_results: Counter[str] = Counter()

    @property
    def usage(self) -> dict[tuple[str, int], EngineUsage]:
        """Usage of each engine, by its name and the start of an interval of two seconds."""
        return self._usage

    def add(self, line: LogLine) -> None:
        """Add a log line; lines about anything else are ignored."""
        endpoint = str(line.fields.get("endpoint", ""))
        key = endpoint, int(line.timestamp_s // _INTERVAL_S) * _INTERVAL_S
        if line.message_type == "relay: decode capacity reserved":
            self._add_decode(key, line)
        elif line.message_type == "relay: prefill completed":
            self._add_prefill(key, line)
        elif line.message_type == "relay: endpoint reports that it did not run the request":
            self._usage[key] = self._usage[key]._replace(
                refusal_count=self._usage[key].refusal_count + 1
            )
        elif line.message_type == "relay: reservation requested at the endpoint":
            self._add_reservation_request(key, line)
        elif line.message_type == "relay: stream completed":
            self._add_completed_stream(line)
        elif (
            line.message_type == "relay: request refused: no decode endpoint has capacity"
            and line.fields.get("room_in_s") is not None
        ):
            self.estimated_waits_s.add(line.number("room_in_s"))
        elif line.message_type == "orders: plans a role change":
            self._add_role_change(endpoint, line)

    def _add_decode(self, key: tuple[str, int], line: LogLine) -> None:
        usage = self._usage[key]
        self._usage[key] = usage._replace(
            stream_count=usage.stream_count + 1,
            prompt_count=usage.prompt_count + bool(line.fields.get("computes_prompt")),
            max_reserved_tokens=max(usage.max_reserved_tokens, int(line.number("reserved"))),
            max_running=max(usage.max_running, int(line.number("running"))),
        )
        self._add_served(key[0], "decode", line.timestamp_s)

    def _add_prefill(self, key: tuple[str, int], line: LogLine) -> None:
        usage = self._usage[key]
        self._usage[key] = usage._replace(prompt_count=usage.prompt_count + 1)
        took_ms, expected_ms = line.number("took_ms"), line.number("expected_ms")
        self.prefill_ms.add(took_ms)
        if expected_ms > 0:
            self.prefill_time_ratios.add(took_ms / expected_ms)
        self._add_served(key[0], "prefill", line.timestamp_s)

    def _add_reservation_request(self, key: tuple[str, int], line: LogLine) -> None:
        result = str(line.fields.get("result", ""))
        self.reservation_results[result] += 1
        if result == "full":
            self._usage[key] = self._usage[key]._replace(
                refusal_count=self._usage[key].refusal_count + 1
            )

    def _add_completed_stream(self, line: LogLine) -> None:
        tokens, took_ms = line.number("tokens"), line.number("took_ms")
        if line.number("expected_tokens") > 0:
            self.output_length_ratios.add(tokens / line.number("expected_tokens"))
        if line.number("expected_ms") > 0:
            self.duration_ratios.add(took_ms / line.number("expected_ms"))
        if tokens > 0:
            self.ms_per_token.add(took_ms / tokens)

    def _add_role_change(self, endpoint: str, line: LogLine) -> None:
        change = RoleChange(
            line.timestamp_s,
            endpoint,
            str(line.fields.get("role", "")),
            line.number("rate"),
            line.number("late_share"),
        )
        self._role_changes.append(change)

    def _add_served(self, endpoint: str, role: str, served_at: float) -> None:
        """Record that an engine served in a role.

        Keeps the earliest time within each second: log files are read one after the other, so
        times are not in order.
        """
        times = self._served_at[endpoint, role]
        times[int(served_at)] = min(served_at, times.get(int(served_at), served_at))

    def role_changes(self) -> list[RoleChange]:
        """Return the role changes in chronological order."""
        return [self._with_delay(change) for change in sorted(self._role_changes)]

    def _with_delay(self, change: RoleChange) -> RoleChange:
        served_at = self._served_at[change.endpoint, change.role].values()
        first = min((time for time in served_at if time > change.planned_at), default=None)
        return (
            change if first is None else change._replace(served_after_s=first - change.planned_at)
        )
