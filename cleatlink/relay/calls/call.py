"""State of one call in the relay: which sends are still allowed, and what is known of its runs."""

import eliot
import trio

from cleatlink.core.data import Ran, Refusal
from cleatlink.core.errors import (
    EndpointRefusedError,
    EndpointUnreachableError,
    ErrorKind,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.core.routes import Inbound, Route, RoutedEndpoint, RoutedService, RouteKind
from cleatlink.organisations import NOBODY, Admission, Holder
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.endpoints.protocol import OTHER_ENDPOINT, ReplyHead
from cleatlink.relay.peers.messages import HintKind
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.relay_place import RUNS_APART, Seeker
from cleatlink.routing.shared_waiting import rank
from cleatlink.routing.uploads import Upload

__all__ = ["Call"]


# Suspects of one crash are sent to their next endpoints at random moments within this time, in
# seconds. It is many times the time in which peers learn of a placement.
_SUSPECT_SPREAD_S = 0.1


class Call:
    """One call: its route, its deadline, the endpoints that it was sent to and whether it ran."""

    def __init__(
        self,
        inbound: Inbound,
        route: Route,
        service: RoutedService,
        revision: int,
        parts: RelayParts,
        *,
        holder: Holder = NOBODY,
    ) -> None:
        self.inbound = inbound
        self.holder = holder
        self.route = route
        self.service = service
        self.deadline = min(inbound.deadline, inbound.arrived_at + route.timeout_s)
        self.ran = Ran.NO
        self.excluded: set[str] = set()
        self.sends = 0
        self.revision = revision
        self.last_received_at = inbound.arrived_at
        self.admission = Admission(True, 0)
        self._parts = parts
        self._tried_endpoints: set[str] = set()
        self._last_endpoint = ""
        self._ran_before_send = Ran.NO
        self._identity = b""
        self._last_started_at = inbound.arrived_at
        self._is_trial_run = False
        # Endpoints that the call abandoned before they had read its body.
        self._unread_uploads = 0

    @property
    def identity(self) -> bytes:
        """Digest of caller and request; computed once, since bodies can be long."""
        if not self._identity:
            self._identity = self.inbound.identity
        return self._identity

    @property
    def suspicion(self) -> int:
        """Number of endpoint crashes while the request ran there, since it last completed."""
        quarantine = self._parts.quarantine
        return 0 if quarantine.is_empty else quarantine.judge(self.identity).suspicion

    @property
    def repeatable(self) -> bool:
        """Whether the call may run more than once."""
        return self.route.kind is RouteKind.SAFE

    @property
    def resumable(self) -> bool:
        """Whether another endpoint may continue the call's stream."""
        return self.route.kind is RouteKind.STREAMING and self.route.resumable

    @property
    def has_begun_stream(self) -> bool:
        """Whether part of the stream may exist already, from this call or an earlier one."""
        return self.ran is not Ran.NO or self.inbound.last_event is not None

    @property
    def priority(self) -> int:
        """Priority of the organisation, or else of the route, from 0, the most urgent."""
        organisation = self.holder.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def group_urgency(self) -> int:
        """Urgency in the order that all instances share; a larger value goes first."""
        organisation = self.holder.organisation
        if organisation is None or organisation.priority is None:
            return rank(self.priority)
        return rank(self.priority, self.route.priority)

    @property
    def told_priority(self) -> int | None:
        """Priority to send to engines; None if the mechanism is off or the group is small."""
        capacity = self._parts.capacity
        is_enabled = capacity.switches.uses(Mechanism.ENDPOINT_PRIORITY)
        return self.priority if is_enabled and capacity.waiting.is_large_group else None

    @property
    def is_authorized(self) -> bool:
        """Whether the caller's key is still valid, or the call may have run and so continues."""
        return self.ran is not Ran.NO or self._parts.gate.still_holds(self.holder)

    @property
    def left_s(self) -> float:
        """Seconds until the call's deadline."""
        return self.deadline - trio.current_time()

    @property
    def age_s(self) -> float:
        """Seconds since the call arrived."""
        return trio.current_time() - self.inbound.arrived_at

    @property
    def in_time(self) -> bool:
        """Whether an answer that begins now meets the route's latency target."""
        return self.age_s <= self.route.target_s

    def give_back(self) -> None:
        """Refund the admission cost of a call that did not run to its organisation's limit."""
        organisation, admission = self.holder.organisation, self.admission
        if organisation is not None and admission.granted and admission.cost:
            self._parts.gate.limits.give_back(organisation, admission.cost)
            self.admission = Admission(True, 0)

    def seeker(self) -> Seeker:
        """Return the placement parameters of the call at this moment."""
        parts = self._parts
        now = trio.current_time()
        return Seeker(parts.data_centre, self.excluded, now, parts.rng, self.suspicion)

    def bar(self) -> Refusal | None:
        """Return the reason why the call may not be sent now, or None; checked before each send.

        Without this check, one request crashed 14 of the 14 endpoints that it was sent to, and 28
        where a second endpoint may be tried; with it, the request crashes 3.
        """
        if not self.is_authorized:
            return Refusal(ErrorKind.UNKNOWN_KEY, "its key was taken away")
        quarantine = self._parts.quarantine
        if quarantine.is_empty or self._is_trial_run:
            return None
        verdict = quarantine.judge(self.identity)
        if verdict.needs_trial:
            self._is_trial_run = True
            quarantine.begin_trial(self.identity)
        if not verdict.is_held:
            return None
        self.log(
            "is held in quarantine",
            asks=self.identity.hex(),
            crashes=verdict.blame.crashes,
            endpoints=verdict.blame.lives,
            last_ago_s=round(trio.current_time() - verdict.blame.last_at, 3),
            retry_after_s=round(verdict.retry_after_s, 1),
        )
        if self.ran is not Ran.NO:
            return self.failure("the request crashed the endpoints that ran it")
        detail = f"the request crashed {verdict.blame.crashes} endpoints that ran it"
        return Refusal(ErrorKind.QUARANTINED, detail, verdict.retry_after_s)

    async def settle(self, endpoint: RoutedEndpoint) -> None:
        """Wait, after an endpoint failed the call, until it is known whether it crashed.

        Without this wait, a call of a resumable or safe route runs at its next endpoint before its
        third crash is counted. Suspects of a crash continue at different moments, so that each
        knows by then where the others run.
        """
        await self._parts.crashes.wait(endpoint)
        if self.suspicion >= RUNS_APART:
            await trio.sleep(_SUSPECT_SPREAD_S * self._parts.rng.random())

    def note_served(self) -> None:
        """Record that an endpoint completed the call, which clears it of earlier crashes."""
        if not self._parts.quarantine.is_empty:
            self._parts.quarantine.note_served(self.identity)

    def may_send(self, endpoint: RoutedEndpoint) -> bool:
        """Check whether the route's maximum of attempts allows the call to go to an endpoint."""
        tried = self._tried_endpoints
        return endpoint.name in tried or len(tried) < self.route.max_attempts

    def may_try_another(self) -> bool:
        """Check whether the route's maximum of attempts allows one more endpoint."""
        return len(self._tried_endpoints) < self.route.max_attempts

    def spend(self, reason: str) -> bool:
        """Take one retry from the shared budget; return False if the budget is empty."""
        now = trio.current_time()
        is_granted = self._parts.budget(self.service.name).take(self._parts.members(), now)
        self._parts.metrics.count_retry(reason if is_granted else "budget_empty")
        self.log("retries" if is_granted else "may not retry", reason=reason)
        return is_granted

    def note_sent(self, endpoint: RoutedEndpoint) -> None:
        """Record that the call is sent to an endpoint; until a reply, it may have run there."""
        self.note_begun()
        self.sends += 1
        self._tried_endpoints.add(endpoint.name)
        self._last_endpoint = endpoint.name
        self._ran_before_send = self.ran
        self.ran = Ran.UNKNOWN

    def note_begun(self) -> None:
        """Record the time at which an endpoint is sent the call or its prompt."""
        self._last_started_at = trio.current_time()

    def note_not_run(self) -> None:
        """Record an endpoint's report that it did not run what was sent last."""
        self.ran = self._ran_before_send

    def note_address_reused(self, endpoint: RoutedEndpoint) -> None:
        """Record that another endpoint has the address now, so that this one received nothing."""
        self._tried_endpoints.discard(endpoint.name)

    def note_refused(self, endpoint: RoutedEndpoint, head: ReplyHead) -> None:
        """Record an endpoint's report that it did not run the call, with its reason."""
        capacity = self._parts.capacity
        back_off_s = self._parts.protocol.read_notice(head).rest_s
        self.log("was not run", endpoint=endpoint.name, status=head.status, rest_s=back_off_s)
        if head.status == OTHER_ENDPOINT:
            self.note_address_reused(endpoint)
            capacity.note_misdirected(endpoint.name)
        else:
            capacity.note_full(endpoint.name, trio.current_time())

    def note_failure(
        self, endpoint: RoutedEndpoint, error: Exception, *, in_progress: bool = True
    ) -> None:
        """Record that an endpoint failed the call, and exclude it from further sends.

        Args:
            endpoint: The endpoint.
            error: The failure.
            in_progress: Whether the endpoint had the call itself, not just a request to reserve
                capacity for it.
        """
        identity = self.identity
        self.log(
            "failed at an endpoint", endpoint=endpoint.name, error=repr(error), asks=identity.hex()
        )
        self.excluded.add(endpoint.name)
        if in_progress and isinstance(error, OutcomeUnknownError | StreamBrokenError):
            # The trial run of a quarantined request ended: the next send is judged again.
            self._is_trial_run = False
            seconds = trio.current_time() - self._last_started_at
            self._parts.crashes.note_broken(endpoint, identity, seconds)
        if not isinstance(error, EndpointRefusedError):
            self._parts.capacity.note_failure(endpoint.name, trio.current_time())
        if isinstance(error, EndpointUnreachableError):
            self._parts.on_endpoint_problem(endpoint.name, HintKind.UNREACHED)

    def upload_to(self, endpoint: RoutedEndpoint) -> Upload:
        """Start to track the upload of the call's body to an endpoint.

        Each endpoint that did not read the body in time halves the expected rate, since the slow
        link may be this instance's own.
        """
        measured = self._parts.capacity.upload_paces.pace(endpoint.name)
        rate = measured.bytes_a_second / 2**self._unread_uploads
        return Upload(measured._replace(bytes_a_second=rate))

    def note_read(self, endpoint: RoutedEndpoint, upload: Upload, seconds: float) -> None:
        """Update the read rate of an endpoint that answered the call after the given seconds."""
        self._parts.capacity.upload_paces.note_answered(endpoint.name, upload, seconds)

    def served_s(self, upload: Upload, began_at: float) -> float | None:
        """Return the time for which an endpoint has been processing the call.

        Args:
            upload: The upload of the call's body.
            began_at: Time at which sending began.

        Returns:
            Seconds; None if unknown, because the upload may have taken most of the time or this
            process was paused meanwhile.
        """
        now = trio.current_time()
        if self._parts.capacity.own_pauses.any_since(began_at, now):
            return None
        return upload.served_s(began_at, now)

    def note_silent(self, endpoint: RoutedEndpoint, upload: Upload, silent_s: float) -> None:
        """Record that the call looks for another endpoint because this one is silent."""
        if not upload.is_whole:
            self._unread_uploads += 1
        self.log(
            "hears nothing",
            endpoint=endpoint.name,
            silent_ms=int(1000 * silent_s),
            body_bytes=upload.size,
            taken_bytes=upload.taken,
            bytes_a_second=int(upload.pace.bytes_a_second),
            pace_measured=upload.pace.is_measured,
        )

    def note_slow(self, endpoint: RoutedEndpoint, seconds: float) -> None:
        """Report to peers that an endpoint took much longer than expected."""
        self.log("found an endpoint slow", endpoint=endpoint.name, took_ms=int(1000 * seconds))
        self._parts.on_endpoint_problem(endpoint.name, HintKind.SLOW)

    def note_received(self, now: float) -> None:
        """Record the time of the last received part of the answer."""
        self.last_received_at = now

    def can_end_before_stop(self, max_duration_s: float) -> bool:
        """Check whether the call's stream can end before a planned stop ends this instance.

        A call that may have run already always continues, since refusing it gains nothing.

        Args:
            max_duration_s: Maximum time that the stream still needs, in seconds; infinite if
                unknown.
        """
        if self.ran is not Ran.NO:
            return True
        now = trio.current_time()
        arrived_at = self.inbound.arrived_at
        return self._parts.stop.leaves_time(arrived_at, self.deadline, max_duration_s, now)

    def refuse_for_stop(self, max_duration_s: float) -> Refusal:
        """Refuse a call that has not run; its caller can retry at another instance at once."""
        stop_left_s = self._parts.stop.ends_at - trio.current_time()
        self.log(
            "is left to others by the stop", left_s=round(stop_left_s, 3), needs_s=max_duration_s
        )
        return Refusal(ErrorKind.STOPPING, "this instance is stopping", 0.0)

    def log_end_by_stop(self) -> None:
        """Log that the end of a planned stop interrupts the call."""
        now = trio.current_time()
        stop_age_s = self._parts.stop.age_s(now)
        self.log(
            "is cut off by the stop",
            sends=self.sends,
            ran=self.ran.value,
            arrived_after_stop_ms=int(1000 * (stop_age_s - self.age_s)),
            silent_ms=int(1000 * (now - self.last_received_at)),
        )

    def log_turn(self, endpoint: RoutedEndpoint, wait_s: float) -> None:
        """Log that the call waits until an endpoint's rate limit allows it."""
        limits, now = self._parts.capacity.limits, trio.current_time()
        self.log(
            "waits for its turn",
            endpoint=endpoint.name,
            limit_per_s=limits.rate_per_s(endpoint.name),
            level=round(limits.level(endpoint.name, now), 2),
            told_ago_s=limits.told_ago_s(now),
            wait_ms=int(1000 * wait_s),
        )

    def log(self, outcome: str, **fields: object) -> None:
        """Log an event of this call with its common fields."""
        eliot.log_message(
            message_type="relay: " + outcome,
            request=self.inbound.request_id,
            route=self.route.name,
            revision=self.revision,
            age_ms=int(1000 * self.age_s),
            **fields,
        )

    def log_outcome(self, outcome: str, **fields: object) -> None:
        """Log the result of the call with its last endpoint, its organisation and its cost."""
        if self._last_endpoint:
            fields.update(endpoint=self._last_endpoint)
        if self.holder.organisation is not None:
            fields.update(organisation=self.holder.name, cost=self.admission.cost)
        self.log(outcome, **fields)

    def failure(self, detail: str, retry_after_s: float | None = None) -> Refusal:
        """Return a refusal whose kind says whether the call may have run."""
        if self.ran is Ran.NO:
            return Refusal(ErrorKind.ENDPOINT_REFUSED, detail, retry_after_s)
        return Refusal(ErrorKind.ENDPOINT_FAILED, detail)
