"""Records which endpoints this instance can connect to, in its log and metrics."""

from collections.abc import Callable

import eliot
import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.metrics import DialOutcome, DialPath, RelayMetrics
from cleatlink.routing.endpoint_paths import EndpointPaths
from cleatlink.routing.own_delay import OwnDelay

__all__ = ["PathMonitor"]

# Factor by which a connection may exceed the delay of this instance: the delay can grow meanwhile.
_DELAY_ALLOWANCE_FACTOR = 2.0


class PathMonitor:
    """Updates the paths to endpoints, and logs each path that is lost or works again."""

    def __init__(
        self,
        paths: EndpointPaths,
        metrics: RelayMetrics,
        on_change: Callable[[RoutedEndpoint], None] = lambda _: None,
        *,
        own_delay: OwnDelay | None = None,
    ) -> None:
        """Create a monitor.

        Args:
            paths: The paths to update.
            metrics: Counts connections by path and outcome.
            on_change: Called with an endpoint whose path was lost or works again.
            own_delay: Records how long connections take; None to start a record of its own.
        """
        self.paths = paths
        self.own_delay = OwnDelay() if own_delay is None else own_delay
        self._metrics = metrics
        self._on_change = on_change

    def note_connected(self, endpoint: RoutedEndpoint, took_s: float) -> None:
        """Record a direct connection to an endpoint, and how many seconds it took."""
        now = trio.current_time()
        self._metrics.count_dial(DialPath.DIRECT, DialOutcome.CONNECTED)
        self.own_delay.note_connection(endpoint.name, took_s, now)
        lost_s = self.paths.note_connected(endpoint.name, now)
        if lost_s is None:
            return
        eliot.log_message(
            message_type="paths: direct path to an endpoint works again",
            endpoint=endpoint.name,
            address=endpoint.address,
            lost_s=round(lost_s, 3),
            lost=self.paths.lost_count,
        )
        self._on_change(endpoint)

    def own_delay_allowance_s(self, now: float) -> float:
        """Return by how many seconds this instance may delay a connection to an endpoint."""
        return _DELAY_ALLOWANCE_FACTOR * self.own_delay.seconds(now)

    def note_failed(self, endpoint: RoutedEndpoint) -> None:
        """Record that a direct connection to an endpoint failed."""
        self._metrics.count_dial(DialPath.DIRECT, DialOutcome.FAILED)
        self.paths.note_failed(endpoint.name, trio.current_time())

    def note_overdue(self, endpoint: RoutedEndpoint) -> None:
        """Record that a direct connection takes unusually long."""
        self.paths.note_failed(endpoint.name, trio.current_time())

    def note_reached_by_peer(self, endpoint: RoutedEndpoint, peer: str) -> None:
        """Record that a peer connected to an endpoint on behalf of this instance."""
        self._metrics.count_dial(DialPath.TUNNEL, DialOutcome.CONNECTED)
        if not self.paths.note_reached_by_peer(endpoint.name, trio.current_time()):
            return
        eliot.log_message(
            message_type="paths: lost the direct path to an endpoint",
            endpoint=endpoint.name,
            address=endpoint.address,
            peer=peer,
            lost=self.paths.lost_count,
        )
        self._on_change(endpoint)

    def note_unreached_by_peer(self, endpoint: RoutedEndpoint) -> None:
        """Record that a peer could not connect to an endpoint either."""
        self._metrics.count_dial(DialPath.TUNNEL, DialOutcome.FAILED)
        self.paths.note_unreached_by_peer(endpoint.name, trio.current_time())
