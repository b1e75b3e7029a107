"""Writes the operators' page of constants: limits, weights and times that requests depend on.

Each constant and the comment that explains it are in the module that uses the constant; the
page lists them all.
"""

import ast
from pathlib import Path
from typing import NamedTuple

__all__ = ["Constant", "main", "read_constants", "render"]

_ROOT = Path(__file__).parent.parent
_PAGE = _ROOT / "docs" / "operators" / "constants.md"
_FOLDERS = (
    "cleatlink/relay",
    "cleatlink/routing",
    "cleatlink/members",
    "cleatlink/request",
    "cleatlink/organisations",
    "cleatlink/limits",
)
_PAGE_HEAD = """# Constants of the relay's path

Written by `python -m tools.constants`; do not edit. Names end in their unit: `_S` seconds,
`_MS` milliseconds, `_BYTES` bytes; `_SHARE` and `_FACTOR` are ratios. What depends on a deployment
is no constant: it is learned (service times, lengths: `routing/service_times.py`) or comes from
settings and the route table.

| where | constant | figure | where it comes from |
|---|---|---|---|
"""


class Constant(NamedTuple):
    """A numeric constant of a module.

    Attributes:
        module: Path of the module, relative to the package.
        name: Name of the constant.
        value: Source text of its value.
        comment: The comment above the constant; a group without blank lines shares one.
    """

    module: str
    name: str
    value: str
    comment: str


def read_constants(path: Path) -> list[Constant]:
    """Return the numeric constants of a module: its assignments to names in capitals."""
    lines = path.read_text().splitlines()
    module = str(path.relative_to(_ROOT / "cleatlink"))
    constants = []
    for node in ast.parse("\n".join(lines)).body:
        if not isinstance(node, ast.Assign) or not isinstance(node.targets[0], ast.Name):
            continue
        name = node.targets[0].id
        if name.lstrip("_").isupper() and _is_numeric(node.value):
            source = ast.unparse(node.value)
            constants.append(Constant(module, name, source, _comment_above(lines, node.lineno - 1)))
    return constants


def _is_numeric(value: ast.expr) -> bool:
    """Check whether an expression is a number, or an operation on two numbers."""
    operands = [value.left, value.right] if isinstance(value, ast.BinOp) else [value]
    return all(
        isinstance(operand, ast.Constant) and type(operand.value) in (int, float)
        for operand in operands
    )


def _comment_above(lines: list[str], index: int) -> str:
    """Return the comment above a line; constants without a blank line between share one."""
    while index > 0 and lines[index - 1].strip() and not lines[index - 1].startswith("#"):
        index -= 1
    start = index
    while start > 0 and lines[start - 1].startswith("#"):
        start -= 1
    return " ".join(line.lstrip("# ") for line in lines[start:index])


def render(constants: list[Constant]) -> str:
    """Return the text of the page."""
    rows = (
        f"| `{item.module}` | `{item.name}` | {item.value} | {item.comment.replace('|', '/')} |\n"
        for item in constants
    )
    return _PAGE_HEAD + "".join(rows)


def read_all_constants() -> list[Constant]:
    """Return the constants of all modules that the page covers, by folder and path."""
    paths = [
        path
        for folder in _FOLDERS
        for path in sorted((_ROOT / folder).rglob("*.py"))
        if not path.name.endswith("_test.py")
    ]
    return [constant for path in paths for constant in read_constants(path)]


def main() -> None:
    """Write the page."""
    _PAGE.write_text(render(read_all_constants()))


if __name__ == "__main__":
    main()
