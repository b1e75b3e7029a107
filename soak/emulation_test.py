"""The page of what the platform allows names what is played, and nothing that is not."""

import re
from pathlib import Path
from typing import NamedTuple

import pytest

from soak.checks import CHECKS
from soak.plan import FaultKind
from standins.relay import Fault

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "design" / "emulation.md").read_text("utf-8")
NOTHING = "-"


class Row(NamedTuple):
    """A row of the table."""

    who: str
    may: str
    tests: str
    kinds: str
    checks: str


ROWS = [
    Row(*(cell.strip() for cell in line.strip("|").split("|")))
    for line in PAGE.splitlines()
    if line.startswith("| ") and not line.startswith("| who")
]


def names(text: str) -> list[str]:
    """Give what stands between backticks."""
    return re.findall(r"`([^`]+)`", text)


def test_every_kind_of_fault_has_a_row() -> None:
    played = {kind for row in ROWS for kind in names(row.kinds)}
    assert played == {kind.name.lower() for kind in FaultKind}


def test_every_fault_of_a_worker_has_a_row() -> None:
    said = {name for row in ROWS if row.who == "endpoint" for name in names(row.may)}
    assert said == {fault.name for fault in Fault}


def test_every_check_judges_a_row() -> None:
    judged = {check.strip() for row in ROWS for check in row.checks.split(",")} - {NOTHING}
    assert judged == set(CHECKS)


@pytest.mark.parametrize("name", sorted({name for row in ROWS for name in names(row.tests)}))
def test_tests_that_are_named_exist(name: str) -> None:
    folders = (ROOT / "cleatlink" / "relay", ROOT / "cleatlink")
    assert any((folder / name).exists() for folder in folders)


def test_empty_places_are_counted() -> None:
    empty = [row for row in ROWS if row.tests == row.kinds == row.checks == NOTHING]
    without_kind = [row for row in ROWS if row.kinds == NOTHING]
    assert f"Empty in all three places: {len(empty)} rows" in PAGE
    assert f"soak: {len(without_kind)} rows" in PAGE.replace("\n", " ")
