"""Compares work trees of cleatlink on kinds of engines that no policy was tuned for.

A variant of a site for each kind is written to a temporary folder. Each tree runs the same days of
each variant with the same seeds. The table has the mean worth of each tree and the change between
the first two.
"""

import shutil
import statistics
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import click

from tools.kinds.bench_run import BenchRun, RunResult, WorkTree, copy_without_mechanism, run_all
from tools.kinds.engine_profiles import ENGINE_PROFILES, EngineProfile
from tools.kinds.site_file import SiteFileError, make_variant

__all__ = ["MAX_WORTH_LOSS", "main", "render", "write_variants"]

# Maximum decrease of a mean worth from the first tree to the second; a larger one fails the
# comparison. Smaller differences of the means of a few runs are not significant.
MAX_WORTH_LOSS = 0.03

_FOLDER_PATH = click.Path(exists=True, file_okay=False, path_type=Path)
_FILE_PATH = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@click.option("--bench", type=_FILE_PATH, required=True, help="Bench program that runs the days.")
@click.option(
    "--site", type=_FILE_PATH, required=True, help="Site file from which the variants are made."
)
@click.option("--before", type=_FOLDER_PATH, required=True, help="Work tree of an earlier commit.")
@click.option("--now", type=_FOLDER_PATH, required=True, help="Work tree to compare with it.")
@click.option("--without", multiple=True, help="Also run with this mechanism switched off.")
@click.option("--kind", "names", multiple=True, help="Kind of engine to run; all by default.")
@click.option("--day", "days", multiple=True, required=True, help="Day of the site to run.")
@click.option("--set", "settings", multiple=True, help="TABLE.FIELD=VALUE to set in the site file.")
@click.option("--seeds", default=3, show_default=True, help="Number of seeds for each day.")
@click.option("--jobs", default=4, show_default=True, help="Number of concurrent runs.")
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
    """Run days with kinds of engines and two commits, and print a table of the worth.

    Exits with 1 if a mean worth fell by more than 0.03, or a run failed or violated a rule.
    """
    with tempfile.TemporaryDirectory() as directory:
        scratch = Path(directory)
        trees = [WorkTree("before", before.resolve()), WorkTree("now", now.resolve())]
        trees += [
            copy_without_mechanism(trees[1], mechanism, scratch / mechanism)
            for mechanism in without
        ]
        kinds = [kind for kind in ENGINE_PROFILES if not names or kind.name in names]
        try:
            sites = write_variants(site, kinds, settings, scratch)
        except SiteFileError as error:
            raise click.ClickException(f"{site}: {error}") from error
        runs = [
            BenchRun(kind.name, sites[kind.name], day, seed, tree)
            for kind in kinds
            for day in days
            for seed in range(1, seeds + 1)
            for tree in trees
        ]
        results = run_all(bench.resolve(), runs, jobs, scratch)
    table, passed = render(results, [tree.label for tree in trees])
    click.echo(table)
    sys.exit(0 if passed else 1)


def write_variants(
    site: Path, kinds: Sequence[EngineProfile], settings: tuple[str, ...], folder: Path
) -> dict[str, Path]:
    """Write a variant of a site for each kind, with the JSON files from the folder of the site.

    Returns:
        The site files of the variants, by the name of the kind.

    Raises:
        SiteFileError: The site file lacks a field that a kind changes, or a setting is invalid.
    """
    text = site.read_text("utf-8")
    sites = {}
    for number, kind in enumerate(kinds):
        variant_folder = folder / f"kind-{number}"
        variant_folder.mkdir()
        for adjacent in site.parent.glob("*.json"):
            shutil.copy(adjacent, variant_folder)
        sites[kind.name] = variant_folder / site.name
        sites[kind.name].write_text(make_variant(text, kind, settings), "utf-8")
    return sites


def render(results: Sequence[RunResult], labels: Sequence[str]) -> tuple[str, bool]:
    """Return a table of the mean worth of each kind, day and tree.

    Args:
        results: Results of the runs.
        labels: Labels of the trees; the change is from the first tree to the second.

    Returns:
        The table, and whether no mean fell by more than ``MAX_WORTH_LOSS`` and no run failed.
    """
    rows = [
        _table_row("kind, day", [*labels, "now minus before"]),
        _table_row("---", ["---"] * (len(labels) + 1)),
    ]
    passed = True
    for variant, day in dict.fromkeys((item.run.variant, item.run.day) for item in results):
        matching = [item for item in results if (item.run.variant, item.run.day) == (variant, day)]
        means = [
            _mean_worth([item for item in matching if item.run.tree.label == label])
            for label in labels
        ]
        first, second = means[0], means[1]
        change = None if first is None or second is None else second - first
        passed = passed and change is not None and change >= -MAX_WORTH_LOSS
        rows.append(
            _table_row(
                f"{variant}, {day}",
                [_format_worth(mean) for mean in means] + [_format_change(change)],
            )
        )
    failed = [item for item in results if item.worth is None]
    notes = [
        f"failed: {item.run.variant}, {item.run.day}, seed {item.run.seed}, "
        f"{item.run.tree.label}: {item.failure}"
        for item in failed
    ]
    return "\n".join([*rows, *notes]), passed


def _mean_worth(results: Sequence[RunResult]) -> float | None:
    worths = [item.worth for item in results if item.worth is not None]
    return statistics.mean(worths) if worths and len(worths) == len(results) else None


def _format_worth(worth: float | None) -> str:
    return "failed" if worth is None else f"{worth:.3f}"


def _format_change(change: float | None) -> str:
    return "-" if change is None else f"{change:+.3f}"


def _table_row(head: str, cells: Sequence[str]) -> str:
    return f"| {head} | " + " | ".join(cells) + " |"


if __name__ == "__main__":
    main()
