"""Tells whether days of two builds differ, from a few plays of each."""

import math
import statistics
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Difference", "Verdict", "compare"]

# Quantiles of Student's distribution for 19 in 20, by degrees of freedom.
_QUANTILES = {
    1: 12.71,
    2: 4.30,
    3: 3.18,
    4: 2.78,
    5: 2.57,
    6: 2.45,
    8: 2.31,
    10: 2.23,
    15: 2.13,
    20: 2.09,
    30: 2.04,
}


class Verdict(StrEnum):
    """What a few plays tell."""

    LOWER = "lower"
    HIGHER = "higher"
    SAME = "no difference that counts"
    UNKNOWN = "can't tell: more plays"


class Difference(NamedTuple):
    """The difference of two means, with an interval that holds it in 19 of 20 cases.

    Attributes:
        change: The second mean less the first.
        low: Lower end of the interval.
        high: Its upper end.
    """

    change: float
    low: float
    high: float

    def verdict(self, most: float) -> Verdict:
        """Give it in words.

        Args:
            most: A difference that does not count.
        """
        if self.high < 0:
            return Verdict.LOWER
        if self.low > 0:
            return Verdict.HIGHER
        is_small = self.low > -most and self.high < most
        return Verdict.SAME if is_small else Verdict.UNKNOWN


def compare(before: Sequence[float], now: Sequence[float]) -> Difference:
    """Compare two samples whose spreads may differ (Welch's interval).

    Args:
        before: Figures of the first build, two at the least.
        now: Figures of the second one, two at the least.
    """
    change = statistics.mean(now) - statistics.mean(before)
    parts = [statistics.variance(sample) / len(sample) for sample in (before, now)]
    spread = sum(parts)
    if not spread:
        return Difference(change, change, change)
    degrees = spread**2 / sum(
        part**2 / (len(sample) - 1) for part, sample in zip(parts, (before, now), strict=True)
    )
    reach = _quantile(degrees) * math.sqrt(spread)
    return Difference(change, change - reach, change + reach)


def _quantile(degrees: float) -> float:
    """Give the quantile for as many degrees of freedom, or for the next lower number listed."""
    return _QUANTILES[max((known for known in _QUANTILES if known <= degrees), default=1)]
