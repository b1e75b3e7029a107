"""The tables on the operators' pages match the code."""

import re
from pathlib import Path

from cleatlink.core.errors import ERROR_RESPONSES
from cleatlink.serving.metrics import Metrics

PAGES_PATH = Path(__file__).parents[2] / "docs/operators"
ROW_PATTERN = re.compile(r"^\| `([a-z0-9_]+)` \| (.*) \|$", re.MULTILINE)


def read_rows(page: str) -> dict[str, list[str]]:
    matches = ROW_PATTERN.findall((PAGES_PATH / page).read_text())
    return {name: [cell.strip() for cell in cells.split(" | ")] for name, cells in matches}


def test_metrics_page_describes_every_metric() -> None:
    metrics = Metrics()._registry.get_all()
    expected = {item.name: [type(item).__name__.lower(), item.doc] for item in metrics}
    assert read_rows("metrics.md") == expected


def test_refusals_page_describes_every_error_kind() -> None:
    described = {
        name: (int(cells[0]), cells[1], None if cells[2] == "-" else float(cells[2]))
        for name, cells in read_rows("refusals.md").items()
    }
    assert described == {kind.value: tuple(response) for kind, response in ERROR_RESPONSES.items()}
