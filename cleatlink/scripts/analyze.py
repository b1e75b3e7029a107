"""The command ``cleatlink analyze``."""

import base64
import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path
from typing import Any

import click

from cleatlink.analysis import LogReader, Report, Story, render_html, render_text

__all__ = ["analyze"]

_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
_OUTPUT = click.Path(dir_okay=False, writable=True, path_type=Path)


@click.command()
@click.argument("files", type=_FILE, nargs=-1, required=True)
@click.option("--request", default=None, help="Tell one request's story instead of the tables.")
@click.option("--html", "page", type=_OUTPUT, default=None, help="Also write a page of HTML.")
@click.option("--plot", "picture", type=_OUTPUT, default=None, help="Also write a PNG.")
def analyze(
    files: Sequence[Path], request: str | None, page: Path | None, picture: Path | None
) -> None:
    """Tell from logs where requests were lost, and why.

    FILES are the relay's logs, as written to standard output or with a time and an
    instance's name before each line; packed ones end in .gz. Lines that can't be
    read are counted.
    """
    story = Story(request) if request is not None else None
    report = Report()
    size = sum(path.stat().st_size for path in files)
    with click.progressbar(length=size, label="reading", file=sys.stderr) as bar:
        reader = LogReader(files, bar.update)
        for line in reader:
            (report if story is None else story).add(line)
    if story is not None:
        click.echo(story.render())
        return
    tables = report.tables(reader)
    click.echo(f"{reader.read} lines read, {reader.unread.total()} not")
    click.echo(render_text(tables), nl=False)
    if page is not None or picture is not None:
        _write_pictures(report, tables, page, picture)


def _write_pictures(
    report: Report, tables: Sequence[Any], page: Path | None, picture: Path | None
) -> None:
    """Write what was asked for beside the tables."""
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
