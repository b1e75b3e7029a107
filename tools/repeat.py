"""Runs tests many times, with busy processes in parallel, and keeps the output of failed runs.

    python -m tools.repeat --times 100 --busy 8 cleatlink/routing/fleet_view_test.py::test_name

Without a test, each run is a full run of ``tools.verdict``.
"""

import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import click

__all__ = ["Run", "busy_processes", "repeat"]

_BUSY_PROGRAM = "while True: pass"
# Number of lines printed from the end of a failed run's output; the file has all of it.
_PRINTED_LINES = 40


class Run(NamedTuple):
    """A run: its number, its exit code and the file of its output."""

    number: int
    exit_code: int
    output: Path


@contextmanager
def busy_processes(count: int) -> Iterator[list[int]]:
    """Keep a number of processors busy with one process each, and yield the process ids."""
    processes: list[subprocess.Popen[bytes]] = []
    try:
        for _ in range(count):
            processes.append(subprocess.Popen([sys.executable, "-c", _BUSY_PROGRAM]))
        yield [process.pid for process in processes]
    finally:
        for process in processes:
            process.kill()
            process.wait()


def _command(tests: tuple[str, ...]) -> list[str]:
    module = ["pytest", "-p", "no:cacheprovider"] if tests else ["tools.verdict"]
    return [sys.executable, "-m", *module, *tests]


def repeat(
    tests: tuple[str, ...],
    run_count: int,
    folder: Path,
    *,
    busy_count: int = 0,
    max_concurrent_runs: int = 1,
) -> list[Run]:
    """Run tests a number of times.

    Args:
        tests: Tests as arguments of pytest; if empty, each run is a full run of the verdict.
        run_count: Number of runs.
        folder: Folder for the output of failed runs, a file for each.
        busy_count: Number of busy processes in parallel with the tests.
        max_concurrent_runs: Maximum number of concurrent runs.

    Returns:
        The runs that failed, by number.
    """
    folder.mkdir(parents=True, exist_ok=True)

    def run(number: int) -> Run:
        output = folder / f"run-{number}.txt"
        with output.open("wb") as file:
            completed = subprocess.run(_command(tests), stdout=file, stderr=file, check=False)
        if completed.returncode == 0:
            output.unlink()
        return Run(number, completed.returncode, output)

    with busy_processes(busy_count), ThreadPoolExecutor(max_concurrent_runs) as pool:
        runs = list(pool.map(run, range(1, run_count + 1)))
    return [item for item in runs if item.exit_code != 0]


@click.command()
@click.argument("tests", nargs=-1)
@click.option("--times", default=10, show_default=True, help="Number of runs.")
@click.option("--busy", default=0, show_default=True, help="Number of busy processes in parallel.")
@click.option("--at-a-time", default=1, show_default=True, help="Number of concurrent runs.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path(".repeat"),
    show_default=True,
    help="Folder for the output of failed runs.",
)
def main(tests: tuple[str, ...], times: int, busy: int, at_a_time: int, folder: Path) -> None:
    """Run tests many times, with busy processes in parallel; exits with 1 if a run failed."""
    failed_runs = repeat(tests, times, folder, busy_count=busy, max_concurrent_runs=at_a_time)
    for item in failed_runs:
        click.echo(f"run {item.number} exited with code {item.exit_code}: {item.output}")
        lines = item.output.read_text("utf-8", "replace").splitlines()
        click.echo("\n".join(lines[-_PRINTED_LINES:]))
    click.echo(f"{len(failed_runs)} of {times} runs failed, with {busy} busy processes")
    sys.exit(1 if failed_runs else 0)


if __name__ == "__main__":
    main()
