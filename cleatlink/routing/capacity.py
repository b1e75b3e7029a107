"""What an instance believes of endpoints' capacity: registrations, work, outcomes.

Work is counted by reservations: this instance's own, exact and at once, and
those that peers tell. An engine runs out of memory before slots, so a decode
reserves the tokens that it will hold when it ends. Outcomes of calls, not
health checks, decide whether an endpoint is avoided for a while.
"""

import math

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineTraits, RoutedEndpoint
from cleatlink.routing.demand import DemandMeter, RoleDemand, StreamPromise
from cleatlink.routing.endpoint_limits import EndpointLimits
from cleatlink.routing.endpoint_pace import EndpointPaces, PaceKind
from cleatlink.routing.mechanisms import Mechanism, Switches
from cleatlink.routing.notices import EndpointNotices
from cleatlink.routing.outcomes import EndpointOutcomes
from cleatlink.routing.own_pauses import OwnPauses
from cleatlink.routing.pace import PaceSummary, ServicePace
from cleatlink.routing.plain_load import PlainLoad
from cleatlink.routing.plain_returns import PlainReturns
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.shared_waiting import SharedWaiting
from cleatlink.routing.shed_limits import ShedLimits
from cleatlink.routing.spill_over import SpillOver
from cleatlink.routing.uploads import UploadPaces
from cleatlink.routing.workload import Workload

__all__ = ["Capacity"]


