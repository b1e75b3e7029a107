"""Ways to hold an organisation's limit over many instances, compared in virtual time.

One organisation, many instances, one pattern of demand and trouble. Every way sees the same
requests. What is measured: by how much the fullest window is filled, and how much less passed
than one central bucket would have let pass.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, NamedTuple

from cleatlink.core.organisations import Organisation, UsageLimit
from cleatlink.limits import PEER_TIMEOUT_S, PeerTotals
from cleatlink.organisations import LimitTolerance, OrganisationLimits

__all__ = ["PATTERNS", "WAYS", "Pattern", "measure_limit"]

_TICK_S = 0.01
_BEAT_S = 1.0
_NEWS_S = 0.1
# Who is heard is looked at with each heartbeat of a peer.
_LOOK_TICKS = 10
_LENGTH_S = 30.0
_LOSS = 0.02
_DELAY_S = 0.003
# A request is a call of few tokens or a stream of many, as one day's mix of calls has it.
_SMALL, _LARGE, _LARGE_SHARE = 200, 14_000, 0.12
_MEAN = _SMALL * (1 - _LARGE_SHARE) + _LARGE * _LARGE_SHARE
_LIMIT = UsageLimit(60_000.0, 60_000.0, counts_tokens=True)
_TOLERANCE = LimitTolerance(0.25, 120_000.0, 8.0)


class Pattern(NamedTuple):
    """Demand, as a factor of the limit, and trouble.

    Attributes:
        factor: Demand by time.
        spread: Instances that callers reach, as a share of all, by time.
        side: Part of the network of an instance, by its share of the numbers and time.
        restarts_at: When all instances start anew; never if negative.
        limit: Factor of the limit by time.
    """

    factor: Callable[[float], float]
    spread: Callable[[float], tuple[float, float]] = lambda now: (0.0, 1.0)
    side: Callable[[float, float], int] = lambda place, now: 0
    restarts_at: float = -1.0
    limit: Callable[[float], float] = lambda now: 1.0


def _cut(place: float, now: float) -> int:
    return int(10 <= now < 18 and place >= 0.5)


def _wander(now: float) -> tuple[float, float]:
    first = (now / _LENGTH_S) * 0.8
    return first, first + 0.1


PATTERNS: dict[str, Pattern] = {
    "calm": Pattern(lambda now: 0.55),
    "one instance": Pattern(lambda now: 0.55, lambda now: (0.0, 0.001)),
    "wanders": Pattern(lambda now: 0.55, _wander),
    "hot": Pattern(lambda now: 8.0 if 10 <= now < 20 else 0.55),
    "cut": Pattern(lambda now: 0.55, side=_cut),
    "hot and cut": Pattern(lambda now: 8.0 if 8 <= now < 20 else 0.55, side=_cut),
    "all restart": Pattern(lambda now: 0.55, restarts_at=12.0),
    "hot and restart": Pattern(lambda now: 8.0 if 8 <= now < 20 else 0.55, restarts_at=12.0),
    "limit cut": Pattern(lambda now: 0.55, limit=lambda now: 0.2 if 10 <= now < 20 else 1.0),
}


class LimitWay(ABC):
    """How one instance decides whether a request is within the limit."""

    def __init__(self, number: int, instances: int, now: float) -> None:
        self.number = number
        self.instances = instances
        self.limit = _LIMIT
        self.started_at = now

    @abstractmethod
    def ask(self, cost: int, now: float) -> bool:
        """Tell whether a request passes."""

    def beat(self, now: float) -> Any:
        """Give what all peers are told each second; None for nothing."""
        return None

    def news(self, now: float) -> Any:
        """Give what all peers are told at once; None for nothing."""
        return None

    def hear(self, sender: int, message: Any, now: float) -> None:
        """Take what a peer told; most ways need nothing."""
        return

    def note_heard(self, heard: list[int], now: float) -> None:
        """Note which instances are heard, this one included; most ways need nothing."""
        return


class _PlainBucket:
    """A token bucket."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.at = now

    def take(self, cost: float, rate: float, burst: float, now: float) -> bool:
        """Take a cost out if it is there."""
        self.level = min(burst, self.level + rate * (now - self.at))
        self.at = now
        if self.level < min(cost, burst):
            return False
        self.level -= cost
        return True


class EqualShares(LimitWay):
    """Each instance has the same part of the limit."""

    def __init__(self, number: int, instances: int, now: float) -> None:
        super().__init__(number, instances, now)
        self._bucket = _PlainBucket(_LIMIT.burst / instances, now)

    def ask(self, cost: int, now: float) -> bool:
        """Take it out of the own part."""
        limit = _TOLERANCE.raised_limit(self.limit)
        return self._bucket.take(
            cost, limit.rate / self.instances, limit.burst / self.instances, now
        )


