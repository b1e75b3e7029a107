"""The page of constants is up to date, and each one says where its figure comes from."""

from pathlib import Path

from tools.constants import read_all, render

PAGE = Path(__file__).parent.parent / "docs" / "operators" / "constants.md"


def test_page_is_up_to_date() -> None:
    assert PAGE.read_text() == render(read_all()), "run python -m tools.constants"


def test_each_constant_of_the_path_has_a_reason() -> None:
    constants = read_all()
    assert len(constants) > 100
    assert [f"{item.module}: {item.name}" for item in constants if not item.reason] == []
