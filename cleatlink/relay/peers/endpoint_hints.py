"""Share reports of endpoints that were slow or, within one data centre, unreachable."""

import math
from typing import NamedTuple

from cleatlink.relay.peers.messages import EndpointHint, HintKind
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.report_quorum import ReportQuorum

__all__ = ["EndpointHints"]

# Interval between announcements of the same endpoint and kind, in seconds.
_ANNOUNCEMENT_INTERVAL_S = 0.4
# Maximum time between the reports of different instances that count together, in seconds.
_UNREACHABLE_WINDOW_S = 1.0
_SLOW_WINDOW_S = 3.0


class _Announcement(NamedTuple):
    """Key of an announcement to peers."""

    endpoint: str
    kind: HintKind


class EndpointHints:
    """Combines the reports of this instance and its peers on endpoints."""

    def __init__(self, capacity: Capacity) -> None:
        self._capacity = capacity
        self._quorums = {
            HintKind.UNREACHABLE: ReportQuorum(_UNREACHABLE_WINDOW_S),
            HintKind.SLOW: ReportQuorum(_SLOW_WINDOW_S),
        }
        self._announced_at: dict[_Announcement, float] = {}

    def record_if_due(self, endpoint: str, kind: HintKind, now: float) -> bool:
        """Record an announcement to peers if one is due now, and return whether it is."""
        announcement = _Announcement(endpoint, kind)
        if now - self._announced_at.get(announcement, -math.inf) < _ANNOUNCEMENT_INTERVAL_S:
            return False
        self._announced_at = {
            item: announced_at
            for item, announced_at in self._announced_at.items()
            if now - announced_at < _ANNOUNCEMENT_INTERVAL_S
        }
        self._announced_at[announcement] = now
        return True

    def record_hint(self, hint: EndpointHint, now: float) -> None:
        """Record a hint; once enough instances agree, pass it to the capacity model."""
        if not self._quorums[hint.kind].add_report(hint.endpoint, hint.name, now):
            return
        if hint.kind is HintKind.SLOW:
            self._capacity.note_reported_slow(hint.endpoint, now)
        else:
            self._capacity.note_unreachable_from_peers(hint.endpoint, now)
