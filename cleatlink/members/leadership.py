"""Which instance gives orders: at most one at a time, without a store to agree in.

Each instance votes, in its heartbeats, for the lowest name that it hears. One
leads for which more than half of all instances ever heard of vote, itself
included. It gives its first order only after this has held for longer than an
earlier leader can still count on its votes, plus the lease: whoever voted for
both has taken its first vote back by then.
"""

from collections.abc import Mapping, Set
from typing import NamedTuple

__all__ = ["Hearing", "Leadership"]

# An instance that did not run for so long may have missed anything.
_PAUSE_S = 1.0
# Time in which what one instance hears reaches another, by its next heartbeat.
_SPREAD_S = 1.5


class Hearing(NamedTuple):
    """What an instance hears of its peers.

    Attributes:
        votes: Peers that are heard now, with the instance that each votes for.
        known: Instances that peers ever heard of.
        members: The most instances that any of the peers that are heard knows.
        left: Instances that said that they leave for good or for a restart.
    """

    votes: Mapping[str, str]
    known: Set[str] = frozenset()
    members: int = 0
    left: Set[str] = frozenset()


class Leadership:
    """One instance's view of who leads."""

    def __init__(
        self, name: str, lease_s: float, silence_s: float, now: float, *, alone: bool = False
    ) -> None:
        """Begin to judge.

        Args:
            name: This instance.
            lease_s: Silence that orders of two instances must have between them.
            silence_s: Time after which a silent peer counts as gone.
            now: The time.
            alone: Whether no other instance is expected; one that expects peers
                and has heard none since its start may be cut off.
        """
        self._name = name
        self._alone = alone
        self._settle_s = lease_s + silence_s + _SPREAD_S
        self._known: set[str] = {name}
        self._vote = ""
        self._elected_since: float | None = None
        self._judged_at = now

    @property
    def vote(self) -> str:
        """Whom this instance votes for; empty while it can't tell."""
        return self._vote

    @property
    def known(self) -> Set[str]:
        """Instances ever heard of, but those that left."""
        return self._known

    def judge(self, hearing: Hearing, now: float) -> bool:
        """Take what is heard; tell whether this instance may give orders now."""
        left = hearing.left - {self._name}
        present = (hearing.votes.keys() - left) | {self._name}
        self._known = (self._known | present | hearing.known) - left
        cut_off = len(self._known) == 1 and not self._alone
        self._vote = "" if cut_off else min(present)
        paused = now - self._judged_at > _PAUSE_S
        self._judged_at = now
        if paused or not self._is_elected(hearing, present):
            self._elected_since = None
            return False
        if self._elected_since is None:
            self._elected_since = now
        return now - self._elected_since >= self._settle_s

    def _is_elected(self, hearing: Hearing, present: Set[str]) -> bool:
        if self._vote != self._name:
            return False
        voters = [peer for peer in present if hearing.votes.get(peer) == self._name]
        members = max(len(self._known), hearing.members)
        return 2 * (len(voters) + 1) > members
