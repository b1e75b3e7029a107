"""How fast each endpoint is beside its service's usual pace.

One instance of many measures little of one endpoint, so measurements are shared: each
instance tells its own newest ones, and all decide by the newest of everybody. They are
logarithms of measured by expected time, of which the median counts, so that a wait that
nobody saw, or one sick moment, moves nothing. Some that say 1.0 are added as a prior.
"""

import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum
from statistics import median
from typing import NamedTuple

from cleatlink.routing.estimates import SETTLED, Estimate, is_usable

__all__ = ["EndpointPaces", "PaceKind", "PaceSample"]

# An instance tells so many of its newest measurements of an endpoint.
_OWN_SAMPLES = 6
# So many of the newest of all instances count: some seconds of a busy endpoint.
_POOL = 32
# Measurements that say 1.0, as a prior: a handful of others overcome them.
_PRIOR_SAMPLES = 3
# Older ones count no more, in seconds: machines are moved, and neighbours change.
_BELIEVED_S = 60.0
# Of an endpoint that was measured so often within so many seconds, older ones don't count: they
# were compared with what was expected then.
_FRESH_S = 15.0
_FRESH_SAMPLES = 8
# An endpoint whose newest measurements are all off by this factor turned sick, or well again.
_SICK_FACTOR = 2.5
_SICK_SAMPLES = 5
# Logarithm of a ratio: what is further off says no more than that it is far off.
_MOST_LOG = 2.0
# Endpoints that differ by less from the usual pace have it: logarithm.
_NOTABLE_LOG = 0.12
# An endpoint's streams are compared with those beside as many others: bands of its slots.
_BANDS = 4
# How long a computed speed is used again, in seconds: measurements come several times a second.
_FIT_S = 1.0


class PaceKind(IntEnum):
    """What was measured; the numbers are told to peers."""

    PROMPT = 1
    TOKENS = 2
    PLAIN = 3


class PaceSample(NamedTuple):
    """One measurement of an endpoint.

    Attributes:
        at: When it was taken.
        kind: What was measured.
        log: Logarithm of measured by expected time.
    """

    at: float
    kind: PaceKind
    log: float


class _Pooled(NamedTuple):
    """A measurement with the instance that took it; empty for this one."""

    at: float
    log: float
    sender: str


class _Fit(NamedTuple):
    """What was computed for an endpoint."""

    at: float
    speed: float


class _LoadBands:
    """Seconds a token on a service's engines, by how full they are."""

    def __init__(self) -> None:
        self._bands = [Estimate(0.0) for _ in range(_BANDS)]

    def note(self, load: float, token_s: float) -> float | None:
        """Learn from a stretch of a stream; gives what was expected of it, if anything."""
        band = self._bands[min(_BANDS - 1, max(0, int(load * _BANDS)))]
        expected_s = band.value if band.count >= SETTLED else None
        band.note(token_s)
        return expected_s


