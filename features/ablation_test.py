"""Tests that the scenarios of each mechanism fail when the mechanism is disabled."""

import os
import subprocess
import sys
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.ablations import ABLATION_VARIABLE, ABLATIONS

_MAX_PARALLEL_RUNS = 4
_SCENARIO_FILES = [f"features/{name}_test.py" for name in ("memory", "answers", "calls", "fleet")]


def run_scenarios_without(mechanism: str) -> tuple[int, str]:
    """Run the scenarios of a mechanism without it; return the exit code and the output."""
    command = [sys.executable, "-m", "pytest", "-p", "standins.ablations", "--no-header"]
    command += ["--tb=no", "-p", "no:cacheprovider", "-k", ABLATIONS[mechanism].scenarios]
    completed = subprocess.run(
        [*command, *_SCENARIO_FILES],
        env={**os.environ, ABLATION_VARIABLE: mechanism},
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.returncode, completed.stdout


@pytest.fixture(scope="module")
def runs() -> Mapping[str, tuple[int, str]]:
    with ThreadPoolExecutor(_MAX_PARALLEL_RUNS) as pool:
        return dict(zip(ABLATIONS, pool.map(run_scenarios_without, ABLATIONS), strict=True))


@pytest.mark.parametrize("mechanism", ABLATIONS)
def test_scenarios_fail_without(mechanism: str, runs: Mapping[str, tuple[int, str]]) -> None:
    exit_code, output = runs[mechanism]
    assert exit_code == pytest.ExitCode.TESTS_FAILED, output
    assert "failed" in output
    assert "passed" not in output.splitlines()[-1], output
