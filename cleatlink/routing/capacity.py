"""An instance's estimate of endpoints' capacity, from registrations, reservations and outcomes.

Work is counted by reservations: this instance's own, which are exact and immediate, and those
that peers report. An engine runs out of memory before it runs out of slots, so a decode reserves
the tokens that it will hold when it ends. Outcomes of calls, not health checks, decide whether an
endpoint is avoided for a while.
"""

import math

from cleatlink.core.data import Role
from cleatlink.core.routes import EngineProperties, RoutedEndpoint
from cleatlink.routing.build_history import BuildHistory
from cleatlink.routing.demand import DemandMeter, LatencyTargets, RoleDemand
from cleatlink.routing.endpoint_limits import EndpointLimits
from cleatlink.routing.endpoint_speeds import EndpointSpeeds, SpeedSampleKind
from cleatlink.routing.mechanisms import Mechanism, MechanismSwitches
from cleatlink.routing.notices import EndpointNotices
from cleatlink.routing.outcomes import EndpointOutcomes
from cleatlink.routing.own_delay import OwnDelay
from cleatlink.routing.plain_load import PlainLoad
from cleatlink.routing.plain_retries import ExpectedPlainRetries
from cleatlink.routing.process_pauses import ProcessPauses
from cleatlink.routing.rejection_bounds import RejectionBounds
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.service_times import ServiceTimes, ServiceTimeSummary
from cleatlink.routing.shared_wait_queues import SharedWaitQueues
from cleatlink.routing.spill_over import SpillOver
from cleatlink.routing.uploads import ReadRates
from cleatlink.routing.workload import Workload

__all__ = ["Capacity"]


