"""The operators' tables say what the code does."""

import re
from pathlib import Path

from cleatlink.core.errors import ERROR_RESPONSES
from cleatlink.serving.metrics import Metrics

PAGES = Path(__file__).parents[2] / "docs/operators"
ROW = re.compile(r"^\| `([a-z0-9_]+)` \| (.*) \|$", re.MULTILINE)


def rows(page: str) -> dict[str, list[str]]:
    found = ROW.findall((PAGES / page).read_text())
    return {name: [cell.strip() for cell in cells.split(" | ")] for name, cells in found}


def test_metrics_are_all_described() -> None:
    metrics = Metrics()._registry.get_all()
    expected = {item.name: [type(item).__name__.lower(), item.doc] for item in metrics}
    assert rows("metrics.md") == expected


def test_refusals_are_all_described() -> None:
    described = {
        name: (int(cells[0]), cells[1], None if cells[2] == "-" else float(cells[2]))
        for name, cells in rows("refusals.md").items()
    }
    assert described == {kind.value: tuple(answer) for kind, answer in ERROR_RESPONSES.items()}
