"""Seeds that once failed, each with its cause; ``cleatlink-soak --regressions`` runs them."""

from typing import NamedTuple

from soak.fault_schedule import STOP_KINDS
from soak.run import RunSettings

__all__ = ["REGRESSIONS", "STOPS_IN_SERIES", "Regression"]

# Planned stops, in series and overlapping, with reloads and new configurations, while callers stay
# connected.
STOPS_IN_SERIES = RunSettings(
    seed=0, seconds=25.0, instances=4, callers=12, rate=1.5, kinds=STOP_KINDS
)


class Regression(NamedTuple):
    """A run that once failed, and the cause."""

    settings: RunSettings
    cause: str


REGRESSIONS = (
    Regression(
        RunSettings(311, seconds=14.0, rate=2.5),
        "fault of the soak: ports that were free at one IP address were in use at that of "
        "another instance, which exited with a traceback instead of an error line",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=500),
        "SIGHUP terminated two processes while they were starting",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=502),
        "SIGHUP terminated a process while it was starting",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=511),
        "a stopping instance that had measured only short streams accepted one of 3.5 s",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=512),
        "a stopping instance that had measured only short streams accepted one of 3.5 s",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=520),
        "a stopping instance that had measured only short streams accepted two of 3.5 s",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=1009),
        "a stopping instance accepted a long stream after eight measurements of short intervals, "
        "by chance none of a slow stream",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=3101),
        "the end of a planned stop cancelled the sending of an answer that was ready",
    ),
    Regression(
        STOPS_IN_SERIES._replace(seed=521),
        "fault of the soak: SIGHUP in the first milliseconds of a process, before its code runs",
    ),
)
