"""The page of constants matches the source, and each constant has a comment that explains it."""

from pathlib import Path

from tools.constants import read_all_constants, render

PAGE = Path(__file__).parent.parent / "docs" / "operators" / "constants.md"


def test_page_is_up_to_date() -> None:
    assert PAGE.read_text() == render(read_all_constants()), "run python -m tools.constants"


def test_each_constant_has_a_comment() -> None:
    constants = read_all_constants()
    assert len(constants) > 100
    assert [f"{item.module}: {item.name}" for item in constants if not item.comment] == []
