"""Pure packages import no modules for I/O or clocks, and use no global random generator."""

import ast
from pathlib import Path

import cleatlink

PURE_PACKAGES = ("core", "config", "routing", "request", "members", "organisations", "quarantine")
FORBIDDEN_MODULES = {
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
# Used only in type annotations; random generators are passed in as arguments.
TYPE_ONLY_MODULES = {"random"}


def imported_modules(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
            if node.module.startswith("cleatlink.serving"):
                names.add("trio")
    return names


def calls_type_only_module(path: Path) -> bool:
    return any(
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id in TYPE_ONLY_MODULES
        for node in ast.walk(ast.parse(path.read_text()))
    )


def test_pure_packages_import_no_io_clock_or_global_random() -> None:
    root = Path(cleatlink.__file__).parent
    files = [
        path
        for package in PURE_PACKAGES
        for path in sorted((root / package).glob("*.py"))
        if not path.name.endswith("_test.py")
    ]
    assert len(files) > 15
    forbidden_imports = {path.name: imported_modules(path) & FORBIDDEN_MODULES for path in files}
    assert {name: names for name, names in forbidden_imports.items() if names} == {}
    assert [path.name for path in files if calls_type_only_module(path)] == []
