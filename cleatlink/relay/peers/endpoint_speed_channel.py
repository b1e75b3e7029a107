"""Exchanges measurements of endpoints' speeds with peers."""

from collections.abc import Sequence

import eliot
import trio

from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import EndpointSpeedUpdate, SpeedMeasurement
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.routing.endpoint_speeds import EndpointSpeeds, SpeedSample, SpeedSampleKind

__all__ = ["EndpointSpeedChannel"]

# Minimum pause between two messages, in seconds: each busy endpoint is measured several times
# within it.
_MIN_PAUSE_S = 3.0
# Maximum number of endpoints in one datagram, which keeps it within a few hundred bytes.
_MAX_ENDPOINTS = 8
# Maximum number of changed endpoints that are reported at a time.
_MAX_CHANGED = 16
# Maximum number of endpoints that an instance reports to a new peer. The reports of all instances
# together cover every endpoint.
_MAX_INITIAL = 16
# Quantisation steps of logarithms and ages in messages: each value takes one byte.
_LOG_STEP = 1 / 32
_AGE_STEP_S = 0.5
_KINDS = {kind.value: kind for kind in SpeedSampleKind}
# Minimum factor by which a speed has to change to be logged again.
_MIN_LOGGED_FACTOR = 1.25
# Maximum number of log lines about changed speeds at a time.
_MAX_LOG_LINES = 8


class EndpointSpeedChannel(UpdateChannel):
    """Channel for measurements of endpoints' speeds."""

    def __init__(
        self, name: str, incarnation: int, speeds: EndpointSpeeds, metrics: RelayMetrics
    ) -> None:
        """Initialise the channel without pending updates.

        Args:
            name: Name of this instance.
            incarnation: Start number of this instance; it grows with each start.
            speeds: Known speeds of the endpoints.
            metrics: Metrics that export the speeds.
        """
        self._name = name
        self._incarnation = incarnation
        self._speeds = speeds
        self._metrics = metrics
        self._last_message_number = 0
        # Incarnation and sequence number of the newest message of each sender.
        self._newest_received: dict[str, tuple[int, int]] = {}
        self._logged_speeds: dict[str, float] = {}
        self._has_changes = trio.Event()
        speeds.set_sample_listener(self._note_changed)

    def _note_changed(self) -> None:
        self._has_changes.set()

    async def next_messages(self) -> list[EndpointSpeedUpdate]:
        """Wait for updates and return the messages to send to every peer."""
        await trio.sleep(_MIN_PAUSE_S)
        self._export_speeds()
        await self._has_changes.wait()
        incarnations = self._speeds.pop_changed(_MAX_CHANGED)
        if len(incarnations) < _MAX_CHANGED:
            self._has_changes = trio.Event()
        return self._messages(incarnations)

    def repeated_messages(self) -> list[EndpointSpeedUpdate]:
        """Return the newest measurements of this instance, for a few peers."""
        return self._messages(self._speeds.own_incarnations(trio.current_time())[:_MAX_ENDPOINTS])

    def initial_messages(self) -> list[EndpointSpeedUpdate]:
        """Return the newest measurements of this instance, for a new peer."""
        return self._messages(self._speeds.own_incarnations(trio.current_time())[:_MAX_INITIAL])

    def _messages(self, incarnations: Sequence[str]) -> list[EndpointSpeedUpdate]:
        """Return the measurements of some endpoints, split into messages of bounded size."""
        return [
            self._message(incarnations[start : start + _MAX_ENDPOINTS])
            for start in range(0, len(incarnations), _MAX_ENDPOINTS)
        ]

    def _message(self, incarnations: Sequence[str]) -> EndpointSpeedUpdate:
        now = trio.current_time()
        self._last_message_number += 1
        items_by_incarnation = {
            incarnation: [
                _item(sample, now) for sample in self._speeds.own_samples(incarnation, now)
            ]
            for incarnation in incarnations
        }
        return EndpointSpeedUpdate(
            self._name, self._incarnation, self._last_message_number, items_by_incarnation
        )

    def record_measurements(self, message: EndpointSpeedUpdate) -> None:
        """Record the measurements of a peer; ignore messages that are older than its newest one."""
        sequence = (message.incarnation, message.number)
        if message.name == self._name or sequence <= self._newest_received.get(
            message.name, (0, 0)
        ):
            return
        self._newest_received[message.name] = sequence
        now = trio.current_time()
        for endpoint_incarnation, items in message.measurements.items():
            self._speeds.replace_peer_samples(
                message.name, endpoint_incarnation, _samples(items, now)
            )

    def _export_speeds(self) -> None:
        """Export the speeds as metrics and log those that changed."""
        speeds = self._speeds.speeds(trio.current_time())
        self._metrics.set_speeds(list(speeds.values()))
        self._logged_speeds = {
            incarnation: logged
            for incarnation, logged in self._logged_speeds.items()
            if incarnation in speeds
        }
        changed = [
            incarnation
            for incarnation, speed in speeds.items()
            if self._has_changed(incarnation, speed)
        ]
        for incarnation in changed[:_MAX_LOG_LINES]:
            eliot.log_message(
                message_type="endpoint: measured speed changed",
                endpoint=incarnation,
                speed=round(speeds[incarnation], 2),
                before=round(self._logged_speeds.get(incarnation, 1.0), 2),
                samples=self._speeds.sample_count(incarnation),
                newest_ago_s=self._speeds.newest_sample_age_s(incarnation, trio.current_time()),
            )
            self._logged_speeds[incarnation] = speeds[incarnation]

    def _has_changed(self, incarnation: str, speed: float) -> bool:
        logged = self._logged_speeds.get(incarnation, 1.0)
        return max(speed / logged, logged / speed) > _MIN_LOGGED_FACTOR


def _item(sample: SpeedSample, now: float) -> SpeedMeasurement:
    """Build a message item from a measurement."""
    age = max(0, round((now - sample.measured_at) / _AGE_STEP_S))
    return SpeedMeasurement(sample.kind.value, round(sample.log_ratio / _LOG_STEP), age)


def _samples(items: Sequence[SpeedMeasurement], now: float) -> list[SpeedSample]:
    """Return the measurements of a peer; ignore unknown kinds."""
    return [
        SpeedSample(
            now - max(0, item.age_steps) * _AGE_STEP_S,
            _KINDS[item.kind],
            item.log_ratio_steps * _LOG_STEP,
        )
        for item in items
        if item.kind in _KINDS
    ]
