"""Notices of endpoints about themselves: that they are leaving, or request a back-off.

An endpoint that is leaving accepts no new work until its incarnation ends. A back-off is a time for
which an endpoint wants no new calls. All notices are kept by incarnation, leaving notices with
their source and time. They are independent of the endpoint's registration: a registration that
expires and is renewed does not change them.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["EndpointNotices", "LeavingNotice", "NoticeSource"]

# How long a leaving notice is kept after its last report, in seconds: many times as long as a
# leaving endpoint still serves, and as a copy of the registrations can lag behind.
_LEAVING_RETENTION_S = 600.0
# Number of calls that may be in progress at an endpoint right after a back-off. It is doubled with
# each answer, and the limit ends beyond _MAX_TRIAL_CALLS, the number of connections that are kept
# open. Without the limit all callers would call at once and be refused again.
_MIN_TRIAL_CALLS = 1
_MAX_TRIAL_CALLS = 16
# How long after a back-off the limit of calls ends if it was not lifted before, in seconds.
_TRIAL_S = 30.0


class NoticeSource(StrEnum):
    """Source of the notice that an endpoint is leaving."""

    REGISTRATION = "registration"
    ANSWER = "answer"
    PEER = "peer"


class LeavingNotice(NamedTuple):
    """Notice that an endpoint accepts no new work; valid until the end of its incarnation.

    Attributes:
        source: Source of the first report.
        reported_at: Time of the last report.
    """

    source: NoticeSource
    reported_at: float


class _Backoff:
    """A back-off of an endpoint, and the limited calls after it."""

    __slots__ = ("calls", "max_calls", "until")

    def __init__(self, until: float) -> None:
        self.until = until
        self.max_calls = _MIN_TRIAL_CALLS
        self.calls: set[str] = set()


class EndpointNotices:
    """Leaving notices and back-offs of endpoints, by incarnation."""

    def __init__(self) -> None:
        self._leaving: dict[str, LeavingNotice] = {}
        self._backoffs: dict[str, _Backoff] = {}
        # Ends of back-offs that endpoints requested from peers.
        self._peer_backoffs: dict[str, float] = {}

    def note_leaving(self, incarnation: str, source: NoticeSource, now: float) -> bool:
        """Record that an endpoint is leaving; return whether this was unknown before."""
        known = self._leaving.get(incarnation)
        self._leaving[incarnation] = LeavingNotice(source if known is None else known.source, now)
        return known is None

    def is_leaving(self, incarnation: str) -> bool:
        """Check whether an endpoint is leaving."""
        return incarnation in self._leaving

    def note_backoff(self, incarnation: str, backoff_s: float, now: float) -> bool:
        """Record that an endpoint requests a back-off; return whether a new back-off begins.

        Without back-offs, one of three endpoints that requested 4 s got 3 calls of one instance
        within that time; with them, it got none.
        """
        known = self._backoffs.get(incarnation)
        begins = known is None or known.until <= now
        if known is None:
            known = self._backoffs[incarnation] = _Backoff(now)
        known.until = max(known.until, now + backoff_s)
        known.max_calls = _MIN_TRIAL_CALLS
        return begins

    def newest_leaving(self, limit: int) -> list[str]:
        """Return up to ``limit`` incarnations that are leaving.

        The last reported ones come first.
        """
        incarnations = sorted(
            self._leaving, key=lambda name: self._leaving[name].reported_at, reverse=True
        )
        return incarnations[:limit]

    def leaving_sources(self, limit: int) -> dict[str, str]:
        """Return the first sources of up to ``limit`` leaving notices, by incarnation.

        The last reported ones come first.
        """
        return {
            incarnation: self._leaving[incarnation].source.value
            for incarnation in self.newest_leaving(limit)
        }

    def in_backoff(self, now: float) -> list[str]:
        """Return the incarnations that are in a back-off now."""
        return [
            incarnation for incarnation, backoff in self._backoffs.items() if backoff.until > now
        ]

    def note_peer_backoff(self, incarnation: str, until: float, now: float) -> None:
        """Record a back-off that an endpoint requested from a peer; others are preferred to it."""
        self._peer_backoffs = {name: end for name, end in self._peer_backoffs.items() if end > now}
        self._peer_backoffs[incarnation] = max(until, self._peer_backoffs.get(incarnation, 0.0))

    def is_in_peer_backoff(self, incarnation: str, now: float) -> bool:
        """Check whether an endpoint is in a back-off that it requested from a peer."""
        return self._peer_backoffs.get(incarnation, 0.0) > now

    def backoff_until(self, incarnation: str) -> float:
        """Return when an endpoint's back-off ends or ended; 0 without a recent one."""
        backoff = self._backoffs.get(incarnation)
        return 0.0 if backoff is None else backoff.until

    def may_begin_call(self, incarnation: str, now: float) -> bool:
        """Check whether an endpoint may get another call: none in its back-off, few after it."""
        backoff = self._backoffs.get(incarnation)
        return backoff is None or (now >= backoff.until and len(backoff.calls) < backoff.max_calls)

    def begin_work(self, incarnation: str, key: str) -> None:
        """Record that work begins at an endpoint."""
        backoff = self._backoffs.get(incarnation)
        if backoff is not None:
            backoff.calls.add(key)

    def end_work(self, incarnation: str, key: str) -> None:
        """Record that work at an endpoint has ended."""
        backoff = self._backoffs.get(incarnation)
        if backoff is not None:
            backoff.calls.discard(key)

    def note_served(self, incarnation: str, now: float) -> None:
        """Record that an endpoint served a call: after a back-off it may get more at a time."""
        backoff = self._backoffs.get(incarnation)
        if backoff is None or now < backoff.until:
            return
        backoff.max_calls *= 2
        if backoff.max_calls > _MAX_TRIAL_CALLS:
            del self._backoffs[incarnation]

    def drop_old(self, now: float) -> None:
        """Drop leaving notices and back-offs that are long over."""
        self._leaving = {
            incarnation: leaving
            for incarnation, leaving in self._leaving.items()
            if now - leaving.reported_at < _LEAVING_RETENTION_S
        }
        self._backoffs = {
            incarnation: backoff
            for incarnation, backoff in self._backoffs.items()
            if now - backoff.until < _TRIAL_S
        }
