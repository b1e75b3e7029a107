"""The pure parts import nothing that does I/O, keeps time or draws at random."""

import ast
from pathlib import Path

import cleatlink

PURE = ("core", "config", "routing", "request", "members", "organisations", "quarantine")
FORBIDDEN = {
    "aioprometheus",
    "asyncio",
    "eliot",
    "httpx",
    "hypercorn",
    "os",
    "quart",
    "quart_trio",
    "socket",
    "subprocess",
    "threading",
    "time",
    "trio",
}
# Named as a type; every generator is passed in.
ONLY_AS_TYPE = {"random"}


def imported(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
            if node.module.startswith("cleatlink.serving"):
                names.add("trio")
    return names


def calls_random(path: Path) -> bool:
    return any(
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id in ONLY_AS_TYPE
        for node in ast.walk(ast.parse(path.read_text()))
    )


def test_pure_packages_stay_pure() -> None:
    root = Path(cleatlink.__file__).parent
    files = [
        path
        for package in PURE
        for path in sorted((root / package).glob("*.py"))
        if not path.name.endswith("_test.py")
    ]
    assert len(files) > 15
    faults = {path.name: imported(path) & FORBIDDEN for path in files}
    assert {name: names for name, names in faults.items() if names} == {}
    assert [path.name for path in files if calls_random(path)] == []
