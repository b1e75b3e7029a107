"""Runs benchmark days of site variants with a bench program, several at a time."""

import shutil
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import msgspec

__all__ = ["BenchRun", "RunResult", "WorkTree", "copy_without_mechanism", "run_all"]

_ENTRY_COMMAND = "cleatlink.scripts.main entry"
# Log text of an instance, once for each role change that it orders.
_ORDER_LOG_TEXT = '"orders: plans a role change"'


class WorkTree(NamedTuple):
    """A work tree of cleatlink.

    Attributes:
        label: Name of the tree in tables.
        folder: Root of the tree.
    """

    label: str
    folder: Path


class BenchRun(NamedTuple):
    """A run of a benchmark day.

    Attributes:
        variant: Name of the site variant in tables: a kind of engine, or the site itself.
        site: Site file of the variant.
        day: Name of the day.
        seed: Seed of the day's random choices.
        tree: Work tree that the bench runs.
        counts_orders: Whether to count the role changes that instances order, in their logs.
    """

    variant: str
    site: Path
    day: str
    seed: int
    tree: WorkTree
    counts_orders: bool = False


class RunResult(NamedTuple):
    """Result of a run.

    Attributes:
        run: The run.
        worth: Worth of the day; None if the run failed or violated a rule.
        failure: Description of the failure; empty if there is none.
        order_count: Number of role changes that were ordered; 0 if they are not counted.
    """

    run: BenchRun
    worth: float | None
    failure: str
    order_count: int = 0


class _Report(msgspec.Struct):
    """The fields of the bench's report that are used.

    Attributes:
        worth: Worth of the day, the field ``G`` of the report.
        fault: Why the run failed; None if it did not fail.
        breaks: Number of violations of each violated rule.
    """

    worth: float = msgspec.field(name="G")
    fault: str | None = None
    breaks: dict[str, int] = {}


def copy_without_mechanism(tree: WorkTree, mechanism: str, folder: Path) -> WorkTree:
    """Copy a work tree, and switch off a mechanism of cleatlink in the copy's deploy file.

    Raises:
        ValueError: The deploy file lacks the command that runs an instance.
    """
    ignored = shutil.ignore_patterns(".venv", "journal", "target", "__pycache__")
    shutil.copytree(tree.folder, folder, ignore=ignored)
    deploy = folder / "deploy" / "system.toml"
    text = deploy.read_text("utf-8")
    if _ENTRY_COMMAND not in text:
        raise ValueError(f"{deploy} does not run {_ENTRY_COMMAND}")
    deploy.write_text(
        text.replace(_ENTRY_COMMAND, f"{_ENTRY_COMMAND} --without {mechanism}"), "utf-8"
    )
    return WorkTree(f"without {mechanism}", folder)


def run_all(bench: Path, runs: list[BenchRun], jobs: int, scratch: Path) -> list[RunResult]:
    """Build the work trees and run the days, ``jobs`` at a time; return the results in order."""
    for folder in {run.tree.folder for run in runs}:
        _run_command([str(bench), "build"], folder)
    with ThreadPoolExecutor(jobs) as executor:
        numbered = enumerate(runs)
        return list(
            executor.map(lambda item: _run_day(bench, item[1], scratch / f"{item[0]}"), numbered)
        )


def _run_day(bench: Path, run: BenchRun, report_file: Path) -> RunResult:
    command = [str(bench), "run", str(run.site), run.day, "--seed", str(run.seed)]
    purpose = f"trial: {run.tree.label}, engines: {run.variant}, {run.day}"
    command += ["--log", "all"] if run.counts_orders else []
    completed = _run_command(
        [*command, "--report", str(report_file), "--why", purpose], run.tree.folder
    )
    if not report_file.exists():
        return RunResult(run, None, _last_line(completed.stdout + completed.stderr))
    report = msgspec.json.decode(report_file.read_bytes(), type=_Report)
    if report.fault is not None or report.breaks:
        return RunResult(run, None, report.fault or f"rules broken: {', '.join(report.breaks)}")
    return RunResult(run, report.worth, "", completed.stdout.count(_ORDER_LOG_TEXT))


def _run_command(command: list[str], folder: Path) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


def _last_line(text: str) -> str:
    return text.strip().rpartition("\n")[2]
