"""What an instance has learned of the pace of a service's engines and calls.

Nothing here is a property of one deployment. A figure starts from what the
routes promise, which is wide, and the first measurements replace it; later
ones move it slowly, and one that is far off counts only in part, so that a
sick endpoint does not spoil what is known of the others.
"""

import math
from collections import deque
from typing import NamedTuple

from cleatlink.routing.estimates import LEARN_SHARE, SETTLED, Estimate, PromptTime
from cleatlink.routing.mechanisms import Mechanism, Switches

__all__ = ["DIRECT_FACTOR", "PaceSummary", "ServicePace"]

# A decode computes prompts at about half the pace of a prefill, between other tokens.
DIRECT_FACTOR = 2.2

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
# Where even an idle engine is too slow for a target, a stream may take so many times what it
# takes there: a short queue, which is seen with an error of about a half, does not count.
_IDLE_FACTOR = 1.5
# Spread of callers' estimates of an answer's length, as the deviation of its logarithm.
_SPREAD = 0.5
# What was measured longer ago than this is told no more: engines may have changed.
_NEWS_S = 30.0
# So many of the latest stretches of streams are kept, to know how slow engines can be.
_RECENT_STRETCHES = 64
# This share of them was no slower than what counts as slow.
_SLOW_SHARE = 0.9
# Before so many were measured, slow is this many times what peers told: engines that slow
# down under load or beside a prompt take about twice as long. Of eight, none may be slow
# though one in three is (one case in thirty); of sixteen, one in a thousand.
_FEW_STRETCHES = 16
_SLOW_FACTOR = 2.0
# Answers shorter than this say too little about the estimate of their length.
_MIN_RATIO = 0.02
# Estimates that were right lately may still be off by this share.
_MIN_SPREAD = 0.02


class PaceSummary(NamedTuple):
    """What was measured of a service, for an instance that has measured nothing yet.

    Attributes:
        token_s: Seconds between two tokens of an answer.
        prompt_base_s: Seconds that every prompt takes.
        prompt_token_s: Seconds that a prompt takes for each of its tokens.
        start_s: Seconds from the hand-over to a decode until its first event.
        length_ratio: Length of answers as a share of what their callers estimated.
        length_variance: Squared deviation of that share.
    """

    token_s: float
    prompt_base_s: float
    prompt_token_s: float
    start_s: float
    length_ratio: float
    length_variance: float


class ServicePace:
    """How fast the endpoints of one service are, as far as this instance has seen."""

    def __init__(self, switches: Switches | None = None) -> None:
        self._switches = switches or Switches()
        learn = LEARN_SHARE if self._switches.uses(Mechanism.LEARNED_PACE) else 0.0
        self._token_s = Estimate(_TOKEN_S, learn)
        self._prompt_s = PromptTime(_PROMPT_TOKEN_S, learn)
        self._start_s = Estimate(_START_S, learn)
        self._ratio = Estimate(1.0, learn)
        self._variance = Estimate(_SPREAD**2, learn)
        self._plain_s = Estimate(0.0, learn=0.2)
        self._stretches_s: deque[float] = deque(maxlen=_RECENT_STRETCHES)
        # When what a peer told was measured.
        self._told_at = -math.inf

    @property
    def is_known(self) -> bool:
        """Whether the paces of prompts and of answers rest on measurements, here or at a peer."""
        return self._is_measured or math.isfinite(self._told_at)

    @property
    def _is_measured(self) -> bool:
        return min(self._token_s.count, self._prompt_s.count) >= SETTLED

    @property
    def token_s(self) -> float:
        """Seconds between two tokens of an answer."""
        return self._token_s.value

    @property
    def slow_token_s(self) -> float:
        """Seconds between two tokens on an engine that is slow; infinite if nothing is known."""
        stretches_s = sorted(self._stretches_s)
        if len(stretches_s) >= _FEW_STRETCHES:
            return stretches_s[int(_SLOW_SHARE * len(stretches_s))]
        if math.isinf(self._told_at):
            # A few quick ones say nothing of slow ones: right after a start, streams of 3.5 s were
            # taken as if they took 2 s.
            return math.inf
        return max(_SLOW_FACTOR * self._token_s.value, *stretches_s, 0.0)

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

    def summary(self, now: float) -> tuple[PaceSummary, float] | None:
        """Give what peers may take over, with the seconds since it was measured.

        None while nothing is known, or what is known is old.
        """
        age_s = 0.0 if self._is_measured else now - self._told_at
        if age_s > _NEWS_S:
            return None
        base_s, token_s = self._prompt_s.line
        summary = PaceSummary(
            self._token_s.value,
            base_s,
            token_s,
            self._start_s.value,
            self._ratio.value,
            self._variance.value,
        )
        return summary, age_s

    def adopt(self, summary: PaceSummary, age_s: float, now: float) -> None:
        """Take over what a peer tells, while too little was measured here.

        Args:
            summary: What the peer knows.
            age_s: Seconds since it was measured.
            now: The time.
        """
        measured_at = now - age_s
        if self._is_measured or measured_at <= self._told_at:
            return
        self._told_at = measured_at
        self._token_s.adopt(summary.token_s)
        self._prompt_s.adopt(summary.prompt_base_s, summary.prompt_token_s)
        self._start_s.adopt(summary.start_s)
        self._ratio.adopt(summary.length_ratio)
        self._variance.adopt(summary.length_variance)

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

    def bearable_s(self, limit_s: float, prompt_s: float) -> float:
        """Give the time within which a stream begins in time, or longer on slow engines.

        Where even idle engines are too slow for a limit, nothing is won by a refusal.

        Args:
            limit_s: Time within which it should begin.
            prompt_s: Seconds that a prefill takes for its prompt.
        """
        return max(limit_s, _IDLE_FACTOR * (prompt_s + self.start_s))

    def direct_pause_s(self, prompt_s: float, event_tokens: int) -> float:
        """Estimate the pause of a decode's streams while it computes a prompt.

        Args:
            prompt_s: Seconds that a prefill takes for the prompt.
            event_tokens: Tokens that an event of a stream carries.
        """
        return DIRECT_FACTOR * prompt_s + event_tokens * self.token_s

    def prompt_s(self, tokens: int) -> float:
        """Estimate how long a prefill takes for a prompt."""
        return self._prompt_s.estimate(tokens)

    def note_tokens(self, tokens: int, seconds: float) -> None:
        """Learn from a stretch of a stream."""
        if tokens > 0:
            self._token_s.note(seconds / tokens)
            self.note_short_stretch(tokens, seconds)

    def note_short_stretch(self, tokens: int, seconds: float) -> None:
        """Learn how slow engines can be from a stretch that is too short to tell their pace."""
        if tokens > 0:
            self._stretches_s.append(seconds / tokens)

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

    def note_prompt(self, tokens: int, queue_s: float, seconds: float) -> None:
        """Learn from a prefill.

        Once there are measurements, only prompts that found no queue count: a queue that
        is seen too long makes the prompts behind it look quick. On engines that compute
        5 tokens a millisecond, half busy, they came out a third too quick.

        Args:
            tokens: Tokens of the prompt.
            queue_s: Seconds that the queue before it was expected to take.
            seconds: Seconds that queue and prompt took.
        """
        if self._prompt_s.count < SETTLED:
            alone_s = self.prompt_s(tokens)
            self._prompt_s.note(tokens, seconds * alone_s / (queue_s + alone_s))
        elif not queue_s:
            self._prompt_s.note(tokens, seconds)

    def note_plain(self, seconds: float) -> None:
        """Learn from a plain call that was answered, or left after so long."""
        self._plain_s.note(seconds)
