"""Estimates that are learned from measurements, one at a time."""

import math

__all__ = ["LEARN_SHARE", "SETTLED", "Estimate", "PromptTime", "is_usable"]

# Once an estimate rests on measurements, each new one moves it by this share.
LEARN_SHARE = 0.1
# From so many measurements on, one that is far off counts only in part.
SETTLED = 4
# A later measurement counts as at most so many times the estimate, or one part in so many.
_MOST_JUMP = 3.0
# A measurement that is longer than the estimate moves it by this share of what a shorter one
# would: four in five of them may have waited unseen before the two are in balance.
_LONGER_SHARE = 0.25


def is_usable(sample: float) -> bool:
    """Tell whether a measurement can be learned from."""
    return math.isfinite(sample) and sample > 0


def _bounded(sample: float, estimate: float) -> float:
    """Give a measurement, but no further from the estimate than one may count."""
    return min(estimate * _MOST_JUMP, max(estimate / _MOST_JUMP, sample))


class Estimate:
    """A positive figure that is learned from measurements."""

    __slots__ = ("_learn", "_was_told", "count", "value")

    def __init__(self, prior: float, learn: float = LEARN_SHARE) -> None:
        """Begin with a prior.

        Args:
            prior: The figure until it is measured.
            learn: Share by which a later measurement moves it; 0 to learn nothing.
        """
        self.value = prior
        self.count = 0
        self._learn = learn
        self._was_told = False

    def expect(self, prior: float) -> None:
        """Take a better prior; measurements go before it, also those of peers."""
        # Otherwise each new route table brought the prior back, and peers took it for measured:
        # streams of 14 s were begun with 4 s left.
        if not self.count and not self._was_told:
            self.value = prior

    def adopt(self, value: float) -> None:
        """Take what a peer measured, while there are few measurements of our own."""
        if self._learn and self.count < SETTLED:
            self.value = value
            self._was_told = True

    def note(self, sample: float) -> None:
        """Learn from a measurement; the first ones are averaged."""
        if not self._learn or not is_usable(sample):
            return
        if self.count >= SETTLED:
            sample = _bounded(sample, self.value)
        self.count += 1
        weight = max(self._learn, 1 / self.count)
        self.value = (1 - weight) * self.value + weight * sample


class PromptTime:
    """The time of a prompt by its tokens: a fixed part and one for each token.

    Both are fitted to measurements by least squares, of which the latest count most.
    Waits that are not seen may add to a measurement: one that is longer than the estimate
    counts in part only.
    """

    __slots__ = ("_learn", "_mean_s", "_mean_tokens", "_product", "_square", "_weight", "count")

    def __init__(self, token_s: float, learn: float = LEARN_SHARE) -> None:
        """Begin with a prior.

        Args:
            token_s: Seconds a token until there are measurements.
            learn: Share of what is known that a measurement replaces; 0 to learn nothing.
        """
        self.count = 0
        self._learn = learn
        self._weight = 0.0
        self._mean_tokens = 1.0
        self._mean_s = token_s
        self._square = 0.0
        self._product = 0.0

    @property
    def line(self) -> tuple[float, float]:
        """Seconds that every prompt takes, and those for each of its tokens."""
        token_s = self._product / self._square if self._square > 0 else -1.0
        base_s = self._mean_s - token_s * self._mean_tokens
        if token_s < 0 or base_s < 0:
            return 0.0, self._mean_s / self._mean_tokens
        return base_s, token_s

    def estimate(self, tokens: int) -> float:
        """Estimate the seconds that a prompt takes."""
        base_s, token_s = self.line
        return base_s + token_s * tokens

    def adopt(self, base_s: float, token_s: float) -> None:
        """Take what a peer measured, while there are few measurements of our own."""
        if self._learn and self.count < SETTLED:
            self._weight = 1.0
            self._mean_s = base_s + token_s * self._mean_tokens
            self._square, self._product = 1.0, token_s

    def note(self, tokens: int, seconds: float) -> None:
        """Learn from a measurement."""
        if not self._learn or not is_usable(seconds) or tokens <= 0:
            return
        self.count += 1
        weight = 1.0
        if self.count > SETTLED:
            expected_s = self.estimate(tokens)
            seconds = _bounded(seconds, expected_s)
            weight = 1.0 if seconds < expected_s else _LONGER_SHARE
        self._take(tokens, seconds, weight)

    def _take(self, tokens: int, seconds: float, weight: float) -> None:
        """Add a measurement to the weighted means and moments."""
        known = self._weight * (1 - self._learn * weight)
        self._weight = known + weight
        share = weight / self._weight
        tokens_off = tokens - self._mean_tokens
        seconds_off = seconds - self._mean_s
        self._mean_tokens += share * tokens_off
        self._mean_s += share * seconds_off
        self._square = (1 - share) * (self._square + share * tokens_off**2)
        self._product = (1 - share) * (self._product + share * tokens_off * seconds_off)
