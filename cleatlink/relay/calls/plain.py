"""Runs one plain call: sends it to an endpoint, and retries it where the route allows that."""

import math

import trio

from cleatlink.core.data import ExecutionStatus, Refusal, Role
from cleatlink.core.errors import (
    NOT_RUN_STATUSES,
    EndpointTimeoutError,
    EndpointUnreachableError,
    ErrorKind,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.calls.plain_call_admission import PlainCallAdmission
from cleatlink.relay.endpoints.pool import IDLE_LIMIT_S, UNREPEATABLE_IDLE_LIMIT_S, Response
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ResponseHead
from cleatlink.relay.tasks import run_watched, sleep_until_sockets_read
from cleatlink.routing.endpoint_speeds import SpeedSampleKind
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.plain_load import CallOutcome
from cleatlink.routing.relay_placement import choose_plain, choose_plain_within_wait
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.uploads import DEFAULT_READ_RATE, Upload

__all__ = ["PlainCall"]

# Well above the largest answer of a plain service.
_MAX_BODY_BYTES = 16_777_216
# Unreachable endpoints after which a call gives up; trying one costs nothing but time.
_MAX_UNREACHABLE = 4
# Time for a connection to another data centre on which a packet is lost, in seconds.
_MIN_SILENCE_TIMEOUT_S = 0.15
# A safe call is retried elsewhere if its endpoint is silent for this many times the usual duration
# of a call. An earlier retry would only lengthen the queues.
_SILENCE_TIMEOUT_FACTOR = 3.0
# Endpoints in trouble may send a byte now and then, without end. Parts of an answer with fewer
# bytes than this count as progress only within the first share of the time that the call had left
# when it was sent.
_MIN_PART_BYTES = 512
_SMALL_PARTS_SHARE = 0.5
# Provisional duration of the call's reservation, in seconds. The reservation is released when the
# call ends, and no decision depends on this value.
_RESERVATION_S = 0.1
# Time within which a full endpoint frees some slots, in seconds.
_RETRY_AFTER_S = 0.5
# Endpoints listed in one log line: a service may have hundreds.
_MAX_LOGGED_ENDPOINTS = 8


class PlainCall:
    """One plain call and its attempts at endpoints."""

    def __init__(
        self, call: Call, admission: PlainCallAdmission, components: RelayComponents
    ) -> None:
        self._call = call
        self._admission = admission
        self._components = components
        self._error_answer: Response | None = None
        self._next_endpoint: RoutedEndpoint | None = None
        # When the current endpoint last sent a byte, or was sent the call if it sent none.
        self._received_at = -math.inf
        # When small parts of the current endpoint's answer no longer count as progress.
        self._small_parts_until = -math.inf
        # When the current endpoint was sent the call; None while there is no connection.
        self._sent_at: float | None = None
        # Transfer of the request body to the current endpoint.
        self._upload = Upload(DEFAULT_READ_RATE)

    async def run(self) -> Response | Refusal:
        """Return the caller's answer: that of an endpoint, or a refusal."""
        if not self._call.repeatable and not self._call.arrived_early_enough_in_stop():
            return self._call.refuse_for_stop(math.inf)
        result = await self._run_attempts()
        if isinstance(result, Refusal) or result.head.status not in NOT_RUN_STATUSES:
            return result
        return self._call.refuse_for_status(result.head.status)

    async def _run_attempts(self) -> Response | Refusal:
        """Send the call to endpoints until one answers or no further attempt is possible."""
        call = self._call
        unreachable_count = 0
        while True:
            call_refusal = call.find_send_refusal()
            if call_refusal is not None:
                return call_refusal
            endpoint, self._next_endpoint = self._next_endpoint, None
            if endpoint is None:
                admission_refusal = await self._admission.wait_for_admission(call)
                if admission_refusal is not None:
                    return self._final_answer(admission_refusal)
                endpoint = self._select_endpoint()
                if endpoint is None or not call.may_send(endpoint):
                    return self._give_up("no endpoint may be tried")
                if not call.take_retry_for_send("plain"):
                    return self._give_up("the retry budget is empty")
            try:
                answer = await self._send(endpoint)
            except EndpointUnreachableError as error:
                call.note_failure(endpoint, error)
                unreachable_count += 1
                if unreachable_count >= _MAX_UNREACHABLE:
                    return self._give_up("no endpoint could be reached")
                continue
            except (OutcomeUnknownError, StreamBrokenError, EndpointTimeoutError) as error:
                call.note_failure(endpoint, error)
                if not call.repeatable:
                    return call.make_refusal("the call left, but no answer came")
                await call.wait_for_crash_check(endpoint)
                continue
            if answer is not None:
                return answer

    def _select_endpoint(self) -> RoutedEndpoint | None:
        """Select an endpoint that can serve the call now, or soon enough to meet the target.

        A call that waits for longer misses its target, and makes the calls queued behind it miss
        theirs.
        """
        call, capacity = self._call, self._components.capacity
        service = call.service.name
        endpoint = choose_plain(service, capacity, call.placement_context())
        if endpoint is not None:
            return endpoint
        max_wait_s = call.route.target_s - call.age_s - capacity.service_times(service).plain_call_s
        return choose_plain_within_wait(
            service, capacity, call.placement_context(), min(max_wait_s, call.remaining_s)
        )

    async def _wait_for_rate_limit(self, endpoint: RoutedEndpoint, key: str) -> bool:
        """Wait until an endpoint's rate limit allows the call.

        Returns:
            Whether the endpoint still accepts calls after the wait.
        """
        call, capacity = self._call, self._components.capacity
        now = trio.current_time()
        due_at = capacity.endpoint_limits.reserve(key, endpoint.name, now)
        if due_at <= now:
            return True
        call.log_rate_limit_wait(endpoint, due_at - now)
        await trio.sleep_until(due_at)
        now = trio.current_time()
        return capacity.accepts_work(endpoint.name) and not capacity.backoff_left_s(
            endpoint.name, now
        )

    async def _send(self, endpoint: RoutedEndpoint) -> Response | None:
        """Send the call to one endpoint.

        Returns:
            The answer; None if another endpoint is to be tried.
        """
        call, components = self._call, self._components
        key = f"{call.inbound.request_id}/{call.send_count}"
        ends_at = trio.current_time() + _RESERVATION_S
        reservation = Reservation(endpoint.name, Role.PLAIN, 0, ends_at, suspicion=call.suspicion)
        components.capacity.reserve(key, reservation)
        plain_load, outcome = components.capacity.plain_load, CallOutcome.NO_ANSWER
        started_at = None
        try:
            if not await self._wait_for_rate_limit(endpoint, key):
                return None
            started_at = trio.current_time()
            self._received_at, self._sent_at = started_at, None
            self._small_parts_until = started_at + _SMALL_PARTS_SHARE * call.remaining_s
            self._upload = call.start_upload(endpoint)
            plain_load.call_started(endpoint.name, started_at)
            answer = await run_watched(
                lambda: self._exchange(endpoint),
                lambda scope: self._cancel_when_silent(endpoint, scope),
            )
            if answer is not None:
                outcome = self._outcome(answer.head)
        finally:
            components.capacity.release(key)
            components.capacity.endpoint_limits.cancel_reservation(key, trio.current_time())
            if started_at is not None:
                now = trio.current_time()
                delay_s = self._own_delay_s(started_at, now)
                plain_load.call_ended(endpoint.name, outcome, now, delay_s)
        if answer is None:
            self._record_duration(endpoint, started_at)
            raise EndpointTimeoutError("the endpoint was silent for too long")
        if outcome is CallOutcome.COMPLETED:
            call.update_read_rate(endpoint, self._upload, trio.current_time() - started_at)
            self._record_duration(endpoint, started_at)
        return self._check_answer(endpoint, answer)

    def _outcome(self, head: ResponseHead) -> CallOutcome:
        protocol = self._components.protocol
        if not protocol.reports_not_executed(head):
            return CallOutcome.COMPLETED
        # An endpoint that rejects an invalid request tells nothing about its load.
        is_invalid = protocol.rejects_as_invalid(head)
        return CallOutcome.NO_ANSWER if is_invalid else CallOutcome.REFUSED

    def _own_delay_s(self, started_at: float, now: float) -> float:
        """Return for how many seconds of a call until now the endpoint was not at work on it."""
        if self._sent_at is None:
            return now - started_at
        round_trip_s = self._components.capacity.own_delay.seconds(now)
        return self._sent_at - started_at + min(round_trip_s, now - self._sent_at)

    def _record_duration(self, endpoint: RoutedEndpoint, started_at: float) -> None:
        """Record the processing time of the call for the endpoint and its service.

        The time excludes the transfer of the request body. When it was included, large bodies on a
        slow link made endpoints look slow, and a silent endpoint was abandoned after 0.72 s instead
        of 0.16 s.
        """
        capacity = self._components.capacity
        service_times = capacity.service_times(self._call.service.name)
        duration_s = self._call.processing_s(endpoint.name, self._upload, started_at)
        if duration_s is None:
            return
        now = trio.current_time()
        capacity.note_duration(
            endpoint.name, SpeedSampleKind.PLAIN, duration_s, service_times.plain_call_s, now
        )
        service_times.note_plain_call(duration_s)

    async def _cancel_when_silent(self, endpoint: RoutedEndpoint, scope: trio.CancelScope) -> None:
        """Cancel the exchange with an endpoint that is silent for too long, to retry elsewhere.

        If no other endpoint is available, or the retry budget is empty, the exchange continues: the
        endpoint may still answer.
        """
        call = self._call
        is_enabled = self._components.capacity.switches.is_enabled(Mechanism.RETRY_AFTER_SILENCE)
        if not call.repeatable or not is_enabled:
            return
        while True:
            await self._wait_for_silence()
            call.excluded.add(endpoint.name)
            other_endpoint = choose_plain(
                call.service.name, self._components.capacity, call.placement_context()
            )
            if other_endpoint is None or not call.may_send(other_endpoint):
                continue
            if self._admission.has_free_capacity(call) and call.take_retry_for_send("plain"):
                self._next_endpoint = other_endpoint
                call.note_silent(endpoint, self._upload, trio.current_time() - self._silent_since)
                scope.cancel()
            return

    @property
    def _silent_since(self) -> float:
        """Latest time when the endpoint got the call, sent a byte or should have read the body."""
        return max(self._received_at, self._upload.read_by)

    async def _wait_for_silence(self) -> None:
        """Wait until no data has moved in either direction for the silence timeout.

        The timeout starts now, and again with each later progress of the request or the answer. A
        large body on a slow link takes many times the usual duration of a call.
        """
        since = trio.current_time()
        while True:
            await sleep_until_sockets_read(since + self._silence_timeout_s())
            silent_since = self._silent_since
            if silent_since <= since:
                return
            since = silent_since

    def _note_received(self, count: int) -> None:
        """Record that a number of bytes of the answer arrived."""
        now = trio.current_time()
        if count >= _MIN_PART_BYTES or now <= self._small_parts_until:
            self._received_at = now

    def _silence_timeout_s(self) -> float:
        """Return the silence timeout in seconds.

        While the usual duration of a call is unknown, the timeout is the route's latency target,
        but at most half of the time that is left, so that another endpoint can still answer.
        """
        call = self._call
        capacity = self._components.capacity
        usual_s = capacity.service_times(call.service.name).plain_call_s
        if not usual_s:
            return max(_MIN_SILENCE_TIMEOUT_S, min(call.route.target_s, call.remaining_s / 2))
        own_delay_s = capacity.own_delay.seconds(trio.current_time())
        return max(_MIN_SILENCE_TIMEOUT_S, _SILENCE_TIMEOUT_FACTOR * usual_s) + own_delay_s

    async def _exchange(self, endpoint: RoutedEndpoint) -> Response:
        call, components = self._call, self._components
        max_idle_s = IDLE_LIMIT_S if call.repeatable else UNREPEATABLE_IDLE_LIMIT_S

        def make_request() -> OutgoingRequest:
            self._sent_at = trio.current_time()
            call.note_sent(endpoint)
            return components.protocol.make_forwarded_request(
                call.inbound, endpoint, call.remaining_s
            )

        must_be_new = components.capacity.own_delay.needs_connection(trio.current_time())
        return await components.pool.call(
            endpoint,
            max_idle_s,
            make_request,
            _MAX_BODY_BYTES,
            self._note_received,
            upload=self._upload,
            must_be_new=must_be_new,
            request_id=call.inbound.request_id,
        )

    def _check_answer(self, endpoint: RoutedEndpoint, answer: Response) -> Response | None:
        """Check an answer, and return it if it is final.

        Returns:
            The answer; None if another endpoint is to be tried.

        Raises:
            OutcomeUnknownError: It is not signed.
        """
        call, components = self._call, self._components
        head = answer.head
        if components.protocol.reports_not_executed(head):
            self._note_refusal(endpoint, head)
            return answer if components.protocol.rejects_as_invalid(head) else None
        if head.status < 300 and not components.protocol.has_signature(head):
            raise OutcomeUnknownError("the answer has no signature")
        call.ran = ExecutionStatus.YES
        call.note_completed()
        if call.repeatable and components.protocol.is_failure(head):
            call.log(
                "received an error status; looks for another endpoint",
                endpoint=endpoint.name,
                status=head.status,
            )
            self._error_answer = answer
            call.excluded.add(endpoint.name)
            return None
        components.capacity.note_success(endpoint.name, trio.current_time())
        components.capacity.note_free_capacity(endpoint.name)
        return answer

    def _note_refusal(self, endpoint: RoutedEndpoint, head: ResponseHead) -> None:
        self._call.note_not_run()
        self._call.excluded.add(endpoint.name)
        self._call.note_refused(endpoint, head)

    def _final_answer(self, refusal: Refusal) -> Response | Refusal:
        """Return the caller's answer for a call that admission refused.

        After a failed attempt that is the endpoint's error answer.
        """
        return refusal if self._error_answer is None else self._error_answer

    def _give_up(self, detail: str) -> Response | Refusal:
        """Return the caller's answer for a call that is not sent any more."""
        if self._error_answer is not None:
            return self._error_answer
        retry_after_s = self._retry_delay_s()
        self._log_limits(retry_after_s)
        if not self._call.send_count:
            return Refusal(ErrorKind.NO_ENDPOINT, detail, retry_after_s)
        return self._call.make_refusal(detail, retry_after_s)

    def _log_limits(self, retry_after_s: float | None) -> None:
        """Log the rate limits that the service's endpoints announced, if there are any."""
        capacity, now = self._components.capacity, trio.current_time()
        limits = capacity.endpoint_limits
        names = [item.name for item in capacity.in_role(self._call.service.name, Role.PLAIN)]
        levels = {
            name: (limits.rate_per_s(name), round(limits.level(name, now), 2))
            for name in names
            if limits.rate_per_s(name) is not None
        }
        if levels:
            self._call.log(
                "gives up; some endpoints have a rate limit",
                limits_and_levels=dict(list(levels.items())[:_MAX_LOGGED_ENDPOINTS]),
                limited=len(levels),
                endpoints=len(names),
                told_ago_s=limits.oldest_report_age_s(now),
                retry_after_s=retry_after_s,
            )

    def _retry_delay_s(self) -> float | None:
        """Return the seconds until an endpoint accepts calls again; None if all are draining."""
        now = trio.current_time()
        capacity, service = self._components.capacity, self._call.service.name
        unavailable_s = capacity.accepts_work_in_s(service, Role.PLAIN, now)
        if unavailable_s is None:
            return None
        return max(self._admission.retry_delay_s(self._call, _RETRY_AFTER_S), unavailable_s)
