"""Recent demand on a service, and the share of streams that would be late with given roles.

Arrivals are counted in short steps, with the tokens of their prompts and outputs rather than the
time that these take, so that service times that are estimated later apply to all of them. Each
rate of the last seconds counts as often as it occurred, in calm periods and in bursts.
"""

import math
from collections import deque
from collections.abc import Iterable
from functools import lru_cache
from itertools import accumulate
from typing import NamedTuple

from cleatlink.core.routes import Route
from cleatlink.routing.queueing_model import estimate_in_time_share
from cleatlink.routing.service_times import DECODE_PROMPT_FACTOR

__all__ = ["WINDOW_S", "STEPS_PER_SECOND", "DemandMeter", "RoleDemand", "LatencyTargets"]

# Length of the window of arrivals, in seconds: longer than a burst and the calm period between two
# bursts, shorter than the hours over which demand changes in the course of a day.
WINDOW_S = 30.0
# Counting steps per second. A burst lasts for seconds: with steps of one second, the forecast would
# depend on where the steps begin.
STEPS_PER_SECOND = 10
# Shortest averaging window of a rate, in seconds: a queue of a few prompts absorbs shorter peaks.
_MIN_RATE_WINDOW_S = 3
# Candidate shares of the prompts that decode engines compute; the best one is used.
_DECODE_PROMPT_SHARES = (0.0, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0)


class LatencyTargets(NamedTuple):
    """The strictest latency targets among the routes of a service.

    Attributes:
        target_s: Time within which a stream should begin.
        event_gap_s: Longest permitted gap between events.
    """

    target_s: float = math.inf
    event_gap_s: float = math.inf

    @classmethod
    def strictest(cls, routes: Iterable[Route]) -> "LatencyTargets":
        """Return the strictest targets of some routes."""
        listed = list(routes)
        target_s = min((route.target_s for route in listed), default=math.inf)
        return cls(target_s, min((route.event_gap_target_s for route in listed), default=math.inf))


class RoleDemand(NamedTuple):
    """Demand on one service's engines.

    Attributes:
        rates: Arrivals per second, one value for each step of the window.
        slot_rates: The same, each averaged over the time for which a stream occupies a decode
            slot: a shorter burst occupies only part of the slots.
        prompt_s: Mean seconds that a prefill engine takes for a prompt.
        stream_s: Mean seconds for which a stream occupies a slot of a decode engine.
        streams_per_decode: Number of streams of mean size that a decode engine runs at once.
        slack_s: Seconds by which a stream may be delayed and still meet its target.
        decodes_compute_prompts: Whether decode engines may compute prompts besides prefill engines.
        requests: Number of streams that were counted.
    """

    rates: tuple[float, ...]
    slot_rates: tuple[float, ...]
    prompt_s: float
    stream_s: float
    streams_per_decode: float
    slack_s: float
    decodes_compute_prompts: bool
    requests: int

    @property
    def window_s(self) -> float:
        """Length of the counted window in seconds."""
        return len(self.rates) / STEPS_PER_SECOND

    @property
    def rate(self) -> float:
        """Mean arrivals per second."""
        return sum(self.rates) / len(self.rates) if self.rates else 0.0

    def late_share(
        self,
        prefills: int,
        decodes: int,
        prefill_speed: float = 1.0,
        decode_speed: float = 1.0,
    ) -> float:
        """Estimate the share of streams that are late or refused with given roles.

        Decode engines are assumed to compute the share of the prompts that is best computed there.

        Args:
            prefills: Number of prefill engines.
            decodes: Number of decode engines.
            prefill_speed: Mean speed of the prefill engines relative to the service's usual one.
            decode_speed: Mean speed of the decode engines, likewise.
        """
        return _late_share(self._at_speeds(prefill_speed, decode_speed), prefills, decodes)

    def _at_speeds(self, prefill_speed: float, decode_speed: float) -> "_SpeedDemand":
        """Return the demand on engines of given speeds."""
        prompt_s = self.prompt_s / prefill_speed
        return _SpeedDemand(
            self.rates,
            self.slot_rates,
            prompt_s,
            DECODE_PROMPT_FACTOR * self.prompt_s / decode_speed,
            self.stream_s / decode_speed,
            self.streams_per_decode,
            self.slack_s - (prompt_s - self.prompt_s),
            self.slack_s,
            self.decodes_compute_prompts,
            self.prompt_s,
        )


