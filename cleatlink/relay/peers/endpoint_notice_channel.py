"""Shares endpoints' notices of shutdown and back-off with peers.

An endpoint that announces its shutdown accepts no new work, and one that asks for a back-off
accepts none for some time. Peers that get the notice need not be rejected by the endpoint first.
"""

import random

import eliot
import trio

from cleatlink.relay.peers.messages import EndpointNoticeUpdate
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.routing.notices import EndpointNotices, NoticeSource

__all__ = ["EndpointNoticeChannel"]

# Answers of one endpoint come close together; this delay combines them in one message.
_GATHER_S = 0.005
# Heartbeats repeat this many of the newest shutdown notices, which a peer may have missed.
_MAX_REPEATED = 32
# Endpoint incarnations in one datagram; the store's limit on keys bounds the length of the names.
_MAX_INCARNATIONS = 200
# A back-off that peers know is sent again only if it ends later by at least this many seconds:
# an endpoint that rejects all requests names a time in each answer.
_MIN_REPORTED_EXTENSION_S = 0.5
# An instance extends a back-off reported by a peer by a random part, up to this share of the time
# left: otherwise all instances would retry at the same moment.
_MAX_RANDOM_EXTENSION_SHARE = 0.5


class EndpointNoticeChannel(UpdateChannel):
    """Sends and receives the notices that endpoints gave of shutdown and back-off."""

    def __init__(self, name: str, notices: EndpointNotices, rng: random.Random) -> None:
        """Initialise the channel without pending notices.

        Args:
            name: This instance's name.
            notices: Store of the notices from endpoints.
            rng: Source of the random extension of reported back-offs.
        """
        self._name = name
        self._notices = notices
        self._rng = rng
        self._pending_leaving: set[str] = set()
        self._pending_backoffs: set[str] = set()
        self._reported_until: dict[str, float] = {}
        self._has_changes = trio.Event()

    def report_leaving(self, incarnation: str) -> None:
        """Queue an endpoint's notice that it is shutting down, to be sent to peers."""
        self._pending_leaving.add(incarnation)
        self._has_changes.set()

    def report_backoff(self, incarnation: str) -> None:
        """Queue an endpoint's back-off for peers, unless they know one that lasts as long."""
        until = self._notices.backoff_until(incarnation)
        if until - self._reported_until.get(incarnation, 0.0) < _MIN_REPORTED_EXTENSION_S:
            return
        self._mark_reported(incarnation, until, trio.current_time())
        self._pending_backoffs.add(incarnation)
        self._has_changes.set()

    async def next_messages(self) -> list[EndpointNoticeUpdate]:
        """Wait for pending notices and return the messages for all peers."""
        await self._has_changes.wait()
        await trio.sleep(_GATHER_S)
        self._has_changes = trio.Event()
        leaving, self._pending_leaving = sorted(self._pending_leaving), set()
        in_backoff, self._pending_backoffs = sorted(self._pending_backoffs), set()
        return self._messages(leaving, in_backoff)

    def repeated_messages(self) -> list[EndpointNoticeUpdate]:
        """Return the newest shutdown notices, which each heartbeat repeats to a few peers."""
        return self._messages(self._notices.newest_leaving(_MAX_REPEATED), [])

    def initial_messages(self) -> list[EndpointNoticeUpdate]:
        """Return all current notices, for a new peer."""
        leaving = self._notices.newest_leaving(_MAX_INCARNATIONS)
        return self._messages(
            leaving, self._notices.in_backoff(trio.current_time())[:_MAX_INCARNATIONS]
        )

    def _messages(self, leaving: list[str], in_backoff: list[str]) -> list[EndpointNoticeUpdate]:
        if not leaving and not in_backoff:
            return []
        now = trio.current_time()
        remaining_s = {
            incarnation: self._notices.backoff_until(incarnation) - now
            for incarnation in in_backoff
        }
        backoffs = [
            (incarnation, round(seconds, 3))
            for incarnation, seconds in remaining_s.items()
            if seconds > 0
        ]
        return [EndpointNoticeUpdate(self._name, leaving[:_MAX_INCARNATIONS], backoffs)]

    def record_notices(self, update: EndpointNoticeUpdate) -> list[str]:
        """Record a peer's notices; return the incarnations not yet known to be shutting down."""
        now = trio.current_time()
        newly_leaving = [
            incarnation
            for incarnation in update.leaving
            if self._notices.note_leaving(incarnation, NoticeSource.PEER, now)
        ]
        for incarnation in newly_leaving:
            eliot.log_message(
                message_type="endpoint: shutdown reported by a peer; sending no new work",
                endpoint=incarnation,
                peer=update.name,
            )
        for incarnation, remaining_s in update.backoffs:
            if remaining_s > 0:
                self._record_backoff(incarnation, now, remaining_s)
        return newly_leaving

    def _mark_reported(self, incarnation: str, until: float, now: float) -> None:
        """Record that peers know of a back-off, and forget those that are over."""
        self._reported_until = {
            reported: ends_at for reported, ends_at in self._reported_until.items() if ends_at > now
        }
        self._reported_until[incarnation] = until

    def _record_backoff(self, incarnation: str, now: float, remaining_s: float) -> None:
        """Record a back-off that a peer reported, without sending it to others."""
        self._mark_reported(
            incarnation, max(self._reported_until.get(incarnation, 0.0), now + remaining_s), now
        )
        until = now + remaining_s * (1 + _MAX_RANDOM_EXTENSION_SHARE * self._rng.random())
        self._notices.note_peer_backoff(incarnation, until, now)
