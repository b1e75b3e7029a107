"""Forecast of when a decode endpoint has capacity for a stream that fits nowhere now.

Capacity is freed when running streams end. Streams that are queued ahead, at this instance or
at others, are served first. The forecast assigns each of them in turn to the endpoint that has
capacity for it first, and then does the same for the given stream.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from itertools import accumulate
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineProperties
from cleatlink.routing.capacity import Capacity

__all__ = ["CapacityForecast", "StreamDemand"]

# Number of streams ahead that are simulated one by one. Each of them costs a check of all endpoints
# of the service, repeated while a stream waits.
_MAX_SIMULATED = 32


class StreamDemand(NamedTuple):
    """What a stream needs of a decode endpoint.

    Attributes:
        tokens: Memory that it occupies at its end, in tokens.
        duration_s: Expected duration on an endpoint of the usual speed.
        prompt_s: Time for which the decode endpoint computes its prompt; 0 if a prefill endpoint
            does.
    """

    tokens: int
    duration_s: float
    prompt_s: float = 0.0


class _EndpointForecast:
    """Future free capacity of one endpoint."""

    def __init__(
        self,
        free_tokens: float,
        free_slots: int,
        ends: list[tuple[float, int]],
        prompts_until: float,
        *,
        full_until: float,
        call_interval_s: float,
        speed: float,
    ) -> None:
        """Start with the present state of the endpoint.

        Args:
            free_tokens: Free memory, in tokens.
            free_slots: Number of free slots.
            ends: Expected end of each running stream, and the tokens that it frees.
            prompts_until: When the endpoint will have computed the prompts assigned to it.
            full_until: Time before which it gets no new streams.
            call_interval_s: Seconds between two calls under its rate limit; 0 without a limit.
            speed: Speed relative to its service's usual one.
        """
        self._speed = speed
        self._call_interval_s = call_interval_s
        self._prompts_until = prompts_until
        self._full_until = full_until
        self._free_tokens = free_tokens
        self._free_slots = free_slots
        self._ends = sorted(ends)
        self._freed_tokens = [0, *accumulate(deleted_handles for _, deleted_handles in self._ends)]

    def free_at(self, stream: StreamDemand, now: float) -> float:
        """Return when the endpoint has a free slot and memory for a stream.

        A stream that is larger than the memory is assigned to an idle endpoint.
        """
        needed = bisect_left(self._freed_tokens, stream.tokens - self._free_tokens)
        needed = min(max(needed, 1 - self._free_slots), len(self._ends))
        free_at = self._ends[needed - 1][0] if needed > 0 else now
        free_at = max(free_at, self._full_until)
        return max(free_at, self._prompts_until) if stream.prompt_s else free_at

    def assign(self, stream: StreamDemand, at: float) -> None:
        """Assign a slot and memory to a stream until its end."""
        if self._call_interval_s:
            self._full_until = max(at, self._full_until) + self._call_interval_s
        self._free_tokens -= stream.tokens
        self._free_slots -= 1
        insort(self._ends, (at + stream.duration_s / self._speed, stream.tokens))
        self._freed_tokens = [0, *accumulate(deleted_handles for _, deleted_handles in self._ends)]
        if stream.prompt_s:
            self._prompts_until = at + stream.prompt_s / self._speed


class CapacityForecast:
    """Forecast of the free capacity of a service's decode endpoints."""

    def __init__(
        self,
        service: str,
        traits: EngineProperties,
        capacity: Capacity,
        now: float,
        build: str | None = None,
    ) -> None:
        """Start with the present state of the endpoints.

        Args:
            service: Name of the service.
            traits: Properties that its engines share.
            capacity: Estimated state of the endpoints.
            now: The current time, in seconds.
            build: Only endpoints of this build; None for all.
        """
        self._now = now
        spread = capacity.service_times(service).length_spread
        self._endpoints = [
            _endpoint_forecast(endpoint.name, traits, capacity, spread, now)
            for endpoint in capacity.candidates(service, Role.DECODE, now, build)
        ]

    def wait_s(self, stream: StreamDemand, ahead: Iterable[StreamDemand] = ()) -> float | None:
        """Estimate how long a stream waits for a free slot and memory.

        Args:
            stream: The stream.
            ahead: Streams that are served before it.

        Returns:
            Seconds from now, or None if the service has no decode endpoint.
        """
        for earlier in ahead:
            self._assign(earlier)
        free_at = self._assign(stream)
        return free_at - self._now if math.isfinite(free_at) else None

    def wait_behind_s(self, stream: StreamDemand, ahead: Sequence[StreamDemand]) -> float | None:
        """Estimate how long a stream waits behind any number of others.

        Of a long queue, only the first streams are simulated, and the wait is extrapolated in
        proportion to the length of the queue.

        Args:
            stream: The stream.
            ahead: Streams that are served before it.
        """
        simulated = ahead[:_MAX_SIMULATED]
        wait_s = self.wait_s(stream, simulated)
        if wait_s is None or len(simulated) == len(ahead):
            return wait_s
        return wait_s * len(ahead) / len(simulated)

    def _assign(self, stream: StreamDemand) -> float:
        """Assign a stream to the endpoint that is free for it first, and return when."""
        best_at, best = math.inf, None
        for endpoint in self._endpoints:
            free_at = endpoint.free_at(stream, self._now)
            if free_at < best_at:
                best_at, best = free_at, endpoint
        if best is not None:
            best.assign(stream, best_at)
        return best_at


def _endpoint_forecast(
    name: str, traits: EngineProperties, capacity: Capacity, spread: float, now: float
) -> _EndpointForecast:
    placed = capacity.assigned(name, Role.DECODE)
    ends = [(item.expected_end(now), item.tokens) for item in placed]
    used = capacity.peak_memory(name, [], now, spread)
    prompts_until = capacity.free_at(name, Role.PREFILL, now)
    free_tokens = min(traits.memory_tokens - used, capacity.free_memory_tokens(name, now) - 1)
    free_slots = traits.slots - len(placed)
    return _EndpointForecast(
        free_tokens,
        free_slots,
        ends,
        prompts_until,
        full_until=capacity.accepts_work_at(name, now),
        call_interval_s=capacity.endpoint_limits.call_interval_s(name),
        speed=capacity.relative_speed(name, now),
    )
