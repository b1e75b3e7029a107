"""What an instance believes of endpoints' capacity: registrations, work, outcomes.

Work is counted by reservations: this instance's own, exact and at once, and
those that peers tell. An engine runs out of memory before slots, so a decode
reserves the tokens that it will hold when it ends. Outcomes of calls, not
health checks, decide whether an endpoint is avoided for a while.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineTraits, RoutedEndpoint
from cleatlink.routing.demand import DemandMeter, RoleDemand, StreamPromise
from cleatlink.routing.mechanisms import Mechanism, Switches
from cleatlink.routing.notices import EndpointNotices
from cleatlink.routing.pace import PaceSummary, ServicePace

__all__ = ["Capacity", "Reservation", "Usage", "peak_memory"]

# An endpoint that failed is avoided for this long, doubled for each failure in a row.
_AVOID_S = 0.5
# The longest; an endpoint that is back is found within it.
_MOST_AVOID_S = 8.0
# An endpoint that had no room gets nothing new for so long, doubled for each time in a row:
# what was believed of its room is wrong then, and nothing tells when it will be right.
_FULL_AVOID_S = 0.15
_MOST_FULL_AVOID_S = 1.2
# Failures in a row after which an endpoint counts as out of reach.
_OUT_OF_REACH_FAILURES = 3
# What peers could not reach is avoided for so long, unless it answered here just now.
_HINT_S = 0.8
_REACHED_S = 0.5
# An endpoint that several instances found slow gets nothing new for so long.
_SLOW_S = 2.5
# Work that is overdue goes on for about this share of the time that it took so far: half of
# the lengths that are spread like callers' estimates (by a half of the logarithm) and
# passed a time end within three tenths of it.
_OVERDUE_SHARE = 0.3


class Reservation(NamedTuple):
    """Work placed on an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        role: Prefill, decode or plain.
        tokens: Prompt tokens of a prefill; memory of a decode at its end.
        ends_at: When it is expected to be over.
        duration_s: How long it is expected to take.
        grows: Tokens of its memory that come in the course of it.
        suspicion: At how many crashes of endpoints its request was in progress.
    """

    endpoint: str
    role: Role
    tokens: int
    ends_at: float
    duration_s: float = 0.0
    grows: int = 0
    suspicion: int = 0

    def expected_end(self, now: float) -> float:
        """Give when it should be over, as seen now: what is overdue takes longer."""
        if self.ends_at > now:
            return self.ends_at
        return now + _OVERDUE_SHARE * (now - self.ends_at + self.duration_s)

    def memory_at(self, time: float) -> float:
        """Give the memory that it holds at a time, in tokens."""
        return self.tokens - self._share_left(time) * self.grows

    def open_growth(self, now: float) -> float:
        """Give the part of its growth whose size is not known yet, in tokens."""
        return self.grows * max(_OVERDUE_SHARE, self._share_left(now))

    def _share_left(self, time: float) -> float:
        if not self.duration_s:
            return 0.0
        return min(1.0, max(0.0, (self.ends_at - time) / self.duration_s))


def peak_memory(work: Sequence[Reservation], now: float, spread: float = 0.0) -> float:
    """Give the most memory that some work on one endpoint will hold at a time, in tokens.

    Streams grow until they end, each at its own time, so that their final
    sizes never stand together: the most is held just before one of the ends.

    Args:
        work: The work.
        now: The time.
        spread: How far answers' lengths deviate from their estimates, as a share of
            them; room is kept for that.
    """
    if not work:
        return 0.0
    ends = [(item.expected_end(now), item) for item in work]
    peak = max(sum(item.memory_at(time) for end, item in ends if end >= time) for time, _ in ends)
    return peak + spread * math.hypot(*(item.open_growth(now) for item in work))


class Usage(NamedTuple):
    """How much work is placed on an endpoint."""

    running: int = 0
    tokens: int = 0


_UNUSED = Usage()


class _Outcomes:
    """What calls to one endpoint came to lately."""

    __slots__ = (
        "avoid_until",
        "failures",
        "full_until",
        "refusals",
        "slow_until",
        "succeeded_at",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.succeeded_at = -math.inf
        self.avoid_until = 0.0
        self.full_until = 0.0
        self.refusals = 0
        self.slow_until = 0.0


class Capacity:
    """The mutable view; every method takes the time as an argument."""

    def __init__(self, switches: Switches | None = None) -> None:
        self.switches = switches or Switches()
        self._endpoints: dict[str, RoutedEndpoint] = {}
        self._by_service: dict[str, list[RoutedEndpoint]] = {}
        # The newest life of each registration that is known.
        self._lives: dict[str, str] = {}
        self._own: dict[str, Reservation] = {}
        self._peers: dict[str, dict[str, Reservation]] = {}
        self._usage: dict[tuple[str, Role], Usage] = {}
        self._placed: dict[tuple[str, Role], list[Reservation]] = {}
        self._outcomes: dict[str, _Outcomes] = {}
        # Registrations that another endpoint's answer at the same address has refuted.
        self._refuted: dict[str, RoutedEndpoint] = {}
        self.notices = EndpointNotices()
        self._switching: dict[str, float] = {}
        self._suspects = 0
        self._meters: dict[str, DemandMeter] = {}
        self._paces: dict[str, ServicePace] = {}

    def pace(self, service: str) -> ServicePace:
        """Give what was learned of a service's pace."""
        return self._paces.setdefault(service, ServicePace(self.switches))

    def pace_summaries(self, now: float) -> dict[str, tuple[PaceSummary, float]]:
        """Give what peers may take over of services' paces, with its age in seconds."""
        found = {name: pace.summary(now) for name, pace in self._paces.items()}
        return {name: item for name, item in found.items() if item is not None}

    def note_demand(self, work: Reservation, now: float) -> None:
        """Count a stream that was placed at a decode as demand on its service."""
        endpoint = self._endpoints.get(work.endpoint)
        if endpoint is not None and work.role is Role.DECODE:
            self._meter(endpoint.service).note(work.tokens - work.grows, work.grows, now)

    def demand(
        self, service: str, traits: EngineTraits, promise: StreamPromise, now: float
    ) -> RoleDemand | None:
        """Give the demand on a service's engines; None while their paces are not known.

        Args:
            service: The service.
            traits: What its engines have in common.
            promise: What the service's routes promise.
            now: The time.
        """
        pace, meter = self.pace(service), self._meter(service)
        if not pace.is_known:
            return None
        prompt, output = meter.mean_prompt, meter.mean_output
        # Answers grow, each at its own time: they hold half of their size on the average.
        held = max(1.0, prompt + output / 2)
        places = min(float(traits.slots), traits.memory_tokens / held)
        prompt_s = pace.prompt_s(int(prompt))
        stream_s = prompt_s + pace.stream_s(int(output))
        rates, place_rates = meter.rates(now), meter.rates(now, stream_s)
        slack_s = pace.bearable_s(promise.target_s, prompt_s) - prompt_s - pace.start_s
        pause_s = pace.direct_pause_s(prompt_s, traits.event_tokens)
        shares_prompts = pause_s <= promise.event_gap_s
        return RoleDemand(
            rates, place_rates, prompt_s, stream_s, places, slack_s, shares_prompts, meter.requests
        )

    def _meter(self, service: str) -> DemandMeter:
        return self._meters.setdefault(service, DemandMeter())

    def note_switching(self, name: str, until: float) -> None:
        """Note that an endpoint changes its role and serves neither meanwhile."""
        self._switching[name] = max(until, self._switching.get(name, 0.0))

    def switching(self, now: float) -> dict[str, float]:
        """Give the endpoints that change their role, with the seconds that are left."""
        return {name: until - now for name, until in self._switching.items() if until > now}

    def in_role(self, service: str, role: Role) -> list[RoutedEndpoint]:
        """Give a service's endpoints in a role that stay, changing ones included."""
        return [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if endpoint.role is role and self._stays(endpoint)
        ]

    def leaving(self, service: str) -> set[str]:
        """Give the names of a service's endpoints that take no new work."""
        return {
            endpoint.name
            for endpoint in self._by_service.get(service, ())
            if not self._stays(endpoint)
        }

    def _stays(self, endpoint: RoutedEndpoint) -> bool:
        """Tell whether an endpoint takes new work, as far as anybody has said."""
        name = endpoint.name
        if endpoint.leaving or self.notices.is_leaving(name):
            return False
        return self._refuted.get(name) != endpoint

    @property
    def endpoints(self) -> dict[str, RoutedEndpoint]:
        """Endpoints by name."""
        return self._endpoints

    @property
    def own(self) -> dict[str, Reservation]:
        """This instance's reservations by key."""
        return self._own

    def set_endpoint(self, endpoint: RoutedEndpoint) -> str | None:
        """Take an endpoint's registration; gives the name of the life that it replaces, if any.

        All that is known of the life before ends with it: reservations of streams that hang
        behind a cut filled the new one's memory, and two of four new ones waited for over 2 s.
        """
        before = self._lives.get(endpoint.answers_to)
        replaced = before if before in self._endpoints and before != endpoint.name else None
        if replaced is not None:
            self.remove_endpoint(replaced)
        self._lives[endpoint.answers_to] = endpoint.name
        known = self._endpoints.get(endpoint.name)
        if known is not None and known.role is not endpoint.role:
            self._switching.pop(endpoint.name, None)
        self._endpoints[endpoint.name] = endpoint
        self._index()
        return replaced

    def life_of(self, registration: str) -> str | None:
        """Give the name of the life that is registered under a name now."""
        life = self._lives.get(registration)
        return life if life in self._endpoints else None

    def knows_life(self, endpoint: RoutedEndpoint) -> bool:
        """Tell whether a life of an endpoint is registered now."""
        return endpoint.name in self._endpoints

    def is_over(self, endpoint: RoutedEndpoint) -> bool:
        """Tell whether a life of an endpoint is known to be over: a newer one has begun."""
        return self._lives.get(endpoint.answers_to, endpoint.name) != endpoint.name

    def remove_endpoint(self, name: str) -> None:
        """Forget an endpoint."""
        self._endpoints.pop(name, None)
        self._outcomes.pop(name, None)
        self._refuted.pop(name, None)
        self._switching.pop(name, None)
        self._index()

    def _index(self) -> None:
        self._by_service = {}
        for endpoint in self._endpoints.values():
            self._by_service.setdefault(endpoint.service, []).append(endpoint)

    def note_misdirected(self, name: str) -> None:
        """Note that what is asked at an endpoint's address is not the one that is registered.

        It refutes the registration as it stands, until the endpoint writes another one. As the
        endpoint's own word that it leaves, it kept an engine that had only taken another role
        from all work until its entry was gone.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            self._refuted[name] = endpoint

    def note_success(self, name: str, now: float) -> None:
        """Note that an endpoint did what it was asked."""
        outcomes = self._outcomes.setdefault(name, _Outcomes())
        # One that failed often is trusted again by degrees.
        outcomes.failures = max(0, outcomes.failures - 1)
        outcomes.avoid_until = 0.0
        outcomes.succeeded_at = now

    def note_unreached_by_peers(self, name: str, now: float) -> None:
        """Note that peers that share this instance's links can't reach an endpoint."""
        outcomes = self._outcomes.setdefault(name, _Outcomes())
        if not self.switches.uses(Mechanism.HINTS):
            return
        if now - outcomes.succeeded_at > _REACHED_S:
            outcomes.avoid_until = max(outcomes.avoid_until, now + _HINT_S)

    def note_failure(self, name: str, now: float) -> None:
        """Note that an endpoint failed; it is avoided for a while."""
        outcomes = self._outcomes.setdefault(name, _Outcomes())
        avoid_s = min(_MOST_AVOID_S, _AVOID_S * 2**outcomes.failures)
        outcomes.failures += 1
        outcomes.avoid_until = now + avoid_s

    def note_slow(self, name: str, now: float) -> None:
        """Note that several instances found an endpoint slow."""
        if self.switches.uses(Mechanism.HINTS):
            self._outcomes.setdefault(name, _Outcomes()).slow_until = now + _SLOW_S

    def note_full(self, name: str, now: float) -> None:
        """Note that an endpoint had no room just now."""
        outcomes = self._outcomes.setdefault(name, _Outcomes())
        full_s = min(_MOST_FULL_AVOID_S, _FULL_AVOID_S * 2**outcomes.refusals)
        outcomes.refusals += 1
        outcomes.full_until = now + full_s

    def note_room(self, name: str) -> None:
        """Note that an endpoint had room just now."""
        outcomes = self._outcomes.get(name)
        if outcomes is not None:
            outcomes.refusals = 0

    def takes_work(self, name: str) -> bool:
        """Tell whether an endpoint is registered and does not leave."""
        endpoint = self._endpoints.get(name)
        return endpoint is not None and self._stays(endpoint)

    def rest_left_s(self, name: str, now: float) -> float:
        """Give for how many seconds an endpoint still wants nothing; 0 for most."""
        return max(0.0, self.notices.rests_until(name) - now)

    def opens_in_s(self, service: str, role: Role, now: float) -> float | None:
        """Give in how many seconds the first endpoint that stays takes work again.

        Returns:
            0 if one does now; None if none stays.
        """
        opens_at = [self.full_until(endpoint.name) for endpoint in self.in_role(service, role)]
        return max(0.0, min(opens_at) - now) if opens_at else None

    def candidates(self, service: str, role: Role, now: float) -> list[RoutedEndpoint]:
        """Give a service's endpoints that may get work; avoided ones if there are no others.

        Where all of them rest they are given too, for forecasts: they count as full.
        """
        present = [
            endpoint
            for endpoint in self.in_role(service, role)
            if self._switching.get(endpoint.name, 0.0) <= now
        ]
        awake = [item for item in present if self.notices.rests_until(item.name) <= now]
        trusted = [endpoint for endpoint in awake if not self._avoided(endpoint.name, now)]
        return trusted or awake or present

    def reached(self, service: str, role: Role, now: float) -> list[RoutedEndpoint]:
        """Give a service's endpoints in a role that stay and are not out of reach."""
        return [
            endpoint
            for endpoint in self.in_role(service, role)
            if not self._out_of_reach(endpoint.name, now)
        ]

    def _out_of_reach(self, name: str, now: float) -> bool:
        outcomes = self._outcomes.get(name)
        if outcomes is None or outcomes.failures < _OUT_OF_REACH_FAILURES:
            return False
        return now < outcomes.avoid_until

    def is_full(self, name: str, now: float) -> bool:
        """Tell whether an endpoint gets nothing now: no room just now, a rest or tries after it."""
        return now < self.full_until(name) or not self.notices.may_begin(name, now)

    def full_until(self, name: str) -> float:
        """Give until when an endpoint gets nothing new because it had no room, or rests."""
        outcomes = self._outcomes.get(name)
        full_until = outcomes.full_until if outcomes is not None else 0.0
        return max(full_until, self.notices.rests_until(name))

    def _avoided(self, name: str, now: float) -> bool:
        if self.notices.is_told_to_rest(name, now):
            return True
        outcomes = self._outcomes.get(name)
        return outcomes is not None and now < max(outcomes.avoid_until, outcomes.slow_until)

    def reserve(self, key: str, reservation: Reservation) -> None:
        """Count work of this instance until it is released."""
        self.release(key)
        self._own[key] = reservation
        self._add(reservation, 1)
        self.notices.begin_work(reservation.endpoint, key)

    def release(self, key: str) -> None:
        """Forget work of this instance; unknown keys are fine."""
        reservation = self._own.pop(key, None)
        if reservation is not None:
            self._add(reservation, -1)
            self.notices.end_work(reservation.endpoint, key)

    def peer_reserve(self, peer: str, key: str, reservation: Reservation) -> None:
        """Count work that a peer tells of."""
        self.peer_release(peer, key)
        self._peers.setdefault(peer, {})[key] = reservation
        self._add(reservation, 1)

    def peer_release(self, peer: str, key: str) -> None:
        """Forget work of a peer."""
        reservation = self._peers.get(peer, {}).pop(key, None)
        if reservation is not None:
            self._add(reservation, -1)

    def peer_replace(self, peer: str, reservations: dict[str, Reservation]) -> None:
        """Take a peer's whole list of work in place of what was known."""
        for key in self._peers.get(peer, {}).keys() - reservations.keys():
            self.peer_release(peer, key)
        for key, reservation in reservations.items():
            self.peer_reserve(peer, key, reservation)

    def has_work_of(self, peer: str) -> bool:
        """Tell whether any work of a peer is counted."""
        return bool(self._peers.get(peer))

    def knows(self, peer: str, key: str) -> bool:
        """Tell whether a peer's work is counted already."""
        return key in self._peers.get(peer, {})

    def forget_peer(self, peer: str) -> None:
        """Forget everything that a peer told."""
        self.peer_replace(peer, {})
        self._peers.pop(peer, None)

    def expire_peers(self, now: float, slack_s: float) -> None:
        """Forget peers' work that took twice the expected time, and ``slack_s`` more."""
        for peer, reservations in self._peers.items():
            overdue = [
                key
                for key, item in reservations.items()
                if item.ends_at + item.duration_s + slack_s < now
            ]
            for key in overdue:
                self.peer_release(peer, key)

    def find(self, key: str) -> Reservation | None:
        """Give the work under a key, this instance's or a peer's."""
        sources = (self._own, *self._peers.values())
        return next((source[key] for source in sources if key in source), None)

    def usage(self, name: str, role: Role) -> Usage:
        """Give the work placed on an endpoint in a role."""
        return self._usage.get((name, role), _UNUSED)

    def placed(self, name: str, role: Role) -> list[Reservation]:
        """Give the work placed on an endpoint in a role."""
        return self._placed.get((name, role), [])

    def free_at(self, name: str, role: Role, now: float) -> float:
        """Give when all work on an endpoint is expected to be over."""
        return max((work.expected_end(now) for work in self.placed(name, role)), default=now)

    def queue_s(self, name: str) -> float:
        """Give how long a prefill still takes for the prompts that it has.

        It follows from their sizes alone: when each one was expected to be computed
        depends on those before it, and an error there would grow from one to the next.
        """
        endpoint = self._endpoints.get(name)
        placed = self.placed(name, Role.PREFILL)
        if endpoint is None or not placed:
            return 0.0
        first = min(placed, key=lambda work: work.ends_at)
        pace = self.pace(endpoint.service)
        # The first one is under way: half of it is done, on the average.
        return sum(pace.prompt_s(work.tokens) for work in placed) - pace.prompt_s(first.tokens) / 2

    def peak_memory(
        self, name: str, work: Sequence[Reservation], now: float, spread: float = 0.0
    ) -> float:
        """Give the most memory that a decode will hold if it takes some work too."""
        return peak_memory([*self.placed(name, Role.DECODE), *work], now, spread)

    def suspicion(self, name: str) -> int:
        """Give at how many crashes the most suspect request was that an endpoint runs."""
        if not self._suspects:
            return 0
        work = (item for role in Role for item in self.placed(name, role))
        return max((item.suspicion for item in work), default=0)

    def _add(self, reservation: Reservation, sign: int) -> None:
        self._suspects += sign * bool(reservation.suspicion)
        key = (reservation.endpoint, reservation.role)
        placed = self._placed.setdefault(key, [])
        if sign > 0:
            placed.append(reservation)
        else:
            placed.remove(reservation)
        if not placed:
            del self._placed[key]
        usage = self._usage.get(key, _UNUSED)
        changed = Usage(usage.running + sign, usage.tokens + sign * reservation.tokens)
        if changed.running > 0:
            self._usage[key] = changed
        else:
            self._usage.pop(key, None)
