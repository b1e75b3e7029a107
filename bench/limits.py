"""Compares strategies for enforcing an organisation's limit across instances, in virtual time.

The simulation has one organisation, a number of instances, and one pattern of demand and faults.
Every strategy receives the same requests. The results are the fullest window, relative to what
the tolerance allows, and how much less was admitted than one central bucket would have admitted.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, NamedTuple

from cleatlink.core.organisations import Organisation, UsageLimit
from cleatlink.limits import PEER_TIMEOUT_S, PeerTotals
from cleatlink.organisations import LimitTolerance, OrganisationLimits

__all__ = ["PATTERNS", "STRATEGIES", "DemandPattern", "measure_limit"]

_TICK_S = 0.01
_HEARTBEAT_INTERVAL_S = 1.0
# Minimum interval between two urgent messages of one instance.
_URGENT_INTERVAL_S = 0.1
# Ticks between updates of the reachable instances; an instance does this with each peer heartbeat.
_REACHABILITY_CHECK_TICKS = 10
_DURATION_S = 30.0
_LOSS_PROBABILITY = 0.02
_NETWORK_DELAY_S = 0.003
# Requests are calls of few tokens and streams of many, mixed as in one day's traffic.
_CALL_TOKENS, _STREAM_TOKENS, _STREAM_SHARE = 200, 14_000, 0.12
_MEAN_TOKENS = _CALL_TOKENS * (1 - _STREAM_SHARE) + _STREAM_TOKENS * _STREAM_SHARE
_LIMIT = UsageLimit(60_000.0, 60_000.0, counts_tokens=True)
_TOLERANCE = LimitTolerance(0.25, 120_000.0, 8.0)


class DemandPattern(NamedTuple):
    """Demand, as a factor of the limit, and faults.

    Attributes:
        demand_factor: Demand by time.
        receiving_range: Instances that receive requests, by time: start and end of the range, as
            shares of all instances.
        partition_side: Side of a network partition on which an instance is, by the instance's
            position (its number as a share of all) and the time.
        restarts_at: Time at which all instances restart, in seconds; negative for never.
        limit_factor: Factor of the limit by time.
    """

    demand_factor: Callable[[float], float]
    receiving_range: Callable[[float], tuple[float, float]] = lambda now: (0.0, 1.0)
    partition_side: Callable[[float, float], int] = lambda position, now: 0
    restarts_at: float = -1.0
    limit_factor: Callable[[float], float] = lambda now: 1.0


def _side_of_halved_network(position: float, now: float) -> int:
    return int(10 <= now < 18 and position >= 0.5)


def _moving_range(now: float) -> tuple[float, float]:
    start = (now / _DURATION_S) * 0.8
    return start, start + 0.1


PATTERNS: dict[str, DemandPattern] = {
    "calm": DemandPattern(lambda now: 0.55),
    "one instance": DemandPattern(lambda now: 0.55, lambda now: (0.0, 0.001)),
    "wanders": DemandPattern(lambda now: 0.55, _moving_range),
    "hot": DemandPattern(lambda now: 8.0 if 10 <= now < 20 else 0.55),
    "cut": DemandPattern(lambda now: 0.55, partition_side=_side_of_halved_network),
    "hot and cut": DemandPattern(
        lambda now: 8.0 if 8 <= now < 20 else 0.55, partition_side=_side_of_halved_network
    ),
    "all restart": DemandPattern(lambda now: 0.55, restarts_at=12.0),
    "hot and restart": DemandPattern(lambda now: 8.0 if 8 <= now < 20 else 0.55, restarts_at=12.0),
    "limit cut": DemandPattern(
        lambda now: 0.55, limit_factor=lambda now: 0.2 if 10 <= now < 20 else 1.0
    ),
}


class LimitStrategy(ABC):
    """How one instance decides whether a request is within the limit."""

    def __init__(self, number: int, instance_count: int, now: float) -> None:
        self.number = number
        self.instance_count = instance_count
        self.limit = _LIMIT
        self.started_at = now

    @abstractmethod
    def admit(self, cost: int, now: float) -> bool:
        """Decide whether a request is admitted."""

    def heartbeat_message(self, now: float) -> Any:
        """Return the message sent to all peers each second; None for an empty heartbeat."""
        return None

    def urgent_message(self, now: float) -> Any:
        """Return a message to be sent to all peers immediately; None if there is none."""
        return None

    def receive(self, sender: int, message: Any, now: float) -> None:
        """Process a message from a peer; ignored by default."""
        return

    def set_reachable(self, reachable: list[int], now: float) -> None:
        """Set the reachable instances, including this one; ignored by default."""
        return


class _TokenBucket:
    """A token bucket; its level is negative after a cost above the burst."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.updated_at = now

    def take(self, cost: float, rate: float, burst: float, now: float) -> bool:
        """Refill the bucket and take a cost if the level allows it.

        A cost above the burst is taken when the bucket is full.
        """
        self.level = min(burst, self.level + rate * (now - self.updated_at))
        self.updated_at = now
        if self.level < min(cost, burst):
            return False
        self.level -= cost
        return True


