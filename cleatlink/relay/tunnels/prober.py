"""Probes lost paths, so that endpoints are connected directly soon after a path works again."""

from collections.abc import Callable

import trio

from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import DirectDialer
from cleatlink.routing.endpoint_paths import EndpointPaths

__all__ = ["PathProber"]

# Interval between checks for paths that are due, in seconds.
_CHECK_INTERVAL_S = 0.1
# Most endpoints that are probed at the same time.
_MAX_PROBES = 8
# Several times the latency between data centres, in seconds.
_PROBE_TIMEOUT_S = 0.15


class PathProber:
    """Connects to endpoints whose path is lost, and closes the connections that open."""

    def __init__(
        self,
        direct: DirectDialer,
        paths: EndpointPaths,
        find_endpoint: Callable[[str], RoutedEndpoint | None],
    ) -> None:
        """Create a prober.

        Args:
            direct: Connects to endpoints, and records the outcomes.
            paths: The paths to endpoints.
            find_endpoint: Returns a registered endpoint by its incarnation.
        """
        self._direct = direct
        self._paths = paths
        self._find_endpoint = find_endpoint

    async def run(self) -> None:
        """Probe lost paths until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            while await self._probe_due():
                # A path works again: the others are probed without delay.
                pass

    async def _probe_due(self) -> bool:
        """Probe the paths that are due; return whether one of them works again."""
        names = self._paths.take_due_probes(trio.current_time(), _MAX_PROBES)
        endpoints = [self._find_endpoint(name) for name in names]
        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                if endpoint is not None:
                    nursery.start_soon(self._probe, endpoint)
        return any(not self._paths.is_lost(name) for name in names)

    async def _probe(self, endpoint: RoutedEndpoint) -> None:
        try:
            stream = await self._direct.dial_directly(endpoint, _PROBE_TIMEOUT_S, _PROBE_TIMEOUT_S)
        except EndpointUnreachableError:
            # The monitor has counted the failure.
            return
        stream.close()
