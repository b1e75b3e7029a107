"""Exchanges totals of plain calls with peers."""

import random

import trio

from cleatlink.relay.peers.messages import PlainCallTotals
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.plain_load import DemandKey, EndpointTotals, PeerCallTotals

__all__ = ["PlainCallChannel"]

# Pause between two messages while a service is nearly full, in seconds: peers learn of a burst
# about as soon as an endpoint's queue can grow.
_BUSY_PAUSE_S = 0.25
# Interval between two messages otherwise, in seconds: these messages only serve to detect the
# start of a burst.
_IDLE_INTERVAL_S = 0.5
# Pauses vary randomly by up to this share, so that instances that started together do not all
# send at the same time.
_JITTER_SHARE = 0.2
# Maximum number of items of each kind in one message, which keeps it below about 400 bytes; the
# other items are sent in the next messages.
_MAX_DEMANDS = 6
_MAX_ENDPOINTS = 8
_MAX_EXPECTED_RETRIES = 6


class PlainCallChannel(UpdateChannel):
    """Channel for the totals of plain calls of the instances."""

    def __init__(self, name: str, incarnation: int, capacity: Capacity) -> None:
        """Initialise the channel without pending updates.

        Args:
            name: Name of this instance.
            incarnation: Start number of this instance; it grows with each start.
            capacity: Assumed capacity and load of endpoints.
        """
        self._name = name
        self._incarnation = incarnation
        self._capacity = capacity
        self._load = capacity.plain_load
        self._rng = random.Random(incarnation)
        self._reported_arrivals: dict[DemandKey, int] = {}
        self._reported_endpoints: dict[str, EndpointTotals] = {}
        self._reported_at = trio.current_time()

    async def next_messages(self) -> list[PlainCallTotals]:
        """Wait for updates and return the messages to send to every peer."""
        if not self._capacity.switches.is_enabled(Mechanism.PLAIN_ADMISSION):
            await trio.sleep_forever()
        while True:
            await trio.sleep(_BUSY_PAUSE_S * (1 + _JITTER_SHARE * self._rng.random()))
            now = trio.current_time()
            if not self._load.is_nearly_full(now) and now - self._reported_at < _IDLE_INTERVAL_S:
                continue
            message = self._changes(now)
            if message is not None:
                self._reported_at = now
                return [message]

    def repeated_messages(self) -> list[PlainCallTotals]:
        """Return no messages: the totals in the next message make up for a lost one."""
        return []

    def initial_messages(self) -> list[PlainCallTotals]:
        """Return the totals, as a base from which a new peer computes later increases."""
        arrivals = dict(list(self._reported_arrivals.items())[:_MAX_DEMANDS])
        endpoints = dict(list(self._reported_endpoints.items())[:_MAX_ENDPOINTS])
        if not arrivals and not endpoints:
            return []
        return [self._message(arrivals, endpoints, [], trio.current_time())]

    def _changes(self, now: float) -> PlainCallTotals | None:
        """Return the changes since the last messages, or None if there are none."""
        arrivals = {
            key: count
            for key, count in self._load.arrival_totals.items()
            if self._reported_arrivals.get(key) != count
        }
        totals = self._load.endpoint_totals(now)
        reported = {
            incarnation: item
            for incarnation, item in self._reported_endpoints.items()
            if incarnation in totals
        }
        self._reported_endpoints = reported
        endpoints = {
            incarnation: item
            for incarnation, item in totals.items()
            if reported.get(incarnation) != item
        }
        retries = self._capacity.expected_plain_retries.take_unannounced(_MAX_EXPECTED_RETRIES, now)
        if not arrivals and not endpoints and not retries:
            return None
        arrivals = dict(list(arrivals.items())[:_MAX_DEMANDS])
        endpoints = dict(list(endpoints.items())[:_MAX_ENDPOINTS])
        # Reported items move to the end, so that the other items come first when they change again.
        for key, count in arrivals.items():
            self._reported_arrivals.pop(key, None)
            self._reported_arrivals[key] = count
        for incarnation, item in endpoints.items():
            reported.pop(incarnation, None)
            reported[incarnation] = item
        return self._message(arrivals, endpoints, retries, now)

    def _message(
        self,
        arrivals: dict[DemandKey, int],
        endpoints: dict[str, EndpointTotals],
        retries: list[tuple[bytes, float]],
        now: float,
    ) -> PlainCallTotals:
        return PlainCallTotals(
            self._name,
            self._incarnation,
            round(self._load.uptime_s(now), 3),
            [(key.service, key.rank, count) for key, count in arrivals.items()],
            [
                (incarnation, totals.ended, int(1000 * totals.busy_s), totals.refused)
                for incarnation, totals in endpoints.items()
            ],
            [(identity, round(remaining_s, 2)) for identity, remaining_s in retries],
        )

    def record_totals(self, calls: PlainCallTotals) -> None:
        """Record the totals and the refused requests of a peer."""
        now = trio.current_time()
        arrivals = {DemandKey(service, rank): count for service, rank, count in calls.arrivals}
        endpoints = {
            endpoint_incarnation: EndpointTotals(ended, busy_ms / 1000, refused)
            for endpoint_incarnation, ended, busy_ms, refused in calls.endpoint_totals
        }
        self._load.update_peer(
            PeerCallTotals(calls.name, calls.incarnation, calls.age_s, arrivals, endpoints), now
        )
        for identity, remaining_s in calls.expected_retries:
            self._capacity.expected_plain_retries.note_refusal(identity, now + remaining_s)
