"""Estimates that are updated by one measurement at a time."""

import math

__all__ = ["LEARN_SHARE", "MIN_MEASUREMENTS", "Estimate", "PromptTime", "is_usable"]

# Weight of a new measurement once an estimate rests on enough measurements.
LEARN_SHARE = 0.1
# Number of measurements from which on outliers are bounded.
MIN_MEASUREMENTS = 4
# A later measurement is bounded to the estimate multiplied or divided by this factor.
_MAX_JUMP_FACTOR = 3.0
# Weight of a measurement above the estimate, relative to one below it: the estimate stays correct
# while up to four in five measurements include an unseen wait.
_LONGER_WEIGHT_SHARE = 0.25


def is_usable(sample: float) -> bool:
    """Check whether a measurement is finite and positive."""
    return math.isfinite(sample) and sample > 0


def _bounded(sample: float, estimate: float) -> float:
    """Return a measurement, bounded to the permitted factor around the estimate."""
    return min(estimate * _MAX_JUMP_FACTOR, max(estimate / _MAX_JUMP_FACTOR, sample))


class Estimate:
    """A positive value that is estimated from measurements."""

    __slots__ = ("_learning_rate", "_is_adopted", "count", "value")

    def __init__(self, prior: float, learning_rate: float = LEARN_SHARE) -> None:
        """Start with a prior.

        Args:
            prior: The value until there are measurements.
            learning_rate: Weight of a later measurement; 0 to ignore all measurements.
        """
        self.value = prior
        self.count = 0
        self._learning_rate = learning_rate
        self._is_adopted = False

    def set_prior(self, prior: float) -> None:
        """Replace the prior; measurements take precedence, including those of peers."""
        # Without the check of adopted values, each new route table restored the prior, and peers
        # adopted it as measured: streams of 14 s were begun 4 s before the planned stop.
        if not self.count and not self._is_adopted:
            self.value = prior

    def adopt_peer_value(self, value: float) -> None:
        """Adopt a peer's estimate while there are few measurements of this instance."""
        if self._learning_rate and self.count < MIN_MEASUREMENTS:
            self.value = value
            self._is_adopted = True

    def note_measurement(self, sample: float) -> None:
        """Record a measurement; the first ones are averaged."""
        if not self._learning_rate or not is_usable(sample):
            return
        if self.count >= MIN_MEASUREMENTS:
            sample = _bounded(sample, self.value)
        self.count += 1
        weight = max(self._learning_rate, 1 / self.count)
        self.value = (1 - weight) * self.value + weight * sample


class PromptTime:
    """The time of a prompt as a linear function of its tokens: a base time and a time per token.

    Both are fitted by least squares with exponentially decreasing weights of older measurements.
    A measurement may include unseen waits, so one above the estimate has a smaller weight.
    """

    __slots__ = (
        "_learning_rate",
        "_covariance",
        "_mean_s",
        "_mean_tokens",
        "_variance",
        "_weight",
        "count",
    )

    def __init__(self, token_s: float, learning_rate: float = LEARN_SHARE) -> None:
        """Start with a prior.

        Args:
            token_s: Seconds per token until there are measurements.
            learning_rate: Share of the accumulated weight that a measurement replaces; 0 to
                ignore all measurements.
        """
        self.count = 0
        self._learning_rate = learning_rate
        self._weight = 0.0
        self._mean_tokens = 1.0
        self._mean_s = token_s
        self._variance = 0.0
        self._covariance = 0.0

    @property
    def line(self) -> tuple[float, float]:
        """Base seconds of every prompt, and additional seconds per token."""
        token_s = self._covariance / self._variance if self._variance > 0 else -1.0
        base_s = self._mean_s - token_s * self._mean_tokens
        if token_s < 0 or base_s < 0:
            return 0.0, self._mean_s / self._mean_tokens
        return base_s, token_s

    def estimate(self, tokens: int) -> float:
        """Estimate the duration of a prompt in seconds."""
        base_s, token_s = self.line
        return base_s + token_s * tokens

    def adopt_peer_line(self, base_s: float, token_s: float) -> None:
        """Adopt a peer's estimate while there are few measurements of this instance."""
        if self._learning_rate and self.count < MIN_MEASUREMENTS:
            self._weight = 1.0
            self._mean_s = base_s + token_s * self._mean_tokens
            self._variance, self._covariance = 1.0, token_s

    def note_measurement(self, tokens: int, seconds: float) -> None:
        """Record a measurement."""
        if not self._learning_rate or not is_usable(seconds) or tokens <= 0:
            return
        self.count += 1
        weight = 1.0
        if self.count > MIN_MEASUREMENTS:
            expected_s = self.estimate(tokens)
            seconds = _bounded(seconds, expected_s)
            weight = 1.0 if seconds < expected_s else _LONGER_WEIGHT_SHARE
        self._add(tokens, seconds, weight)

    def _add(self, tokens: int, seconds: float, weight: float) -> None:
        """Add a measurement to the weighted means and second moments."""
        remaining = self._weight * (1 - self._learning_rate * weight)
        self._weight = remaining + weight
        share = weight / self._weight
        tokens_delta = tokens - self._mean_tokens
        seconds_delta = seconds - self._mean_s
        self._mean_tokens += share * tokens_delta
        self._mean_s += share * seconds_delta
        self._variance = (1 - share) * (self._variance + share * tokens_delta**2)
        self._covariance = (1 - share) * (self._covariance + share * tokens_delta * seconds_delta)
