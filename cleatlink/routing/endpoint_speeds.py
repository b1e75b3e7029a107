"""Speed of each endpoint relative to the usual speed of its service.

In a large fleet, one instance measures little of any one endpoint, so instances share their
measurements: each sends its own newest samples to its peers, and all use the newest samples of the
whole fleet. A sample is the logarithm of measured by expected time, and the median of the samples
counts, so that an unseen queue or a single slow moment has no effect. A few samples of ratio 1.0
are added as a prior.
"""

import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum
from statistics import median
from typing import NamedTuple

from cleatlink.routing.estimates import MIN_MEASUREMENTS, Estimate, is_usable

__all__ = ["EndpointSpeeds", "SpeedSampleKind", "SpeedSample"]

# Number of its newest samples of an endpoint that an instance sends to its peers.
_MAX_OWN_SAMPLES = 6
# Number of the newest samples of all instances that count: some seconds of a busy endpoint.
_MAX_POOL_SAMPLES = 32
# Number of samples of ratio 1.0 that are added as a prior: a handful of measurements outweigh them.
_PRIOR_SAMPLES = 3
# Older samples don't count, in seconds: machines are moved, and their neighbours change.
_SAMPLE_MAX_AGE_S = 60.0
# Where an endpoint has at least _MIN_FRESH_SAMPLES samples younger than _FRESH_S seconds, older
# ones don't count: they were compared with the expectations of that time.
_FRESH_S = 15.0
_MIN_FRESH_SAMPLES = 8
# If each of the _STEP_SAMPLES newest samples deviates from the median by more than this factor,
# in the same direction, the endpoint has just degraded or recovered.
_STEP_FACTOR = 2.5
_STEP_SAMPLES = 5
# Bound of a sample, as a logarithm: larger deviations say no more than that they are large.
_MAX_LOG_RATIO = 2.0
# Smaller deviations from the usual speed are ignored, as a logarithm.
_MIN_LOG_RATIO = 0.12
# Number of load bands: token times of an endpoint are compared with those at a similar load,
# measured as the share of its slots in use.
_LOAD_BANDS = 4
# How long a computed speed is cached, in seconds: samples arrive several times a second.
_SPEED_CACHE_S = 1.0


class SpeedSampleKind(IntEnum):
    """What was measured; the numbers are sent to peers."""

    PROMPT = 1
    TOKENS = 2
    PLAIN = 3


class SpeedSample(NamedTuple):
    """One measurement of an endpoint.

    Attributes:
        measured_at: When it was taken.
        kind: What was measured.
        log_ratio: Logarithm of measured by expected time.
    """

    measured_at: float
    kind: SpeedSampleKind
    log_ratio: float


class _PooledSample(NamedTuple):
    """A sample with the peer that took it; the peer is empty for this instance."""

    measured_at: float
    log_ratio: float
    peer: str


class _CachedSpeed(NamedTuple):
    """The speed of an endpoint as last computed."""

    computed_at: float
    speed: float


class _LoadBands:
    """Seconds per token on a service's engines, by the share of their slots in use."""

    def __init__(self) -> None:
        self._bands = [Estimate(0.0) for _ in range(_LOAD_BANDS)]

    def note(self, load: float, token_s: float) -> float | None:
        """Record the seconds per token of a segment; return the expected value, None if unknown."""
        band = self._bands[min(_LOAD_BANDS - 1, max(0, int(load * _LOAD_BANDS)))]
        expected_s = band.value if band.count >= MIN_MEASUREMENTS else None
        band.note_measurement(token_s)
        return expected_s


