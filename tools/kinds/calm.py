"""Plays calm days with two commits, one after the other in turn, and tells whether they differ.

A score is cut at 1.0 on calm days, and one play of each says nothing: so it goes by several plays'
worth and by what was ordered.
"""

import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import click

from tools.kinds.differs import Verdict, compare
from tools.kinds.main import MOST_LOSS
from tools.kinds.play import Play, Played, Tree, play_all

__all__ = ["main", "render"]

_TREE = click.Path(exists=True, file_okay=False, path_type=Path)
_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@click.option("--bench", type=_FILE, required=True, help="The program that plays days.")
@click.option("--site", "sites", type=_FILE, multiple=True, required=True, help="Site files.")
@click.option("--before", type=_TREE, required=True, help="Work tree of an earlier commit.")
@click.option("--now", type=_TREE, required=True, help="Work tree to compare with it.")
@click.option("--day", default="quiet-1", show_default=True, help="Day that each site has.")
@click.option("--plays", default=6, show_default=True, help="Plays of each commit and site.")
@click.option("--jobs", default=2, show_default=True, help="Days that are played at a time.")
def main(  # noqa: PLR0917 - click gives each option as an argument
    bench: Path, sites: tuple[Path, ...], before: Path, now: Path, day: str, plays: int, jobs: int
) -> None:
    """Play a calm day of each site with two commits, and print a verdict for each.

    Exits with 1 if a site is lower, or a day failed or broke a rule.
    """
    trees = [Tree("before", before.resolve()), Tree("now", now.resolve())]
    wanted = [
        Play(site.stem, site.resolve(), day, number, tree, counts_orders=True)
        for site in sites
        for number in range(1, plays + 1)
        for tree in trees
    ]
    with tempfile.TemporaryDirectory() as name:
        played = play_all(bench.resolve(), wanted, jobs, Path(name))
    text, sound = render(played)
    click.echo(text)
    sys.exit(0 if sound else 1)


def render(played: Sequence[Played]) -> tuple[str, bool]:
    """Render a line for each site.

    Returns:
        The lines, and whether no site is lower and nothing failed.
    """
    lines, sound = [], True
    for site in dict.fromkeys(item.play.kind for item in played):
        found = [item for item in played if item.play.kind == site]
        failed = [item for item in found if item.worth is None]
        if failed:
            sound = False
            lines += [f"{site}: {item.play.tree.label} failed: {item.note}" for item in failed]
            continue
        before, now = (_worths(found, label) for label in ("before", "now"))
        difference = compare(before, now)
        verdict = difference.verdict(MOST_LOSS)
        sound = sound and verdict is not Verdict.LOWER
        lines.append(
            f"{site}: {verdict} ({difference.change:+.3f}, {difference.low:+.3f} to "
            f"{difference.high:+.3f}); worth {_range(before)} and {_range(now)}; plays with an "
            f"order {_ordered(found, 'before')} and {_ordered(found, 'now')}"
        )
    return "\n".join(lines), sound


def _worths(played: Sequence[Played], label: str) -> list[float]:
    found = [item.worth for item in played if item.play.tree.label == label]
    return [worth for worth in found if worth is not None]


def _range(worths: Sequence[float]) -> str:
    return f"{min(worths):.3f} to {max(worths):.3f}"


def _ordered(played: Sequence[Played], label: str) -> str:
    found = [item for item in played if item.play.tree.label == label]
    return f"{sum(item.orders > 0 for item in found)} of {len(found)}"


if __name__ == "__main__":
    main()
