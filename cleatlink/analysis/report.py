"""Puts the tables together, as text or as one page of HTML."""

import html
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cleatlink.analysis.crashes import CrashTable, SuspectRow
from cleatlink.analysis.engines import EngineTable, EngineUse, RoleChange
from cleatlink.analysis.lines import LogLine, LogReader
from cleatlink.analysis.organisations import OrganisationRow, OrganisationTable
from cleatlink.analysis.outcomes import Outcome, OutcomeTable, RouteSecond
from cleatlink.analysis.quantiles import Sample

__all__ = ["Report", "Table", "render_html", "render_text"]

_MOST_ROWS = 400
_STYLE = (
    "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
)


class Table(NamedTuple):
    """A table of the report."""

    title: str
    head: Sequence[str]
    rows: Sequence[Sequence[str]]


class Report:
    """Everything that the logs tell."""

    def __init__(self) -> None:
        self.organisations = OrganisationTable()
        self.outcomes = OutcomeTable(self.organisations.count)
        self.engines = EngineTable()
        self.crashes = CrashTable()

    def add(self, line: LogLine) -> None:
        """Take a line."""
        self.organisations.add(line)
        self.outcomes.add(line)
        self.engines.add(line)
        self.crashes.add(line)

    def tables(self, reader: LogReader) -> list[Table]:
        """Give all tables, after the last line."""
        self.outcomes.close()
        return [
            _seconds(self.outcomes.rows()),
            _counts("Requests, by what became of them", self.outcomes.totals()),
            _counts("Refusals, by kind and detail", self.outcomes.refusals),
            _organisations(self.organisations.rows()),
            _suspects(self.crashes.rows()),
            _counts("Refused callers that came back", self.outcomes.returned),
            _counts("Prompts computed for nothing", self.outcomes.prompts_lost),
            _counts("Calls that ask engines for room", self.engines.holds),
            self._forecasts(),
            _engines(self.engines.uses),
            _changes(self.engines.changes()),
            _counts("Lines that could not be read", reader.unread),
        ]

    def _forecasts(self) -> Table:
        engines = self.engines
        figures = {
            "length of answers / expected": engines.length_errors,
            "duration of streams / expected": engines.duration_errors,
            "time of prompts / expected": engines.prompt_errors,
            "ms a token of a stream": engines.token_ms,
            "ms for a prompt": engines.prompt_ms,
            "ms until room": self.outcomes.waits_ms,
            "s until room, as foreseen in refusals": engines.room_forecasts_s,
        }
        rows = [_spread(name, sample) for name, sample in figures.items()]
        return Table("Forecasts and paces", ("figure", "count", "5 %", "median", "95 %"), rows)


def _spread(name: str, sample: Sample) -> Sequence[str]:
    found = sample.quantiles()
    if found is None:
        return (name, "0", "", "", "")
    return (name, str(found.figures), *(f"{value:.2f}" for value in found[1:]))


def _seconds(rows: Iterable[RouteSecond]) -> Table:
    shown = [
        (
            str(row.second),
            row.route,
            *(str(row.counts[outcome] or "") for outcome in Outcome),
            str(row.retries or ""),
        )
        for row in rows
    ]
    head = ("second", "route", *(outcome.value for outcome in Outcome), "retries")
    return Table("Requests by second of arrival and route", head, shown)


def _organisations(rows: Iterable[OrganisationRow]) -> Table:
    shown = [
        (
            row.organisation,
            row.data_centre,
            str(row.counts.total()),
            *(str(row.counts[outcome] or "") for outcome in Outcome),
            str(row.over or ""),
            "" if row.limit_per_s is None else f"{row.limit_per_s:.0f}",
        )
        for row in rows
    ]
    outcomes = (outcome.value for outcome in Outcome)
    head = ("organisation", "data centre", "asked", *outcomes, "over its limit", "limit a second")
    return Table("Organisations", head, shown)


def _suspects(rows: Iterable[SuspectRow]) -> Table:
    shown = [
        (
            row.asks,
            str(row.endpoints),
            f"{row.first_at:.1f}",
            f"{row.last_at:.1f}",
            "" if row.held_at is None else f"{row.held_at:.1f}",
            *(str(value or "") for value in (row.refused, row.tries, row.cleared)),
        )
        for row in rows
    ]
    head = ("request asks", "endpoints crashed", "first", "last", "held back at")
    return Table("Requests at crashes", (*head, "refused since", "tries", "cleared"), shown)


def _counts(title: str, counts: Counter[str] | Counter[Outcome]) -> Table:
    rows: list[Sequence[str]] = [(str(name), str(count)) for name, count in counts.most_common()]
    return Table(title, ("what", "count"), rows)


def _engines(uses: dict[tuple[str, int], EngineUse]) -> Table:
    rows = [
        (name, str(second), *(str(value or "") for value in use))
        for (name, second), use in sorted(uses.items())
    ]
    head = ("engine", "second", "streams", "prompts", "refused", "reserved", "running")
    return Table("Engines, by two seconds", head, list(rows))


def _changes(changes: list[RoleChange]) -> Table:
    rows = [
        (
            change.endpoint,
            f"{change.at:.1f}",
            change.role,
            f"{change.rate:.2f}",
            f"{change.late_share:.3f}",
            "not seen" if change.served_after_s is None else f"{change.served_after_s:.1f}",
        )
        for change in changes
    ]
    head = ("engine", "planned at", "role", "streams a second", "late without it", "served after s")
    return Table("Changes of role", head, list(rows))


def render_text(tables: Sequence[Table]) -> str:
    """Render tables as text; long ones are cut, which is said."""
    return "\n\n".join(_render_table(table) for table in tables if table.rows) + "\n"


def _render_table(table: Table) -> str:
    rows = [table.head, *table.rows[:_MOST_ROWS]]
    widths = [max(len(row[column]) for row in rows) for column in range(len(table.head))]
    lines = [table.title]
    for row in rows:
        first, *others = (cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join([first.strip().ljust(widths[0]), *others]))
    if len(table.rows) > _MOST_ROWS:
        lines.append(f"... {len(table.rows) - _MOST_ROWS} rows more; the HTML report has them all")
    return "\n".join(lines)


def render_html(tables: Sequence[Table], image: str = "") -> str:
    """Render tables as one page that needs no other file.

    Args:
        tables: The tables.
        image: A PNG in base64 to show above them; empty for none.
    """
    parts = [f"<!doctype html><meta charset=utf-8><title>cleatlink</title><style>{_STYLE}</style>"]
    if image:
        parts.append(f'<img alt="outcomes by second" src="data:image/png;base64,{image}">')
    for table in tables:
        head = "".join(f"<th>{html.escape(cell)}" for cell in table.head)
        rows = "".join(
            "<tr>" + "".join(f"<td>{html.escape(cell)}" for cell in row) for row in table.rows
        )
        parts.append(f"<h2>{html.escape(table.title)}</h2><table><tr>{head}{rows}</table>")
    return "\n".join(parts) + "\n"
