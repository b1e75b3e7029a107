"""Runs the tests and tolerates the failure of exactly those that KNOWN-RED.txt lists.

A test is listed if it fails because of a fault that is not fixed yet, or if it failed in some runs
and the cause is unknown. To keep the list from hiding other failures, its length is limited, each
listed test must exist and run, a test that is listed as failing must fail, and every entry is
printed with the result of its test.
"""

import os
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tools.known_red import FailureKind, KnownFailure, parse_known_failures

__all__ = ["RunResults", "describe_entry", "find_faults"]

_KNOWN_FAILURES_FILE = Path("KNOWN-RED.txt")
# Most tests wait for other processes or for time to pass, so several run in parallel. Three of
# eight cores are left for the processes that the tests start.
_PARALLEL_OPTIONS = (f"--numprocesses={max(1, (os.cpu_count() or 1) * 5 // 8)}", "--dist=worksteal")
# Tests with the mark `alone` run after the others. In parallel with them, the callers of a fleet
# of processes were too slow to exceed the limit that one of these tests requires, and a planned
# stop took longer than its grace period.
_ALONE_OPTIONS = ("--numprocesses=2", "-m", "alone")
_RUNS = ((*_PARALLEL_OPTIONS, "-m", "not alone"), _ALONE_OPTIONS)


class RunResults(NamedTuple):
    """Results of the test runs.

    Attributes:
        collected: Ids of the collected tests.
        passed: Ids of the tests whose call phase passed.
        failed: Ids of the tests that failed in any phase.
        exit_code: The highest exit code of the pytest runs.
    """

    collected: frozenset[str]
    passed: frozenset[str]
    failed: frozenset[str]
    exit_code: int

    def result_of(self, test: str) -> str:
        """Return ``failed``, ``passed`` or ``not run`` for a test."""
        if test in self.failed:
            return "failed"
        return "passed" if test in self.passed else "not run"


class _ResultRecorder:
    """A pytest plugin that records which tests were collected, and which passed or failed."""

    def __init__(self) -> None:
        self.collected: set[str] = set()
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.collection_errors = 0

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Record every collected test."""
        self.collected.update(item.nodeid for item in items)

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        """Record every test that a process of a parallel run collected."""
        self.collected.update(ids)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record every pass, and every failure, including those in setup and teardown."""
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Count the files that could not be collected."""
        self.collection_errors += report.failed


def find_faults(known: list[KnownFailure], results: RunResults) -> list[str]:
    """Return every reason why the run doesn't pass, sorted."""
    fails = {item.test for item in known if item.kind is FailureKind.FAILS and item.names_test}
    seen_once = {
        item.test for item in known if item.kind is FailureKind.SEEN_ONCE and item.names_test
    }
    listed = fails | seen_once
    faults = [f"listed, but does not exist: {test}" for test in listed - results.collected]
    faults += [
        f"listed as failing, but did not fail: {test}"
        for test in (fails & results.collected) - results.failed
    ]
    faults += [
        f"listed, but was not run: {test}"
        for test in (seen_once & results.collected) - results.failed - results.passed
    ]
    faults += [f"failed: {test}" for test in results.failed - listed]
    expected = pytest.ExitCode.TESTS_FAILED if results.failed else pytest.ExitCode.OK
    if results.exit_code != expected:
        faults.append(f"pytest exited with code {results.exit_code}")
    return sorted(faults)


def describe_entry(item: KnownFailure, results: RunResults) -> str:
    """Return a line with an entry of the list and the result of its test."""
    result = results.result_of(item.test) if item.names_test else "no test"
    source = f"command: {item.command}, seed: {item.seed}, issue {item.issue}"
    return f"known red, {item.kind.value}: {item.test}: {result}; seen: {item.symptom} ({source})"


def main(arguments: list[str]) -> int:
    """Run the tests, print the verdict and return the exit code."""
    known, faults = parse_known_failures(
        _KNOWN_FAILURES_FILE.read_text() if _KNOWN_FAILURES_FILE.exists() else ""
    )
    recorder = _ResultRecorder()
    runs = [(*_PARALLEL_OPTIONS, *arguments)] if arguments else _RUNS
    exit_codes = [int(pytest.main(list(run), plugins=[recorder])) for run in runs]
    results = RunResults(
        frozenset(recorder.collected),
        frozenset(recorder.passed),
        frozenset(recorder.failed),
        max(exit_codes, default=0),
    )
    faults += find_faults(known, results)
    if recorder.collection_errors:
        faults.append(f"{recorder.collection_errors} files could not be collected")
    for item in known:
        print(describe_entry(item, results))
    for fault in faults:
        print(f"verdict: {fault}")
    print(f"verdict: {'not passed' if faults else 'passed'}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
