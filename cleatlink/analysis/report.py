"""Builds the tables of the analysis, and renders them as text or as one HTML page."""

import html
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cleatlink.analysis.crashes import CrashTable, SuspectRow
from cleatlink.analysis.engines import EngineTable, EngineUsage, RoleChange
from cleatlink.analysis.log_reader import LogLine, LogReader
from cleatlink.analysis.organisations import OrganisationRow, OrganisationTable
from cleatlink.analysis.outcomes import Outcome, OutcomeTable, RouteSecond
from cleatlink.analysis.prompt_parts import PartRow, PartTable
from cleatlink.analysis.sampling import ReservoirSample

__all__ = ["Report", "Table", "render_html", "render_text"]

_MAX_TEXT_ROWS = 400
_STYLE = (
    "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
)


class Table(NamedTuple):
    """A table of the report.

    Attributes:
        title: Title of the table.
        header: Heading of each column.
        rows: Cells of each row.
    """

    title: str
    header: Sequence[str]
    rows: Sequence[Sequence[str]]


class Report:
    """All tables of the analysis."""

    def __init__(self) -> None:
        self.organisations = OrganisationTable()
        self.outcomes = OutcomeTable(self.organisations.count)
        self.engines = EngineTable()
        self.crashes = CrashTable()
        self.prompt_parts = PartTable()

    def add(self, line: LogLine) -> None:
        """Add a log line to all tables."""
        self.organisations.add(line)
        self.outcomes.add(line)
        self.engines.add(line)
        self.crashes.add(line)
        self.prompt_parts.add(line)

    def tables(self, reader: LogReader) -> list[Table]:
        """Return all tables; call this after the last line was added.

        Args:
            reader: The reader of the lines, which counted the unreadable ones.
        """
        self.outcomes.close()
        return [
            _request_table(self.outcomes.rows()),
            _count_table("Requests by outcome", self.outcomes.totals()),
            _count_table("Refusals by kind and detail", self.outcomes.refusals),
            _organisation_table(self.organisations.rows()),
            _suspect_table(self.crashes.rows()),
            _part_table(self.prompt_parts.rows()),
            _count_table("Retries after a refusal, by outcome", self.outcomes.retry_outcomes),
            _count_table("Wasted prefills by cause", self.outcomes.wasted_prefills),
            _count_table("Reservation requests by result", self.engines.reservation_results),
            self._estimate_table(),
            _engine_table(self.engines.usage),
            _role_change_table(self.engines.role_changes()),
            _count_table("Unreadable log lines by reason", reader.unreadable),
        ]

    def _estimate_table(self) -> Table:
        engines = self.engines
        samples = {
            "output tokens / estimate": engines.output_length_ratios,
            "stream duration / estimate": engines.duration_ratios,
            "prefill time / estimate": engines.prefill_time_ratios,
            "ms per output token": engines.ms_per_token,
            "ms per prefill": engines.prefill_ms,
            "ms from arrival to decode reservation": self.outcomes.reservation_waits_ms,
            "estimated s until capacity, at refusals": engines.estimated_waits_s,
        }
        rows = [_quantile_row(name, sample) for name, sample in samples.items()]
        return Table("Estimates and times", ("figure", "count", "5 %", "median", "95 %"), rows)


def _quantile_row(name: str, sample: ReservoirSample) -> Sequence[str]:
    quantiles = sample.quantiles()
    if quantiles is None:
        return (name, "0", "", "", "")
    return (name, str(quantiles.value_count), *(f"{value:.2f}" for value in quantiles[1:]))


def _request_table(rows: Iterable[RouteSecond]) -> Table:
    table_rows = [
        (
            str(row.second),
            row.route,
            *(str(row.counts[outcome] or "") for outcome in Outcome),
            str(row.retries or ""),
        )
        for row in rows
    ]
    header = ("second", "route", *(outcome.value for outcome in Outcome), "retries")
    return Table("Requests by second of arrival and route", header, table_rows)


def _organisation_table(rows: Iterable[OrganisationRow]) -> Table:
    table_rows = [
        (
            row.organisation,
            row.data_centre,
            str(row.counts.total()),
            *(str(row.counts[outcome] or "") for outcome in Outcome),
            str(row.over_limit_count or ""),
            "" if row.limit_per_s is None else f"{row.limit_per_s:.0f}",
        )
        for row in rows
    ]
    outcomes = (outcome.value for outcome in Outcome)
    header = (
        "organisation",
        "data centre",
        "asked",
        *outcomes,
        "over its limit",
        "limit per second",
    )
    return Table("Organisations", header, table_rows)


