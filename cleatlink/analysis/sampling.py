"""Estimates quantiles of many values with bounded memory."""

import random
from typing import NamedTuple

__all__ = ["Quantiles", "ReservoirSample"]

_MAX_SAMPLE_SIZE = 4_096


class Quantiles(NamedTuple):
    """Quantiles of a sample.

    Attributes:
        value_count: Number of all values, sampled or not.
        p5: The 5th percentile.
        p50: The median.
        p95: The 95th percentile.
    """

    value_count: int
    p5: float
    p50: float
    p95: float


class ReservoirSample:
    """Keeps a uniform random sample of all values that were added."""

    def __init__(self) -> None:
        self._sample: list[float] = []
        self._value_count = 0
        self._rng = random.Random(1)

    def add(self, value: float) -> None:
        """Add a value."""
        self._value_count += 1
        if len(self._sample) < _MAX_SAMPLE_SIZE:
            self._sample.append(value)
            return
        index = self._rng.randrange(self._value_count)
        if index < _MAX_SAMPLE_SIZE:
            self._sample[index] = value

    def quantiles(self) -> Quantiles | None:
        """Return the quantiles; None if no value was added."""
        if not self._sample:
            return None
        sample = sorted(self._sample)
        last = len(sample) - 1
        p5, p50, p95 = (sample[round(share * last)] for share in (0.05, 0.5, 0.95))
        return Quantiles(self._value_count, p5, p50, p95)
