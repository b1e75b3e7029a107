"""The lock of the deploy file is the part of the whole lock that a running instance needs."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

from tools.runtime_lock import RUNTIME, select_blocks

ROOT = Path(__file__).parent.parent


def test_runtime_lock_is_up_to_date() -> None:
    whole = (ROOT / "requirements.lock").read_text()
    assert (ROOT / "deploy" / "requirements.lock").read_text() == select_blocks(whole, RUNTIME)


def test_library_that_is_not_locked_is_an_error() -> None:
    with pytest.raises(ValueError, match="not in the lock"):
        select_blocks("a==1 \\\n    --hash=x\n", ("b",))


def test_relay_imports_only_locked_libraries() -> None:
    packages = ("core", "platform", "relay", "routing", "request", "members", "scripts")
    local = {"cleatlink"}
    names = {name.replace("-", "_") for name in RUNTIME}
    used = set()
    for package in packages:
        for path in (ROOT / "cleatlink" / package).rglob("*.py"):
            if path.name.endswith("_test.py"):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Import):
                    used |= {alias.name.partition(".")[0] for alias in node.names}
                elif isinstance(node, ast.ImportFrom) and node.module:
                    used.add(node.module.partition(".")[0])
    assert used - names - local - sys.stdlib_module_names == set()


def test_deploy_file_names_a_program_that_is_there() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    module = role["run"].split()[2]
    assert (ROOT / (module.replace(".", "/") + ".py")).exists()
    assert role["serves"] == ["front", "control"]
