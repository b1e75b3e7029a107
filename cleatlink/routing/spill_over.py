"""Decide when a stream goes to another data centre although its own still has free capacity.

Peaks of demand occur at different times in different data centres. If streams went to another
data centre only once their own is full, engines near their limit would reject some of them and
others would wait behind queues of prompts, while engines elsewhere are idle. A stream therefore
crosses earlier: when the best endpoint of its own data centre is nearly full, or would get the
prompt's result too late, and the load elsewhere is lower by more than the cost of the crossing.
The prompt and the answer cross together, so that the prompt's result stays in one data centre.

Two data centres can't send each other their load at the same time: each would need a load lower
than the other's by the cost of the crossing.
"""

import math
from collections.abc import Mapping

from cleatlink.routing.fleet_sizes import MAX_DIRECT_PEERS

__all__ = ["CROSSING_SHARE", "CROSS_ONLY_IF_FULL_COST", "SpillOver", "prompt_wait_shares"]

# Default cost of a crossing, as a share of a stream's target, for the round trip and the risk of
# a network partition. Callers of urgent streams accept a delay of a quarter of the target.
CROSSING_SHARE = 0.25
# Cost of a crossing that lets a stream cross only when no endpoint of its own data centre has
# capacity: a partition would interrupt the stream, and each of its bytes would cross. Loads that
# are compared stay below this value.
CROSS_ONLY_IF_FULL_COST = 2.0
# Load, in shares of an engine's memory and of a target, from which an endpoint counts as nearly
# full: the error of length estimates is larger than the remaining share.
_NEARLY_FULL_LOAD = 0.85


class SpillOver:
    """Chooses between this instance's data centre and the others."""

    def __init__(self, *, is_on: bool = True) -> None:
        """Start with the default cost of a crossing.

        Args:
            is_on: Whether streams cross before their own data centre is full.
        """
        self.crossing_share = CROSSING_SHARE
        self._is_on = is_on
        self._peer_count = 0

    @property
    def is_in_use(self) -> bool:
        """Whether streams cross before their own data centre is full."""
        return self._is_on and self._peer_count > MAX_DIRECT_PEERS

    def set_peer_count(self, peer_count: int) -> None:
        """Set the number of other instances."""
        self._peer_count = peer_count

    def should_cross(self, local_cost: float, remote_cost: float) -> bool:
        """Check whether a stream goes to another data centre.

        Args:
            local_cost: Load and other costs of the best endpoint of its own data centre;
                infinite if there is none.
            remote_cost: The same for the other data centres.
        """
        crossing_cost = CROSS_ONLY_IF_FULL_COST
        if self.is_in_use and local_cost >= _NEARLY_FULL_LOAD:
            crossing_cost = min(CROSS_ONLY_IF_FULL_COST, self.crossing_share)
        return remote_cost + crossing_cost < local_cost


def prompt_wait_shares(
    queues_s: Mapping[str, float], data_centres: set[str], target_s: float, crossing_share: float
) -> dict[str, float]:
    """Return the waiting time of a prompt for the decodes of each data centre.

    Args:
        queues_s: Seconds until a prefill begins a new prompt, by data centre with prefills.
        data_centres: Data centres that have decodes.
        target_s: Time within which the stream should begin.
        crossing_share: Cost of transferring the prompt's result to another data centre, as a
            share of the target.

    Returns:
        Waiting times as shares of the target, at most 1; none if the target or the queues are
        unknown.
    """
    if not queues_s or not 0 < target_s < math.inf:
        return {}
    shortest = min(queues_s.values()) / target_s + crossing_share
    return {
        name: min(1.0, queues_s.get(name, math.inf) / target_s, shortest) for name in data_centres
    }
