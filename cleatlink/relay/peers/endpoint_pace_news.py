"""Tells peers what this instance measured of endpoints' speeds, and takes what they measured."""

from collections.abc import Sequence

import eliot
import trio

from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.messages import EndpointPaceNews, PaceItem
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.routing.endpoint_pace import EndpointPaces, PaceKind, PaceSample

__all__ = ["EndpointPaceTeller"]

# Time between two messages, in seconds: some measurements of each busy endpoint.
_PAUSE_S = 3.0
# Endpoints in one datagram, so that it stays within a few hundred bytes.
_MOST_LIVES = 8
# Endpoints that are told of at a time.
_MOST_CHANGED = 16
# Endpoints that each of its peers tells one that is new of: together they know all.
_MOST_INTRODUCED = 16
# Steps in which logarithms and ages are told: one byte each.
_LOG_STEP = 1 / 32
_AGE_STEP_S = 0.5
_KINDS = {kind.value: kind for kind in PaceKind}
# A speed that changed by less than this factor is not logged again.
_LOGGED_FACTOR = 1.25
# Lines about changed speeds at a time.
_MOST_LINES = 8


class EndpointPaceTeller(NewsChannel):
    """One instance's side of endpoints' speeds."""

    def __init__(
        self, name: str, incarnation: int, paces: EndpointPaces, metrics: RelayMetrics
    ) -> None:
        """Start with nothing to tell.

        Args:
            name: This instance's name.
            incarnation: Grows with each start of this instance.
            paces: What is known of endpoints' speeds.
            metrics: Shows the speeds.
        """
        self._name = name
        self._incarnation = incarnation
        self._paces = paces
        self._metrics = metrics
        self._number = 0
        # The newest message of each sender: incarnation and number.
        self._newest: dict[str, tuple[int, int]] = {}
        self._logged: dict[str, float] = {}
        self._wake = trio.Event()
        paces.listen(self._note_changed)

    def _note_changed(self) -> None:
        self._wake.set()

    async def next(self) -> list[EndpointPaceNews]:
        """Wait for something to tell every peer, and give it."""
        await trio.sleep(_PAUSE_S)
        self._show()
        await self._wake.wait()
        lives = self._paces.take_changed(_MOST_CHANGED)
        if len(lives) < _MOST_CHANGED:
            self._wake = trio.Event()
        return self._messages(lives)

    def repeat(self) -> list[EndpointPaceNews]:
        """Give what a heartbeat repeats to a few peers: the newest measurements."""
        return self._messages(self._paces.own_lives(trio.current_time())[:_MOST_LIVES])

    def introduction(self) -> list[EndpointPaceNews]:
        """Give what this instance measured last, for a peer that is new."""
        return self._messages(self._paces.own_lives(trio.current_time())[:_MOST_INTRODUCED])

    def _messages(self, lives: Sequence[str]) -> list[EndpointPaceNews]:
        """Give what was measured of some endpoints, in as many messages as it takes."""
        return [
            self._message(lives[first : first + _MOST_LIVES])
            for first in range(0, len(lives), _MOST_LIVES)
        ]

    def _message(self, lives: Sequence[str]) -> EndpointPaceNews:
        now = trio.current_time()
        self._number += 1
        told = {
            life: [_item(sample, now) for sample in self._paces.own(life, now)] for life in lives
        }
        return EndpointPaceNews(self._name, self._incarnation, self._number, told)

    def take(self, news: EndpointPaceNews) -> None:
        """Take what a peer measured; what it told before, and comes late, is left."""
        sent = (news.incarnation, news.number)
        if news.name == self._name or sent <= self._newest.get(news.name, (0, 0)):
            return
        self._newest[news.name] = sent
        now = trio.current_time()
        for life, items in news.lives.items():
            self._paces.take(news.name, life, _samples(items, now))

    def _show(self) -> None:
        """Show the speeds, and log those that changed."""
        speeds = self._paces.speeds(trio.current_time())
        self._metrics.set_speeds(list(speeds.values()))
        self._logged = {life: logged for life, logged in self._logged.items() if life in speeds}
        changed = [life for life, speed in speeds.items() if self._is_new(life, speed)]
        for life in changed[:_MOST_LINES]:
            eliot.log_message(
                message_type="endpoint: has another speed",
                endpoint=life,
                speed=round(speeds[life], 2),
                before=round(self._logged.get(life, 1.0), 2),
                samples=self._paces.count(life),
                newest_ago_s=self._paces.newest_ago_s(life, trio.current_time()),
            )
            self._logged[life] = speeds[life]

    def _is_new(self, life: str, speed: float) -> bool:
        logged = self._logged.get(life, 1.0)
        return max(speed / logged, logged / speed) > _LOGGED_FACTOR


def _item(sample: PaceSample, now: float) -> PaceItem:
    """Describe a measurement."""
    age = max(0, round((now - sample.at) / _AGE_STEP_S))
    return PaceItem(sample.kind.value, round(sample.log / _LOG_STEP), age)


def _samples(items: Sequence[PaceItem], now: float) -> list[PaceSample]:
    """Give what a peer measured; kinds that are not known are left."""
    return [
        PaceSample(now - max(0, item.age) * _AGE_STEP_S, _KINDS[item.kind], item.log * _LOG_STEP)
        for item in items
        if item.kind in _KINDS
    ]
