"""What several instances report of an endpoint, so that others need not find out.

One instance alone may have lost its own link, or met a single slow answer: two
have to agree. Instances of one data centre share its links, so what they can't
reach is told there alone.
"""

__all__ = ["SharedHints"]

# One instance may be wrong by itself.
_REPORTERS = 2


class SharedHints:
    """Reports of one kind that came lately."""

    def __init__(self, window_s: float) -> None:
        """Start without reports.

        Args:
            window_s: Reports within so many seconds of each other count together.
        """
        self._window_s = window_s
        self._reports: dict[str, dict[str, float]] = {}

    def note(self, endpoint: str, instance: str, now: float) -> bool:
        """Take a report; tells whether enough instances agree on it."""
        self._forget(now)
        reports = self._reports.setdefault(endpoint, {})
        reports[instance] = now
        return len(reports) >= _REPORTERS

    def _forget(self, now: float) -> None:
        for endpoint, reports in list(self._reports.items()):
            for name, at in list(reports.items()):
                if now - at > self._window_s:
                    del reports[name]
            if not reports:
                del self._reports[endpoint]