class Capacity(Workload):
    """The mutable view on top of the work; every method takes the time as an argument."""

    def __init__(self, switches: Switches | None = None, now: float = 0.0) -> None:
        """Start without anything known.

        Args:
            switches: Mechanisms that are switched off.
            now: The time.
        """
        self.notices = EndpointNotices()
        self.limits = EndpointLimits(now)
        self.endpoint_paces = EndpointPaces()
        self.plain = PlainLoad(now)
        self.plain_returns = PlainReturns()
        self.upload_paces = UploadPaces()
        self.own_pauses = OwnPauses()
        super().__init__(self.notices.begin_work, self.notices.end_work)
        self.switches = switches or Switches()
        self.spill_over = SpillOver(is_on=self.switches.uses(Mechanism.SPILL_OVER))
        self.waiting = SharedWaiting(is_on=self.switches.uses(Mechanism.SHARED_WAITING))
        self._endpoints: dict[str, RoutedEndpoint] = {}
        self._by_service: dict[str, list[RoutedEndpoint]] = {}
        # The newest life of each registration that is known.
        self._lives: dict[str, str] = {}
        self._outcomes = EndpointOutcomes()
        self._shed_limits = ShedLimits()
        # Registrations that another endpoint's answer at the same address has refuted.
        self._refuted: dict[str, RoutedEndpoint] = {}
        self._switching: dict[str, float] = {}
        self._meters: dict[str, DemandMeter] = {}
        self._paces: dict[str, ServicePace] = {}

    def pace(self, service: str) -> ServicePace:
        """Give what was learned of a service's pace."""
        pace = self._paces.get(service)
        if pace is None:
            pace = self._paces[service] = ServicePace(self.switches)
        return pace

    def speed(self, name: str, now: float) -> float:
        """Give how fast an endpoint is beside its service's usual pace; 1.0 if not known."""
        if not self.switches.uses(Mechanism.ENDPOINT_PACE):
            return 1.0
        return self.endpoint_paces.speed(name, now)

    def plain_s(self, endpoint: RoutedEndpoint, now: float) -> float:
        """Give the seconds that an endpoint takes for a plain call; 0 if that is not known."""
        return self.pace(endpoint.service).plain_s / self.speed(endpoint.name, now)

    def note_tokens(self, name: str, tokens: int, seconds: float, now: float) -> None:
        """Learn an endpoint's speed from a stretch of a stream beside others."""
        endpoint = self._endpoints.get(name)
        if endpoint is None or tokens <= 0:
            return
        load = self.usage(name, Role.DECODE).running / max(1, endpoint.slots)
        self.endpoint_paces.note_tokens(name, endpoint.service, seconds / tokens, load, now)

    def note_duration(
        self, name: str, kind: PaceKind, seconds: float, usual_s: float, now: float
    ) -> None:
        """Learn an endpoint's speed from a prompt or a plain call.

        Args:
            name: The endpoint.
            kind: What it did.
            seconds: How long it took.
            usual_s: How long it takes on the service's endpoints; 0 if that is not known.
            now: The time.
        """
        if name in self._endpoints and usual_s > 0:
            self.endpoint_paces.note(name, kind, seconds / usual_s, now)

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
        self._outcomes.forget(name)
        self.endpoint_paces.forget(name)
        self.upload_paces.forget(name)
        self._shed_limits.forget(name)
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
        self._outcomes.note_success(name, now)

    def note_unreached_by_peers(self, name: str, now: float) -> None:
        """Note that peers that share this instance's links can't reach an endpoint."""
        if self.switches.uses(Mechanism.HINTS):
            self._outcomes.note_unreached_by_peers(name, now)

    def note_failure(self, name: str, now: float) -> None:
        """Note that an endpoint failed; it is avoided for a while."""
        self._outcomes.note_failure(name, now)

    def note_slow(self, name: str, now: float) -> None:
        """Note that several instances found an endpoint slow."""
        if self.switches.uses(Mechanism.HINTS):
            self._outcomes.note_slow(name, now)

    def note_full(self, name: str, now: float) -> None:
        """Note that an endpoint had no room just now."""
        self._outcomes.note_full(name, now)

    def note_shed(self, name: str, tokens: int, now: float) -> bool:
        """Note that a decode had no room for a stream, which is not counted there.

        Args:
            name: The decode.
            tokens: Size of the stream at its end.
            now: The time.

        Returns:
            Whether peers gain by hearing of it.
        """
        if not self.switches.uses(Mechanism.SHED_LIMITS):
            return False
        held = self.usage(name, Role.DECODE).tokens
        return self._shed_limits.note_refused(name, held, tokens, now)

    def note_held(self, name: str) -> None:
        """Note that a decode took a stream that is counted there."""
        self._shed_limits.note_held(name, self.usage(name, Role.DECODE).tokens)

    def free_tokens(self, name: str, now: float) -> float:
        """Give what fits on a decode by its latest refusal, in tokens; infinite without one."""
        return self._shed_limits.below_tokens(name, now) - self.usage(name, Role.DECODE).tokens

    def note_room(self, name: str) -> None:
        """Note that an endpoint had room just now."""
        self._outcomes.note_room(name)

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
        opens_at = [self.opens_at(endpoint.name, now) for endpoint in self.in_role(service, role)]
        return max(0.0, min(opens_at) - now) if opens_at else None

    def opens_at(self, name: str, now: float) -> float:
        """Give when an endpoint takes something new: no rest any more, and its limit allows it."""
        return max(self.full_until(name), now + self.limits.due_in_s(name, now))

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
            if not self._outcomes.is_out_of_reach(endpoint.name, now)
        ]

    def is_full(self, name: str, now: float) -> bool:
        """Tell whether an endpoint gets nothing now: no room just now, a rest or tries after it."""
        return now < self.full_until(name) or not self.notices.may_begin(name, now)

    def full_until(self, name: str) -> float:
        """Give until when an endpoint gets nothing new because it had no room, or rests."""
        return max(self._outcomes.full_until(name), self.notices.rests_until(name))

    def _avoided(self, name: str, now: float) -> bool:
        return self.notices.is_told_to_rest(name, now) or self._outcomes.is_avoided(name, now)

    def begins_in_s(self, name: str, now: float) -> float:
        """Give in how many seconds a prefill begins a new prompt: its queue, and its limit."""
        queue_s = self.queue_s(name) / self.speed(name, now)
        return max(queue_s, self.limits.due_in_s(name, now))

    def prompt_queues_s(self, service: str, now: float) -> dict[str, float]:
        """Give in how many seconds a prefill begins a prompt, by its data centre."""
        found: dict[str, float] = {}
        for endpoint in self.candidates(service, Role.PREFILL, now):
            begins_in_s = self.begins_in_s(endpoint.name, now)
            known_s = found.get(endpoint.data_centre, math.inf)
            found[endpoint.data_centre] = min(known_s, begins_in_s)
        return found

    def queue_s(self, name: str) -> float:
        """Give how long a prefill of the usual speed would still take for its prompts.

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
