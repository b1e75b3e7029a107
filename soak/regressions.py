"""Seeds that failed once, each with its cause; ``cleatlink-soak --regressions`` plays them."""

from typing import NamedTuple

from soak.run import RunSettings

__all__ = ["REGRESSIONS", "Regression"]


class Regression(NamedTuple):
    """A run that failed, and why."""

    settings: RunSettings
    cause: str


REGRESSIONS = (
    Regression(
        RunSettings(311, seconds=14.0, rate=2.5),
        "the soak's own: ports free at one IP number were taken at another instance's, "
        "and the instance ended with a traceback in place of a line",
    ),
)
