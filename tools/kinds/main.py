"""Compares work trees of cleatlink on kinds of engines that nobody tuned for.

A variant of a site for each kind is written to a temporary folder; each tree plays the
same days of it with the same seeds. The table gives the mean worth and marks what lost.
"""

import shutil
import statistics
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import click

from tools.kinds.catalogue import KINDS, Kind
from tools.kinds.play import Play, Played, Tree, copy_without, play_all
from tools.kinds.site_file import SiteError, vary

__all__ = ["MOST_LOSS", "main", "render", "write_variants"]

# A kind that falls by more than this against the first tree fails the comparison: below it,
# means of a few plays can't be told apart.
MOST_LOSS = 0.03

_TREE = click.Path(exists=True, file_okay=False, path_type=Path)
_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@click.option("--bench", type=_FILE, required=True, help="The program that plays days.")
@click.option("--site", type=_FILE, required=True, help="The site file that is varied.")
@click.option("--before", type=_TREE, required=True, help="Work tree of an earlier commit.")
@click.option("--now", type=_TREE, required=True, help="Work tree to compare with it.")
@click.option("--without", multiple=True, help="Compare also without this mechanism.")
@click.option("--kind", "names", multiple=True, help="Only this kind; all of them by default.")
@click.option("--day", "days", multiple=True, required=True, help="Day of the site to play.")
@click.option("--set", "settings", multiple=True, help="TABLE.FIELD=VALUE for the site file.")
@click.option("--seeds", default=3, show_default=True, help="Seeds for each day.")
@click.option("--jobs", default=4, show_default=True, help="Days that are played at a time.")
def main(  # noqa: PLR0917 - click gives each option as an argument
    bench: Path,
    site: Path,
    before: Path,
    now: Path,
    without: tuple[str, ...],
    names: tuple[str, ...],
    days: tuple[str, ...],
    settings: tuple[str, ...],
    seeds: int,
    jobs: int,
) -> None:
    """Play kinds of engines with two commits, and print a table of their worth.

    Exits with 1 if a kind lost more than 0.03, or a day failed or broke a rule.
    """
    with tempfile.TemporaryDirectory() as name:
        scratch = Path(name)
        trees = [Tree("before", before.resolve()), Tree("now", now.resolve())]
        trees += [copy_without(trees[1], item, scratch / item) for item in without]
        kinds = [kind for kind in KINDS if not names or kind.name in names]
        try:
            sites = write_variants(site, kinds, settings, scratch)
        except SiteError as error:
            raise click.ClickException(f"{site}: {error}") from error
        plays = [
            Play(kind.name, sites[kind.name], day, seed, tree)
            for kind in kinds
            for day in days
            for seed in range(1, seeds + 1)
            for tree in trees
        ]
        played = play_all(bench.resolve(), plays, jobs, scratch)
    table, sound = render(played, [tree.label for tree in trees])
    click.echo(table)
    sys.exit(0 if sound else 1)


def write_variants(
    site: Path, kinds: Sequence[Kind], settings: tuple[str, ...], folder: Path
) -> dict[str, Path]:
    """Write a variant of a site for each kind, with the files beside it.

    Returns:
        The files by the names of the kinds.

    Raises:
        SiteError: The site file lacks what a kind changes.
    """
    text = site.read_text("utf-8")
    sites = {}
    for number, kind in enumerate(kinds):
        home = folder / f"kind-{number}"
        home.mkdir()
        for beside in site.parent.glob("*.json"):
            shutil.copy(beside, home)
        sites[kind.name] = home / site.name
        sites[kind.name].write_text(vary(text, kind, settings), "utf-8")
    return sites


def render(played: Sequence[Played], labels: Sequence[str]) -> tuple[str, bool]:
    """Render a table of mean worth.

    Args:
        played: What was played.
        labels: Labels of the trees; what each kind lost is told against the first.

    Returns:
        The table, and whether nothing lost more than ``MOST_LOSS`` or failed.
    """
    rows = [
        _row("kind, day", [*labels, "now less before"]),
        _row("---", ["---"] * (len(labels) + 1)),
    ]
    sound = True
    for kind, day in dict.fromkeys((item.play.kind, item.play.day) for item in played):
        cells = [item for item in played if (item.play.kind, item.play.day) == (kind, day)]
        means = [_mean([item for item in cells if item.play.tree.label == name]) for name in labels]
        first, second = means[0], means[1]
        change = None if first is None or second is None else second - first
        sound = sound and change is not None and change >= -MOST_LOSS
        rows.append(_row(f"{kind}, {day}", [_figure(mean) for mean in means] + [_signed(change)]))
    failed = [item for item in played if item.worth is None]
    notes = [
        f"failed: {item.play.kind}, {item.play.day}, seed {item.play.seed}, "
        f"{item.play.tree.label}: {item.note}"
        for item in failed
    ]
    return "\n".join([*rows, *notes]), sound


def _mean(played: Sequence[Played]) -> float | None:
    worths = [item.worth for item in played if item.worth is not None]
    return statistics.mean(worths) if worths and len(worths) == len(played) else None


def _figure(worth: float | None) -> str:
    return "failed" if worth is None else f"{worth:.3f}"


def _signed(change: float | None) -> str:
    return "-" if change is None else f"{change:+.3f}"


def _row(head: str, cells: Sequence[str]) -> str:
    return f"| {head} | " + " | ".join(cells) + " |"


if __name__ == "__main__":
    main()
