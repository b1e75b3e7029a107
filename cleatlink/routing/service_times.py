"""Service times of a service's engines and calls, as measured by one instance.

No value here belongs to one deployment. Each estimate starts from a wide prior that is derived
from the routes, and the first measurements replace it. Later measurements move it slowly, and an
outlier counts only in part, so that one faulty endpoint does not distort the estimate for the
others.
"""

import math
from collections import deque
from typing import NamedTuple

from cleatlink.routing.estimates import LEARN_SHARE, MIN_MEASUREMENTS, Estimate, PromptTime
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches

__all__ = ["DECODE_PROMPT_FACTOR", "ServiceTimeSummary", "ServiceTimes"]

# Time that a decode endpoint takes for a prompt, relative to a prefill endpoint: about double,
# because it computes the prompt between tokens of other streams.
DECODE_PROMPT_FACTOR = 2.2

# Priors until a route or a measurement replaces them: the middle of the usual range of engines
# (0.2 to 20 ms per output token, 5 to 60 prompt tokens per millisecond).
_PRIOR_TOKEN_S = 0.002
_PRIOR_PROMPT_TOKEN_S = 0.00006
# Prior of the time per event as a share of the route's longest event gap: a service that meets its
# targets generates tokens well within that gap.
_PRIOR_EVENT_GAP_SHARE = 0.2
# Prior of the time to the first event on an engine with free capacity, as a share of the route's
# target.
_PRIOR_START_SHARE = 0.2
# Prior of the time to the first event until a route is known, in seconds.
_PRIOR_START_S = 0.15
# Where even an idle engine misses a target, a stream may take this multiple of the idle time: a
# short queue, whose estimate has an error of about one half, then does not count as late.
_IDLE_LATENCY_FACTOR = 1.5
# Prior of the spread of callers' estimates of the output length: the standard deviation of the
# logarithm.
_PRIOR_LENGTH_SPREAD = 0.5
# Measurements older than this are not reported to peers, in seconds: engines may have changed.
_SUMMARY_MAX_AGE_S = 30.0
# Number of recent stream segments that are kept to estimate the time per token of a slow engine.
_RECENT_SEGMENTS = 64
# Quantile of the recent segments that counts as the time per token of a slow engine.
_SLOW_QUANTILE_SHARE = 0.9
# With fewer segments than this, a slow engine is assumed to take _SLOW_FACTOR times the estimate
# that peers reported: engines that slow down under load or beside a prompt take about twice as
# long. If one engine in three is slow, 8 segments contain no slow one in 1 of 30 cases, 16
# segments in 1 of 1000.
_MIN_SLOW_SEGMENTS = 16
_SLOW_FACTOR = 2.0
# Outputs shorter than this share of their estimate are ignored: they say too little about it.
_MIN_LENGTH_RATIO = 0.02
# Lower bound of the relative error of length estimates, even if recent estimates were exact.
_MIN_LENGTH_SPREAD = 0.02


class ServiceTimeSummary(NamedTuple):
    """Measured service times, sent to instances that have no measurements of their own yet.

    Attributes:
        token_s: Seconds between two tokens of the output.
        prompt_base_s: Seconds that every prompt takes, whatever its length.
        prompt_token_s: Additional seconds for each token of a prompt.
        first_event_s: Seconds from the hand-over to a decode endpoint until its first event.
        length_ratio: Output length as a share of the caller's estimate.
        length_variance: Mean squared relative deviation from that share.
    """

    token_s: float
    prompt_base_s: float
    prompt_token_s: float
    first_event_s: float
    length_ratio: float
    length_variance: float


