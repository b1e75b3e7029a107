"""Compares the results of two builds, from a few runs of each."""

import math
import statistics
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Difference", "Verdict", "compare"]

# Two-sided quantiles of Student's t distribution for 19 in 20 cases, by degrees of freedom.
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
    """Result of a comparison of two builds."""

    LOWER = "lower"
    HIGHER = "higher"
    EQUIVALENT = "no relevant difference"
    INCONCLUSIVE = "inconclusive, more runs needed"


class Difference(NamedTuple):
    """The difference of two means, with a confidence interval of 19 in 20 cases.

    Attributes:
        change: The second mean minus the first.
        low: Lower end of the interval.
        high: Upper end of the interval.
    """

    change: float
    low: float
    high: float

    def verdict(self, tolerance: float) -> Verdict:
        """Return the verdict on the difference.

        Args:
            tolerance: Differences smaller than this are not relevant.
        """
        if self.high < 0:
            return Verdict.LOWER
        if self.low > 0:
            return Verdict.HIGHER
        is_within_tolerance = self.low > -tolerance and self.high < tolerance
        return Verdict.EQUIVALENT if is_within_tolerance else Verdict.INCONCLUSIVE


def compare(before: Sequence[float], now: Sequence[float]) -> Difference:
    """Compare two samples whose variances may differ, with Welch's t interval.

    Args:
        before: Results of the first build, at least two.
        now: Results of the second build, at least two.
    """
    change = statistics.mean(now) - statistics.mean(before)
    squared_errors = [statistics.variance(sample) / len(sample) for sample in (before, now)]
    squared_error_sum = sum(squared_errors)
    if not squared_error_sum:
        return Difference(change, change, change)
    degrees = squared_error_sum**2 / sum(
        squared_error**2 / (len(sample) - 1)
        for squared_error, sample in zip(squared_errors, (before, now), strict=True)
    )
    margin = _quantile(degrees) * math.sqrt(squared_error_sum)
    return Difference(change, change - margin, change + margin)


def _quantile(degrees: float) -> float:
    """Return the quantile for some degrees of freedom, or for the next lower number listed."""
    return _QUANTILES[max((listed for listed in _QUANTILES if listed <= degrees), default=1)]
