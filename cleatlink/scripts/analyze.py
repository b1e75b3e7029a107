"""The command ``cleatlink analyze``."""

import base64
import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path
from typing import Any

import click

from cleatlink.analysis import LogReader, Report, RequestTimeline, render_html, render_text

__all__ = ["analyze"]

_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
_OUTPUT = click.Path(dir_okay=False, writable=True, path_type=Path)


@click.command()
@click.argument("files", type=_FILE, nargs=-1, required=True)
@click.option(
    "--request", default=None, help="Show the timeline of one request instead of the tables."
)
@click.option(
    "--html",
    "page",
    type=_OUTPUT,
    default=None,
    help="Also write the tables and the plot to an HTML file.",
)
@click.option(
    "--plot",
    "picture",
    type=_OUTPUT,
    default=None,
    help="Also write a plot of the outcomes to a PNG file.",
)
def analyze(
    files: Sequence[Path], request: str | None, page: Path | None, picture: Path | None
) -> None:
    """Analyze logs: which requests were lost, and why.

    FILES are logs of the relay, as written to standard output or with a timestamp
    and an instance name before each line. Files that end in .gz are decompressed.
    Unreadable lines are counted and skipped.
    """
    timeline = RequestTimeline(request) if request is not None else None
    report = Report()
    total_bytes = sum(path.stat().st_size for path in files)
    with click.progressbar(length=total_bytes, label="reading", file=sys.stderr) as progress_bar:
        reader = LogReader(files, progress_bar.update)
        for line in reader:
            (report if timeline is None else timeline).add(line)
    if timeline is not None:
        click.echo(timeline.render())
        return
    tables = report.tables(reader)
    click.echo(f"{reader.line_count} lines read, {reader.unreadable.total()} unreadable")
    click.echo(render_text(tables), nl=False)
    if page is not None or picture is not None:
        _write_files(report, tables, page, picture)


def _write_files(
    report: Report, tables: Sequence[Any], page: Path | None, picture: Path | None
) -> None:
    """Write the HTML page, the plot or both.

    Without matplotlib the page contains no plot, and --plot is an error.
    """
    try:
        plot: bytes = import_module("cleatlink.analysis.plot").plot_outcomes(report.outcomes.rows())
    except ImportError as error:
        if picture is not None:
            raise click.ClickException(
                f"--plot needs matplotlib: pip install 'cleatlink[plot]' ({error})"
            ) from None
        plot = b""
    if picture is not None:
        picture.write_bytes(plot)
    if page is not None:
        page.write_text(render_html(tables, base64.b64encode(plot).decode()), "utf-8")