class ServiceTimes:
    """Service times of the endpoints of one service, as this instance estimates them."""

    def __init__(self, switches: MechanismSwitches | None = None) -> None:
        self._switches = switches or MechanismSwitches()
        learning_rate = (
            LEARN_SHARE if self._switches.is_enabled(Mechanism.MEASURED_SERVICE_TIMES) else 0.0
        )
        self._token_s = Estimate(_PRIOR_TOKEN_S, learning_rate)
        self._prompt_s = PromptTime(_PRIOR_PROMPT_TOKEN_S, learning_rate)
        self._first_event_s = Estimate(_PRIOR_START_S, learning_rate)
        self._length_ratio = Estimate(1.0, learning_rate)
        self._length_variance = Estimate(_PRIOR_LENGTH_SPREAD**2, learning_rate)
        self._plain_call_s = Estimate(0.0, learning_rate=0.2)
        # Seconds per token of recent stream segments.
        self._segments_s: deque[float] = deque(maxlen=_RECENT_SEGMENTS)
        # When the adopted summary of a peer was measured.
        self._peer_measured_at = -math.inf

    @property
    def is_known(self) -> bool:
        """Whether prompt and token times rest on measurements, by this instance or by a peer."""
        return self._is_measured or math.isfinite(self._peer_measured_at)

    @property
    def _is_measured(self) -> bool:
        return min(self._token_s.count, self._prompt_s.count) >= MIN_MEASUREMENTS

    @property
    def token_s(self) -> float:
        """Seconds between two tokens of the output."""
        return self._token_s.value

    @property
    def slow_token_s(self) -> float:
        """Seconds between two tokens on a slow engine; infinite if nothing is known."""
        segments_s = sorted(self._segments_s)
        if len(segments_s) >= _MIN_SLOW_SEGMENTS:
            return segments_s[int(_SLOW_QUANTILE_SHARE * len(segments_s))]
        if math.isinf(self._peer_measured_at):
            # A few fast segments don't show how slow engines can be: right after a start, streams
            # of 3.5 s were estimated to take 2 s.
            return math.inf
        return max(_SLOW_FACTOR * self._token_s.value, *segments_s, 0.0)

    @property
    def first_event_s(self) -> float:
        """Seconds from the hand-over to a decode endpoint until its first event."""
        return self._first_event_s.value

    @property
    def length_ratio(self) -> float:
        """Output length as a share of the caller's estimate."""
        return self._length_ratio.value

    @property
    def length_spread(self) -> float:
        """Standard deviation of the output length, as a share of the expected length."""
        if not self._switches.is_enabled(Mechanism.LONG_ANSWER_RESERVE):
            return 0.0
        return math.sqrt(self._length_variance.value)

    @property
    def plain_call_s(self) -> float:
        """Mean duration of recent plain calls in seconds; 0 before the first call."""
        return self._plain_call_s.value

    def summary(self, now: float) -> tuple[ServiceTimeSummary, float] | None:
        """Return the summary for peers and its age in seconds.

        None if there are no measurements, or only old ones.
        """
        age_s = 0.0 if self._is_measured else now - self._peer_measured_at
        if age_s > _SUMMARY_MAX_AGE_S:
            return None
        base_s, token_s = self._prompt_s.line
        summary = ServiceTimeSummary(
            self._token_s.value,
            base_s,
            token_s,
            self._first_event_s.value,
            self._length_ratio.value,
            self._length_variance.value,
        )
        return summary, age_s

    def adopt_peer_summary(self, summary: ServiceTimeSummary, age_s: float, now: float) -> None:
        """Adopt a peer's summary unless this instance has enough measurements of its own.

        Args:
            summary: The peer's summary.
            age_s: Seconds since it was measured.
            now: The time.
        """
        measured_at = now - age_s
        if self._is_measured or measured_at <= self._peer_measured_at:
            return
        self._peer_measured_at = measured_at
        self._token_s.adopt_peer_value(summary.token_s)
        self._prompt_s.adopt_peer_line(summary.prompt_base_s, summary.prompt_token_s)
        self._first_event_s.adopt_peer_value(summary.first_event_s)
        self._length_ratio.adopt_peer_value(summary.length_ratio)
        self._length_variance.adopt_peer_value(summary.length_variance)

    def set_priors(self, target_s: float, event_gap_s: float, event_tokens: int) -> None:
        """Derive priors from a route's targets; measurements take precedence.

        Args:
            target_s: Time within which a stream should begin.
            event_gap_s: Longest gap between events that meets the target.
            event_tokens: Tokens per event.
        """
        if math.isfinite(event_gap_s):
            self._token_s.set_prior(_PRIOR_EVENT_GAP_SHARE * event_gap_s / max(1, event_tokens))
        if math.isfinite(target_s):
            self._first_event_s.set_prior(_PRIOR_START_SHARE * target_s)

    def stream_duration_s(self, output_tokens: int) -> float:
        """Estimate how long a stream occupies a decode slot."""
        return self.first_event_s + self.token_s * output_tokens

    def achievable_limit_s(self, limit_s: float, prompt_s: float) -> float:
        """Return the time limit for the start of a stream, extended if the engines are too slow.

        Where even idle engines exceed a limit, refusing the stream would not help.

        Args:
            limit_s: Time within which the stream should begin.
            prompt_s: Seconds that a prefill endpoint takes for its prompt.
        """
        return max(limit_s, _IDLE_LATENCY_FACTOR * (prompt_s + self.first_event_s))

    def prompt_event_gap_s(self, prompt_s: float, event_tokens: int) -> float:
        """Estimate the event gap of a decode endpoint's streams while it computes a prompt.

        Args:
            prompt_s: Seconds that a prefill endpoint takes for the prompt.
            event_tokens: Tokens per event of a stream.
        """
        return DECODE_PROMPT_FACTOR * prompt_s + event_tokens * self.token_s

    def prompt_s(self, tokens: int) -> float:
        """Estimate how long a prefill endpoint takes for a prompt."""
        return self._prompt_s.estimate(tokens)

    def note_segment(self, tokens: int, seconds: float) -> None:
        """Record a stream segment."""
        if tokens > 0:
            self._token_s.note_measurement(seconds / tokens)
            self.note_short_segment(tokens, seconds)

    def note_short_segment(self, tokens: int, seconds: float) -> None:
        """Record a segment for the slow quantile alone: it is too short for the mean."""
        if tokens > 0:
            self._segments_s.append(seconds / tokens)

    def note_first_event(self, seconds: float) -> None:
        """Record the time to the first event of a stream whose prompt was computed elsewhere."""
        self._first_event_s.note_measurement(seconds)

    def note_output_length(self, estimated: int, tokens: int) -> None:
        """Record the output length of a complete stream.

        Args:
            estimated: Length that the caller estimated.
            tokens: Actual length.
        """
        if estimated <= 0 or tokens < _MIN_LENGTH_RATIO * estimated:
            return
        ratio = tokens / estimated
        self._length_variance.note_measurement(
            max(_MIN_LENGTH_SPREAD, abs(ratio / self._length_ratio.value - 1)) ** 2
        )
        self._length_ratio.note_measurement(ratio)

    def note_prompt(self, tokens: int, queue_s: float, seconds: float) -> None:
        """Record the duration of a prefill.

        Once there are enough measurements, only prompts that found an empty queue count: if the
        queue is overestimated, the prompts behind it appear too fast. On half-loaded engines that
        compute 5 tokens per millisecond, the estimate came out a third too fast.

        Args:
            tokens: Tokens of the prompt.
            queue_s: Expected duration of the queue ahead of it, in seconds.
            seconds: Seconds that the queue and the prompt took.
        """
        if self._prompt_s.count < MIN_MEASUREMENTS:
            alone_s = self.prompt_s(tokens)
            self._prompt_s.note_measurement(tokens, seconds * alone_s / (queue_s + alone_s))
        elif not queue_s:
            self._prompt_s.note_measurement(tokens, seconds)

    def note_plain_call(self, seconds: float) -> None:
        """Record the duration of a plain call that was answered or abandoned."""
        self._plain_call_s.note_measurement(seconds)