def _suspect_table(rows: Iterable[SuspectRow]) -> Table:
    table_rows = [
        (
            row.identity,
            str(row.endpoint_count),
            f"{row.first_crash_at:.1f}",
            f"{row.last_crash_at:.1f}",
            "" if row.quarantined_at is None else f"{row.quarantined_at:.1f}",
            *(
                str(value or "")
                for value in (row.refusal_count, row.trial_count, row.clearance_count)
            ),
        )
        for row in rows
    ]
    header = ("request identity", "crashed endpoints", "first", "last", "quarantined at")
    return Table(
        "Requests in progress at crashes",
        (*header, "refused attempts", "tries", "cleared"),
        table_rows,
    )


def _part_table(rows: Iterable[PartRow]) -> Table:
    table_rows = [
        (
            row.part,
            row.name,
            str(row.endpoint_count),
            str(row.request_count),
            "" if row.quarantined_at is None else f"{row.quarantined_at:.1f}",
            *(str(value or "") for value in (row.refusal_count, row.clearance_count)),
        )
        for row in rows
    ]
    header = ("part", "name", "crashed endpoints", "requests", "quarantined at")
    return Table(
        "Parts of prompts in progress at crashes",
        (*header, "refused attempts", "cleared"),
        table_rows,
    )


def _count_table(title: str, counts: Counter[str] | Counter[Outcome]) -> Table:
    rows: list[Sequence[str]] = [(str(name), str(count)) for name, count in counts.most_common()]
    return Table(title, ("what", "count"), rows)


def _engine_table(usage: dict[tuple[str, int], EngineUsage]) -> Table:
    rows = [
        (name, str(second), *(str(value or "") for value in engine_usage))
        for (name, second), engine_usage in sorted(usage.items())
    ]
    header = ("engine", "second", "streams", "prompts", "refused", "reserved", "running")
    return Table("Engine usage per 2 seconds", header, list(rows))


def _role_change_table(changes: list[RoleChange]) -> Table:
    rows = [
        (
            change.endpoint,
            f"{change.planned_at:.1f}",
            change.role,
            f"{change.arrival_rate_per_s:.2f}",
            f"{change.late_share:.3f}",
            "not seen" if change.served_after_s is None else f"{change.served_after_s:.1f}",
        )
        for change in changes
    ]
    header = (
        "engine",
        "planned at",
        "role",
        "streams per second",
        "late without change",
        "served after (s)",
    )
    return Table("Role changes", header, list(rows))


def render_text(tables: Sequence[Table]) -> str:
    """Render tables as text, without the empty ones.

    Long tables are truncated; their last line states the number of omitted rows.
    """
    return "\n\n".join(_render_table(table) for table in tables if table.rows) + "\n"


def _render_table(table: Table) -> str:
    rows = [table.header, *table.rows[:_MAX_TEXT_ROWS]]
    widths = [max(len(row[column]) for row in rows) for column in range(len(table.header))]
    lines = [table.title]
    for row in rows:
        first, *others = (cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join([first.strip().ljust(widths[0]), *others]))
    if len(table.rows) > _MAX_TEXT_ROWS:
        lines.append(
            f"... {len(table.rows) - _MAX_TEXT_ROWS} more rows; the HTML report contains all rows"
        )
    return "\n".join(lines)


def render_html(tables: Sequence[Table], image: str = "") -> str:
    """Render tables as one HTML page that needs no other file.

    Args:
        tables: The tables.
        image: A PNG in base64 to show above the tables; empty for none.
    """
    parts = [f"<!doctype html><meta charset=utf-8><title>cleatlink</title><style>{_STYLE}</style>"]
    if image:
        parts.append(f'<img alt="outcomes by second" src="data:image/png;base64,{image}">')
    for table in tables:
        header = "".join(f"<th>{html.escape(cell)}" for cell in table.header)
        rows = "".join(
            "<tr>" + "".join(f"<td>{html.escape(cell)}" for cell in row) for row in table.rows
        )
        parts.append(f"<h2>{html.escape(table.title)}</h2><table><tr>{header}{rows}</table>")
    return "\n".join(parts) + "\n"
