"""Settings of every test run: the same examples each time, no clock in the verdict."""

from collections.abc import Callable
from functools import partial
from typing import Any

import eliot
import pytest
from hypothesis import settings

from standins.virtual_time import run_in_virtual_time, run_with_pauses

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


def _drop(message: dict[str, Any]) -> None:
    """Take a line that no test asked for.

    Without any destination eliot keeps lines and hands them to the first one: a test that reads
    lines then got those of the tests before it in its process.
    """


eliot.add_destinations(_drop)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--pauses",
        type=int,
        metavar="SEED",
        help="let the machine stand still at random moments of virtual time",
    )


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Run in virtual time what is marked so; the first mark of the runner holds."""
    seed: int | None = config.getoption("--pauses")
    run: Callable[..., Any] = run_in_virtual_time
    if seed is not None:
        run = partial(run_with_pauses, seed)
    for item in items:
        marks = {mark.name for mark in item.iter_markers()}
        if {"trio", "virtual_time"} <= marks and "real_time" not in marks:
            item.add_marker(pytest.mark.trio(run=run), append=False)
