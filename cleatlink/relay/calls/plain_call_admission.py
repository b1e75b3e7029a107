"""Admission control of plain calls: each call is admitted, queued for a short time or refused."""

import trio

from cleatlink.core.data import Refusal, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.plain_admission import (
    MAX_WAIT_SHARE,
    AdmissionQueue,
    Ticket,
    retry_after_s,
)
from cleatlink.routing.plain_admission_policy import (
    AdmissionRequest,
    CallAssessment,
    PlainAdmissionPolicy,
)

__all__ = ["PlainCallAdmission"]


class _QueuedCall:
    """A queued call and the decision about it."""

    __slots__ = ("admitted", "decided")

    def __init__(self) -> None:
        self.decided = trio.Event()
        self.admitted = False

    def resolve(self, *, admitted: bool) -> None:
        """Admit or refuse the call, and end its wait."""
        self.admitted = admitted
        self.decided.set()


class _ServiceQueue:
    """The calls of one service that wait at this instance."""

    def __init__(self, queue: AdmissionQueue) -> None:
        self.queue = queue
        self.queued_calls: dict[Ticket, _QueuedCall] = {}

    def admit_due(self) -> None:
        """Admit the calls that are due, and refuse the last ones of a queue that is too long."""
        while (ticket := self.queue.admit_next()) is not None:
            self.queued_calls.pop(ticket).resolve(admitted=True)
        while (ticket := self.queue.drop_excess()) is not None:
            self.queued_calls.pop(ticket).resolve(admitted=False)

    def admit_all(self) -> None:
        """Admit all queued calls."""
        for ticket in self.queue.admit_all():
            self.queued_calls.pop(ticket).resolve(admitted=True)


class PlainCallAdmission:
    """Admission control of one instance's plain calls."""

    def __init__(self, components: RelayComponents) -> None:
        self._components = components
        self._policy = PlainAdmissionPolicy(components.capacity, components.rng)
        self._queues: dict[str, _ServiceQueue] = {}

    @property
    def _is_enabled(self) -> bool:
        return self._components.capacity.switches.is_enabled(Mechanism.PLAIN_ADMISSION)

    async def wait_for_admission(self, call: Call) -> Refusal | None:
        """Wait until a call is admitted or refused.

        Returns:
            None if the call may be sent, otherwise its refusal.
        """
        if not self._is_enabled:
            return None
        assessment = self._policy.assess(self._admission_request(call), trio.current_time())
        if assessment.service_load.has_free_capacity:
            if call.service.name in self._queues:
                self._queues[call.service.name].admit_all()
            return None
        service_queue = self._service_queue(call.service.name)
        ticket = service_queue.queue.add(assessment.rank, assessment.share)
        queued_call = service_queue.queued_calls[ticket] = _QueuedCall()
        service_queue.admit_due()
        started_at = trio.current_time()
        try:
            if not queued_call.decided.is_set() and self._should_wait(call, ticket, assessment):
                with trio.move_on_after(self._max_wait_s(call)):
                    await queued_call.decided.wait()
        finally:
            # This also runs if the caller disconnects, so that another call can be admitted.
            self._remove(service_queue, ticket)
        if queued_call.admitted or (
            not queued_call.decided.is_set() and self.has_free_capacity(call)
        ):
            waited_s = trio.current_time() - started_at
            self._components.metrics.count_plain_admission("waited" if waited_s else "passed")
            return None
        return self._refuse(call, assessment)

    def has_free_capacity(self, call: Call) -> bool:
        """Check whether the service has free capacity, so that a retry displaces no other call."""
        if not self._is_enabled:
            return True
        return self._policy.service_load(call.service.name, trio.current_time()).has_free_capacity

    def retry_delay_s(self, call: Call, default_s: float) -> float:
        """Return the Retry-After time for a call that endpoints refused.

        With admission control it is random, so that the callers don't all retry at the same moment.

        Args:
            call: The refused call.
            default_s: The time to return if admission control is off.
        """
        if not self._is_enabled:
            return default_s
        max_delay_s = call.route.max_retry_after_share * call.remaining_s
        return retry_after_s(max_delay_s, self._components.rng.random())

    def _admission_request(self, call: Call) -> AdmissionRequest:
        """Describe a call; its identity is computed only if refused calls are expected back."""
        identity = call.identity if len(self._components.capacity.expected_plain_retries) else b""
        return AdmissionRequest(call.service.name, call.priority, identity, call.send_count > 0)

    def _max_wait_s(self, call: Call) -> float:
        """Return how long a call may wait for admission, in seconds."""
        return max(0.0, min(MAX_WAIT_SHARE * call.route.target_s - call.age_s, call.remaining_s))

    def _should_wait(self, call: Call, ticket: Ticket, assessment: CallAssessment) -> bool:
        """Check whether a call is likely to be admitted before its maximum wait ends."""
        service = call.service.name
        if self._unavailable_s(call) > self._max_wait_s(call):
            return False
        expected = self._policy.expected_admissions(
            assessment, service, self._max_wait_s(call), trio.current_time()
        )
        return self._policy.queue(service).is_likely_admitted(ticket, expected)

    def _unavailable_s(self, call: Call) -> float:
        """Return the seconds until an endpoint accepts calls, after a back-off or rate limit."""
        capacity, now = self._components.capacity, trio.current_time()
        return capacity.accepts_work_in_s(call.service.name, Role.PLAIN, now) or 0.0

    def _remove(self, service_queue: _ServiceQueue, ticket: Ticket) -> None:
        service_queue.queue.remove(ticket)
        service_queue.queued_calls.pop(ticket, None)

    def _service_queue(self, service: str) -> _ServiceQueue:
        service_queue = self._queues.get(service)
        if service_queue is None:
            service_queue = self._queues[service] = _ServiceQueue(self._policy.queue(service))
        return service_queue

    def _refuse(self, call: Call, assessment: CallAssessment) -> Refusal:
        """Refuse a call, and expect its caller back after the Retry-After time."""
        components, now = self._components, trio.current_time()
        delay_s = max(self.retry_delay_s(call, 0.0), self._unavailable_s(call))
        components.capacity.expected_plain_retries.note_own_refusal(call.identity, now + delay_s)
        components.metrics.count_plain_admission("refused")
        message_age_s = components.capacity.plain_load.newest_message_age_s(now)
        call.log(
            "was denied admission; the service is overloaded",
            rank=assessment.rank,
            share=round(assessment.share, 3),
            fill=round(assessment.service_load.fill, 2),
            bears_per_s=round(assessment.service_load.sustainable_per_s, 1),
            waiting=len(self._service_queue(call.service.name).queue),
            heard_ago_s=None if message_age_s is None else round(message_age_s, 3),
            retry_after_s=round(delay_s, 3),
        )
        return Refusal(ErrorKind.NO_ROOM, "the service's endpoints are full", delay_s)
