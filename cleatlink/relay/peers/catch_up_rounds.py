"""Schedule rounds that fetch newer revisions, and cancel rounds that are no longer needed."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

import trio

from cleatlink.relay.peers.messages import HeartbeatMessage

__all__ = ["CatchUpRounds"]

# Delay before a round, in seconds. Within it, a revision that a heartbeat reports usually arrives
# from the configuration service anyway.
_ROUND_DELAY_S = 0.15
# Maximum number of doublings of the delay; it doubles after each round without progress.
_MAX_DOUBLINGS = 4

RevisionT = TypeVar("RevisionT")


class CatchUpRounds(ABC, Generic[RevisionT]):
    """Fetches the newer revisions that heartbeats report, one round at a time."""

    def __init__(self) -> None:
        self._is_running = False
        # The heartbeat with the newest revision that still needs a round, and that of the
        # running round.
        self._pending: HeartbeatMessage | None = None
        self._target: HeartbeatMessage | None = None
        self._round_scope = trio.CancelScope()
        # Consecutive rounds without progress, and the local revision after the last round.
        self._rounds_without_progress = 0
        self._last_revision: RevisionT | None = None

    @abstractmethod
    def revision_of(self, heartbeat: HeartbeatMessage) -> RevisionT:
        """Return the revision that a heartbeat reports."""

    @abstractmethod
    def local_revision(self) -> RevisionT:
        """Return the revision that this instance has."""

    @abstractmethod
    def is_later(self, revision: RevisionT, than: RevisionT) -> bool:
        """Check whether a revision is later than another one."""

    @abstractmethod
    async def fetch(self, heartbeat: HeartbeatMessage) -> None:
        """Try to fetch the revision that a heartbeat reports."""

    def is_behind(self, heartbeat: HeartbeatMessage) -> bool:
        """Check whether a heartbeat reports a later revision than this instance has."""
        return self.is_later(self.revision_of(heartbeat), self.local_revision())

    def handle_heartbeat(self, heartbeat: HeartbeatMessage, spawn: Callable[..., None]) -> None:
        """Start to catch up if a heartbeat reports a later revision.

        A running round whose revision has arrived meanwhile is cancelled, since it would delay
        the later revision.
        """
        if not self.is_behind(heartbeat):
            return
        pending = self._pending
        if pending is None or self.is_later(self.revision_of(heartbeat), self.revision_of(pending)):
            self._pending = heartbeat
        if not self._is_running:
            self._is_running = True
            spawn(self._run)
        elif self._target is not None and not self.is_behind(self._target):
            self._round_scope.cancel()

    async def _run(self) -> None:
        try:
            while self._pending is not None and self.is_behind(self._pending):
                await trio.sleep(
                    _ROUND_DELAY_S * 2 ** min(self._rounds_without_progress, _MAX_DOUBLINGS)
                )
                await self._run_round()
        finally:
            self._pending = self._target = None
            self._is_running = False

    async def _run_round(self) -> None:
        """Run one round for the newest revision reported so far."""
        heartbeat, self._pending = self._pending, None
        if heartbeat is None or not self.is_behind(heartbeat):
            return
        self._target = heartbeat
        with trio.CancelScope() as self._round_scope:
            await self.fetch(heartbeat)
        self._target = None
        self._count_round()

    def _count_round(self) -> None:
        revision = self.local_revision()
        self._rounds_without_progress = (
            self._rounds_without_progress + 1 if revision == self._last_revision else 0
        )
        self._last_revision = revision