class EqualShares(LimitStrategy):
    """Gives each instance the same share of the limit."""

    def __init__(self, number: int, instance_count: int, now: float) -> None:
        super().__init__(number, instance_count, now)
        self._bucket = _TokenBucket(_LIMIT.burst / instance_count, now)

    def admit(self, cost: int, now: float) -> bool:
        """Take the cost from this instance's share."""
        limit = _TOLERANCE.raised_limit(self.limit)
        return self._bucket.take(
            cost, limit.rate / self.instance_count, limit.burst / self.instance_count, now
        )


class DemandShares(LimitStrategy):
    """Gives each instance a share of the limit in proportion to its recent demand."""

    def __init__(self, number: int, instance_count: int, now: float) -> None:
        super().__init__(number, instance_count, now)
        self._bucket = _TokenBucket(_LIMIT.burst / instance_count, now)
        self._recent_demand = 0.0
        self._updated_at = now
        self._peer_demand: dict[int, float] = {}

    def admit(self, cost: int, now: float) -> bool:
        """Take the cost from the share that follows this instance's demand."""
        self._recent_demand = self._recent_demand * 0.5 ** (now - self._updated_at) + cost
        self._updated_at = now
        total_demand = self._recent_demand + sum(self._peer_demand.values())
        share = max(self._recent_demand / total_demand, 0.25 / self.instance_count)
        limit = _TOLERANCE.raised_limit(self.limit)
        return self._bucket.take(cost, share * limit.rate, share * limit.burst, now)

    def heartbeat_message(self, now: float) -> Any:
        """Return this instance's recent demand."""
        return round(self._recent_demand * 0.5 ** (now - self._updated_at))

    def receive(self, sender: int, message: Any, now: float) -> None:
        """Record a peer's recent demand."""
        self._peer_demand[sender] = message


class SharedTotals(LimitStrategy):
    """Gives each instance the whole limit, less what all instances have admitted."""

    def __init__(self, number: int, instance_count: int, now: float) -> None:
        super().__init__(number, instance_count, now)
        self._limits = OrganisationLimits(_TOLERANCE, now)
        self._incarnation = int(1000 * now)
        self._organisation = Organisation("a", (), None, _LIMIT)
        self._limits.use_table([self._organisation])
        self._is_update_urgent = False

    def admit(self, cost: int, now: float) -> bool:
        """Admit a request by the limits that a real instance uses."""
        if self.limit != self._organisation.limit:
            self._organisation = Organisation("a", (), None, self.limit)
            self._limits.use_table([self._organisation])
        granted = self._limits.admit(self._organisation, cost, now).granted
        self._is_update_urgent = (
            self._is_update_urgent or granted and self._limits.is_level_low(self._organisation)
        )
        return granted

    def _totals_message(self, now: float) -> PeerTotals:
        limits = self._limits
        totals, uptime_s = limits.totals(now), limits.uptime_s(now)
        return PeerTotals(
            str(self.number), self._incarnation, totals, limits.used_name_count, uptime_s
        )

    def heartbeat_message(self, now: float) -> Any:
        """Return this instance's totals."""
        return self._totals_message(now)

    def urgent_message(self, now: float) -> Any:
        """Return this instance's totals if it admitted a request at a low bucket level."""
        if not self._is_update_urgent:
            return None
        self._is_update_urgent = False
        return self._totals_message(now)

    def receive(self, sender: int, message: Any, now: float) -> None:
        """Apply a peer's totals."""
        self._limits.record_peer_totals(message, now)

    def set_reachable(self, reachable: list[int], now: float) -> None:
        """Set the share of all instances that is reachable."""
        self._limits.set_reachable_share(len(reachable) / self.instance_count, now)