class DemandShares(LimitWay):
    """Each instance has a part of the limit by what it was asked for lately."""

    def __init__(self, number: int, instances: int, now: float) -> None:
        super().__init__(number, instances, now)
        self._bucket = _PlainBucket(_LIMIT.burst / instances, now)
        self._asked = 0.0
        self._at = now
        self._told: dict[int, float] = {}

    def ask(self, cost: int, now: float) -> bool:
        """Take it out of the part that follows the own demand."""
        self._asked = self._asked * 0.5 ** (now - self._at) + cost
        self._at = now
        everybody = self._asked + sum(self._told.values())
        share = max(self._asked / everybody, 0.25 / self.instances)
        limit = _TOLERANCE.raised_limit(self.limit)
        return self._bucket.take(cost, share * limit.rate, share * limit.burst, now)

    def beat(self, now: float) -> Any:
        """Tell the own demand."""
        return round(self._asked * 0.5 ** (now - self._at))

    def hear(self, sender: int, message: Any, now: float) -> None:
        """Note a peer's demand."""
        self._told[sender] = message


class SharedTotals(LimitWay):
    """Each instance has the whole limit and takes out what all let pass."""

    def __init__(self, number: int, instances: int, now: float) -> None:
        super().__init__(number, instances, now)
        self._limits = OrganisationLimits(_TOLERANCE, now)
        self._incarnation = int(1000 * now)
        self._organisation = Organisation("a", (), None, _LIMIT)
        self._limits.use_table([self._organisation])
        self._has_news = False

    def ask(self, cost: int, now: float) -> bool:
        """Ask the limits as an instance does."""
        if self.limit != self._organisation.limit:
            self._organisation = Organisation("a", (), None, self.limit)
            self._limits.use_table([self._organisation])
        granted = self._limits.admit(self._organisation, cost, now).granted
        self._has_news = self._has_news or granted and self._limits.is_level_low(self._organisation)
        return granted

    def _tell(self, now: float) -> PeerTotals:
        limits = self._limits
        totals, age_s = limits.totals(now), limits.uptime_s(now)
        return PeerTotals(
            str(self.number), self._incarnation, totals, limits.used_name_count, age_s
        )

    def beat(self, now: float) -> Any:
        """Tell the own totals."""
        return self._tell(now)

    def news(self, now: float) -> Any:
        """Tell the own totals at once if little is left."""
        if not self._has_news:
            return None
        self._has_news = False
        return self._tell(now)

    def hear(self, sender: int, message: Any, now: float) -> None:
        """Take a peer's totals."""
        self._limits.take_totals(message, now)

    def note_heard(self, heard: list[int], now: float) -> None:
        """Note the part of all instances that is heard."""
        self._limits.set_reachable_share(len(heard) / self.instances, now)


class Owner(LimitWay):
    """One instance owns the limit and lends parts of it, for a second, in one round trip."""

    fleet: list["Owner"]

    def __init__(self, number: int, instances: int, now: float) -> None:
        super().__init__(number, instances, now)
        self._bucket = _PlainBucket(0.5 * _LIMIT.burst, now)
        self._loan = 0.0
        self._loan_ends = 0.0
        self._heard = list(range(instances))
        self.loans = 0

    def ask(self, cost: int, now: float) -> bool:
        """Pay out of the loan, or ask the owner for another one."""
        if now >= self._loan_ends:
            self._loan = 0.0
        if self._loan < cost:
            wanted = max(float(cost), 0.2 * self.limit.rate / self.instances)
            owner = Owner.fleet[min(self._heard, key=lambda number: (number * 7919) % 1009)]
            self.loans += 1
            if not owner.lend(wanted, len(self._heard) / self.instances, now):
                return False
            self._loan += wanted
            self._loan_ends = now + 1.0
        self._loan -= cost
        return True

    def lend(self, wanted: float, share: float, now: float) -> bool:
        """Lend a part of the limit, of which the owner has the share of those it hears."""
        limit = _TOLERANCE.raised_limit(self.limit)
        return self._bucket.take(wanted, share * limit.rate, limit.burst, now)

    def note_heard(self, heard: list[int], now: float) -> None:
        """Note among whom the owner is."""
        self._heard = heard


WAYS: dict[str, type[LimitWay]] = {
    "equal shares": EqualShares,
    "demand shares": DemandShares,
    "owner": Owner,
    "shared totals": SharedTotals,
}


