"""What a check reports, and the bounds that several checks share."""

from typing import NamedTuple

__all__ = ["DRAIN_S", "SLACK_S", "Violation"]

# What the settings of the soak's instances say.
DRAIN_S = 2.0
# Processes share a machine here; each bound has room for that.
SLACK_S = 0.5


class Violation(NamedTuple):
    """A promise that did not hold, and where."""

    check: str
    detail: str
    requests: tuple[str, ...] = ()
