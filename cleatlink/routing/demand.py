"""What streams asked of a service lately, and how many would be late with given roles.

Arrivals are counted by short steps with the tokens of their prompts and answers, not with
the time that these take: paces that are learned later hold for all of them. The rates of
the last seconds, calm ones and bursts, each count as often as they were seen.
"""

import math
from collections import deque
from collections.abc import Iterable
from functools import lru_cache
from itertools import accumulate
from typing import NamedTuple

from cleatlink.core.routes import Route
from cleatlink.routing.pace import DIRECT_FACTOR
from cleatlink.routing.queueing import in_time_share

__all__ = ["MEMORY_S", "STEPS_A_SECOND", "DemandMeter", "RoleDemand", "StreamPromise"]

# Seconds of arrivals that are remembered: longer than a burst and the calm between two,
# shorter than the hours in which demand moves with the day.
MEMORY_S = 30.0
# Steps in which arrivals are counted. A burst lasts for seconds: by whole ones, what is foreseen
# would hang on where seconds begin.
STEPS_A_SECOND = 10
# Rates are means over so many seconds at the least: what a queue of some prompts evens out.
_SPAN_S = 3
# Shares of the prompts that decodes compute, of which the best is taken.
_DIRECT_SHARES = (0.0, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0)


class StreamPromise(NamedTuple):
    """What the routes of a service promise together: the shortest of each.

    Attributes:
        target_s: Time within which a stream begins.
        event_gap_s: Longest pause between events.
    """

    target_s: float = math.inf
    event_gap_s: float = math.inf

    @classmethod
    def of(cls, routes: Iterable[Route]) -> "StreamPromise":
        """Give what some routes promise together."""
        found = list(routes)
        target_s = min((route.target_s for route in found), default=math.inf)
        return cls(target_s, min((route.event_gap_s for route in found), default=math.inf))


class RoleDemand(NamedTuple):
    """Demand on one service's engines.

    Attributes:
        rates: Streams that arrived a second, one figure for each step of the last seconds.
        place_rates: The same, each as the mean over as long as a stream holds its place: a
            burst that is shorter than that fills only so many places.
        prompt_s: Seconds that a prefill takes for a prompt, on the average.
        stream_s: Seconds for which a stream holds its place at a decode, on the average.
        places: Streams of average size that fit on a decode at once.
        slack_s: Seconds that a stream may wait, and take longer, and be in time.
        shares_prompts: Whether decodes may compute prompts beside prefills.
        requests: Streams that were counted.
    """

    rates: tuple[float, ...]
    place_rates: tuple[float, ...]
    prompt_s: float
    stream_s: float
    places: float
    slack_s: float
    shares_prompts: bool
    requests: int

    @property
    def seconds(self) -> float:
        """Seconds of arrivals that were counted."""
        return len(self.rates) / STEPS_A_SECOND

    @property
    def rate(self) -> float:
        """Mean arrivals a second."""
        return sum(self.rates) / len(self.rates) if self.rates else 0.0

    def late_share(
        self,
        prefills: int,
        decodes: int,
        prefill_speed: float = 1.0,
        decode_speed: float = 1.0,
    ) -> float:
        """Estimate the share of streams that are late or refused with given roles.

        Decodes compute the share of the prompts that is best computed there.

        Args:
            prefills: Engines that compute prompts.
            decodes: Engines that run streams.
            prefill_speed: Mean speed of the prefills beside the service's usual one.
            decode_speed: Mean speed of the decodes.
        """
        return _late_share(self._at(prefill_speed, decode_speed), prefills, decodes)

    def _at(self, prefill_speed: float, decode_speed: float) -> "_SpeedDemand":
        """Give the demand on engines of given speeds."""
        prompt_s = self.prompt_s / prefill_speed
        return _SpeedDemand(
            self.rates,
            self.place_rates,
            prompt_s,
            DIRECT_FACTOR * self.prompt_s / decode_speed,
            self.stream_s / decode_speed,
            self.places,
            self.slack_s - (prompt_s - self.prompt_s),
            self.slack_s,
            self.shares_prompts,
            self.prompt_s,
        )


