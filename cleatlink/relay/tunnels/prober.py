"""Probes paths to endpoints that are or may be lost, without waiting for a request."""

from collections.abc import Awaitable, Callable

import trio

from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import Dialer
from cleatlink.relay.endpoints.streams import EndpointStream
from cleatlink.routing.endpoint_paths import EndpointPaths

__all__ = ["PathProber"]

# Interval between checks for paths that are due, in seconds.
_CHECK_INTERVAL_S = 0.1
# Most endpoints that are probed at the same time.
_MAX_PROBES = 8
# Several times the latency between data centres, in seconds.
_PROBE_TIMEOUT_S = 0.15


_Dial = Callable[[RoutedEndpoint, float, float], Awaitable[EndpointStream]]


class PathProber:
    """Connects to endpoints, and closes the connections that open.

    Lost paths are probed directly, so that they are used again soon after they work. Paths that may
    be lost are probed like those of requests, so that the next request knows.
    """

    def __init__(
        self,
        dialer: Dialer,
        paths: EndpointPaths,
        find_endpoint: Callable[[str], RoutedEndpoint | None],
    ) -> None:
        """Create a prober.

        Args:
            dialer: Connects to endpoints, and records the outcomes.
            paths: The paths to endpoints.
            find_endpoint: Returns a registered endpoint by its incarnation.
        """
        self._dialer = dialer
        self._paths = paths
        self._find_endpoint = find_endpoint

    async def run(self) -> None:
        """Probe paths until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            while await self._probe_due():
                # A path works again: the others are probed without delay.
                pass

    async def _probe_due(self) -> bool:
        """Probe the paths that are due; return whether a lost one works again."""
        now = trio.current_time()
        lost = self._paths.take_due_probes(now, _MAX_PROBES)
        possibly_lost = self._paths.take_due_checks(now, _MAX_PROBES)
        async with trio.open_nursery() as nursery:
            for names, dial in (
                (lost, self._dialer.dial_directly),
                (possibly_lost, self._dialer.dial),
            ):
                for name in names:
                    nursery.start_soon(self._probe, name, dial)
        return any(not self._paths.is_lost(name) for name in lost)

    async def _probe(self, name: str, dial: _Dial) -> None:
        endpoint = self._find_endpoint(name)
        if endpoint is None:
            return
        try:
            stream = await dial(endpoint, _PROBE_TIMEOUT_S, _PROBE_TIMEOUT_S)
        except EndpointUnreachableError:
            self._paths.note_checked(name, trio.current_time())
        else:
            stream.close()
