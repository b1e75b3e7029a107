"""Quantiles of many figures in little memory."""

import random
from typing import NamedTuple

__all__ = ["Quantiles", "Sample"]

_MOST = 4_096


class Quantiles(NamedTuple):
    """How some figures are spread.

    Attributes:
        figures: How many there were.
        low: One in twenty is below it.
        median: Half are below it.
        high: One in twenty is above it.
    """

    figures: int
    low: float
    median: float
    high: float


class Sample:
    """Keeps an even sample of all figures that it is given."""

    def __init__(self) -> None:
        self._kept: list[float] = []
        self._count = 0
        self._rng = random.Random(1)

    def add(self, figure: float) -> None:
        """Take a figure."""
        self._count += 1
        if len(self._kept) < _MOST:
            self._kept.append(figure)
            return
        place = self._rng.randrange(self._count)
        if place < _MOST:
            self._kept[place] = figure

    def quantiles(self) -> Quantiles | None:
        """Give how the figures are spread; None without any."""
        if not self._kept:
            return None
        kept = sorted(self._kept)
        last = len(kept) - 1
        low, median, high = (kept[round(share * last)] for share in (0.05, 0.5, 0.95))
        return Quantiles(self._count, low, median, high)
