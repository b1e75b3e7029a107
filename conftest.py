"""Settings of all test runs: reproducible Hypothesis examples, and tests in virtual time."""

from collections.abc import Callable
from functools import partial
from typing import Any

import eliot
import pytest
from hypothesis import settings

from standins.virtual_time import run_in_virtual_time, run_with_pauses

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


def _discard(message: dict[str, Any]) -> None:
    """Discard a log line.

    Eliot buffers log lines until a destination is added, and then passes them to it. Without this
    destination, a test that reads log lines would get those of earlier tests in its process.
    """


eliot.add_destinations(_discard)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--pauses",
        type=int,
        metavar="SEED",
        help="pause the simulated machine at random moments of virtual time, with this seed",
    )


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Run tests with the mark ``virtual_time`` in virtual time.

    pytest-trio uses the first ``trio`` mark that has a runner, so this mark has to be the first.
    """
    seed: int | None = config.getoption("--pauses")
    run: Callable[..., Any] = run_in_virtual_time
    if seed is not None:
        run = partial(run_with_pauses, seed)
    for item in items:
        marks = {mark.name for mark in item.iter_markers()}
        if {"trio", "virtual_time"} <= marks and "real_time" not in marks:
            item.add_marker(pytest.mark.trio(run=run), append=False)