class _SpeedDemand(NamedTuple):
    """Demand on engines of given speeds.

    The fields that are not listed are the same as in ``RoleDemand``.

    Attributes:
        prompt_s: Seconds that a prefill engine takes for a prompt.
        decode_prompt_s: Seconds that a decode engine takes for a prompt.
        stream_s: Seconds for which a stream occupies a decode slot.
        prompt_slack_s: Seconds that a prompt may wait at a prefill engine and still be in time.
        slack_s: Seconds that a stream may wait for a decode slot and still be in time.
        usual_prompt_s: Seconds that a prefill engine of the usual speed takes for a prompt.
    """

    rates: tuple[float, ...]
    slot_rates: tuple[float, ...]
    prompt_s: float
    decode_prompt_s: float
    stream_s: float
    streams_per_decode: float
    prompt_slack_s: float
    slack_s: float
    decodes_compute_prompts: bool
    usual_prompt_s: float

    def prompts_in_time(
        self, rate: float, decode_share: float, prefills: int, decodes: int
    ) -> float:
        """Estimate the share of prompts that are computed in time.

        Args:
            rate: Prompts per second.
            decode_share: Share of them that decode engines compute.
            prefills: Number of prefill engines.
            decodes: Number of decode engines, which compute prompts beside their streams.
        """
        at_prefills = estimate_in_time_share(
            (1 - decode_share) * rate, self.prompt_s, prefills, self.prompt_slack_s
        )
        slack_s = self.slack_s - (self.decode_prompt_s - self.usual_prompt_s)
        at_decodes = estimate_in_time_share(
            decode_share * rate, self.decode_prompt_s, decodes, slack_s
        )
        return (1 - decode_share) * at_prefills + decode_share * at_decodes


# A role plan compares the same numbers of engines several times, and each result takes
# milliseconds to compute.
@lru_cache(maxsize=64)
def _late_share(demand: _SpeedDemand, prefills: int, decodes: int) -> float:
    shares = _DECODE_PROMPT_SHARES if demand.decodes_compute_prompts else (0.0,)
    if not prefills:
        shares = (1.0,)
    slots = max(1, round(demand.streams_per_decode * decodes))
    prompt_share_in_time = {
        rate: max(demand.prompts_in_time(rate, share, prefills, decodes) for share in shares)
        for rate in set(demand.rates)
    }
    stream_share_in_time = {
        rate: estimate_in_time_share(rate, demand.stream_s, slots, demand.slack_s)
        for rate in set(demand.slot_rates)
    }
    pairs = zip(demand.rates, demand.slot_rates, strict=True)
    late = sum(
        rate * (1.0 - stream_share_in_time[slot_rate] * prompt_share_in_time[rate])
        for rate, slot_rate in pairs
    )
    return late / sum(demand.rates) if late else 0.0


class _Step(NamedTuple):
    """Number of streams that arrived within one step, and their tokens."""

    number: int
    streams: int
    prompt_tokens: int
    output_tokens: int


class DemandMeter:
    """Counts arriving streams over a sliding window."""

    def __init__(self) -> None:
        self._steps: deque[_Step] = deque()

    def count_stream(self, prompt_tokens: int, output_tokens: int, now: float) -> None:
        """Count a stream.

        Args:
            prompt_tokens: Tokens of its prompt.
            output_tokens: Estimated tokens of its output.
            now: The time.
        """
        number = _step_number(now)
        last = _Step(number, 0, 0, 0)
        if self._steps and self._steps[-1].number >= number:
            last = self._steps.pop()
        self._steps.append(
            _Step(
                last.number,
                last.streams + 1,
                last.prompt_tokens + prompt_tokens,
                last.output_tokens + output_tokens,
            )
        )
        self._drop_old_steps(number)

    @property
    def requests(self) -> int:
        """Number of streams in the window."""
        return sum(item.streams for item in self._steps)

    @property
    def mean_prompt_tokens(self) -> float:
        """Mean tokens of a prompt."""
        return sum(item.prompt_tokens for item in self._steps) / max(1, self.requests)

    @property
    def mean_output_tokens(self) -> float:
        """Mean estimated tokens of an output."""
        return sum(item.output_tokens for item in self._steps) / max(1, self.requests)

    def rates(self, now: float, window_s: float = 0.0) -> tuple[float, ...]:
        """Return the arrivals per second for each complete step of the window.

        Args:
            now: The time.
            window_s: Shortest averaging window of each rate, in seconds; it ends with the step.
        """
        end = _step_number(now)
        self._drop_old_steps(end)
        if not self._steps:
            return ()
        window_s = max(_MIN_RATE_WINDOW_S, round(window_s))
        window_steps = int(window_s * STEPS_PER_SECOND)
        streams = {step.number: step.streams for step in self._steps}
        counts = [streams.get(number, 0) for number in range(self._steps[0].number, end)]
        # Cumulative arrivals by the end of each step.
        arrived = [0, *accumulate(counts)]
        return tuple(
            (arrived[index] - arrived[max(0, index - window_steps)]) / window_s
            for index in range(1, len(arrived))
        )

    def _drop_old_steps(self, number: int) -> None:
        while self._steps and self._steps[0].number < number - WINDOW_S * STEPS_PER_SECOND:
            self._steps.popleft()


def _step_number(now: float) -> int:
    """Return the number of the step that contains a time."""
    return int(now * STEPS_PER_SECOND)