class EndpointSpeeds:
    """Speed samples of endpoints, from this instance and its peers.

    They are kept by incarnation, so that a restarted endpoint starts without samples.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._own: dict[str, deque[SpeedSample]] = {}
        self._pools: dict[str, list[_PooledSample]] = {}
        self._load_bands: dict[str, _LoadBands] = {}
        self._speeds: dict[str, _CachedSpeed] = {}
        # Incarnations with own samples that were not yet sent to peers, in order.
        self._changed: dict[str, None] = {}
        self._on_changed: Callable[[], None] = _ignore

    def set_sample_listener(self, on_changed: Callable[[], None]) -> None:
        """Set the function that is called after each measurement of this instance."""
        self._on_changed = on_changed

    def note_token_time(
        self, incarnation: str, service: str, token_s: float, load: float, now: float
    ) -> None:
        """Record the time per token of a stream segment.

        Args:
            incarnation: The endpoint's incarnation.
            service: Its service.
            token_s: Seconds per token.
            load: Share of the endpoint's slots that were in use.
            now: The time.
        """
        if not is_usable(token_s):
            return
        expected_s = self._load_bands.setdefault(service, _LoadBands()).note(load, token_s)
        if expected_s is not None:
            self.note_ratio(incarnation, SpeedSampleKind.TOKENS, token_s / expected_s, now)

    def note_ratio(self, incarnation: str, kind: SpeedSampleKind, ratio: float, now: float) -> None:
        """Record a measurement of this instance.

        Args:
            incarnation: The endpoint's incarnation.
            kind: What was measured.
            ratio: Measured by expected time.
            now: The time.
        """
        if not is_usable(ratio):
            return
        sample = SpeedSample(now, kind, _bounded(math.log(ratio)))
        own = self._own.setdefault(incarnation, deque(maxlen=_MAX_OWN_SAMPLES))
        own.append(sample)
        pool = self._pools.setdefault(incarnation, [])
        pool.append(_PooledSample(now, sample.log_ratio, ""))
        self._keep_newest(incarnation, pool)
        self._changed[incarnation] = None
        self._on_changed()

    def replace_peer_samples(
        self, peer: str, incarnation: str, samples: Sequence[SpeedSample]
    ) -> None:
        """Replace a peer's earlier samples of an endpoint by its newest ones."""
        pool = [item for item in self._pools.get(incarnation, ()) if item.peer != peer]
        for measured_at, _, log_ratio in samples[:_MAX_OWN_SAMPLES]:
            if math.isfinite(log_ratio) and math.isfinite(measured_at):
                pool.append(_PooledSample(measured_at, _bounded(log_ratio), peer))
        self._keep_newest(incarnation, pool)

    def _keep_newest(self, incarnation: str, pool: list[_PooledSample]) -> None:
        pool.sort()
        del pool[:-_MAX_POOL_SAMPLES]
        self._pools[incarnation] = pool

    def own_samples(self, incarnation: str, now: float) -> list[SpeedSample]:
        """Return this instance's recent samples of an endpoint."""
        return [
            item
            for item in self._own.get(incarnation, ())
            if now - item.measured_at < _SAMPLE_MAX_AGE_S
        ]

    def own_incarnations(self, now: float) -> list[str]:
        """Return the incarnations that this instance measured recently, newest first."""
        newest = {incarnation: own[-1].measured_at for incarnation, own in self._own.items()}
        recent = [incarnation for incarnation, at in newest.items() if now - at < _SAMPLE_MAX_AGE_S]
        return sorted(recent, key=lambda incarnation: -newest[incarnation])

    def pop_changed(self, limit: int) -> list[str]:
        """Remove and return up to ``limit`` incarnations with own samples since the last call."""
        incarnations = list(self._changed)[:limit]
        for incarnation in incarnations:
            del self._changed[incarnation]
        return incarnations

    def forget(self, incarnation: str) -> None:
        """Drop the samples of an incarnation that has ended."""
        for by_incarnation in (self._own, self._pools, self._speeds, self._changed):
            by_incarnation.pop(incarnation, None)

    def speed(self, incarnation: str, now: float) -> float:
        """Return an endpoint's speed relative to its service's usual one; 1.0 if unknown."""
        pool = self._pools.get(incarnation)
        if not pool:
            return 1.0
        cached = self._speeds.get(incarnation)
        if cached is None or not 0 <= now - cached.computed_at < _SPEED_CACHE_S:
            cached = self._speeds[incarnation] = _CachedSpeed(now, _speed(pool, now))
        return cached.speed

    def speeds(self, now: float) -> Mapping[str, float]:
        """Return the speeds of all endpoints that have samples."""
        return {incarnation: self.speed(incarnation, now) for incarnation in self._pools}

    def sample_count(self, incarnation: str) -> int:
        """Return the number of samples of an endpoint."""
        return len(self._pools.get(incarnation, ()))

    def newest_sample_age_s(self, incarnation: str, now: float) -> float | None:
        """Return the age of an endpoint's newest sample in seconds; None without samples."""
        pool = self._pools.get(incarnation)
        return round(now - pool[-1].measured_at, 2) if pool else None


def _speed(pool: Sequence[_PooledSample], now: float) -> float:
    """Return the speed that the newest samples of all instances show."""
    fresh = [item.log_ratio for item in pool if now - item.measured_at < _FRESH_S]
    recent = [item.log_ratio for item in pool if now - item.measured_at < _SAMPLE_MAX_AGE_S]
    log_ratios = fresh if len(fresh) >= _MIN_FRESH_SAMPLES else recent
    median_log_ratio = median([*log_ratios, *[0.0] * _PRIOR_SAMPLES])
    newest = log_ratios[-_STEP_SAMPLES:]
    if len(newest) == _STEP_SAMPLES and _is_step(newest, median_log_ratio):
        median_log_ratio = median(newest)
    return 1.0 if abs(median_log_ratio) < _MIN_LOG_RATIO else math.exp(-median_log_ratio)


def _is_step(log_ratios: Sequence[float], median_log_ratio: float) -> bool:
    """Check whether all samples are far above, or all far below, the median so far."""
    step = math.log(_STEP_FACTOR)
    return min(log_ratios) - median_log_ratio > step or median_log_ratio - max(log_ratios) > step


def _bounded(log_ratio: float) -> float:
    if -_MAX_LOG_RATIO <= log_ratio <= _MAX_LOG_RATIO:
        return log_ratio
    return math.copysign(_MAX_LOG_RATIO, log_ratio)


def _ignore() -> None:
    """Do nothing: the default listener."""
