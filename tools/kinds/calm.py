"""Runs calm days with two commits, in turn, and tests whether the results differ.

On calm days the score is capped at 1.0, and a single run of each commit is not conclusive. The
comparison therefore uses the worth of several runs, and counts the runs in which instances ordered
a role change.
"""

import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import click

from tools.kinds.bench_run import BenchRun, RunResult, WorkTree, run_all
from tools.kinds.comparison import Verdict, compare
from tools.kinds.main import MAX_WORTH_LOSS

__all__ = ["main", "render"]

_FOLDER_PATH = click.Path(exists=True, file_okay=False, path_type=Path)
_FILE_PATH = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@click.option("--bench", type=_FILE_PATH, required=True, help="Bench program that runs the days.")
@click.option(
    "--site",
    "sites",
    type=_FILE_PATH,
    multiple=True,
    required=True,
    help="Site file to run; may be given several times.",
)
@click.option("--before", type=_FOLDER_PATH, required=True, help="Work tree of an earlier commit.")
@click.option("--now", type=_FOLDER_PATH, required=True, help="Work tree to compare with it.")
@click.option(
    "--day", default="quiet-1", show_default=True, help="Day to run; each site has to have it."
)
@click.option(
    "--plays", default=6, show_default=True, help="Number of runs of each commit and site."
)
@click.option("--jobs", default=2, show_default=True, help="Number of concurrent runs.")
def main(  # noqa: PLR0917 - click gives each option as an argument
    bench: Path, sites: tuple[Path, ...], before: Path, now: Path, day: str, plays: int, jobs: int
) -> None:
    """Run a calm day of each site with two commits, and print a verdict for each site.

    Exits with 1 if the worth of a site is lower, or a run failed or violated a rule.
    """
    trees = [WorkTree("before", before.resolve()), WorkTree("now", now.resolve())]
    runs = [
        BenchRun(site.stem, site.resolve(), day, number, tree, counts_orders=True)
        for site in sites
        for number in range(1, plays + 1)
        for tree in trees
    ]
    with tempfile.TemporaryDirectory() as directory:
        results = run_all(bench.resolve(), runs, jobs, Path(directory))
    text, passed = render(results)
    click.echo(text)
    sys.exit(0 if passed else 1)


def render(results: Sequence[RunResult]) -> tuple[str, bool]:
    """Return a line for each site.

    Returns:
        The lines, and whether no site has a lower worth and no run failed.
    """
    lines, passed = [], True
    for site in dict.fromkeys(item.run.variant for item in results):
        matching = [item for item in results if item.run.variant == site]
        failed = [item for item in matching if item.worth is None]
        if failed:
            passed = False
            lines += [f"{site}: {item.run.tree.label} failed: {item.failure}" for item in failed]
            continue
        before, now = (_worths(matching, label) for label in ("before", "now"))
        difference = compare(before, now)
        verdict = difference.verdict(MAX_WORTH_LOSS)
        passed = passed and verdict is not Verdict.LOWER
        lines.append(
            f"{site}: {verdict} ({difference.change:+.3f}, {difference.low:+.3f} to "
            f"{difference.high:+.3f}); worth {_format_range(before)} and {_format_range(now)}; "
            f"runs with a role change {_share_with_order(matching, 'before')} and "
            f"{_share_with_order(matching, 'now')}"
        )
    return "\n".join(lines), passed


def _worths(results: Sequence[RunResult], label: str) -> list[float]:
    matching = [item.worth for item in results if item.run.tree.label == label]
    return [worth for worth in matching if worth is not None]


def _format_range(worths: Sequence[float]) -> str:
    return f"{min(worths):.3f} to {max(worths):.3f}"


def _share_with_order(results: Sequence[RunResult], label: str) -> str:
    matching = [item for item in results if item.run.tree.label == label]
    return f"{sum(item.order_count > 0 for item in matching)} of {len(matching)}"


if __name__ == "__main__":
    main()