class Owner(LimitStrategy):
    """One instance owns the limit and leases parts of it to others for a second each.

    A lease needs one round trip to the owner; the simulation adds no delay for it.
    """

    fleet: list["Owner"]

    def __init__(self, number: int, instance_count: int, now: float) -> None:
        super().__init__(number, instance_count, now)
        self._bucket = _TokenBucket(0.5 * _LIMIT.burst, now)
        self._leased_tokens = 0.0
        self._lease_ends_at = 0.0
        self._reachable = list(range(instance_count))
        self.lease_request_count = 0

    def admit(self, cost: int, now: float) -> bool:
        """Take the cost from the lease, or request another lease from the owner."""
        if now >= self._lease_ends_at:
            self._leased_tokens = 0.0
        if self._leased_tokens < cost:
            wanted_tokens = max(float(cost), 0.2 * self.limit.rate / self.instance_count)
            owner = Owner.fleet[min(self._reachable, key=lambda number: (number * 7919) % 1009)]
            self.lease_request_count += 1
            if not owner.grant_lease(
                wanted_tokens, len(self._reachable) / self.instance_count, now
            ):
                return False
            self._leased_tokens += wanted_tokens
            self._lease_ends_at = now + 1.0
        self._leased_tokens -= cost
        return True

    def grant_lease(self, wanted_tokens: float, share: float, now: float) -> bool:
        """Lease a part of the limit, whose rate is scaled by the share of reachable instances."""
        limit = _TOLERANCE.raised_limit(self.limit)
        return self._bucket.take(wanted_tokens, share * limit.rate, limit.burst, now)

    def set_reachable(self, reachable: list[int], now: float) -> None:
        """Set the instances among which the owner is chosen."""
        self._reachable = reachable


STRATEGIES: dict[str, type[LimitStrategy]] = {
    "equal shares": EqualShares,
    "demand shares": DemandShares,
    "owner": Owner,
    "shared totals": SharedTotals,
}


