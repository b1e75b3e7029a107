"""Tells peers of this instance's plain calls, as totals, and takes theirs."""

import random

import trio

from cleatlink.relay.peers.messages import PlainCalls
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.plain_load import CallTotals, Demand, EndpointTotals

__all__ = ["PlainNews"]

# Seconds between two messages while a service is nearly full: a burst is known about as soon as
# an endpoint's queue can grow.
_BUSY_S = 0.25
# Seconds between two messages otherwise: nothing is decided by them but the begin of a burst.
_CALM_S = 0.5
# Instances that started together tell at different moments: pauses differ by up to this share.
_JITTER_SHARE = 0.2
# Items of each kind in one message, which stays below some 400 bytes; the rest follows.
_MOST_DEMANDS = 6
_MOST_ENDPOINTS = 8
_MOST_RETURNS = 6


class PlainNews(NewsChannel):
    """One instance's side of what all know of plain calls."""

    def __init__(self, name: str, incarnation: int, capacity: Capacity) -> None:
        """Start with nothing to tell.

        Args:
            name: This instance's name.
            incarnation: Grows with each start of this instance.
            capacity: What is believed of endpoints.
        """
        self._name = name
        self._incarnation = incarnation
        self._capacity = capacity
        self._load = capacity.plain
        self._rng = random.Random(incarnation)
        self._told_arrived: dict[Demand, int] = {}
        self._told_endpoints: dict[str, EndpointTotals] = {}
        self._told_at = trio.current_time()

    async def next(self) -> list[PlainCalls]:
        """Wait for something to tell every peer, and give it."""
        if not self._capacity.switches.uses(Mechanism.PLAIN_ADMISSION):
            await trio.sleep_forever()
        while True:
            await trio.sleep(_BUSY_S * (1 + _JITTER_SHARE * self._rng.random()))
            now = trio.current_time()
            if not self._load.is_busy(now) and now - self._told_at < _CALM_S:
                continue
            message = self._changes(now)
            if message is not None:
                self._told_at = now
                return [message]

    def repeat(self) -> list[PlainCalls]:
        """Give nothing: what is lost is made up for by the next message."""
        return []

    def introduction(self) -> list[PlainCalls]:
        """Give the totals, as a base for what a peer that is new hears later."""
        arrived = dict(list(self._told_arrived.items())[:_MOST_DEMANDS])
        endpoints = dict(list(self._told_endpoints.items())[:_MOST_ENDPOINTS])
        if not arrived and not endpoints:
            return []
        return [self._message(arrived, endpoints, [], trio.current_time())]

    def _changes(self, now: float) -> PlainCalls | None:
        """Give what changed since it was told; None if nothing did."""
        arrived = {
            key: count
            for key, count in self._load.arrivals.items()
            if self._told_arrived.get(key) != count
        }
        totals = self._load.totals(now)
        told = {life: item for life, item in self._told_endpoints.items() if life in totals}
        self._told_endpoints = told
        endpoints = {life: item for life, item in totals.items() if told.get(life) != item}
        returns = self._capacity.plain_returns.untold(_MOST_RETURNS, now)
        if not arrived and not endpoints and not returns:
            return None
        arrived = dict(list(arrived.items())[:_MOST_DEMANDS])
        endpoints = dict(list(endpoints.items())[:_MOST_ENDPOINTS])
        # What is told moves to the end, so that the rest comes first when it changes again.
        for key, count in arrived.items():
            self._told_arrived.pop(key, None)
            self._told_arrived[key] = count
        for life, item in endpoints.items():
            told.pop(life, None)
            told[life] = item
        return self._message(arrived, endpoints, returns, now)

    def _message(
        self,
        arrived: dict[Demand, int],
        endpoints: dict[str, EndpointTotals],
        returns: list[tuple[bytes, float]],
        now: float,
    ) -> PlainCalls:
        return PlainCalls(
            self._name,
            self._incarnation,
            round(self._load.age_s(now), 3),
            [(key.service, key.rank, count) for key, count in arrived.items()],
            [
                (life, totals.ended, int(1000 * totals.busy_s), totals.refused)
                for life, totals in endpoints.items()
            ],
            [(name, round(left_s, 2)) for name, left_s in returns],
        )

    def take(self, news: PlainCalls) -> None:
        """Take what a peer tells."""
        now = trio.current_time()
        arrived = {Demand(service, rank): count for service, rank, count in news.arrived}
        endpoints = {
            life: EndpointTotals(ended, busy_ms / 1000, refused)
            for life, ended, busy_ms, refused in news.endpoints
        }
        self._load.take(
            CallTotals(news.name, news.incarnation, news.age_s, arrived, endpoints), now
        )
        for name, left_s in news.returns:
            self._capacity.plain_returns.expect_told(name, now + left_s)
