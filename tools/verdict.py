"""Runs the tests and passes over exactly those that KNOWN-RED.txt lists.

A known red test is one that fails for a real fault which is not mended yet.
The list may not hide anything: it has three lines at most, each must name a
test that exists and that still fails, and every line is printed.
"""

import os
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

__all__ = ["KnownRed", "Outcome", "judge", "read_known_red"]

_FILE = Path("KNOWN-RED.txt")
_MOST = 3
_FIELDS = 3
# Most tests wait for other processes and for time to pass, so that several run at a time; three
# cores in eight are left to what they start.
_PARALLEL = (f"--numprocesses={max(1, (os.cpu_count() or 1) * 5 // 8)}", "--dist=worksteal")
# Tests that are marked so come after the others: beside them, callers of a fleet of processes
# were too slow to pass the limit that one of them needs, and a planned stop missed its grace.
_ALONE = ("--numprocesses=2", "-m", "alone")
_RUNS = ((*_PARALLEL, "-m", "not alone"), _ALONE)


class KnownRed(NamedTuple):
    """One line of the list: ``test | cause | issue``."""

    test: str
    cause: str
    issue: str


class Outcome(NamedTuple):
    """What a test run showed."""

    collected: frozenset[str]
    failed: frozenset[str]
    exit_code: int


class _Watcher:
    """A pytest plugin that notes what was collected and what failed."""

    def __init__(self) -> None:
        self.collected: set[str] = set()
        self.failed: set[str] = set()
        self.broken = 0

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Note every collected test."""
        self.collected.update(item.nodeid for item in items)

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        """Note every test that a process of a parallel run collected."""
        self.collected.update(ids)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note every failure, also in set-up and tear-down."""
        if report.failed:
            self.failed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Count files that could not be collected."""
        self.broken += report.failed


def read_known_red(text: str) -> tuple[list[KnownRed], list[str]]:
    """Read the list, with faults as data."""
    known, faults = [], []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != _FIELDS or not all(fields):
            faults.append(f"line {number} is not 'test | cause | issue'")
        else:
            known.append(KnownRed(*fields))
    if len(known) > _MOST:
        faults.append(f"{len(known)} tests are listed; {_MOST} are allowed")
    return known, faults


def judge(known: list[KnownRed], outcome: Outcome) -> list[str]:
    """Give every reason why the run does not pass."""
    listed = {item.test for item in known}
    faults = [f"listed, but does not exist: {test}" for test in listed - outcome.collected]
    faults += [
        f"listed, but has turned green: {test}"
        for test in (listed & outcome.collected) - outcome.failed
    ]
    faults += [f"failed: {test}" for test in outcome.failed - listed]
    expected = pytest.ExitCode.TESTS_FAILED if outcome.failed else pytest.ExitCode.OK
    if outcome.exit_code != expected:
        faults.append(f"the test runner ended with {outcome.exit_code}")
    return sorted(faults)


def main(arguments: list[str]) -> int:
    """Run the tests and give the exit code."""
    known, faults = read_known_red(_FILE.read_text() if _FILE.exists() else "")
    watcher = _Watcher()
    runs = [(*_PARALLEL, *arguments)] if arguments else _RUNS
    exit_codes = [int(pytest.main(list(run), plugins=[watcher])) for run in runs]
    outcome = Outcome(
        frozenset(watcher.collected), frozenset(watcher.failed), max(exit_codes, default=0)
    )
    faults += judge(known, outcome)
    if watcher.broken:
        faults.append(f"{watcher.broken} files could not be collected")
    for item in known:
        print(f"known red: {item.test}: {item.cause} (issue {item.issue})")
    for fault in faults:
        print(f"verdict: {fault}")
    print(f"verdict: {'not passed' if faults else 'passed'}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
