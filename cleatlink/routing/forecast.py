"""Foresees when a stream that finds no room now will find some.

Room comes when streams that run come to their ends. Those that wait at this
instance, and those that were asked to come back to any, take theirs first.
The forecast gives each of them, in turn, the endpoint that has room for it
soonest, and then this stream.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from itertools import accumulate
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineTraits
from cleatlink.routing.capacity import Capacity

__all__ = ["RoomForecast", "StreamDemand"]

# Each costs a look at all endpoints of the service, again and again while a stream waits.
_MOST_AHEAD = 32


class StreamDemand(NamedTuple):
    """What a stream needs of a decode.

    Attributes:
        tokens: Memory that it holds at its end.
        duration_s: How long it should take on an endpoint of the usual speed.
        prompt_s: How long the decode computes its prompt; 0 if a prefill does.
    """

    tokens: int
    duration_s: float
    prompt_s: float = 0.0


class _Opening:
    """How an endpoint's room opens with time."""

    def __init__(
        self,
        tokens: float,
        slots: int,
        ends: list[tuple[float, int]],
        prompts_until: float,
        *,
        full_until: float,
        pause_s: float,
        speed: float,
    ) -> None:
        self._speed = speed
        self._pause_s = pause_s
        self._prompts_until = prompts_until
        self._full_until = full_until
        self._tokens = tokens
        self._slots = slots
        self._ends = sorted(ends)
        self._freed = [0, *accumulate(freed for _, freed in self._ends)]

    def opens_at(self, stream: StreamDemand, now: float) -> float:
        """Give when there is room for a stream.

        One that is larger than the memory gets an endpoint that has nothing else to do.
        """
        needed = bisect_left(self._freed, stream.tokens - self._tokens)
        needed = min(max(needed, 1 - self._slots), len(self._ends))
        opens_at = self._ends[needed - 1][0] if needed > 0 else now
        opens_at = max(opens_at, self._full_until)
        return max(opens_at, self._prompts_until) if stream.prompt_s else opens_at

    def take(self, stream: StreamDemand, at: float) -> None:
        """Give room to a stream, to be freed when it ends."""
        if self._pause_s:
            self._full_until = max(at, self._full_until) + self._pause_s
        self._tokens -= stream.tokens
        self._slots -= 1
        insort(self._ends, (at + stream.duration_s / self._speed, stream.tokens))
        self._freed = [0, *accumulate(freed for _, freed in self._ends)]
        if stream.prompt_s:
            self._prompts_until = at + stream.prompt_s / self._speed


class RoomForecast:
    """What is foreseen of the room at a service's decodes."""

    def __init__(self, service: str, traits: EngineTraits, capacity: Capacity, now: float) -> None:
        self._now = now
        spread = capacity.pace(service).length_spread
        self._openings = [
            _open(endpoint.name, traits, capacity, spread, now)
            for endpoint in capacity.candidates(service, Role.DECODE, now)
        ]

    def room_in_s(self, stream: StreamDemand, ahead: Iterable[StreamDemand] = ()) -> float | None:
        """Estimate when a stream finds room.

        Args:
            stream: The stream.
            ahead: Streams that are served before it.

        Returns:
            Seconds from now, or None if no endpoint of the service decodes.
        """
        for earlier in ahead:
            self._place(earlier)
        opens_at = self._place(stream)
        return opens_at - self._now if math.isfinite(opens_at) else None

    def room_behind_s(self, stream: StreamDemand, ahead: Sequence[StreamDemand]) -> float | None:
        """Estimate when a stream finds room behind any number of others.

        Where they are many, some are served in full detail, and the others take as long
        for each.

        Args:
            stream: The stream.
            ahead: Streams that are served before it.
        """
        seen = ahead[:_MOST_AHEAD]
        room_in_s = self.room_in_s(stream, seen)
        if room_in_s is None or len(seen) == len(ahead):
            return room_in_s
        return room_in_s * len(ahead) / len(seen)

    def _place(self, stream: StreamDemand) -> float:
        """Give a stream the endpoint that has room for it first, and tell when."""
        best_at, best = math.inf, None
        for opening in self._openings:
            opens_at = opening.opens_at(stream, self._now)
            if opens_at < best_at:
                best_at, best = opens_at, opening
        if best is not None:
            best.take(stream, best_at)
        return best_at


def _open(
    name: str, traits: EngineTraits, capacity: Capacity, spread: float, now: float
) -> _Opening:
    placed = capacity.placed(name, Role.DECODE)
    ends = [(item.expected_end(now), item.tokens) for item in placed]
    held = capacity.peak_memory(name, [], now, spread)
    prompts_until = capacity.free_at(name, Role.PREFILL, now)
    tokens = min(traits.memory_tokens - held, capacity.free_tokens(name, now) - 1)
    slots = traits.slots - len(placed)
    return _Opening(
        tokens,
        slots,
        ends,
        prompts_until,
        full_until=capacity.opens_at(name, now),
        pause_s=capacity.limits.pause_s(name),
        speed=capacity.speed(name, now),
    )
