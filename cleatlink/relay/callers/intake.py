"""Counts the connections of callers, and measures how late this instance is."""

import trio

from cleatlink.relay.loop_monitor import LoopMonitor
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.routing.own_delay import OwnDelay

__all__ = ["CallerIntake"]


class CallerIntake:
    """The connections of an instance's callers."""

    def __init__(self, own_delay: OwnDelay, metrics: RelayMetrics) -> None:
        """Create an intake without connections.

        Args:
            own_delay: Delay of this instance's connections to endpoints.
            metrics: Counts the connections.
        """
        self._own_delay = own_delay
        self._metrics = metrics
        self._monitor = LoopMonitor()
        self._open_count = 0

    def start(self) -> None:
        """Start to measure the event loop."""
        self._monitor.start()

    def close(self) -> None:
        """End the measurement."""
        self._monitor.close()

    def note_opened(self) -> None:
        """Count a connection that is served from now on."""
        self._open_count += 1
        self._metrics.count_caller_connection(is_served=True)

    def note_closed(self) -> None:
        """Count the end of a connection."""
        self._open_count -= 1

    def note_first_read(self, seconds: float) -> None:
        """Record the time from the acceptance of a connection to its first request's head."""
        self._metrics.observe_first_read(seconds)

    def update_metrics(self) -> None:
        """Set the metrics to the current figures."""
        load = self._monitor.load
        connection_delay_s = self._own_delay.seconds(trio.current_time())
        self._metrics.set_open_caller_connections(self._open_count)
        self._metrics.set_own_delay(load.busy_share, load.mean_wait_s, connection_delay_s)
