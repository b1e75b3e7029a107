"""Leader election: at most one instance orders role changes at a time, without a shared store.

Each instance votes in its heartbeats for the lowest name among the live instances,
including itself, that have a path to the endpoints. An instance is elected if more than
half of all known instances vote for it, including itself. It sends its first order only
after it has been elected without interruption for longer than an earlier leader can still
rely on the votes it received, plus the lease. By then, every instance that voted for both
has withdrawn its first vote.
"""

from collections.abc import Mapping, Set
from typing import NamedTuple

__all__ = ["PeerReports", "LeaderElection"]

# A longer interval between two updates counts as a pause of the instance, during which it may have
# missed messages.
_MAX_UPDATE_INTERVAL_S = 1.0
# Time for a change seen by one instance to reach another in the next heartbeat, in seconds.
_VOTE_PROPAGATION_S = 1.5


class PeerReports(NamedTuple):
    """State that an instance has received from its peers.

    Attributes:
        votes: Live peers, with the instance that each votes for.
        known_names: Instances known to peers at any time.
        known_count: Highest number of instances known to any live peer.
        departed: Instances that reported that they stop or restart.
        cut_off: Live peers that reported that they have no path to many of the endpoints.
    """

    votes: Mapping[str, str]
    known_names: Set[str] = frozenset()
    known_count: int = 0
    departed: Set[str] = frozenset()
    cut_off: Set[str] = frozenset()


class LeaderElection:
    """One instance's view of the leader election."""

    def __init__(
        self, name: str, lease_s: float, silence_s: float, now: float, *, alone: bool = False
    ) -> None:
        """Start without a vote.

        Args:
            name: Name of this instance.
            lease_s: Minimum time between orders of two different leaders.
            silence_s: Time without a heartbeat after which a peer no longer counts as live.
            now: The current time.
            alone: Whether no other instance is expected. An instance that expects peers
                and has received no heartbeat since its start may be disconnected.
        """
        self._name = name
        self._alone = alone
        self._election_delay_s = lease_s + silence_s + _VOTE_PROPAGATION_S
        self._known: set[str] = {name}
        self._vote = ""
        self._elected_since: float | None = None
        self._updated_at = now

    @property
    def vote(self) -> str:
        """Instance that this instance votes for; empty while it may be disconnected."""
        return self._vote

    @property
    def known(self) -> Set[str]:
        """All instances known at any time, except those that left."""
        return self._known

    def update(self, reports: PeerReports, now: float, *, is_cut_off: bool = False) -> bool:
        """Update the election; return whether this instance may send orders now.

        Args:
            reports: What the peers reported.
            now: The current time.
            is_cut_off: Whether this instance has no path to many of the endpoints.
        """
        departed = reports.departed - {self._name}
        live = (reports.votes.keys() - departed) | {self._name}
        self._known = (self._known | live | reports.known_names) - departed
        may_be_disconnected = len(self._known) == 1 and not self._alone
        cut_off = reports.cut_off | ({self._name} if is_cut_off else frozenset())
        self._vote = "" if may_be_disconnected else min(live - cut_off or live)
        was_paused = now - self._updated_at > _MAX_UPDATE_INTERVAL_S
        self._updated_at = now
        if was_paused or not self._is_elected(reports, live):
            self._elected_since = None
            return False
        if self._elected_since is None:
            self._elected_since = now
        return now - self._elected_since >= self._election_delay_s

    def _is_elected(self, reports: PeerReports, live: Set[str]) -> bool:
        if self._vote != self._name:
            return False
        voters = [peer for peer in live if reports.votes.get(peer) == self._name]
        member_count = max(len(self._known), reports.known_count)
        return 2 * (len(voters) + 1) > member_count
