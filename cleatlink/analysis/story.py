"""The whole story of one request, over all instances."""

from cleatlink.analysis.lines import LogLine

__all__ = ["Story"]

_MOST_LINES = 2_000


class Story:
    """Collects the lines about one request."""

    def __init__(self, request: str) -> None:
        self._request = request
        self._lines: list[LogLine] = []

    def add(self, line: LogLine) -> None:
        """Take a line."""
        if line.request == self._request and len(self._lines) < _MOST_LINES:
            self._lines.append(line)

    def render(self) -> str:
        """Give the story as text, a line for each thing that happened."""
        if not self._lines:
            return f"{self._request}: no line tells of it"
        lines = sorted(self._lines, key=lambda line: line.at)
        first = lines[0].at
        return "\n".join(f"{line.at - first:8.3f} s  {_describe(line)}" for line in lines)


def _describe(line: LogLine) -> str:
    fields = ", ".join(
        f"{name} {value}" for name, value in line.fields.items() if name not in ("request", "route")
    )
    return f"{line.instance}  {line.message.partition(': ')[2]} ({fields})"
