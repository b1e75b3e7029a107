"""The result of a check, and the time bounds that several checks share."""

from typing import NamedTuple

__all__ = ["DRAIN_S", "SLACK_S", "Violation"]

# From the settings of the soak's instances: a leaving worker gets no new request after this time.
DRAIN_S = 2.0
# Added to each bound, because all processes of a run share one machine.
SLACK_S = 0.5


class Violation(NamedTuple):
    """A promise that was broken.

    Attributes:
        check: Name of the check that found it.
        detail: What happened.
        requests: IDs of the requests concerned.
    """

    check: str
    detail: str
    requests: tuple[str, ...] = ()
