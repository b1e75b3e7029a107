"""The runtime lock file has the part of the full lock file that an instance needs."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

from tools.runtime_lock import RUNTIME_LIBRARIES, select_blocks

ROOT = Path(__file__).parent.parent


def test_runtime_lock_is_up_to_date() -> None:
    full_lock = (ROOT / "requirements.lock").read_text()
    assert (ROOT / "deploy" / "requirements.lock").read_text() == select_blocks(
        full_lock, RUNTIME_LIBRARIES
    )


def test_library_missing_from_the_lock_file_is_an_error() -> None:
    with pytest.raises(ValueError, match="libraries not in the lock file"):
        select_blocks("a==1 \\\n    --hash=x\n", ("b",))


def test_instance_imports_only_locked_libraries() -> None:
    packages = ("core", "platform", "relay", "routing", "request", "members", "scripts")
    own_packages = {"cleatlink"}
    names = {name.replace("-", "_") for name in RUNTIME_LIBRARIES}
    imported = set()
    for package in packages:
        for path in (ROOT / "cleatlink" / package).rglob("*.py"):
            if path.name.endswith("_test.py"):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Import):
                    imported |= {alias.name.partition(".")[0] for alias in node.names}
                elif isinstance(node, ast.ImportFrom) and node.module:
                    imported.add(node.module.partition(".")[0])
    assert imported - names - own_packages - sys.stdlib_module_names == set()


def test_deploy_file_names_an_existing_program() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    module = role["run"].split()[2]
    assert (ROOT / (module.replace(".", "/") + ".py")).exists()
    assert role["serves"] == ["front", "control"]
