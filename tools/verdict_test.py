"""The verdict hides nothing: each way in which the list could lie is refused."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tools.known_red import Kind, KnownRed, read_known_red
from tools.verdict import Outcome, describe, judge

RED = KnownRed(Kind.FAILS, "a_test.py::test_a", "pytest a_test.py", "-", "503", "3")
ONCE = RED._replace(kind=Kind.SEEN_ONCE)
SOAK = ONCE._replace(test="-", command="cleatlink-soak --seed 7", seed="7")
ENTRY = "a_test.py::test_a{} | pytest a_test.py | - | 503 | 3\n"
ROOT = Path(__file__).parents[1]


def outcome(*failed: str) -> Outcome:
    names = frozenset({"a_test.py::test_a", "a_test.py::test_b"})
    return Outcome(names, names - {*failed}, frozenset(failed), 1 if failed else 0)


def entries(count: int) -> str:
    return "".join(ENTRY.format(number) for number in range(count))


def test_green_run_passes() -> None:
    assert judge([], outcome()) == []


def test_listed_failure_is_passed_over() -> None:
    assert judge([RED], outcome(RED.test)) == []


@pytest.mark.parametrize("known", [RED, ONCE])
def test_unlisted_failure_fails(known: KnownRed) -> None:
    assert judge([known], outcome(known.test, "a_test.py::test_b")) == ["failed: a_test.py::test_b"]


def test_listed_test_that_is_green_fails() -> None:
    assert "turned green" in judge([RED], outcome())[0]


@pytest.mark.parametrize("known", [RED, ONCE])
def test_listed_test_that_does_not_exist_fails(known: KnownRed) -> None:
    gone = known._replace(test="a_test.py::test_gone")
    assert judge([gone], outcome()) == ["listed, but does not exist: a_test.py::test_gone"]


def test_failure_seen_once_may_come_again_or_not() -> None:
    assert judge([ONCE], outcome(ONCE.test)) == []
    assert judge([ONCE], outcome()) == []


def test_failure_seen_once_whose_test_was_skipped_fails() -> None:
    skipped = outcome()._replace(passed=frozenset())
    assert judge([ONCE], skipped) == ["listed, but was not run: a_test.py::test_a"]


def test_entry_without_a_test_passes_over_nothing() -> None:
    assert judge([SOAK], outcome()) == []
    assert judge([SOAK], outcome("a_test.py::test_a")) == ["failed: a_test.py::test_a"]


def test_each_entry_is_printed_with_what_its_test_did() -> None:
    assert describe(RED, outcome(RED.test)) == (
        "known red, fails: a_test.py::test_a: failed; seen: 503 "
        "(command: pytest a_test.py, seed: -, issue 3)"
    )
    assert "seen once: a_test.py::test_a: passed;" in describe(ONCE, outcome())
    assert "seen once: a_test.py::test_a: failed;" in describe(ONCE, outcome(ONCE.test))
    assert "seen once: -: no test; seen: 503 (command: cleatlink-soak --seed 7, seed: 7" in (
        describe(SOAK, outcome())
    )


def test_test_that_failed_in_one_phase_is_not_told_as_passed() -> None:
    torn_down = outcome(ONCE.test)._replace(passed=frozenset({ONCE.test}))
    assert ": failed;" in describe(ONCE, torn_down)


def test_runner_that_ended_early_fails() -> None:
    assert judge([], outcome()._replace(exit_code=2)) == ["the test runner ended with 2"]


def test_headings_give_the_kind() -> None:
    known, faults = read_known_red(f"fails:\n{ENTRY.format(1)}\nseen once:\n{ENTRY.format(2)}")
    assert faults == []
    assert [(item.kind, item.test) for item in known] == [
        (Kind.FAILS, "a_test.py::test_a1"),
        (Kind.SEEN_ONCE, "a_test.py::test_a2"),
    ]


@pytest.mark.parametrize(("kind", "most"), [(Kind.FAILS, 3), (Kind.SEEN_ONCE, 12)])
def test_one_entry_too_many_is_a_fault(kind: Kind, most: int) -> None:
    heading = f"{kind.value}:\n"
    assert read_known_red(heading + entries(most))[1] == []
    assert read_known_red(heading + entries(most + 1))[1] == [
        f"{most + 1} entries of '{kind.value}'; {most} are allowed"
    ]


def test_bounds_hold_where_a_heading_comes_again() -> None:
    text = f"fails:\n{entries(2)}seen once:\nfails:\n{entries(4)}"
    assert "6 entries of 'fails'; 3 are allowed" in read_known_red(text)[1]


@pytest.mark.parametrize(
    "line", ["a_test.py::test_a", "a | b | c | d", "a | b | c |  | e", "once:"]
)
def test_broken_line_is_a_fault(line: str) -> None:
    assert read_known_red(f"fails:\n{line}\n") == (
        [],
        ["line 2 is not 'test | command | seed | what was seen | issue'"],
    )


def test_entry_without_a_heading_is_a_fault() -> None:
    assert read_known_red(entries(1)) == ([], ["line 1 has no heading above it"])


def test_test_that_is_listed_twice_is_a_fault() -> None:
    text = f"fails:\n{ENTRY.format(1)}seen once:\n{ENTRY.format(1)}"
    assert read_known_red(text)[1] == ["listed twice: a_test.py::test_a1"]


def test_entry_that_fails_names_a_test() -> None:
    line = "- | cleatlink-soak --seed 7 | 7 | 503 | 3\n"
    assert read_known_red(f"seen once:\n{line}")[1] == []
    assert read_known_red(f"fails:\n{line}")[1] == [
        "without a test, and so not shown to fail: cleatlink-soak --seed 7"
    ]


def test_list_of_this_tree_is_well_formed() -> None:
    assert read_known_red((ROOT / "KNOWN-RED.txt").read_text())[1] == []


def test_whole_run_tells_passed_failed_and_skipped_apart(tmp_path: Path) -> None:
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
    done = subprocess.run(
        [sys.executable, "-m", "tools.verdict", "--numprocesses=1", "a_test.py"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )
    told = [item for item in done.stdout.splitlines() if item.startswith(("known", "verdict"))]
    assert [item.split(";")[0] for item in told] == [
        "known red, fails: a_test.py::test_a: failed",
        "known red, seen once: a_test.py::test_b: passed",
        "known red, seen once: a_test.py::test_c: not run",
        "verdict: failed: a_test.py::test_d",
        "verdict: listed, but was not run: a_test.py::test_c",
        "verdict: not passed",
    ]
    assert done.returncode == 1
