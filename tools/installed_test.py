"""Installed commands run from any folder, and installed packages import no test scenarios."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
INSTALLED_PACKAGES = ("bench", "cleatlink", "demo", "standins")


@pytest.mark.parametrize(
    "command",
    [
        ("cleatlink", "entry", "--help"),
        ("cleatlink", "config", "check", str(ROOT / "examples" / "bublina.yaml")),
        ("cleatlink-bench", "--help"),
        ("cleatlink-bench", "decisions", "--help"),
        ("cleatlink-bench", "policy", "--help"),
    ],
)
def test_installed_command_runs_from_another_folder(
    command: tuple[str, ...], tmp_path: Path
) -> None:
    program = Path(sys.executable).with_name(command[0])
    completed = subprocess.run(
        [program, *command[1:]], cwd=tmp_path, capture_output=True, text=True, check=False
    )
    assert completed.returncode == 0, completed.stderr


def test_installed_packages_import_no_scenarios() -> None:
    imports = []
    for package in INSTALLED_PACKAGES:
        for path in (ROOT / package).rglob("*.py"):
            if path.name.endswith("_test.py"):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("features"):
                    imports.append(f"{path}: {node.module}")
    assert imports == []
