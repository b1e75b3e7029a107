"""The example configurations load, and each error is reported with its line."""

from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.config import load_configuration
from cleatlink.core.data import Role
from cleatlink.scripts.commands import main

ROOT = Path(__file__).parents[2]
INVALID_FOLDER = ROOT / "cleatlink" / "config" / "broken"
VALID_FILE = ROOT / "examples" / "bublina.yaml"

# For each invalid file, the expected errors: line number and part of the message.
EXPECTED_ERRORS = {
    "bad_boolean.yaml": [(9, "must be one of true, false")],
    "bad_model_twice.yaml": [(8, "already belongs to lm")],
    "bad_number.yaml": [(14, "must be a number")],
    "bad_objective.yaml": [(16, "must add up to 1")],
    "bad_path.yaml": [(8, "must start with '/'")],
    "bad_selector.yaml": [(16, "selector has a syntax error")],
    "deep.yaml": [(1, "nested more than")],
    "empty.yaml": [(1, "document is empty")],
    "fraction.yaml": [(16, "must be a whole number")],
    "key_twice.yaml": [(14, "duplicate key")],
    "list_for_mapping.yaml": [(4, "must be a mapping")],
    "mapping_for_value.yaml": [(12, "must be a single value")],
    "missing_key.yaml": [(9, "key 'role' is missing")],
    "no_class.yaml": [(6, "no class uses this service")],
    "not_yaml.yaml": [(3, "not YAML")],
    "out_of_range.yaml": [(13, "must be from 0 to 1000")],
    "role_misfit.yaml": [(9, "does not fit a model service")],
    "several.yaml": [
        (2, "unknown key"),
        (7, "must be one of model, plain"),
        (10, "service 'nowhere' is not defined"),
        (15, "must not be longer than deadline_s"),
    ],
    "unknown_service.yaml": [(15, "service 'nowhere' is not defined")],
    "wrong_version.yaml": [(1, "must be from 1 to 1")],
}


@pytest.mark.parametrize("name", ["bublina", "regie"])
def test_examples_are_valid(name: str) -> None:
    configuration, faults = load_configuration((ROOT / f"examples/{name}.yaml").read_text(), 7)
    assert faults == []
    assert configuration is not None
    assert configuration.revision == 7
    assert {pool.role for pool in configuration.pools.values()} >= {Role.PREFILL, Role.DECODE}


def test_example_configurations_have_different_objectives() -> None:
    bublina, _ = load_configuration((ROOT / "examples/bublina.yaml").read_text())
    regie, _ = load_configuration((ROOT / "examples/regie.yaml").read_text())
    assert bublina is not None
    assert regie is not None
    assert bublina.objective.goodput > regie.objective.goodput
    assert bublina.objective.wasted_prefill < regie.objective.wasted_prefill


def test_each_invalid_file_has_expected_errors() -> None:
    assert {path.name for path in INVALID_FOLDER.glob("*.yaml")} == set(EXPECTED_ERRORS)
    assert len(EXPECTED_ERRORS) == 20


@pytest.mark.parametrize("name", sorted(EXPECTED_ERRORS))
def test_check_reports_each_error_once_with_its_line(name: str) -> None:
    result = CliRunner().invoke(main, ["config", "check", str(INVALID_FOLDER / name)])
    assert result.exit_code == 1
    assert isinstance(result.exception, SystemExit)
    lines = result.stderr.splitlines()
    assert len(lines) == len(EXPECTED_ERRORS[name]), lines
    for line, (number, message) in zip(lines, EXPECTED_ERRORS[name], strict=True):
        assert f"line {number}:" in line
        assert message in line


def test_check_accepts_valid_file() -> None:
    result = CliRunner().invoke(main, ["config", "check", str(VALID_FILE)])
    assert result.exit_code == 0


def test_check_rejects_file_that_is_not_utf_8(tmp_path: Path) -> None:
    path = tmp_path / "binary.yaml"
    path.write_bytes(b"\xff\xfe\x00")
    result = CliRunner().invoke(main, ["config", "check", str(path)])
    assert result.exit_code == 1
    assert "can't be read" in result.stderr


@given(st.text(max_size=200))
def test_any_text_yields_either_a_configuration_or_errors(text: str) -> None:
    configuration, faults = load_configuration(text)
    assert (configuration is None) == bool(faults)


@given(st.integers(0, 60), st.integers(0, 80), st.text(max_size=3))
def test_file_with_random_edit_yields_the_same_result_each_time(
    line: int, column: int, text: str
) -> None:
    lines = VALID_FILE.read_text().splitlines()
    line %= len(lines)
    lines[line] = lines[line][:column] + text + lines[line][column + 1 :]
    configuration, faults = load_configuration("\n".join(lines))
    assert (configuration is None) == bool(faults)
    assert load_configuration("\n".join(lines)) == (configuration, faults)
