"""Writes the page of constants: every limit, weight and time of the relay's path.

The figures and the reasons stand in the sources, beside what uses them; the
page gathers them for operators.
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
_HEAD = """# Constants of the relay's path

Written by `python -m tools.constants`; do not edit. Names end in their unit: `_S` seconds,
`_MS` milliseconds, `_BYTES` bytes; `_SHARE` and `_FACTOR` are ratios. What depends on a deployment
is no constant: it is learned (service times, lengths: `routing/service_times.py`) or comes from
settings and the route table.

| where | constant | figure | where it comes from |
|---|---|---|---|
"""


class Constant(NamedTuple):
    """A constant of a module.

    Attributes:
        module: File of the module, below the package.
        name: Its name.
        figure: Its value as written.
        reason: The comment above it, or above the group that it ends.
    """

    module: str
    name: str
    figure: str
    reason: str


def read_constants(path: Path) -> list[Constant]:
    """Read the numbers that a module names in capitals."""
    lines = path.read_text().splitlines()
    module = str(path.relative_to(_ROOT / "cleatlink"))
    found = []
    for node in ast.parse("\n".join(lines)).body:
        if not isinstance(node, ast.Assign) or not isinstance(node.targets[0], ast.Name):
            continue
        name = node.targets[0].id
        if name.lstrip("_").isupper() and _is_number(node.value):
            figure = ast.unparse(node.value)
            found.append(Constant(module, name, figure, _comment_above(lines, node.lineno - 1)))
    return found


def _is_number(value: ast.expr) -> bool:
    parts = [value.left, value.right] if isinstance(value, ast.BinOp) else [value]
    return all(
        isinstance(part, ast.Constant) and type(part.value) in (int, float) for part in parts
    )


def _comment_above(lines: list[str], index: int) -> str:
    """Give the comment above a line; constants that follow each other share one."""
    while index > 0 and lines[index - 1].strip() and not lines[index - 1].startswith("#"):
        index -= 1
    start = index
    while start > 0 and lines[start - 1].startswith("#"):
        start -= 1
    return " ".join(line.lstrip("# ") for line in lines[start:index])


def render(constants: list[Constant]) -> str:
    """Render the page."""
    rows = (
        f"| `{item.module}` | `{item.name}` | {item.figure} | {item.reason.replace('|', '/')} |\n"
        for item in constants
    )
    return _HEAD + "".join(rows)


def read_all() -> list[Constant]:
    """Read the constants of all modules of the path."""
    paths = [
        path
        for folder in _FOLDERS
        for path in sorted((_ROOT / folder).rglob("*.py"))
        if not path.name.endswith("_test.py")
    ]
    return [constant for path in paths for constant in read_constants(path)]


def main() -> None:
    """Write the page."""
    _PAGE.write_text(render(read_all()))


if __name__ == "__main__":
    main()
