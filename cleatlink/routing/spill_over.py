"""Decides when a stream goes to another data centre while its own still has some room.

Demand comes in waves that differ from one data centre to the next. Work that crosses only once
its own data centre is full comes to engines that turn some of it away, behind queues of
prompts, while others stand idle. So a stream crosses sooner: when the best place of its own data
centre is nearly full, or late for its prompt, and another one is better by clearly more than
what the crossing costs. The prompt and the answer go together, so that the prompt's result
stays in one data centre.

Two data centres can't send each other their load: each would have to be better than the
other by the cost of the crossing.
"""

import math
from collections.abc import Mapping

from cleatlink.routing.fleet_sizes import FEW_PEERS

__all__ = ["CROSSING_SHARE", "ONLY_IF_FULL", "SpillOver", "prompt_waits"]

# What a crossing costs where no operator says it, as a share of a stream's target: a round trip
# and a cut link's risk; a quarter is what callers of urgent streams still bear.
CROSSING_SHARE = 0.25
# A stream goes to another data centre only when none here has room: a cut between the two would
# break it off, and each of its bytes would cross. Loads that are compared stay below this figure.
ONLY_IF_FULL = 2.0
# Load, in shares of an engine's memory and of a target, above which a place counts as nearly
# full: estimates of lengths are off by more than what is left.
_NEARLY_FULL = 0.85


class SpillOver:
    """Chooses between the own data centre and the others."""

    def __init__(self, *, is_on: bool = True) -> None:
        """Start with the usual cost of a crossing.

        Args:
            is_on: Whether streams cross before their own data centre is full.
        """
        self.crossing_share = CROSSING_SHARE
        self._is_on = is_on
        self._peers = 0

    @property
    def is_in_use(self) -> bool:
        """Whether streams cross before their own data centre is full."""
        return self._is_on and self._peers > FEW_PEERS

    def note_peers(self, peers: int) -> None:
        """Note how many other instances there are."""
        self._peers = peers

    def crosses(self, near_cost: float, far_cost: float) -> bool:
        """Tell whether a stream goes to another data centre.

        Args:
            near_cost: Load of the best place of its own data centre, and what else counts
                against it; infinite without any.
            far_cost: The same of the others.
        """
        distance = ONLY_IF_FULL
        if self.is_in_use and near_cost >= _NEARLY_FULL:
            distance = min(ONLY_IF_FULL, self.crossing_share)
        return far_cost + distance < near_cost


def prompt_waits(
    queues_s: Mapping[str, float], data_centres: set[str], target_s: float, crossing_share: float
) -> dict[str, float]:
    """Give what a prompt waits for decodes of each data centre, as a share of the target.

    Args:
        queues_s: Seconds until a prefill of a data centre begins, where there are any.
        data_centres: Those that have decodes.
        target_s: Time within which the stream should begin.
        crossing_share: What it costs if the prompt's result crosses.
    """
    if not queues_s or not 0 < target_s < math.inf:
        return {}
    shortest = min(queues_s.values()) / target_s + crossing_share
    return {
        name: min(1.0, queues_s.get(name, math.inf) / target_s, shortest) for name in data_centres
    }
