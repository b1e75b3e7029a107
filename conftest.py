"""Settings of every test run: the same examples each time, no clock in the verdict."""

from typing import Any

import eliot
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


def _drop(message: dict[str, Any]) -> None:
    """Take a line that no test asked for.

    Without any destination eliot keeps lines and hands them to the first one: a test that reads
    lines then got those of the tests before it in its process.
    """


eliot.add_destinations(_drop)
