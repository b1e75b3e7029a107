"""State of one call in the relay: which sends are still allowed, and what is known of its runs."""

import math
from collections.abc import Set

import eliot
import trio

from cleatlink.core.data import ExecutionStatus, Refusal, Role
from cleatlink.core.errors import (
    ERROR_RESPONSES,
    EndpointRefusedError,
    EndpointUnreachableError,
    ErrorKind,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.core.routes import InboundRequest, Route, RoutedEndpoint, RoutedService, RouteKind
from cleatlink.organisations import ANONYMOUS, Admission, CallerIdentity
from cleatlink.quarantine import NO_PROMPT, PromptParts, Suspect, digest_prompt, select_parts
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.endpoints.protocol import ResponseHead
from cleatlink.relay.peers.messages import HintKind
from cleatlink.request.arrival_ledger import ArrivalLedger
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.relay_placement import MIN_CRASHES_TO_ISOLATE, PlacementContext
from cleatlink.routing.shared_wait_queues import urgency_of
from cleatlink.routing.uploads import Upload

__all__ = ["Call"]


# Suspects of one crash are sent to their next endpoints at random moments within this time, in
# seconds. It is many times the time in which peers learn of a placement.
_SUSPECT_SPREAD_S = 0.1

# Time within which an endpoint that crashed is usually replaced by one of its build, in seconds.
_BUILD_RESTART_S = 5.0
# Share of a measured time that may be the delay of this instance; above it, the rest is too small
# to be known.
_MAX_DELAY_SHARE = 0.5


class Call:
    """One call: its route, its deadline, the endpoints that it was sent to and whether it ran."""

    def __init__(
        self,
        inbound: InboundRequest,
        route: Route,
        service: RoutedService,
        revision: int,
        components: RelayComponents,
        *,
        holder: CallerIdentity = ANONYMOUS,
    ) -> None:
        self.inbound = inbound
        self.caller = holder
        self.route = route
        self.service = service
        self.deadline = min(inbound.deadline, inbound.arrived_at + route.timeout_s)
        self.ran = ExecutionStatus.NO
        self.excluded: set[str] = set()
        self.send_count = 0
        self.revision = revision
        self.last_received_at = inbound.arrived_at
        self.admission = Admission(True, 0)
        # Build of the endpoint that began the stream, at which alone it may go on; None before.
        self.required_build: str | None = None
        self._components = components
        self._ledger = ArrivalLedger()
        self._tried_endpoints: set[str] = set()
        self._last_endpoint = ""
        self._ran_before_send = ExecutionStatus.NO
        self._identity = b""
        self._prompt: PromptParts | None = None
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
    def prompt(self) -> PromptParts:
        """Digests of the parts of the prompt; those of plain calls have none."""
        if self._prompt is None:
            inbound, service = self.inbound, self.service
            self._prompt = (
                NO_PROMPT
                if service.engine is None
                else digest_prompt(service.name, inbound.organisation, inbound.prompt_parts)
            )
        return self._prompt

    @property
    def suspicion(self) -> int:
        """Number of endpoint crashes that count against the request or parts of its prompt."""
        quarantine = self._components.quarantine
        if quarantine.is_empty:
            return 0
        return quarantine.decide(self.identity, self.prompt).suspicion

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
        return self.ran is not ExecutionStatus.NO or self.inbound.last_event is not None

    @property
    def priority(self) -> int:
        """Priority of the organisation, or else of the route, from 0, the most urgent."""
        organisation = self.caller.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def group_urgency(self) -> int:
        """Urgency in the order that all instances share; a larger value goes first."""
        organisation = self.caller.organisation
        if organisation is None or organisation.priority is None:
            return urgency_of(self.priority)
        return urgency_of(self.priority, self.route.priority)

    @property
    def forwarded_priority(self) -> int | None:
        """Priority to send to engines; None if the mechanism is off or the group is small."""
        capacity = self._components.capacity
        is_enabled = capacity.switches.is_enabled(Mechanism.ENDPOINT_PRIORITY)
        return self.priority if is_enabled and capacity.shared_wait_queues.is_large_group else None

    @property
    def is_authorized(self) -> bool:
        """Whether the caller's key is still valid, or the call may have run and so continues."""
        return (
            self.ran is not ExecutionStatus.NO
            or self._components.organisation_access.is_key_valid(self.caller)
        )

    @property
    def remaining_s(self) -> float:
        """Seconds until the call's deadline."""
        return self.deadline - trio.current_time()

    @property
    def age_s(self) -> float:
        """Seconds since the call arrived."""
        return trio.current_time() - self.inbound.arrived_at

    @property
    def is_in_time(self) -> bool:
        """Whether an answer that begins now meets the route's latency target."""
        return self.age_s <= self.route.target_s

    def refund_admission(self) -> None:
        """Refund the admission cost of a call that did not run to its organisation's limit."""
        organisation, admission = self.caller.organisation, self.admission
        if organisation is not None and admission.granted and admission.cost:
            self._components.organisation_access.limits.refund(organisation, admission.cost)
            self.admission = Admission(True, 0)

    def placement_context(self) -> PlacementContext:
        """Return the placement parameters of the call at this moment."""
        components = self._components
        now = trio.current_time()
        return PlacementContext(
            components.data_centre,
            self.excluded,
            now,
            components.rng,
            self.suspicion,
            self.required_build,
        )

    def find_send_refusal(self) -> Refusal | None:
        """Return the refusal of a call that may not be sent now, or None; checked before each send.

        Without this check, one request crashed 14 of the 14 endpoints that it was sent to, and 28
        where a second endpoint may be tried; with it, the request crashes 3.
        """
        if not self.is_authorized:
            return Refusal(ErrorKind.UNKNOWN_KEY, "its key was taken away")
        if self._is_build_gone():
            return self._refuse_for_build()
        quarantine = self._components.quarantine
        if quarantine.is_empty or self._is_trial_run:
            return None
        decision = quarantine.decide(self.identity, self.prompt)
        if decision.needs_trial:
            self._is_trial_run = True
            quarantine.begin_trial(decision.trial_key)
        if not decision.is_quarantined:
            return None
        self.log(
            "request refused: it is in quarantine",
            asks=self.identity.hex(),
            parts=self._logged_parts(decision.parts),
            crashes=decision.attribution.independent_crashes,
            endpoints=decision.attribution.incarnations,
            last_ago_s=round(trio.current_time() - decision.attribution.last_crash_at, 3),
            retry_after_s=round(decision.retry_after_s, 1),
        )
        if self.ran is not ExecutionStatus.NO:
            return self.make_refusal("the request crashed the endpoints that ran it")
        subject = "requests with a part of its prompt" if decision.parts else "the request"
        detail = (
            f"{subject} crashed {decision.attribution.independent_crashes} endpoints that ran it"
        )
        return Refusal(ErrorKind.QUARANTINED, detail, decision.retry_after_s)

    def _is_build_gone(self) -> bool:
        """Check whether no endpoint is left that may continue the stream."""
        if self.required_build is None:
            return False
        return not self._components.capacity.in_role(
            self.service.name, Role.DECODE, self.required_build
        )

    def _refuse_for_build(self) -> Refusal:
        """Refuse to continue a stream whose build has no endpoint any more."""
        now = trio.current_time()
        build = self.required_build or ""
        gone_s = self._components.capacity.build_history.absent_s(self.service.name, build, now)
        self.log("no endpoint of the stream's build is left", build=build, gone_s=round(gone_s, 1))
        kind = ErrorKind.BUILD_RESTARTS if gone_s < _BUILD_RESTART_S else ErrorKind.BUILD_GONE
        return Refusal(kind, "no endpoint of the build that began the stream is left")

    async def wait_for_crash_check(self, endpoint: RoutedEndpoint) -> None:
        """Wait, after an endpoint failed the call, until it is known whether it crashed.

        Without this wait, a call of a resumable or safe route runs at its next endpoint before its
        third crash is counted. Suspects of a crash continue at different moments, so that each
        knows by then where the others run.
        """
        await self._components.crash_detector.wait_for_check(endpoint)
        if self.suspicion >= MIN_CRASHES_TO_ISOLATE:
            await trio.sleep(_SUSPECT_SPREAD_S * self._components.rng.random())

    def note_completed(self) -> None:
        """Record that an endpoint completed the call, which clears it of earlier crashes."""
        if not self._components.quarantine.is_empty:
            self._components.quarantine.record_completed(self.identity)

    def note_answering(self, answered_s: float = math.inf) -> None:
        """Record that an answer goes on, which clears it of earlier crashes.

        Args:
            answered_s: Seconds since the first event of this run; infinite if it completed.
        """
        quarantine = self._components.quarantine
        if not quarantine.is_empty:
            quarantine.record_answering(
                self.identity, self.prompt, self._last_started_at, answered_s
            )

    def may_send(self, endpoint: RoutedEndpoint) -> bool:
        """Check whether the route's maximum of attempts allows the call to go to an endpoint."""
        tried = self._tried_endpoints
        return endpoint.name in tried or len(tried) < self.route.max_attempts

    def may_try_another(self) -> bool:
        """Check whether the route's maximum of attempts allows one more endpoint."""
        return len(self._tried_endpoints) < self.route.max_attempts

    def take_retry_for_send(self, reason: str) -> bool:
        """Take the retry that the next send needs; return False if the budget is empty.

        Args:
            reason: Kind of the send; a label of the metric that counts retries.
        """
        return not self._ledger.send_needs_retry or self._take_retry(reason)

    def take_retry_for_prefill(self) -> bool:
        """Take the retry that the next prefill needs; return False if the budget is empty."""
        return not self._ledger.prefill_needs_retry or self._take_retry("prefill")

    def _take_retry(self, reason: str) -> bool:
        """Take one retry from the shared budget; return False if the budget is empty."""
        now = trio.current_time()
        budget = self._components.get_retry_budget(self.service.name)
        instance_count = self._components.count_members()
        is_granted = budget.try_spend(instance_count, now)
        self._components.metrics.count_retry(reason if is_granted else "budget_empty")
        self.log(
            "retries" if is_granted else "no retry: the retry budget is empty",
            reason=reason,
            service=self.service.name,
            sends=self._ledger.counted,
            spent=budget.spent,
            left=round(budget.available(instance_count, now), 2),
            instances=instance_count,
        )
        if is_granted:
            self._ledger.note_retry_taken()
            self._components.on_retry_taken()
        return is_granted

    def note_prefill_sent(self) -> None:
        """Record that the prompt is sent to a prefill endpoint."""
        self._ledger.note_sent()

    def note_prefill_completed(self) -> None:
        """Record that a prefill endpoint computed the prompt."""
        self._ledger.note_prefill_completed()

    def note_sent(self, endpoint: RoutedEndpoint) -> None:
        """Record that the call is sent to an endpoint; until a reply, it may have run there."""
        self.note_started()
        self._ledger.note_sent()
        self.send_count += 1
        self._tried_endpoints.add(endpoint.name)
        self._last_endpoint = endpoint.name
        self._ran_before_send = self.ran
        self.ran = ExecutionStatus.UNKNOWN

    def note_started(self) -> None:
        """Record the time at which an endpoint is sent the call or its prompt."""
        self._last_started_at = trio.current_time()

    def note_not_run(self) -> None:
        """Record an endpoint's report that it did not run what was sent last."""
        self.ran = self._ran_before_send

    def note_address_reused(self, endpoint: RoutedEndpoint) -> None:
        """Record that another endpoint has the address now, so that this one received nothing."""
        self._tried_endpoints.discard(endpoint.name)

    def note_refused(self, endpoint: RoutedEndpoint, head: ResponseHead) -> None:
        """Record an endpoint's report that it did not run the call, with its reason."""
        capacity = self._components.capacity
        backoff_s = self._components.protocol.read_notice(head).backoff_s
        self.log(
            "endpoint reports that it did not run the request",
            endpoint=endpoint.name,
            status=head.status,
            rest_s=backoff_s,
        )
        if self._components.protocol.is_misdirected(head, endpoint):
            self.note_address_reused(endpoint)
            capacity.note_address_mismatch(endpoint.name)
        elif not self._components.protocol.rejects_as_invalid(head):
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
        is_broken = in_progress and isinstance(error, OutcomeUnknownError | StreamBrokenError)
        self.log(
            "endpoint failed the request",
            endpoint=endpoint.name,
            error=repr(error),
            asks=identity.hex(),
            parts=self._logged_parts() if is_broken else {},
        )
        self.excluded.add(endpoint.name)
        if is_broken:
            # The trial run of a quarantined request ended: the next send is checked again.
            self._is_trial_run = False
            seconds = trio.current_time() - self._last_started_at
            suspect = Suspect(identity, self.prompt, seconds)
            self._components.crash_detector.report_broken_request(endpoint, suspect)
        if not isinstance(error, EndpointRefusedError) and not self._is_of_path(endpoint, error):
            self._components.capacity.note_failure(endpoint.name, trio.current_time())
        if isinstance(error, EndpointUnreachableError):
            self._components.on_endpoint_problem(endpoint.name, HintKind.UNREACHABLE)

    def _logged_parts(self, parts: Set[bytes] | None = None) -> dict[str, str]:
        """Return digests of the prompt's parts with their names in the request.

        Args:
            parts: The parts; None for all of them.
        """
        names = select_parts(self.inbound.prompt_parts)
        return {
            digest.hex(): name
            for digest, name in zip(self.prompt.parts, names, strict=False)
            if parts is None or digest in parts
        }

    def _is_of_path(self, endpoint: RoutedEndpoint, error: Exception) -> bool:
        """Check whether a failure is that of a lost path; peers confirm unreachable endpoints."""
        is_confirmed = isinstance(error, EndpointUnreachableError)
        return self._components.paths.is_lost(endpoint.name) and not is_confirmed

    def start_upload(self, endpoint: RoutedEndpoint) -> Upload:
        """Start to track the upload of the call's body to an endpoint.

        Each endpoint that did not read the body in time halves the expected rate, since the slow
        link may be this instance's own.
        """
        measured = self._components.capacity.read_rates.read_rate(endpoint.name)
        rate = measured.bytes_a_second / 2**self._unread_uploads
        return Upload(measured._replace(bytes_a_second=rate))

    def update_read_rate(self, endpoint: RoutedEndpoint, upload: Upload, seconds: float) -> None:
        """Update the read rate of an endpoint that answered the call after the given seconds."""
        self._components.capacity.read_rates.note_answered(endpoint.name, upload, seconds)

    def processing_s(self, endpoint: str, upload: Upload, began_at: float) -> float | None:
        """Return the time for which an endpoint has been processing the call.

        Args:
            endpoint: Incarnation of the endpoint.
            upload: The upload of the call's body.
            began_at: Time at which sending began.

        Returns:
            Seconds; None if unknown, because the upload or the delay of this instance may have
            taken most of the time, this process was paused, or it has no path to the endpoint.
        """
        now = trio.current_time()
        if self._components.paths.is_lost(endpoint):
            return None
        if self._components.capacity.process_pauses.has_paused_since(began_at, now):
            return None
        seconds = upload.processing_s(began_at, now)
        if seconds is None:
            return None
        delay_s = self._components.capacity.own_delay.seconds(now)
        return seconds - delay_s if delay_s <= _MAX_DELAY_SHARE * seconds else None

    def note_silent(self, endpoint: RoutedEndpoint, upload: Upload, silent_s: float) -> None:
        """Record that the call looks for another endpoint because this one is silent."""
        if not upload.is_accepted:
            self._unread_uploads += 1
        self.log(
            "endpoint is silent, looking for another",
            endpoint=endpoint.name,
            silent_ms=int(1000 * silent_s),
            body_bytes=upload.size,
            taken_bytes=upload.accepted_bytes,
            bytes_a_second=int(upload.read_rate.bytes_a_second),
            pace_measured=upload.read_rate.is_measured,
        )

    def report_slow(self, endpoint: RoutedEndpoint, seconds: float) -> None:
        """Report to peers that an endpoint took much longer than expected.

        Peers that have a path to the endpoint are not told of delays on a lost one.
        """
        if self._components.paths.is_lost(endpoint.name):
            return
        self.log(
            "endpoint is slow, reporting it to peers",
            endpoint=endpoint.name,
            took_ms=int(1000 * seconds),
        )
        self._components.on_endpoint_problem(endpoint.name, HintKind.SLOW)

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
        if self.ran is not ExecutionStatus.NO:
            return True
        now = trio.current_time()
        arrived_at = self.inbound.arrived_at
        return self._components.planned_stop.leaves_time(
            arrived_at, self.deadline, max_duration_s, now
        )

    def arrived_early_enough_in_stop(self) -> bool:
        """Check whether the call may be sent in a planned stop though it must not be repeated."""
        return self._components.planned_stop.arrived_early_enough(
            self.inbound.arrived_at, self.deadline
        )

    def refuse_for_stop(self, max_duration_s: float) -> Refusal:
        """Refuse a call that has not run; its caller can retry at another instance at once."""
        stop_left_s = self._components.planned_stop.ends_at - trio.current_time()
        self.log(
            "request refused: it may not end before the planned stop",
            left_s=round(stop_left_s, 3),
            needs_s=max_duration_s,
        )
        return Refusal(ErrorKind.STOPPING, "this instance is stopping", 0.0)

    def to_truthful(self, refusal: Refusal) -> Refusal:
        """Replace a refusal which says that the call did not run, though it may have run."""
        if self.ran is ExecutionStatus.NO or ERROR_RESPONSES[refusal.kind].ran != "no":
            return refusal
        self.log("may have run; its refusal says so", kind=refusal.kind.value, ran=self.ran.value)
        return self.make_refusal(refusal.detail)

    def refuse_for_status(self, status: int) -> Refusal:
        """Refuse a call whose endpoint answered with a status that is not passed on.

        To a caller, the status would say that the call did not run. The endpoint rejected nothing.
        """
        self.log("endpoint's status is not passed on, since the call ran", status=status)
        return self.make_refusal(f"the endpoint answered with status {status}")

    def log_interrupted_by_stop(self) -> None:
        """Log that the end of a planned stop interrupts the call."""
        now = trio.current_time()
        stop_age_s = self._components.planned_stop.age_s(now)
        self.log(
            "request interrupted by the end of the planned stop",
            sends=self.send_count,
            ran=self.ran.value,
            arrived_after_stop_ms=int(1000 * (stop_age_s - self.age_s)),
            silent_ms=int(1000 * (now - self.last_received_at)),
        )

    def log_rate_limit_wait(self, endpoint: RoutedEndpoint, wait_s: float) -> None:
        """Log that the call waits until an endpoint's rate limit allows it."""
        limits, now = self._components.capacity.endpoint_limits, trio.current_time()
        self.log(
            "waiting for the rate limit of the endpoint",
            endpoint=endpoint.name,
            limit_per_s=limits.rate_per_s(endpoint.name),
            level=round(limits.level(endpoint.name, now), 2),
            told_ago_s=limits.oldest_report_age_s(now),
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
        if self.caller.organisation is not None:
            fields.update(organisation=self.caller.name, cost=self.admission.cost)
        self.log(outcome, **fields)

    def make_refusal(self, detail: str, retry_after_s: float | None = None) -> Refusal:
        """Return a refusal whose kind says whether the call may have run."""
        if self.ran is ExecutionStatus.NO:
            return Refusal(ErrorKind.ENDPOINT_REFUSED, detail, retry_after_s)
        return Refusal(ErrorKind.ENDPOINT_FAILED, detail)