class _Run:
    """One way under one pattern."""

    def __init__(self, way: type[LimitWay], pattern: Pattern, instances: int, seed: int) -> None:
        self._way = way
        self._pattern = pattern
        self._count = instances
        # Two generators: every way sees the same requests.
        self._rng = random.Random(seed)
        self._demand = random.Random(seed + 1)
        self._fleet = [way(number, instances, 0.0) for number in range(instances)]
        self._central = _PlainBucket(_LIMIT.burst, 0.0)
        self._heard_at = [[0.0] * instances for _ in range(instances)]
        self._post: list[tuple[float, int, int, Any]] = []
        self._passed: list[tuple[float, int]] = []
        self._beats = [self._rng.random() * _BEAT_S for _ in range(instances)]
        self._news_at = [0.0] * instances
        self._owed: list[tuple[float, int]] = []
        self.sent = 0

    def play(self) -> None:
        """Play the whole pattern."""
        for tick in range(int(_LENGTH_S / _TICK_S)):
            now = tick * _TICK_S
            if self._way is Owner:
                Owner.fleet = self._fleet  # type: ignore[assignment]
            self._restart(tick)
            self._deliver(now)
            self._tell(now)
            if tick % _LOOK_TICKS == 0:
                for number in range(self._count):
                    self._hear_whom(number, now)
            self._arrive(now)

    def _limit(self, now: float) -> UsageLimit:
        factor = self._pattern.limit(now)
        return _LIMIT._replace(rate=factor * _LIMIT.rate, burst=factor * _LIMIT.burst)

    def _restart(self, tick: int) -> None:
        if tick == round(self._pattern.restarts_at / _TICK_S):
            now = tick * _TICK_S
            self._fleet = [self._way(number, self._count, now) for number in range(self._count)]
            self._post.clear()

    def _side(self, number: int, now: float) -> int:
        return self._pattern.side(number / self._count, now)

    def _deliver(self, now: float) -> None:
        due = [item for item in self._post if item[0] <= now]
        self._post = [item for item in self._post if item[0] > now]
        for _, sender, receiver, message in due:
            self._heard_at[receiver][sender] = now
            if message is not None:
                self._fleet[receiver].hear(sender, message, now)

    def _tell(self, now: float) -> None:
        for number, way in enumerate(self._fleet):
            if now >= self._beats[number]:
                self._beats[number] += _BEAT_S
                self._send(number, way.beat(now), now)
            if now >= self._news_at[number]:
                news = way.news(now)
                if news is not None:
                    self._news_at[number] = now + _NEWS_S
                    self.sent += self._count - 1
                    self._send(number, news, now)

    def _hear_whom(self, number: int, now: float) -> None:
        heard = [
            other
            for other in range(self._count)
            if other == number or now - self._heard_at[number][other] <= PEER_TIMEOUT_S
        ]
        self._fleet[number].note_heard(heard, now)

    def _send(self, sender: int, message: Any, now: float) -> None:
        side = self._side(sender, now)
        for receiver in range(self._count):
            reached = receiver != sender and self._side(receiver, now) == side
            if reached and self._rng.random() >= _LOSS:
                self._post.append((now + _DELAY_S, sender, receiver, message))

    def _arrive(self, now: float) -> None:
        expected = self._pattern.factor(now) * _LIMIT.rate * _TICK_S / _MEAN
        first, last = self._pattern.spread(now)
        count = int(expected) + (self._demand.random() < expected % 1)
        limit = self._limit(now)
        for _ in range(count):
            cost = _LARGE if self._demand.random() < _LARGE_SHARE else _SMALL
            place = first + (last - first) * self._demand.random()
            way = self._fleet[min(self._count - 1, int(place * self._count))]
            way.limit = limit
            granted = way.ask(cost, now)
            owed = self._central.take(cost, limit.rate, limit.burst, now)
            if owed:
                self._owed.append((now, cost))
            if granted:
                self._passed.append((now, cost))

    def worst_window(self) -> float:
        """Give the fullest window, as a share of what the tolerance allows."""
        worst, start, total = 0.0, 0, 0
        window_s = _TOLERANCE.window_s
        for at, cost in self._passed:
            total += cost
            while self._passed[start][0] <= at - window_s:
                total -= self._passed[start][1]
                start += 1
            # A lower limit binds one window later.
            limit = self._limit(max(0.0, at - window_s)) if self._limit(at) != _LIMIT else _LIMIT
            bound = (limit.rate * window_s + limit.burst) * (1 + _TOLERANCE.overshoot)
            worst = max(worst, total / (bound + _TOLERANCE.slack))
        return worst

    def refused_share(self) -> float:
        """Give by how much less passed than one bucket lets pass, window by window."""
        windows: dict[int, int] = {}
        for at, cost in self._owed:
            number = int(at / _TOLERANCE.window_s)
            windows[number] = windows.get(number, 0) + cost
        owed = sum(windows.values())
        for at, cost in self._passed:
            windows[int(at / _TOLERANCE.window_s)] -= cost
        return sum(max(0, rest) for rest in windows.values()) / owed


def measure_limit(way: str, pattern: str, instances: int, seed: int) -> dict[str, Any]:
    """Play one way under one pattern.

    Args:
        way: One of ``WAYS``.
        pattern: One of ``PATTERNS``.
        instances: How many there are.
        seed: Decides demand and losses.

    Returns:
        One row: ``window`` is the fullest window as a share of what may pass at the most,
        ``refused`` by how much less passed than one central bucket lets pass, ``news``
        the datagrams a second and instance beside heartbeats.
    """
    run = _Run(WAYS[way], PATTERNS[pattern], instances, seed)
    run.play()
    return {
        "pattern": pattern,
        "way": way,
        "instances": instances,
        "window": run.worst_window(),
        "refused": run.refused_share(),
        "news": run.sent / instances / _LENGTH_S,
    }
