"""Shows the timeline of one request across all instances."""

from cleatlink.analysis.log_reader import LogLine

__all__ = ["RequestTimeline"]

_MAX_LINES = 2_000


class RequestTimeline:
    """Collects the log lines about one request."""

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._lines: list[LogLine] = []

    def add(self, line: LogLine) -> None:
        """Add a log line; lines about other requests are ignored."""
        if line.request_id == self._request_id and len(self._lines) < _MAX_LINES:
            self._lines.append(line)

    def render(self) -> str:
        """Return the timeline as text, with one line per event in chronological order."""
        if not self._lines:
            return f"{self._request_id}: no log line contains this request ID"
        lines = sorted(self._lines, key=lambda line: line.timestamp_s)
        start_s = lines[0].timestamp_s
        return "\n".join(
            f"{line.timestamp_s - start_s:8.3f} s  {_describe(line)}" for line in lines
        )


def _describe(line: LogLine) -> str:
    fields = ", ".join(
        f"{name} {value}" for name, value in line.fields.items() if name not in ("request", "route")
    )
    return f"{line.instance}  {line.message_type.partition(': ')[2]} ({fields})"
