"""The verdict tolerates listed failures alone, and rejects a list that could hide a failure."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tools.known_red import FailureKind, KnownFailure, parse_known_failures
from tools.verdict import RunResults, describe_entry, find_faults

FAILS_ENTRY = KnownFailure(
    FailureKind.FAILS, "a_test.py::test_a", "pytest a_test.py", "-", "503", "3"
)
SEEN_ONCE_ENTRY = FAILS_ENTRY._replace(kind=FailureKind.SEEN_ONCE)
COMMAND_ENTRY = SEEN_ONCE_ENTRY._replace(test="-", command="cleatlink-soak --seed 7", seed="7")
ENTRY_LINE = "a_test.py::test_a{} | pytest a_test.py | - | 503 | 3\n"
ROOT = Path(__file__).parents[1]


def results(*failed: str) -> RunResults:
    tests = frozenset({"a_test.py::test_a", "a_test.py::test_b"})
    return RunResults(tests, tests - {*failed}, frozenset(failed), 1 if failed else 0)


def entry_lines(count: int) -> str:
    return "".join(ENTRY_LINE.format(number) for number in range(count))


def test_run_without_failures_passes() -> None:
    assert find_faults([], results()) == []


def test_listed_failure_is_tolerated() -> None:
    assert find_faults([FAILS_ENTRY], results(FAILS_ENTRY.test)) == []


@pytest.mark.parametrize("known", [FAILS_ENTRY, SEEN_ONCE_ENTRY])
def test_unlisted_failure_is_a_fault(known: KnownFailure) -> None:
    assert find_faults([known], results(known.test, "a_test.py::test_b")) == [
        "failed: a_test.py::test_b"
    ]


def test_passing_test_listed_as_failing_is_a_fault() -> None:
    assert "listed as failing, but did not fail" in find_faults([FAILS_ENTRY], results())[0]


@pytest.mark.parametrize("known", [FAILS_ENTRY, SEEN_ONCE_ENTRY])
def test_listed_test_that_does_not_exist_is_a_fault(known: KnownFailure) -> None:
    gone = known._replace(test="a_test.py::test_gone")
    assert find_faults([gone], results()) == ["listed, but does not exist: a_test.py::test_gone"]


def test_failure_seen_once_may_recur_or_not() -> None:
    assert find_faults([SEEN_ONCE_ENTRY], results(SEEN_ONCE_ENTRY.test)) == []
    assert find_faults([SEEN_ONCE_ENTRY], results()) == []


def test_skipped_test_with_a_failure_seen_once_is_a_fault() -> None:
    skipped = results()._replace(passed=frozenset())
    assert find_faults([SEEN_ONCE_ENTRY], skipped) == ["listed, but was not run: a_test.py::test_a"]


def test_entry_without_a_test_tolerates_no_failure() -> None:
    assert find_faults([COMMAND_ENTRY], results()) == []
    assert find_faults([COMMAND_ENTRY], results("a_test.py::test_a")) == [
        "failed: a_test.py::test_a"
    ]


def test_entry_is_described_with_the_result_of_its_test() -> None:
    assert describe_entry(FAILS_ENTRY, results(FAILS_ENTRY.test)) == (
        "known red, fails: a_test.py::test_a: failed; seen: 503 "
        "(command: pytest a_test.py, seed: -, issue 3)"
    )
    assert "seen once: a_test.py::test_a: passed;" in describe_entry(SEEN_ONCE_ENTRY, results())
    assert "seen once: a_test.py::test_a: failed;" in describe_entry(
        SEEN_ONCE_ENTRY, results(SEEN_ONCE_ENTRY.test)
    )
    assert "seen once: -: no test; seen: 503 (command: cleatlink-soak --seed 7, seed: 7" in (
        describe_entry(COMMAND_ENTRY, results())
    )


def test_failure_in_any_phase_counts_as_failed() -> None:
    failed_in_teardown = results(SEEN_ONCE_ENTRY.test)._replace(
        passed=frozenset({SEEN_ONCE_ENTRY.test})
    )
    assert ": failed;" in describe_entry(SEEN_ONCE_ENTRY, failed_in_teardown)


def test_interrupted_pytest_run_is_a_fault() -> None:
    assert find_faults([], results()._replace(exit_code=2)) == ["pytest exited with code 2"]


def test_heading_sets_the_kind_of_its_entries() -> None:
    known, faults = parse_known_failures(
        f"fails:\n{ENTRY_LINE.format(1)}\nseen once:\n{ENTRY_LINE.format(2)}"
    )
    assert faults == []
    assert [(item.kind, item.test) for item in known] == [
        (FailureKind.FAILS, "a_test.py::test_a1"),
        (FailureKind.SEEN_ONCE, "a_test.py::test_a2"),
    ]


@pytest.mark.parametrize(
    ("kind", "max_entries"), [(FailureKind.FAILS, 3), (FailureKind.SEEN_ONCE, 12)]
)
def test_too_many_entries_are_a_fault(kind: FailureKind, max_entries: int) -> None:
    heading = f"{kind.value}:\n"
    assert parse_known_failures(heading + entry_lines(max_entries))[1] == []
    assert parse_known_failures(heading + entry_lines(max_entries + 1))[1] == [
        f"{max_entries + 1} entries of '{kind.value}'; {max_entries} are allowed"
    ]


def test_entry_limit_covers_repeated_headings() -> None:
    text = f"fails:\n{entry_lines(2)}seen once:\nfails:\n{entry_lines(4)}"
    assert "6 entries of 'fails'; 3 are allowed" in parse_known_failures(text)[1]


@pytest.mark.parametrize(
    "line", ["a_test.py::test_a", "a | b | c | d", "a | b | c |  | e", "once:"]
)
def test_malformed_line_is_a_fault(line: str) -> None:
    assert parse_known_failures(f"fails:\n{line}\n") == (
        [],
        ["line 2 is not 'test | command | seed | what was seen | issue'"],
    )


def test_entry_without_a_heading_is_a_fault() -> None:
    assert parse_known_failures(entry_lines(1)) == ([], ["line 1 has no heading above it"])


def test_duplicate_entry_is_a_fault() -> None:
    text = f"fails:\n{ENTRY_LINE.format(1)}seen once:\n{ENTRY_LINE.format(1)}"
    assert parse_known_failures(text)[1] == ["listed twice: a_test.py::test_a1"]


def test_entry_listed_as_failing_must_name_a_test() -> None:
    line = "- | cleatlink-soak --seed 7 | 7 | 503 | 3\n"
    assert parse_known_failures(f"seen once:\n{line}")[1] == []
    assert parse_known_failures(f"fails:\n{line}")[1] == [
        "entry under 'fails' names no test: cleatlink-soak --seed 7"
    ]


def test_list_of_this_tree_is_well_formed() -> None:
    assert parse_known_failures((ROOT / "KNOWN-RED.txt").read_text())[1] == []


def test_verdict_distinguishes_passed_failed_and_skipped_tests(tmp_path: Path) -> None:
    (tmp_path / "a_test.py").write_text(
        "import pytest\n"
        "def test_a(): assert False\n"
        "def test_b(): pass\n"
        "@pytest.mark.skip\n"
        "def test_c(): pass\n"
        "def test_d(): assert False\n"
    )
    line = "a_test.py::test_{} | pytest | - | seen | 3\n"
    listed = "fails:\n" + line.format("a") + "seen once:\n" + line.format("b") + line.format("c")
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    completed = subprocess.run(
        [sys.executable, "-m", "tools.verdict", "--numprocesses=1", "a_test.py"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )
    printed = [
        item for item in completed.stdout.splitlines() if item.startswith(("known", "verdict"))
    ]
    assert [item.split(";")[0] for item in printed] == [
        "known red, fails: a_test.py::test_a: failed",
        "known red, seen once: a_test.py::test_b: passed",
        "known red, seen once: a_test.py::test_c: not run",
        "verdict: failed: a_test.py::test_d",
        "verdict: listed, but was not run: a_test.py::test_c",
        "verdict: not passed",
    ]
    assert completed.returncode == 1
