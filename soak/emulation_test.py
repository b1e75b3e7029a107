"""Checks that the page on platform emulation lists the injected faults, checks and tests."""

import re
from pathlib import Path
from typing import NamedTuple

import pytest

from soak.checks import CHECKS
from soak.fault_schedule import FaultKind
from standins.relay import Fault

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "design" / "emulation.md").read_text("utf-8")
EMPTY_CELL = "-"


class Row(NamedTuple):
    """One row of the table on the page."""

    part: str
    allowed_faults: str
    tests: str
    kinds: str
    checks: str


ROWS = [
    Row(*(cell.strip() for cell in line.strip("|").split("|")))
    for line in PAGE.splitlines()
    if line.startswith("| ") and not line.startswith("| who")
]


def quoted_names(text: str) -> list[str]:
    """Return the names between backticks."""
    return re.findall(r"`([^`]+)`", text)


def test_every_kind_of_fault_has_a_row() -> None:
    injected = {kind for row in ROWS for kind in quoted_names(row.kinds)}
    assert injected == {kind.name.lower() for kind in FaultKind}


def test_every_fault_of_a_worker_has_a_row() -> None:
    listed = {
        name for row in ROWS if row.part == "endpoint" for name in quoted_names(row.allowed_faults)
    }
    assert listed == {fault.name for fault in Fault}


def test_every_check_has_a_row() -> None:
    listed = {check.strip() for row in ROWS for check in row.checks.split(",")} - {EMPTY_CELL}
    assert listed == set(CHECKS)


@pytest.mark.parametrize("name", sorted({name for row in ROWS for name in quoted_names(row.tests)}))
def test_named_tests_exist(name: str) -> None:
    folders = (ROOT / "cleatlink" / "relay", ROOT / "cleatlink")
    assert any((folder / name).exists() for folder in folders)


def test_page_states_counts_of_empty_cells() -> None:
    empty = [row for row in ROWS if row.tests == row.kinds == row.checks == EMPTY_CELL]
    without_kind = [row for row in ROWS if row.kinds == EMPTY_CELL]
    assert f"Empty in all three places: {len(empty)} rows" in PAGE
    assert f"soak: {len(without_kind)} rows" in PAGE.replace("\n", " ")
