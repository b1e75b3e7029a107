"""One call on its way through the relay: what it may still do, and what it came to."""

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


# Spread of the moments at which suspects of one crash go on elsewhere: many times what it takes
# to tell peers of a place.
_APART_S = 0.1


class Call:
    """One call: its route, its deadline, where it was sent and whether it ran."""

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
        self.heard_at = inbound.arrived_at
        self.admission = Admission(True, 0)
        self._parts = parts
        self._sent_to: set[str] = set()
        self._sent_last_to = ""
        self._ran_before = Ran.NO
        self._identity = b""
        self._begun_at = inbound.arrived_at
        self._is_on_trial = False
        # Endpoints that were left while their part of the body was still on its way.
        self._unread_bodies = 0

    @property
    def identity(self) -> bytes:
        """Who asks for what; worked out once, since bodies can be long."""
        if not self._identity:
            self._identity = self.inbound.identity
        return self._identity

    @property
    def suspicion(self) -> int:
        """At how many crashes its request was without having been served since."""
        quarantine = self._parts.quarantine
        return 0 if quarantine.is_empty else quarantine.judge(self.identity).suspicion

    @property
    def repeatable(self) -> bool:
        """Whether the call may run more than once."""
        return self.route.kind is RouteKind.SAFE

    @property
    def resumable(self) -> bool:
        """Whether another endpoint may go on with the call's stream."""
        return self.route.kind is RouteKind.STREAMING and self.route.resumable

    @property
    def begun(self) -> bool:
        """Whether a part of the call's stream has been made already, here or before."""
        return self.ran is not Ran.NO or self.inbound.last_event is not None

    @property
    def priority(self) -> int:
        """From 0, the most urgent: the organisation's, or else the route's."""
        organisation = self.holder.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def shared_urgency(self) -> int:
        """How urgent it is among those that wait at many instances; larger goes first."""
        organisation = self.holder.organisation
        if organisation is None or organisation.priority is None:
            return rank(self.priority)
        return rank(self.priority, self.route.priority)

    @property
    def told_priority(self) -> int | None:
        """The priority that engines are told; None where urgency is not shared."""
        capacity = self._parts.capacity
        tells = capacity.switches.uses(Mechanism.ENDPOINT_PRIORITY)
        return self.priority if tells and capacity.waiting.is_large_group else None

    @property
    def is_allowed(self) -> bool:
        """Whether its key has not been taken away since it came; what has run goes on."""
        return self.ran is not Ran.NO or self._parts.gate.still_holds(self.holder)

    @property
    def left_s(self) -> float:
        """Seconds that are left of the call's time."""
        return self.deadline - trio.current_time()

    @property
    def age_s(self) -> float:
        """Seconds since the call arrived."""
        return trio.current_time() - self.inbound.arrived_at

    @property
    def in_time(self) -> bool:
        """Whether an answer that begins now is in time."""
        return self.age_s <= self.route.target_s

    def give_back(self) -> None:
        """Give back to its organisation what a call that did not run was granted."""
        organisation, admission = self.holder.organisation, self.admission
        if organisation is not None and admission.granted and admission.cost:
            self._parts.gate.limits.give_back(organisation, admission.cost)
            self.admission = Admission(True, 0)

    def seeker(self) -> Seeker:
        """Give who seeks a place, now."""
        parts = self._parts
        now = trio.current_time()
        return Seeker(parts.data_centre, self.excluded, now, parts.rng, self.suspicion)

    def bar(self) -> Refusal | None:
        """Give why the call may not be sent now, if that is so; asked anew before each send.

        Without it one request crashed 14 of 14 endpoints that it was sent to, and 28 where a
        second endpoint may be tried; now 3.
        """
        if not self.is_allowed:
            return Refusal(ErrorKind.UNKNOWN_KEY, "its key was taken away")
        quarantine = self._parts.quarantine
        if quarantine.is_empty or self._is_on_trial:
            return None
        verdict = quarantine.judge(self.identity)
        if verdict.needs_trial:
            self._is_on_trial = True
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

        Without it a call of a resumable or safe route is at its next endpoint before its third
        crash counts. Suspects go on at different moments, so that each knows where the others
        run by then.
        """
        await self._parts.crashes.wait(endpoint)
        if self.suspicion >= RUNS_APART:
            await trio.sleep(_APART_S * self._parts.rng.random())

    def note_served(self) -> None:
        """Note that an endpoint ran the call to an end: it does not crash what runs it."""
        if not self._parts.quarantine.is_empty:
            self._parts.quarantine.note_served(self.identity)

    def may_send(self, endpoint: RoutedEndpoint) -> bool:
        """Tell whether the route lets the call go to one more endpoint."""
        sent_to = self._sent_to
        return endpoint.name in sent_to or len(sent_to) < self.route.max_attempts

    def may_try_another(self) -> bool:
        """Tell whether the route lets the call go to an endpoint it was not sent to yet."""
        return len(self._sent_to) < self.route.max_attempts

    def spend(self, reason: str) -> bool:
        """Spend one extra send of the shared budget; tells whether there was one."""
        now = trio.current_time()
        allowed = self._parts.budget(self.service.name).take(self._parts.members(), now)
        self._parts.metrics.count_retry(reason if allowed else "budget_empty")
        self.log("retries" if allowed else "may not retry", reason=reason)
        return allowed

    def note_sent(self, endpoint: RoutedEndpoint) -> None:
        """Count an endpoint that the call is sent to."""
        self.note_begun()
        self.sends += 1
        self._sent_to.add(endpoint.name)
        self._sent_last_to = endpoint.name
        self._ran_before = self.ran
        self.ran = Ran.UNKNOWN

    def note_begun(self) -> None:
        """Note that an endpoint gets the call, or its prompt, now."""
        self._begun_at = trio.current_time()

    def note_not_run(self) -> None:
        """Take an endpoint's word that it did not run what was sent last."""
        self.ran = self._ran_before

    def note_elsewhere(self, endpoint: RoutedEndpoint) -> None:
        """Note that an address has another endpoint now: this one was not sent to."""
        self._sent_to.discard(endpoint.name)

    def note_refused(self, endpoint: RoutedEndpoint, head: ReplyHead) -> None:
        """Take an endpoint's word that it did not run the call, and why."""
        capacity = self._parts.capacity
        rest_s = self._parts.protocol.read_notice(head).rest_s
        self.log("was not run", endpoint=endpoint.name, status=head.status, rest_s=rest_s)
        if head.status == OTHER_ENDPOINT:
            self.note_elsewhere(endpoint)
            capacity.note_misdirected(endpoint.name)
        else:
            capacity.note_full(endpoint.name, trio.current_time())

    def note_failure(
        self, endpoint: RoutedEndpoint, error: Exception, *, in_progress: bool = True
    ) -> None:
        """Note that an endpoint failed the call; the call does not go there again.

        Args:
            endpoint: The endpoint.
            error: How it failed.
            in_progress: Whether the endpoint had the call, and not just a question about it.
        """
        asks = self.identity
        self.log(
            "failed at an endpoint", endpoint=endpoint.name, error=repr(error), asks=asks.hex()
        )
        self.excluded.add(endpoint.name)
        if in_progress and isinstance(error, OutcomeUnknownError | StreamBrokenError):
            # A try that crashed its endpoint is over: it is judged like any other.
            self._is_on_trial = False
            seconds = trio.current_time() - self._begun_at
            self._parts.crashes.note_broken(endpoint, asks, seconds)
        if not isinstance(error, EndpointRefusedError):
            self._parts.capacity.note_failure(endpoint.name, trio.current_time())
        if isinstance(error, EndpointUnreachableError):
            self._parts.on_hint(endpoint.name, HintKind.UNREACHED)

    def upload_to(self, endpoint: RoutedEndpoint) -> Upload:
        """Begin to follow the call's body on its way to an endpoint.

        After each endpoint that did not take it in the time given, the link is believed to be half
        as fast: it may be this side's.
        """
        usual = self._parts.capacity.upload_paces.pace(endpoint.name)
        pace = usual.bytes_a_second / 2**self._unread_bodies
        return Upload(usual._replace(bytes_a_second=pace))

    def note_read(self, endpoint: RoutedEndpoint, upload: Upload, seconds: float) -> None:
        """Learn how fast an endpoint read the call's body, which it answered after some seconds."""
        self._parts.capacity.upload_paces.note_answered(endpoint.name, upload, seconds)

    def served_s(self, upload: Upload, began_at: float) -> float | None:
        """Give for how long an endpoint has had the call by now.

        Args:
            upload: The call's body on its way there.
            began_at: When sending began.

        Returns:
            Seconds; None if that is not known: the body may have been on its way for most of the
            time, or this instance has not run all the time.
        """
        now = trio.current_time()
        if self._parts.capacity.own_pauses.any_since(began_at, now):
            return None
        return upload.served_s(began_at, now)

    def note_silent(self, endpoint: RoutedEndpoint, upload: Upload, silent_s: float) -> None:
        """Note that another endpoint is asked, or looked for, since one is silent."""
        if not upload.is_whole:
            self._unread_bodies += 1
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
        """Note that an endpoint took much longer than it should."""
        self.log("found an endpoint slow", endpoint=endpoint.name, took_ms=int(1000 * seconds))
        self._parts.on_hint(endpoint.name, HintKind.SLOW)

    def note_heard(self, now: float) -> None:
        """Note that an endpoint sent a part of the call's answer."""
        self.heard_at = now

    def may_begin(self, longest_s: float) -> bool:
        """Tell whether the call's stream can end before a planned stop ends this instance.

        One that has run goes on: nothing is won by giving it up.

        Args:
            longest_s: Seconds that it may need from now on; infinite if that is not known.
        """
        if self.ran is not Ran.NO:
            return True
        now = trio.current_time()
        arrived_at = self.inbound.arrived_at
        return self._parts.stop.leaves_time(arrived_at, self.deadline, longest_s, now)

    def refuse_for_stop(self, longest_s: float) -> Refusal:
        """Refuse the call, which has not run: other instances can take it at once."""
        left_s = self._parts.stop.ends_at - trio.current_time()
        self.log("is left to others by the stop", left_s=round(left_s, 3), needs_s=longest_s)
        return Refusal(ErrorKind.STOPPING, "this instance is stopping", 0.0)

    def log_end_by_stop(self) -> None:
        """Log that the end of a planned stop cuts the call off."""
        now = trio.current_time()
        stop_age_s = self._parts.stop.age_s(now)
        self.log(
            "is cut off by the stop",
            sends=self.sends,
            ran=self.ran.value,
            arrived_after_stop_ms=int(1000 * (stop_age_s - self.age_s)),
            silent_ms=int(1000 * (now - self.heard_at)),
        )

    def log_turn(self, endpoint: RoutedEndpoint, wait_s: float) -> None:
        """Log that the call waits until an endpoint's limit allows it."""
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
        """Log a decision about this call."""
        eliot.log_message(
            message_type="relay: " + outcome,
            request=self.inbound.request_id,
            route=self.route.name,
            revision=self.revision,
            age_ms=int(1000 * self.age_s),
            **fields,
        )

    def log_outcome(self, outcome: str, **fields: object) -> None:
        """Log what a call came to: where it was sent last, whose it is, what it counts."""
        if self._sent_last_to:
            fields.update(endpoint=self._sent_last_to)
        if self.holder.organisation is not None:
            fields.update(organisation=self.holder.name, cost=self.admission.cost)
        self.log(outcome, **fields)

    def failure(self, detail: str, retry_after_s: float | None = None) -> Refusal:
        """Give the refusal that is true of the call now."""
        if self.ran is Ran.NO:
            return Refusal(ErrorKind.ENDPOINT_REFUSED, detail, retry_after_s)
        return Refusal(ErrorKind.ENDPOINT_FAILED, detail)
