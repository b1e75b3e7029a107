"""Collects reports on an endpoint from several instances and checks whether enough agree.

Other instances then avoid the endpoint without having to detect its fault themselves. A single
instance may have lost its own network link or received one slow answer, so two instances have
to agree. Instances of one data centre share its network links, so they report unreachable
endpoints only to each other.
"""

__all__ = ["ReportQuorum"]

# Number of instances that have to agree, since a single one may be wrong.
_MIN_REPORTERS = 2


class ReportQuorum:
    """Recent reports of one kind."""

    def __init__(self, window_s: float) -> None:
        """Start without reports.

        Args:
            window_s: Time within which reports count together, in seconds.
        """
        self._window_s = window_s
        self._reports_by_endpoint: dict[str, dict[str, float]] = {}

    def add_report(self, endpoint: str, instance: str, now: float) -> bool:
        """Store a report and return whether enough instances agree on it."""
        self._remove_expired(now)
        reports = self._reports_by_endpoint.setdefault(endpoint, {})
        reports[instance] = now
        return len(reports) >= _MIN_REPORTERS

    def _remove_expired(self, now: float) -> None:
        for endpoint, reports in list(self._reports_by_endpoint.items()):
            for name, reported_at in list(reports.items()):
                if now - reported_at > self._window_s:
                    del reports[name]
            if not reports:
                del self._reports_by_endpoint[endpoint]