class Capacity(Workload):
    """Estimated state of all endpoints, including their reservations.

    Methods take the current time as an argument.
    """

    def __init__(self, switches: MechanismSwitches | None = None, now: float = 0.0) -> None:
        """Start without any endpoint.

        Args:
            switches: Which mechanisms are in use; all if it is not given.
            now: The current time, in seconds.
        """
        self.notices = EndpointNotices()
        self.endpoint_limits = EndpointLimits(now)
        self.endpoint_speeds = EndpointSpeeds()
        self.plain_load = PlainLoad(now)
        self.expected_plain_retries = ExpectedPlainRetries()
        self.read_rates = ReadRates()
        self.process_pauses = ProcessPauses()
        self.own_delay = OwnDelay()
        super().__init__(self.notices.begin_work, self.notices.end_work)
        self.switches = switches or MechanismSwitches()
        self.spill_over = SpillOver(is_on=self.switches.is_enabled(Mechanism.SPILL_OVER))
        self.shared_wait_queues = SharedWaitQueues(
            is_on=self.switches.is_enabled(Mechanism.SHARED_WAITING)
        )
        self._endpoints: dict[str, RoutedEndpoint] = {}
        self._by_service: dict[str, list[RoutedEndpoint]] = {}
        # Newest incarnation by registered name.
        self._incarnations: dict[str, str] = {}
        self.build_history = BuildHistory()
        self._outcomes = EndpointOutcomes()
        self._rejection_bounds = RejectionBounds()
        # Registrations refuted by an answer of another endpoint at their address.
        self._refuted: dict[str, RoutedEndpoint] = {}
        # Time at which the role change of an endpoint ends.
        self._role_change_ends: dict[str, float] = {}
        self._demand_meters: dict[str, DemandMeter] = {}
        self._service_times: dict[str, ServiceTimes] = {}

    def service_times(self, service: str) -> ServiceTimes:
        """Return the measured times of a service."""
        times = self._service_times.get(service)
        if times is None:
            times = self._service_times[service] = ServiceTimes(self.switches)
        return times

    def relative_speed(self, name: str, now: float) -> float:
        """Return an endpoint's speed relative to its service's usual speed; 1.0 if unknown."""
        if not self.switches.is_enabled(Mechanism.ENDPOINT_SPEEDS):
            return 1.0
        return self.endpoint_speeds.speed(name, now)

    def plain_call_s(self, endpoint: RoutedEndpoint, now: float) -> float:
        """Return the seconds that an endpoint takes for a plain call; 0 if unknown."""
        return self.service_times(endpoint.service).plain_call_s / self.relative_speed(
            endpoint.name, now
        )

    def note_token_time(self, name: str, tokens: int, seconds: float, now: float) -> None:
        """Update an endpoint's speed from the time that it took for some tokens of a stream."""
        endpoint = self._endpoints.get(name)
        if endpoint is None or tokens <= 0:
            return
        load = self.usage(name, Role.DECODE).running / max(1, endpoint.slots)
        self.endpoint_speeds.note_token_time(name, endpoint.service, seconds / tokens, load, now)

    def note_duration(
        self, name: str, kind: SpeedSampleKind, seconds: float, usual_s: float, now: float
    ) -> None:
        """Update an endpoint's speed from the duration of a prompt or a plain call.

        Args:
            name: Name of the endpoint.
            kind: Kind of work that was measured.
            seconds: Measured duration.
            usual_s: Usual duration on the service's endpoints; 0 if unknown.
            now: The current time, in seconds.
        """
        if name in self._endpoints and usual_s > 0:
            self.endpoint_speeds.note_ratio(name, kind, seconds / usual_s, now)

    def service_time_summaries(self, now: float) -> dict[str, tuple[ServiceTimeSummary, float]]:
        """Return the times of services that peers may adopt, each with its age in seconds."""
        summaries = {name: times.summary(now) for name, times in self._service_times.items()}
        return {name: item for name, item in summaries.items() if item is not None}

    def count_demand(self, work: Reservation, now: float) -> None:
        """Count a stream that was assigned to a decode as demand on its service."""
        endpoint = self._endpoints.get(work.endpoint)
        if endpoint is not None and work.role is Role.DECODE:
            self._demand_meter(endpoint.service).count_stream(
                work.tokens - work.growth_tokens, work.growth_tokens, now
            )

    def demand(
        self, service: str, traits: EngineProperties, targets: LatencyTargets, now: float
    ) -> RoleDemand | None:
        """Return the demand on a service's engines; None while their times are unknown.

        Args:
            service: Name of the service.
            traits: Properties that its engines share.
            targets: Latency targets of the service's routes.
            now: The current time, in seconds.
        """
        times, meter = self.service_times(service), self._demand_meter(service)
        if not times.is_known:
            return None
        prompt, output = meter.mean_prompt_tokens, meter.mean_output_tokens
        # Answers grow while they are sent: on average they hold half of their final size.
        mean_tokens = max(1.0, prompt + output / 2)
        streams_per_decode = min(float(traits.slots), traits.memory_tokens / mean_tokens)
        prompt_s = times.prompt_s(int(prompt))
        stream_s = prompt_s + times.stream_duration_s(int(output))
        rates, mean_rates = meter.rates(now), meter.rates(now, stream_s)
        slack_s = (
            times.achievable_limit_s(targets.target_s, prompt_s) - prompt_s - times.first_event_s
        )
        prompt_gap_s = times.prompt_event_gap_s(prompt_s, traits.event_tokens)
        # Whether decodes may compute prompts without pausing their streams for too long.
        decodes_compute_prompts = prompt_gap_s <= targets.event_gap_s
        return RoleDemand(
            rates,
            mean_rates,
            prompt_s,
            stream_s,
            streams_per_decode,
            slack_s,
            decodes_compute_prompts,
            meter.requests,
        )

    def _demand_meter(self, service: str) -> DemandMeter:
        return self._demand_meters.setdefault(service, DemandMeter())

    def note_role_change(self, name: str, until: float) -> None:
        """Record that an endpoint changes its role and takes no work until a given time."""
        self._role_change_ends[name] = max(until, self._role_change_ends.get(name, 0.0))

    def role_changes_left_s(self, now: float) -> dict[str, float]:
        """Return the endpoints that are changing their role, with the seconds that are left."""
        return {name: until - now for name, until in self._role_change_ends.items() if until > now}

    def in_role(self, service: str, role: Role, build: str | None = None) -> list[RoutedEndpoint]:
        """Return a service's endpoints in a role that are not leaving.

        Endpoints that are changing to the role are included.

        Args:
            service: Name of the service.
            role: The role.
            build: Only endpoints of this build; None for all.
        """
        return [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if endpoint.role is role
            and build in (None, endpoint.build)
            and self._accepts_work(endpoint)
        ]

    def builds(self, service: str) -> set[str]:
        """Return the builds of a service's endpoints, including those that are leaving."""
        return {endpoint.build for endpoint in self._by_service.get(service, ())}

    def leaving(self, service: str) -> set[str]:
        """Return the names of a service's endpoints that take no new work."""
        return {
            endpoint.name
            for endpoint in self._by_service.get(service, ())
            if not self._accepts_work(endpoint)
        }

    def _accepts_work(self, endpoint: RoutedEndpoint) -> bool:
        """Check that an endpoint is not reported to be leaving and not refuted."""
        name = endpoint.name
        if endpoint.leaving or self.notices.is_leaving(name):
            return False
        return self._refuted.get(name) != endpoint

    @property
    def endpoints(self) -> dict[str, RoutedEndpoint]:
        """Registered endpoints by name."""
        return self._endpoints

    def set_endpoint(self, endpoint: RoutedEndpoint) -> str | None:
        """Register an endpoint, and forget its previous incarnation.

        Reservations on the previous incarnation must not count against the new one: those of
        streams that hung behind a network partition filled the new incarnation's estimated memory,
        and two of four new streams waited for over 2 s.

        Returns:
            The name of the incarnation that is replaced, if any.
        """
        previous = self._incarnations.get(endpoint.registered_name)
        replaced = previous if previous in self._endpoints and previous != endpoint.name else None
        if replaced is not None:
            self.remove_endpoint(replaced)
        self._incarnations[endpoint.registered_name] = endpoint.name
        known = self._endpoints.get(endpoint.name)
        if known is not None and known.role is not endpoint.role:
            self._role_change_ends.pop(endpoint.name, None)
        self._endpoints[endpoint.name] = endpoint
        self._rebuild_index()
        return replaced

    def current_incarnation(self, registration: str) -> str | None:
        """Return the name of the incarnation that is registered under a name now."""
        incarnation = self._incarnations.get(registration)
        return incarnation if incarnation in self._endpoints else None

    def is_registered(self, endpoint: RoutedEndpoint) -> bool:
        """Check whether this incarnation of an endpoint is registered."""
        return endpoint.name in self._endpoints

    def is_superseded(self, endpoint: RoutedEndpoint) -> bool:
        """Check whether a newer incarnation has replaced this incarnation of an endpoint."""
        return self._incarnations.get(endpoint.registered_name, endpoint.name) != endpoint.name

    def remove_endpoint(self, name: str) -> None:
        """Forget an endpoint and all that was measured of it."""
        self._endpoints.pop(name, None)
        self._outcomes.remove(name)
        self.endpoint_speeds.forget(name)
        self.read_rates.forget(name)
        self._rejection_bounds.remove(name)
        self._refuted.pop(name, None)
        self._role_change_ends.pop(name, None)
        self._rebuild_index()

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for endpoint in self._endpoints.values():
            self._by_service.setdefault(endpoint.service, []).append(endpoint)

    def note_address_mismatch(self, name: str) -> None:
        """Record that another endpoint than the registered one answered at its address.

        The endpoint gets no new work until its registration changes. This is not recorded as the
        endpoint's own notice of leaving: that would keep an engine that only changed its role from
        all work until its entry was removed.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            self._refuted[name] = endpoint

    def note_success(self, name: str, now: float) -> None:
        """Record that an endpoint did what it was asked to do."""
        self._outcomes.note_success(name, now)

    def note_unreachable_from_peers(self, name: str, now: float) -> None:
        """Record that peers that share this instance's links can't reach an endpoint."""
        if self.switches.is_enabled(Mechanism.PEER_REPORTS):
            self._outcomes.note_unreachable_from_peers(name, now)

    def note_failure(self, name: str, now: float) -> None:
        """Record that an endpoint failed; it is avoided for a while."""
        self._outcomes.note_failure(name, now)

    def clear_failures(self, name: str) -> None:
        """Forget the failures of an endpoint, which were those of the path to it."""
        self._outcomes.clear_failures(name)

    def note_reported_slow(self, name: str, now: float) -> None:
        """Record that several instances reported an endpoint as slow."""
        if self.switches.is_enabled(Mechanism.PEER_REPORTS):
            self._outcomes.note_slow(name, now)

    def note_full(self, name: str, now: float) -> None:
        """Record that an endpoint has no free capacity now."""
        self._outcomes.note_refusal(name, now)

    def note_memory_refusal(self, name: str, tokens: int, now: float) -> bool:
        """Record that a decode refused a stream for lack of memory.

        The stream must not be counted among the decode's reservations.

        Args:
            name: Name of the decode.
            tokens: Memory that the stream would hold at its end, in tokens.
            now: The current time, in seconds.

        Returns:
            Whether the refusal is worth reporting to peers.
        """
        if not self.switches.is_enabled(Mechanism.REJECTION_BOUNDS):
            return False
        held_tokens = self.usage(name, Role.DECODE).tokens
        return self._rejection_bounds.note_rejected(name, held_tokens, tokens, now)

    def note_stream_accepted(self, name: str) -> None:
        """Record that a decode accepted a stream, which is counted among its reservations."""
        self._rejection_bounds.note_accepted(name, self.usage(name, Role.DECODE).tokens)

    def free_memory_tokens(self, name: str, now: float) -> float:
        """Return an upper bound of a decode's free memory, in tokens.

        It follows from the decode's latest refusal and is infinite without a recent one.
        """
        return self._rejection_bounds.bound_tokens(name, now) - self.usage(name, Role.DECODE).tokens

    def note_free_capacity(self, name: str) -> None:
        """Record that an endpoint has free capacity again."""
        self._outcomes.note_accepted(name)

    def accepts_work(self, name: str) -> bool:
        """Check whether an endpoint is registered and not leaving."""
        endpoint = self._endpoints.get(name)
        return endpoint is not None and self._accepts_work(endpoint)

    def backoff_left_s(self, name: str, now: float) -> float:
        """Return the remaining seconds of the back-off that an endpoint asked for; 0 if none."""
        return max(0.0, self.notices.backoff_until(name) - now)

    def accepts_work_in_s(self, service: str, role: Role, now: float) -> float | None:
        """Return the seconds until the first of a service's endpoints accepts a new call.

        Returns:
            0 if one accepts a call now; None if all are leaving or there is none.
        """
        times = [
            self.accepts_work_at(endpoint.name, now) for endpoint in self.in_role(service, role)
        ]
        return max(0.0, min(times) - now) if times else None

    def accepts_work_at(self, name: str, now: float) -> float:
        """Return when an endpoint accepts a new call, by its capacity, back-off and rate limit."""
        return max(self.full_until(name), now + self.endpoint_limits.due_in_s(name, now))

    def candidates(
        self, service: str, role: Role, now: float, build: str | None = None
    ) -> list[RoutedEndpoint]:
        """Return a service's endpoints that may get work.

        Endpoints that are avoided are returned only if there are no others. If all endpoints are
        in a back-off, they are returned for forecasts; ``is_full`` is true for them.

        Args:
            service: Name of the service.
            role: Role of the endpoints.
            now: The current time, in seconds.
            build: Only endpoints of this build; None for all.
        """
        present = [
            endpoint
            for endpoint in self.in_role(service, role, build)
            if self._role_change_ends.get(endpoint.name, 0.0) <= now
        ]
        available = [item for item in present if self.notices.backoff_until(item.name) <= now]
        preferred = [endpoint for endpoint in available if not self._is_avoided(endpoint.name, now)]
        return preferred or available or present

    def reachable_endpoints(self, service: str, role: Role, now: float) -> list[RoutedEndpoint]:
        """Return a service's endpoints in a role that are reachable and not leaving."""
        return [
            endpoint
            for endpoint in self.in_role(service, role)
            if not self._outcomes.is_unreachable(endpoint.name, now)
        ]

    def is_full(self, name: str, now: float) -> bool:
        """Check whether an endpoint gets no new calls now.

        It gets none after a refusal for lack of capacity, during a back-off, and while the few
        calls that are allowed after a back-off are in progress.
        """
        return now < self.full_until(name) or not self.notices.may_begin_call(name, now)

    def full_until(self, name: str) -> float:
        """Return when an endpoint's lack of capacity or its back-off ends."""
        return max(self._outcomes.full_until(name), self.notices.backoff_until(name))

    def _is_avoided(self, name: str, now: float) -> bool:
        return self.notices.is_in_peer_backoff(name, now) or self._outcomes.is_avoided(name, now)

    def prompt_starts_in_s(self, name: str, now: float) -> float:
        """Return the seconds until a prefill begins a new prompt, by its queue and rate limit."""
        queue_s = self.prefill_queue_s(name) / self.relative_speed(name, now)
        return max(queue_s, self.endpoint_limits.due_in_s(name, now))

    def prompt_starts_by_data_centre_s(self, service: str, now: float) -> dict[str, float]:
        """Return the seconds until the first prefill of each data centre begins a new prompt."""
        shortest_s: dict[str, float] = {}
        for endpoint in self.candidates(service, Role.PREFILL, now):
            begins_in_s = self.prompt_starts_in_s(endpoint.name, now)
            known_s = shortest_s.get(endpoint.data_centre, math.inf)
            shortest_s[endpoint.data_centre] = min(known_s, begins_in_s)
        return shortest_s

    def prefill_queue_s(self, name: str) -> float:
        """Return the seconds that a prefill of the usual speed still needs for its prompts.

        They are computed from the sizes of the prompts alone. The expected end of a prompt
        depends on the prompts before it, so errors of these ends would add up.
        """
        endpoint = self._endpoints.get(name)
        placed = self.assigned(name, Role.PREFILL)
        if endpoint is None or not placed:
            return 0.0
        first = min(placed, key=lambda work: work.ends_at)
        times = self.service_times(endpoint.service)
        # The first prompt is being computed; on average, half of it is done.
        return (
            sum(times.prompt_s(work.tokens) for work in placed) - times.prompt_s(first.tokens) / 2
        )
