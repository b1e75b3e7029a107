"""Runs tests many times beside busy processes and keeps the output of what fails.

    python -m tools.repeat --times 100 --busy 8 cleatlink/routing/fleet_view_test.py::test_name

Without a test it runs the whole check of ``tools.verdict`` each time.
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

_BUSY = "while True: pass"
# Of each failed run; the file has all.
_SHOWN_LINES = 40


class Run(NamedTuple):
    """One run, its exit code and where its output is."""

    number: int
    exit_code: int
    output: Path


@contextmanager
def busy_processes(count: int) -> Iterator[list[int]]:
    """Keep a number of processors busy; gives the processes' ids."""
    processes: list[subprocess.Popen[bytes]] = []
    try:
        for _ in range(count):
            processes.append(subprocess.Popen([sys.executable, "-c", _BUSY]))
        yield [process.pid for process in processes]
    finally:
        for process in processes:
            process.kill()
            process.wait()


def _command(tests: tuple[str, ...]) -> list[str]:
    module = ["pytest", "-p", "no:cacheprovider"] if tests else ["tools.verdict"]
    return [sys.executable, "-m", *module, *tests]


def repeat(
    tests: tuple[str, ...], times: int, folder: Path, *, busy: int = 0, at_a_time: int = 1
) -> list[Run]:
    """Run tests a number of times.

    Args:
        tests: Tests as pytest takes them; none for the whole check.
        times: How often.
        folder: Gets a file of output for each run that fails.
        busy: Busy processes beside them.
        at_a_time: Runs side by side.

    Returns:
        The runs that failed, in order.
    """
    folder.mkdir(parents=True, exist_ok=True)

    def run(number: int) -> Run:
        output = folder / f"run-{number}.txt"
        with output.open("wb") as file:
            done = subprocess.run(_command(tests), stdout=file, stderr=file, check=False)
        if done.returncode == 0:
            output.unlink()
        return Run(number, done.returncode, output)

    with busy_processes(busy), ThreadPoolExecutor(at_a_time) as pool:
        runs = list(pool.map(run, range(1, times + 1)))
    return [item for item in runs if item.exit_code != 0]


@click.command()
@click.argument("tests", nargs=-1)
@click.option("--times", default=10, show_default=True, help="How often the tests are run.")
@click.option("--busy", default=0, show_default=True, help="Busy processes beside them.")
@click.option("--at-a-time", default=1, show_default=True, help="Runs side by side.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path(".repeat"),
    show_default=True,
    help="Where the output of failed runs is kept.",
)
def main(tests: tuple[str, ...], times: int, busy: int, at_a_time: int, folder: Path) -> None:
    """Run tests many times, beside busy processes if wanted; exits with 1 if a run failed."""
    failed = repeat(tests, times, folder, busy=busy, at_a_time=at_a_time)
    for item in failed:
        click.echo(f"run {item.number} ended with {item.exit_code}: {item.output}")
        lines = item.output.read_text("utf-8", "replace").splitlines()
        click.echo("\n".join(lines[-_SHOWN_LINES:]))
    click.echo(f"{len(failed)} of {times} runs failed, beside {busy} busy processes")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