class _Simulation:
    """A simulation of one strategy under one pattern."""

    def __init__(
        self,
        strategy: type[LimitStrategy],
        pattern: DemandPattern,
        instance_count: int,
        seed: int,
    ) -> None:
        self._strategy = strategy
        self._pattern = pattern
        self._instance_count = instance_count
        # Requests have their own generator, so that every strategy receives the same ones.
        self._network_rng = random.Random(seed)
        self._request_rng = random.Random(seed + 1)
        self._fleet = [strategy(number, instance_count, 0.0) for number in range(instance_count)]
        self._central_bucket = _TokenBucket(_LIMIT.burst, 0.0)
        self._last_received_at = [[0.0] * instance_count for _ in range(instance_count)]
        self._in_transit: list[tuple[float, int, int, Any]] = []
        self._admitted: list[tuple[float, int]] = []
        self._next_heartbeats_at = [
            self._network_rng.random() * _HEARTBEAT_INTERVAL_S for _ in range(instance_count)
        ]
        self._next_urgent_at = [0.0] * instance_count
        self._centrally_admitted: list[tuple[float, int]] = []
        self.urgent_datagram_count = 0

    def run(self) -> None:
        """Run the whole pattern."""
        for tick in range(int(_DURATION_S / _TICK_S)):
            now = tick * _TICK_S
            if self._strategy is Owner:
                Owner.fleet = self._fleet  # type: ignore[assignment]
            self._restart(tick)
            self._deliver(now)
            self._send_due_messages(now)
            if tick % _REACHABILITY_CHECK_TICKS == 0:
                for number in range(self._instance_count):
                    self._update_reachable(number, now)
            self._submit_requests(now)

    def _limit(self, now: float) -> UsageLimit:
        factor = self._pattern.limit_factor(now)
        return _LIMIT._replace(rate=factor * _LIMIT.rate, burst=factor * _LIMIT.burst)

    def _restart(self, tick: int) -> None:
        if tick == round(self._pattern.restarts_at / _TICK_S):
            now = tick * _TICK_S
            self._fleet = [
                self._strategy(number, self._instance_count, now)
                for number in range(self._instance_count)
            ]
            self._in_transit.clear()

    def _partition_side(self, number: int, now: float) -> int:
        return self._pattern.partition_side(number / self._instance_count, now)

    def _deliver(self, now: float) -> None:
        due = [item for item in self._in_transit if item[0] <= now]
        self._in_transit = [item for item in self._in_transit if item[0] > now]
        for _, sender, receiver, message in due:
            self._last_received_at[receiver][sender] = now
            if message is not None:
                self._fleet[receiver].receive(sender, message, now)

    def _send_due_messages(self, now: float) -> None:
        for number, strategy in enumerate(self._fleet):
            if now >= self._next_heartbeats_at[number]:
                self._next_heartbeats_at[number] += _HEARTBEAT_INTERVAL_S
                self._send(number, strategy.heartbeat_message(now), now)
            if now >= self._next_urgent_at[number]:
                urgent_message = strategy.urgent_message(now)
                if urgent_message is not None:
                    self._next_urgent_at[number] = now + _URGENT_INTERVAL_S
                    self.urgent_datagram_count += self._instance_count - 1
                    self._send(number, urgent_message, now)

    def _update_reachable(self, number: int, now: float) -> None:
        reachable = [
            other
            for other in range(self._instance_count)
            if other == number or now - self._last_received_at[number][other] <= PEER_TIMEOUT_S
        ]
        self._fleet[number].set_reachable(reachable, now)

    def _send(self, sender: int, message: Any, now: float) -> None:
        side = self._partition_side(sender, now)
        for receiver in range(self._instance_count):
            is_connected = receiver != sender and self._partition_side(receiver, now) == side
            if is_connected and self._network_rng.random() >= _LOSS_PROBABILITY:
                self._in_transit.append((now + _NETWORK_DELAY_S, sender, receiver, message))

    def _submit_requests(self, now: float) -> None:
        expected_count = self._pattern.demand_factor(now) * _LIMIT.rate * _TICK_S / _MEAN_TOKENS
        start, end = self._pattern.receiving_range(now)
        request_count = int(expected_count) + (self._request_rng.random() < expected_count % 1)
        limit = self._limit(now)
        for _ in range(request_count):
            cost = _STREAM_TOKENS if self._request_rng.random() < _STREAM_SHARE else _CALL_TOKENS
            position = start + (end - start) * self._request_rng.random()
            strategy = self._fleet[
                min(self._instance_count - 1, int(position * self._instance_count))
            ]
            strategy.limit = limit
            granted = strategy.admit(cost, now)
            granted_centrally = self._central_bucket.take(cost, limit.rate, limit.burst, now)
            if granted_centrally:
                self._centrally_admitted.append((now, cost))
            if granted:
                self._admitted.append((now, cost))

    def peak_window_share(self) -> float:
        """Return the fullest window as a share of what the tolerance allows."""
        peak_share, oldest, window_tokens = 0.0, 0, 0
        window_s = _TOLERANCE.window_s
        for admitted_at, cost in self._admitted:
            window_tokens += cost
            while self._admitted[oldest][0] <= admitted_at - window_s:
                window_tokens -= self._admitted[oldest][1]
                oldest += 1
            # A reduced limit applies one window later.
            limit = (
                self._limit(max(0.0, admitted_at - window_s))
                if self._limit(admitted_at) != _LIMIT
                else _LIMIT
            )
            bound = (limit.rate * window_s + limit.burst) * (1 + _TOLERANCE.overshoot)
            peak_share = max(peak_share, window_tokens / (bound + _TOLERANCE.slack))
        return peak_share

    def shortfall_share(self) -> float:
        """Return how much less was admitted than by the central bucket, as a share of the latter.

        Each window is compared separately; windows in which more was admitted count as 0.
        """
        shortfalls: dict[int, int] = {}
        for admitted_at, cost in self._centrally_admitted:
            window = int(admitted_at / _TOLERANCE.window_s)
            shortfalls[window] = shortfalls.get(window, 0) + cost
        centrally_admitted_tokens = sum(shortfalls.values())
        for admitted_at, cost in self._admitted:
            shortfalls[int(admitted_at / _TOLERANCE.window_s)] -= cost
        return sum(max(0, tokens) for tokens in shortfalls.values()) / centrally_admitted_tokens


def measure_limit(strategy: str, pattern: str, instance_count: int, seed: int) -> dict[str, Any]:
    """Simulate one strategy under one pattern.

    Args:
        strategy: One of ``STRATEGIES``.
        pattern: One of ``PATTERNS``.
        instance_count: Number of instances.
        seed: Seed of the requests and of datagram losses.

    Returns:
        One row: ``window`` is the fullest window as a share of what the tolerance allows,
        ``refused`` is how much less was admitted than one central bucket would have admitted,
        as a share, and ``news`` is the number of urgent datagrams per second and instance, apart
        from heartbeats.
    """
    simulation = _Simulation(STRATEGIES[strategy], PATTERNS[pattern], instance_count, seed)
    simulation.run()
    return {
        "pattern": pattern,
        "way": strategy,
        "instances": instance_count,
        "window": simulation.peak_window_share(),
        "refused": simulation.shortfall_share(),
        "news": simulation.urgent_datagram_count / instance_count / _DURATION_S,
    }
