"""Rounds of catching up with peers: when one begins, when the next, and when one is pointless."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

import trio

from cleatlink.relay.peers.messages import Beat

__all__ = ["CatchUpRounds"]

# What a heartbeat tells is usually known from elsewhere within so long.
_HEAR_OF_IT_S = 0.15
# The pause before a round doubles with each that brought nothing, so many times at the most.
_MOST_DOUBLINGS = 4

RevisionT = TypeVar("RevisionT")


class CatchUpRounds(ABC, Generic[RevisionT]):
    """Catches up with what heartbeats tell, one round at a time."""

    def __init__(self) -> None:
        self._is_running = False
        # The newest heartbeat that a round is still to be made for, and the one of the round.
        self._told: Beat | None = None
        self._target: Beat | None = None
        self._round = trio.CancelScope()
        # Rounds in a row that brought nothing, and what was known then.
        self._failures = 0
        self._known_before: RevisionT | None = None

    @abstractmethod
    def revision_of(self, beat: Beat) -> RevisionT:
        """Give the revision that a heartbeat tells."""

    @abstractmethod
    def known(self) -> RevisionT:
        """Give the revision that is known here."""

    @abstractmethod
    def is_later(self, revision: RevisionT, than: RevisionT) -> bool:
        """Tell whether a revision is later than another one."""

    @abstractmethod
    async def get(self, beat: Beat) -> None:
        """Get what a heartbeat told, one way or another."""

    def lacks(self, beat: Beat) -> bool:
        """Tell whether a heartbeat tells something newer than what is known here."""
        return self.is_later(self.revision_of(beat), self.known())

    def note(self, beat: Beat, spawn: Callable[..., None]) -> None:
        """Begin to catch up if a heartbeat tells of something newer.

        A round for what is known by now is ended: it would hold up what is newer.
        """
        if not self.lacks(beat):
            return
        told = self._told
        if told is None or self.is_later(self.revision_of(beat), self.revision_of(told)):
            self._told = beat
        if not self._is_running:
            self._is_running = True
            spawn(self._run)
        elif self._target is not None and not self.lacks(self._target):
            self._round.cancel()

    async def _run(self) -> None:
        try:
            while self._told is not None and self.lacks(self._told):
                await trio.sleep(_HEAR_OF_IT_S * 2 ** min(self._failures, _MOST_DOUBLINGS))
                await self._make_round()
        finally:
            self._told = self._target = None
            self._is_running = False

    async def _make_round(self) -> None:
        """Catch up with the newest that was told by now."""
        beat, self._told = self._told, None
        if beat is None or not self.lacks(beat):
            return
        self._target = beat
        with trio.CancelScope() as self._round:
            await self.get(beat)
        self._target = None
        self._count_failures()

    def _count_failures(self) -> None:
        known = self.known()
        self._failures = self._failures + 1 if known == self._known_before else 0
        self._known_before = known