class _SpeedDemand(NamedTuple):
    """Demand on engines of given speeds; as in ``RoleDemand`` but for these.

    Attributes:
        prompt_s: Seconds that a prefill takes for a prompt.
        direct_s: Seconds that a decode takes for one.
        stream_s: Seconds for which a stream holds its place.
        prompt_slack_s: Seconds that a prompt may wait at a prefill and be in time.
        slack_s: Seconds that a stream may wait for a place and be in time.
        usual_prompt_s: Seconds that a prefill of the usual speed takes for a prompt.
    """

    rates: tuple[float, ...]
    place_rates: tuple[float, ...]
    prompt_s: float
    direct_s: float
    stream_s: float
    places: float
    prompt_slack_s: float
    slack_s: float
    shares_prompts: bool
    usual_prompt_s: float

    def prompts_in_time(self, rate: float, share: float, prefills: int, decodes: int) -> float:
        """Estimate the share of prompts that are done in time.

        Args:
            rate: Prompts a second.
            share: Share of them that decodes compute.
            prefills: Engines that compute prompts apart.
            decodes: Engines that compute them beside their streams.
        """
        apart = in_time_share((1 - share) * rate, self.prompt_s, prefills, self.prompt_slack_s)
        slack_s = self.slack_s - (self.direct_s - self.usual_prompt_s)
        beside = in_time_share(share * rate, self.direct_s, decodes, slack_s)
        return (1 - share) * apart + share * beside


# A plan compares the same numbers of engines several times, and each figure takes milliseconds.
@lru_cache(maxsize=64)
def _late_share(demand: _SpeedDemand, prefills: int, decodes: int) -> float:
    shares = _DIRECT_SHARES if demand.shares_prompts else (0.0,)
    if not prefills:
        shares = (1.0,)
    places = max(1, round(demand.places * decodes))
    prompts = {
        rate: max(demand.prompts_in_time(rate, share, prefills, decodes) for share in shares)
        for rate in set(demand.rates)
    }
    placed = {
        rate: in_time_share(rate, demand.stream_s, places, demand.slack_s)
        for rate in set(demand.place_rates)
    }
    pairs = zip(demand.rates, demand.place_rates, strict=True)
    late = sum(rate * (1.0 - placed[place_rate] * prompts[rate]) for rate, place_rate in pairs)
    return late / sum(demand.rates) if late else 0.0


class _Step(NamedTuple):
    """Streams that arrived within one step."""

    number: int
    streams: int
    prompt: int
    output: int


class DemandMeter:
    """Counts the streams that arrive."""

    def __init__(self) -> None:
        self._steps: deque[_Step] = deque()

    def note(self, prompt: int, output: int, now: float) -> None:
        """Count a stream.

        Args:
            prompt: Tokens of its prompt.
            output: Tokens of its answer, as estimated.
            now: The time.
        """
        number = _number(now)
        last = _Step(number, 0, 0, 0)
        if self._steps and self._steps[-1].number >= number:
            last = self._steps.pop()
        self._steps.append(
            _Step(last.number, last.streams + 1, last.prompt + prompt, last.output + output)
        )
        self._forget(number)

    @property
    def requests(self) -> int:
        """Streams that are remembered."""
        return sum(item.streams for item in self._steps)

    @property
    def mean_prompt(self) -> float:
        """Tokens of a prompt, on the average."""
        return sum(item.prompt for item in self._steps) / max(1, self.requests)

    @property
    def mean_output(self) -> float:
        """Tokens of an answer, on the average."""
        return sum(item.output for item in self._steps) / max(1, self.requests)

    def rates(self, now: float, span_s: float = 0.0) -> tuple[float, ...]:
        """Give the arrivals a second in each whole step since the oldest remembered.

        Args:
            now: The time.
            span_s: Each figure is the mean of at least so many seconds that end with it.
        """
        end = _number(now)
        self._forget(end)
        if not self._steps:
            return ()
        span_s = max(_SPAN_S, round(span_s))
        span = int(span_s * STEPS_A_SECOND)
        streams = {step.number: step.streams for step in self._steps}
        counts = [streams.get(number, 0) for number in range(self._steps[0].number, end)]
        # Streams that arrived by the end of each step.
        arrived = [0, *accumulate(counts)]
        return tuple(
            (arrived[at] - arrived[max(0, at - span)]) / span_s for at in range(1, len(arrived))
        )

    def _forget(self, number: int) -> None:
        while self._steps and self._steps[0].number < number - MEMORY_S * STEPS_A_SECOND:
            self._steps.popleft()


def _number(now: float) -> int:
    """Give the number of the step that a time lies in."""
    return int(now * STEPS_A_SECOND)
