"""Seeds that failed once, each with its cause; ``cleatlink-soak --regressions`` plays them."""

from typing import NamedTuple

from soak.plan import STOP_KINDS
from soak.run import RunSettings

__all__ = ["REGRESSIONS", "STOPS_IN_SERIES", "Regression"]

# Stops in series and overlapping, with reloads and configurations, at callers that stay.
STOPS_IN_SERIES = RunSettings(
    seed=0, seconds=25.0, instances=4, callers=12, rate=1.5, kinds=STOP_KINDS
)


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
    Regression(
        STOPS_IN_SERIES._replace(seed=500),
        "SIGHUP ended two processes that were being started",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=502),
        "SIGHUP ended a process that was being started",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=511),
        "a stopping instance that had seen only quick streams took one of 3.5 s",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=512),
        "a stopping instance that had seen only quick streams took one of 3.5 s",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=520),
        "a stopping instance that had seen only quick streams took two of 3.5 s",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=1009),
        "the same with eight quick stretches measured, by chance none of a slow stream",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=3101),
        "the end of a stop cancelled the sending of an answer that was ready",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=521),
        "the soak's own: SIGHUP in the first milliseconds of a process, before its code runs",
    ),
)
