"""Decides which new connections of callers are served, and measures how late this instance is."""

import random

import eliot
import trio

from cleatlink.relay.logs import LogRateLimit
from cleatlink.relay.loop_monitor import LoopMonitor
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.routing.intake_control import IntakeControl
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches
from cleatlink.routing.own_delay import OwnDelay

__all__ = ["CallerIntake"]

# Number of waits for the event loop in one round trip: connect, send, receive and pass on.
_WAITS_PER_ROUND_TRIP = 4
# Most lines about a change of the limit in a window of time, and its length in seconds.
_MAX_LOG_LINES, _LOG_WINDOW_S = 10, 10.0


class CallerIntake:
    """The connections of an instance's callers."""

    def __init__(
        self,
        own_delay: OwnDelay,
        metrics: RelayMetrics,
        switches: MechanismSwitches,
        rng: random.Random,
        *,
        measures_loop: bool = True,
    ) -> None:
        """Create an intake without connections.

        Args:
            own_delay: Delay of this instance's connections to endpoints.
            metrics: Counts the connections.
            switches: Tells whether any connections are closed unread.
            rng: Chooses the connections that are closed.
            measures_loop: Whether the event loop is measured.
        """
        self._own_delay = own_delay
        self._metrics = metrics
        self._is_enabled = switches.is_enabled(Mechanism.INTAKE_LIMIT)
        self._rng = rng
        self._monitor = LoopMonitor()
        self._measures_loop = measures_loop
        self._control = IntakeControl(trio.current_time())
        self._log_limit = LogRateLimit(_MAX_LOG_LINES, _LOG_WINDOW_S)
        self._open_count = 0
        self._closed_unread_count = 0

    @property
    def is_limiting(self) -> bool:
        """Whether some new connections are closed unread."""
        return self._control.is_limiting

    def start(self) -> None:
        """Start to measure the event loop."""
        if self._measures_loop:
            self._monitor.start()

    def close(self) -> None:
        """End the measurement."""
        if self._measures_loop:
            self._monitor.close()

    def admits(self) -> bool:
        """Decide whether a new connection is served; otherwise it is to be closed unread."""
        self.update()
        if self._control.admits(trio.current_time(), self._rng.random()):
            return True
        self._closed_unread_count += 1
        self._metrics.count_caller_connection(is_served=False)
        return False

    def update(self) -> None:
        """Adjust the share of connections that are served to the current delay."""
        if not self._is_enabled:
            return
        now = trio.current_time()
        was_limiting = self._control.is_limiting
        self._control.update(self._delay_s(now), now)
        if self._control.is_limiting != was_limiting:
            self._log_change(now)

    def _delay_s(self, now: float) -> float:
        """Return the delay of one round trip, in seconds."""
        loop_delay_s = _WAITS_PER_ROUND_TRIP * self._monitor.load.mean_wait_s
        return max(loop_delay_s, self._own_delay.seconds(now))

    def _log_change(self, now: float) -> None:
        if not self._log_limit.allow(now):
            return
        load = self._monitor.load
        eliot.log_message(
            message_type="instance: is late and closes new connections unread"
            if self._control.is_limiting
            else "instance: serves all new connections again",
            busy_share=round(load.busy_share, 3),
            loop_ms=round(1000 * load.mean_wait_s, 1),
            connections_ms=round(1000 * self._own_delay.seconds(now), 1),
            open=self._open_count,
            closed_unread=self._closed_unread_count,
        )

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
        self._metrics.set_intake_share(self._control.share)
