"""Which endpoints others of the same data centre fail to reach.

Instances of one data centre share its links, so what two of them can't reach is
most likely out of reach for a third. One alone may have lost its own link.
"""

__all__ = ["ReachabilityHints"]

_WINDOW_S = 1.0
_REPORTERS = 2


class ReachabilityHints:
    """Failures to connect that peers reported lately."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, float]] = {}

    def note(self, endpoint: str, peer: str, now: float) -> bool:
        """Take a report; tells whether enough peers agree on it."""
        self._forget(now)
        reports = self._reports.setdefault(endpoint, {})
        reports[peer] = now
        return len(reports) >= _REPORTERS

    def _forget(self, now: float) -> None:
        for endpoint, reports in list(self._reports.items()):
            for name, at in list(reports.items()):
                if now - at > _WINDOW_S:
                    del reports[name]
            if not reports:
                del self._reports[endpoint]
