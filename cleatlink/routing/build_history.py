"""Remembers which builds the endpoints of each service had, and when they were last present."""

import math
from collections.abc import Iterable

from cleatlink.core.routes import RoutedEndpoint

__all__ = ["BuildHistory"]


class BuildHistory:
    """The builds that an instance has seen since it knows the endpoints."""

    def __init__(self) -> None:
        self._observed_since = math.inf
        # When each build was last present, by service.
        self._last_seen: dict[str, dict[str, float]] = {}

    def note_present(self, endpoints: Iterable[RoutedEndpoint], now: float) -> None:
        """Record the endpoints that are registered now."""
        for endpoint in endpoints:
            self._observed_since = min(self._observed_since, now)
            self._last_seen.setdefault(endpoint.service, {})[endpoint.build] = now

    def covers(self, seconds: float, now: float) -> bool:
        """Check whether the endpoints have been known for some time.

        Args:
            seconds: Length of the time.
            now: The current time.
        """
        return self._observed_since <= now - seconds

    def builds_within(self, service: str, within_s: float, now: float) -> set[str]:
        """Return the builds that a service was seen with within a time.

        Args:
            service: Name of the service.
            within_s: Length of the time in seconds.
            now: The current time.
        """
        last_seen = self._last_seen.get(service, {})
        return {build for build, at in last_seen.items() if at >= now - within_s}

    def absent_s(self, service: str, build: str, now: float) -> float:
        """Return for how long a service has had no endpoint of a build; infinite if it had none."""
        return now - self._last_seen.get(service, {}).get(build, -math.inf)
