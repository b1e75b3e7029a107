"""The verdict hides nothing: each way in which the list could lie is refused."""

from tools.verdict import KnownRed, Outcome, judge, read_known_red

RED = KnownRed("a_test.py::test_a", "cause", "3")


def outcome(*failed: str) -> Outcome:
    names = frozenset({"a_test.py::test_a", "a_test.py::test_b"})
    return Outcome(names, frozenset(failed), 1 if failed else 0)


def test_green_run_passes() -> None:
    assert judge([], outcome()) == []


def test_listed_failure_is_passed_over() -> None:
    assert judge([RED], outcome(RED.test)) == []


def test_unlisted_failure_fails() -> None:
    assert judge([RED], outcome(RED.test, "a_test.py::test_b")) == ["failed: a_test.py::test_b"]


def test_listed_test_that_is_green_fails() -> None:
    assert "turned green" in judge([RED], outcome())[0]


def test_listed_test_that_does_not_exist_fails() -> None:
    gone = RED._replace(test="a_test.py::test_gone")
    assert "does not exist" in judge([gone], outcome())[0]


def test_runner_that_ended_early_fails() -> None:
    assert judge([], outcome()._replace(exit_code=2)) == ["the test runner ended with 2"]


def test_fourth_line_and_broken_line_are_faults() -> None:
    line = "a_test.py::test_a | cause | 3\n"
    assert read_known_red(3 * line)[1] == []
    assert read_known_red(4 * line)[1] == ["4 tests are listed; 3 are allowed"]
    assert read_known_red("a_test.py::test_a\n")[1] == ["line 1 is not 'test | cause | issue'"]
