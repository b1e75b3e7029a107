"""What an instance has learned of the pace of a service's engines and calls.

Nothing here is a property of one deployment. A figure starts from what the
routes promise, which is wide, and the first measurements replace it; later
ones move it slowly, and one that is far off counts only in part, so that a
sick endpoint does not spoil what is known of the others.
"""

import math

from cleatlink.routing.mechanisms import Mechanism, Switches

__all__ = ["DIRECT_FACTOR", "Estimate", "ServicePace"]

# A decode computes prompts at about half the pace of a prefill, between other tokens.
DIRECT_FACTOR = 2.2

# Once an estimate rests on measurements, each new one moves it by this share.
_LEARN = 0.1
# From so many measurements on, one that is far off counts only in part.
_SETTLED = 4
# A later measurement counts as at most so many times the estimate, or one part in so many.
_MOST_JUMP = 3.0
# A measurement that is longer than the estimate moves it by this share of what a shorter one
# would: four in five of them may have waited unseen before the two are in balance.
_LONGER_SHARE = 0.25
# Priors, before a route or a measurement tells better: the middle of what engines do
# (0.2 to 20 ms a token of the answer, 5 to 60 tokens of a prompt a millisecond).
_TOKEN_S = 0.002
_PROMPT_TOKEN_S = 0.00006
# A service whose streams are in time makes its tokens well within the longest pause.
_PAUSE_SHARE = 0.2
# Streams begin within this share of their target on an engine that has room.
_START_SHARE = 0.2
# Seconds; only until a route is known.
_START_S = 0.15
# Spread of callers' estimates of an answer's length, as the deviation of its logarithm.
_SPREAD = 0.5
# Answers shorter than this say too little about the estimate of their length.
_MIN_RATIO = 0.02
# Estimates that were right lately may still be off by this share.
_MIN_SPREAD = 0.02


class Estimate:
    """A positive figure that is learned from measurements."""

    __slots__ = ("_learn", "count", "value")

    def __init__(self, prior: float, learn: float = _LEARN) -> None:
        """Begin with a prior.

        Args:
            prior: The figure until it is measured.
            learn: Share by which a later measurement moves it; 0 to learn nothing.
        """
        self.value = prior
        self.count = 0
        self._learn = learn

    def expect(self, prior: float) -> None:
        """Take a better prior; measurements go before it."""
        if not self.count:
            self.value = prior

    def note(self, sample: float) -> None:
        """Learn from a measurement; the first ones are averaged."""
        if not self._learn or not math.isfinite(sample) or sample <= 0:
            return
        if self.count >= _SETTLED:
            sample = min(self.value * _MOST_JUMP, max(self.value / _MOST_JUMP, sample))
        self.count += 1
        weight = max(self._learn, 1 / self.count)
        self.value = (1 - weight) * self.value + weight * sample


class ServiceTime(Estimate):
    """A time that is learned although waits that are not seen may add to it.

    The shortest of the first measurements counts; later on a longer one moves it
    by less than a shorter one does.
    """

    __slots__ = ()

    def note(self, sample: float) -> None:
        """Learn from a measurement."""
        if not self._learn or not math.isfinite(sample) or sample <= 0:
            return
        self.count += 1
        if self.count <= _SETTLED:
            self.value = sample if self.count == 1 else min(self.value, sample)
            return
        sample = min(self.value * _MOST_JUMP, max(self.value / _MOST_JUMP, sample))
        weight = self._learn if sample < self.value else self._learn * _LONGER_SHARE
        self.value += weight * (sample - self.value)


class ServicePace:
    """How fast the endpoints of one service are, as far as this instance has seen."""

    def __init__(self, switches: Switches | None = None) -> None:
        self._switches = switches or Switches()
        learn = _LEARN if self._switches.uses(Mechanism.LEARNED_PACE) else 0.0
        self._token_s = Estimate(_TOKEN_S, learn)
        self._prompt_token_s = ServiceTime(_PROMPT_TOKEN_S, learn)
        self._start_s = Estimate(_START_S, learn)
        self._ratio = Estimate(1.0, learn)
        self._variance = Estimate(_SPREAD**2, learn)
        self._plain_s = Estimate(0.0, learn=0.2)

    @property
    def token_s(self) -> float:
        """Seconds between two tokens of an answer."""
        return self._token_s.value

    @property
    def prompt_token_s(self) -> float:
        """Seconds that a prefill takes for a token of a prompt."""
        return self._prompt_token_s.value

    @property
    def start_s(self) -> float:
        """Seconds from the hand-over to a decode until its first event."""
        return self._start_s.value

    @property
    def length_ratio(self) -> float:
        """Length of answers as a share of what their callers estimated."""
        return self._ratio.value

    @property
    def length_spread(self) -> float:
        """Deviation of answers' lengths from the estimate, as a share of it."""
        if not self._switches.uses(Mechanism.SPREAD_ROOM):
            return 0.0
        return math.sqrt(self._variance.value)

    @property
    def plain_s(self) -> float:
        """Seconds that plain calls took lately; 0 before the first."""
        return self._plain_s.value

    def expect(self, target_s: float, event_gap_s: float, event_tokens: int) -> None:
        """Take what a route promises as prior, until there are measurements.

        Args:
            target_s: Time within which a stream should begin.
            event_gap_s: Longest pause between events that is in time.
            event_tokens: Tokens that an event carries.
        """
        if math.isfinite(event_gap_s):
            self._token_s.expect(_PAUSE_SHARE * event_gap_s / max(1, event_tokens))
        if math.isfinite(target_s):
            self._start_s.expect(_START_SHARE * target_s)

    def stream_s(self, output: int) -> float:
        """Estimate how long a stream holds its place at a decode."""
        return self.start_s + self.token_s * output

    def prompt_s(self, tokens: int) -> float:
        """Estimate how long a prefill takes for a prompt."""
        return self.prompt_token_s * tokens

    def note_tokens(self, tokens: int, seconds: float) -> None:
        """Learn from a stretch of a stream."""
        if tokens > 0:
            self._token_s.note(seconds / tokens)

    def note_start(self, seconds: float) -> None:
        """Learn from the first event of a stream whose prompt was computed elsewhere."""
        self._start_s.note(seconds)

    def note_length(self, estimated: int, tokens: int) -> None:
        """Learn from a stream that came to its end.

        Args:
            estimated: Length that its caller estimated.
            tokens: Length that it had.
        """
        if estimated <= 0 or tokens < _MIN_RATIO * estimated:
            return
        ratio = tokens / estimated
        self._variance.note(max(_MIN_SPREAD, abs(ratio / self._ratio.value - 1)) ** 2)
        self._ratio.note(ratio)

    def note_prompt(self, expected_s: float, seconds: float) -> None:
        """Learn from a prefill, by how much it differed from what was expected."""
        if expected_s > 0:
            self._prompt_token_s.note(self.prompt_token_s * seconds / expected_s)

    def note_plain(self, seconds: float) -> None:
        """Learn from a plain call that was answered, or left after so long."""
        self._plain_s.note(seconds)