class EndpointPaces:
    """What all instances measured of the endpoints, as far as this one knows."""

    def __init__(self) -> None:
        """Start without anything measured."""
        self._own: dict[str, deque[PaceSample]] = {}
        self._pools: dict[str, list[_Pooled]] = {}
        self._bands: dict[str, _LoadBands] = {}
        self._fits: dict[str, _Fit] = {}
        self._changed: dict[str, None] = {}
        self._on_changed: Callable[[], None] = _ignore

    def listen(self, on_changed: Callable[[], None]) -> None:
        """Have somebody told of own measurements."""
        self._on_changed = on_changed

    def note_tokens(self, life: str, service: str, token_s: float, load: float, now: float) -> None:
        """Take the pace of a stretch of a stream.

        Args:
            life: The endpoint's life.
            service: Its service.
            token_s: Seconds a token.
            load: Share of the endpoint's slots that were in use.
            now: The time.
        """
        if not is_usable(token_s):
            return
        expected_s = self._bands.setdefault(service, _LoadBands()).note(load, token_s)
        if expected_s is not None:
            self.note(life, PaceKind.TOKENS, token_s / expected_s, now)

    def note(self, life: str, kind: PaceKind, ratio: float, now: float) -> None:
        """Take a measurement of this instance.

        Args:
            life: The endpoint's life.
            kind: What was measured.
            ratio: Measured by expected time.
            now: The time.
        """
        if not is_usable(ratio):
            return
        sample = PaceSample(now, kind, _bounded(math.log(ratio)))
        own = self._own.setdefault(life, deque(maxlen=_OWN_SAMPLES))
        own.append(sample)
        pool = self._pools.setdefault(life, [])
        pool.append(_Pooled(now, sample.log, ""))
        self._keep_newest(life, pool)
        self._changed[life] = None
        self._on_changed()

    def take(self, sender: str, life: str, samples: Sequence[PaceSample]) -> None:
        """Take all that a peer measured of an endpoint lately, in place of what it told before."""
        pool = [item for item in self._pools.get(life, ()) if item.sender != sender]
        for at, _, log in samples[:_OWN_SAMPLES]:
            if math.isfinite(log) and math.isfinite(at):
                pool.append(_Pooled(at, _bounded(log), sender))
        self._keep_newest(life, pool)

    def _keep_newest(self, life: str, pool: list[_Pooled]) -> None:
        pool.sort()
        del pool[:-_POOL]
        self._pools[life] = pool

    def own(self, life: str, now: float) -> list[PaceSample]:
        """Give what this instance measured of an endpoint lately."""
        return [item for item in self._own.get(life, ()) if now - item.at < _BELIEVED_S]

    def own_lives(self, now: float) -> list[str]:
        """Give the lives that this instance measured lately, the newest first."""
        newest = {life: own[-1].at for life, own in self._own.items()}
        known = [life for life, at in newest.items() if now - at < _BELIEVED_S]
        return sorted(known, key=lambda life: -newest[life])

    def take_changed(self, most: int) -> list[str]:
        """Give lives that this instance measured since they were given, some at the most."""
        lives = list(self._changed)[:most]
        for life in lives:
            del self._changed[life]
        return lives

    def forget(self, life: str) -> None:
        """Forget a life that is over."""
        for known in (self._own, self._pools, self._fits, self._changed):
            known.pop(life, None)

    def speed(self, life: str, now: float) -> float:
        """Give how fast an endpoint is beside its service's usual pace; 1.0 if not known."""
        pool = self._pools.get(life)
        if not pool:
            return 1.0
        fit = self._fits.get(life)
        if fit is None or not 0 <= now - fit.at < _FIT_S:
            fit = self._fits[life] = _Fit(now, _speed(pool, now))
        return fit.speed

    def speeds(self, now: float) -> Mapping[str, float]:
        """Give the speeds of the endpoints of which something was measured."""
        return {life: self.speed(life, now) for life in self._pools}

    def count(self, life: str) -> int:
        """Give how many measurements of an endpoint are known."""
        return len(self._pools.get(life, ()))

    def newest_ago_s(self, life: str, now: float) -> float | None:
        """Give how many seconds ago an endpoint was last measured; None if it never was."""
        pool = self._pools.get(life)
        return round(now - pool[-1].at, 2) if pool else None


def _speed(pool: Sequence[_Pooled], now: float) -> float:
    """Give the speed that the newest measurements of all instances show."""
    fresh = [item.log for item in pool if now - item.at < _FRESH_S]
    believed = [item.log for item in pool if now - item.at < _BELIEVED_S]
    logs = fresh if len(fresh) >= _FRESH_SAMPLES else believed
    slowness = median([*logs, *[0.0] * _PRIOR_SAMPLES])
    newest = logs[-_SICK_SAMPLES:]
    if len(newest) == _SICK_SAMPLES and _is_apart(newest, slowness):
        slowness = median(newest)
    return 1.0 if abs(slowness) < _NOTABLE_LOG else math.exp(-slowness)


def _is_apart(logs: Sequence[float], slowness: float) -> bool:
    """Tell whether measurements are all far above, or all far below, what counted so far."""
    far = math.log(_SICK_FACTOR)
    return min(logs) - slowness > far or slowness - max(logs) > far


def _bounded(log: float) -> float:
    if -_MOST_LOG <= log <= _MOST_LOG:
        return log
    return math.copysign(_MOST_LOG, log)


def _ignore() -> None:
    """Stand for somebody who listens."""
