"""Runs the tests and passes over exactly those that KNOWN-RED.txt lists.

A known red test is one that fails for a real fault which is not mended yet, or one whose failure
was seen and not traced. The list may not hide anything: it is short, each test that it names must
exist, one that is said to fail must still fail, and every entry is printed with what its test did.
"""

import os
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tools.known_red import Kind, KnownRed, read_known_red

__all__ = ["Outcome", "describe", "judge"]

_FILE = Path("KNOWN-RED.txt")
# Most tests wait for other processes and for time to pass, so that several run at a time; three
# cores in eight are left to what they start.
_PARALLEL = (f"--numprocesses={max(1, (os.cpu_count() or 1) * 5 // 8)}", "--dist=worksteal")
# Tests that are marked so come after the others: beside them, callers of a fleet of processes
# were too slow to pass the limit that one of them needs, and a planned stop missed its grace.
_ALONE = ("--numprocesses=2", "-m", "alone")
_RUNS = ((*_PARALLEL, "-m", "not alone"), _ALONE)


class Outcome(NamedTuple):
    """What a test run showed."""

    collected: frozenset[str]
    passed: frozenset[str]
    failed: frozenset[str]
    exit_code: int

    def result_of(self, test: str) -> str:
        """Tell what became of a test."""
        if test in self.failed:
            return "failed"
        return "passed" if test in self.passed else "not run"


class _Watcher:
    """A pytest plugin that notes what was collected and what passed or failed."""

    def __init__(self) -> None:
        self.collected: set[str] = set()
        self.passed: set[str] = set()
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
        """Note every pass, and every failure, also in set-up and tear-down."""
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Count files that could not be collected."""
        self.broken += report.failed


def judge(known: list[KnownRed], outcome: Outcome) -> list[str]:
    """Give every reason why the run does not pass."""
    fails = {item.test for item in known if item.kind is Kind.FAILS and item.is_test}
    seen_once = {item.test for item in known if item.kind is Kind.SEEN_ONCE and item.is_test}
    listed = fails | seen_once
    faults = [f"listed, but does not exist: {test}" for test in listed - outcome.collected]
    faults += [
        f"listed, but has turned green: {test}"
        for test in (fails & outcome.collected) - outcome.failed
    ]
    faults += [
        f"listed, but was not run: {test}"
        for test in (seen_once & outcome.collected) - outcome.failed - outcome.passed
    ]
    faults += [f"failed: {test}" for test in outcome.failed - listed]
    expected = pytest.ExitCode.TESTS_FAILED if outcome.failed else pytest.ExitCode.OK
    if outcome.exit_code != expected:
        faults.append(f"the test runner ended with {outcome.exit_code}")
    return sorted(faults)


def describe(item: KnownRed, outcome: Outcome) -> str:
    """Tell of an entry of the list and of what its test did."""
    result = outcome.result_of(item.test) if item.is_test else "no test"
    source = f"command: {item.command}, seed: {item.seed}, issue {item.issue}"
    return f"known red, {item.kind.value}: {item.test}: {result}; seen: {item.seen} ({source})"


def main(arguments: list[str]) -> int:
    """Run the tests and give the exit code."""
    known, faults = read_known_red(_FILE.read_text() if _FILE.exists() else "")
    watcher = _Watcher()
    runs = [(*_PARALLEL, *arguments)] if arguments else _RUNS
    exit_codes = [int(pytest.main(list(run), plugins=[watcher])) for run in runs]
    outcome = Outcome(
        frozenset(watcher.collected),
        frozenset(watcher.passed),
        frozenset(watcher.failed),
        max(exit_codes, default=0),
    )
    faults += judge(known, outcome)
    if watcher.broken:
        faults.append(f"{watcher.broken} files could not be collected")
    for item in known:
        print(describe(item, outcome))
    for fault in faults:
        print(f"verdict: {fault}")
    print(f"verdict: {'not passed' if faults else 'passed'}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
