"""Runs one streaming request: placement, prefill, decode, and the relay of the event stream."""

import math
from typing import NamedTuple

import trio

from cleatlink.core.data import ExecutionStatus, Refusal
from cleatlink.core.errors import (
    NOT_RUN_STATUSES,
    EndpointError,
    EndpointTimeoutError,
    ErrorKind,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.calls.decode_admission import DecodeAdmission
from cleatlink.relay.calls.decode_target import RETRY_AFTER_S, DecodeTarget
from cleatlink.relay.calls.event_parser import EventParser
from cleatlink.relay.calls.stream_failover import StreamFailover
from cleatlink.relay.calls.stream_meter import StreamMeter
from cleatlink.relay.calls.stream_origin import StreamOrigin
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import ResponseHead
from cleatlink.relay.exchange import Exchange
from cleatlink.relay.tasks import run_watched
from cleatlink.routing.rejection_plan import RejectionAction, RejectionPlan, plan_after_rejection

__all__ = ["StreamCall", "StreamResult"]

# Maximum size of the body of an error response; usual ones are far smaller.
_MAX_REPLY_BYTES = 65_536
# Time without a response after which a resumable stream looks for another endpoint, in seconds.
_FIRST_RESPONSE_TIMEOUT_S = 1.5
# Silence within a stream after which it looks for another endpoint, as a multiple of the route's
# maximum gap between events, and the bounds of that silence in seconds.
_SILENCE_FACTOR = 3.0
_MIN_SILENCE_S = 0.5
_MAX_SILENCE_S = 1.5


class StreamResult(NamedTuple):
    """Result of a streaming request.

    Attributes:
        refusal: The refusal to send to the caller; None once an answer has begun.
        is_complete: Whether the answer is complete.
    """

    refusal: Refusal | None = None
    is_complete: bool = False


class StreamCall:
    """One streaming request, from its arrival to the end of its answer."""

    def __init__(
        self,
        call: Call,
        exchange: Exchange,
        admission: DecodeAdmission,
        components: RelayComponents,
    ) -> None:
        self._call = call
        self._exchange = exchange
        self._admission = admission
        self._components = components
        self._parser = EventParser(call.inbound.last_event, components.memory)
        self._target = DecodeTarget(call, admission, components)
        self._failover = StreamFailover(call, admission, components)
        self._origin = StreamOrigin(call, components)
        self._rejection_count = 0

    async def run(self) -> StreamResult:
        """Serve the request until its answer is complete, refused or interrupted."""
        origin_refusal = await self._origin.resolve()
        if origin_refusal is not None:
            return StreamResult(origin_refusal)
        try:
            while True:
                result = await self._attempt()
                if result is not None:
                    return result
        finally:
            self._parser.restart()
            self._target.close()
            if self._failover.replacement is not None:
                self._failover.replacement.close()

    async def _attempt(self) -> StreamResult | None:
        """Make one attempt; return None if another one is needed."""
        replacement, self._failover.replacement = self._failover.replacement, None
        if replacement is not None:
            self._target = replacement
            return await self._decode()
        refusal = self._call.find_send_refusal() or await self._target.prepare()
        if refusal is not None:
            return self._finish_refused(refusal)
        return await self._decode()

    def _finish_refused(self, refusal: Refusal) -> StreamResult:
        return StreamResult() if self._exchange.started else StreamResult(refusal)

    async def _decode(self) -> StreamResult | None:
        """Send the request to the decode endpoint and relay its stream."""
        call, target = self._call, self._target
        endpoint = target.endpoint
        if not self._components.capacity.accepts_work(endpoint.name):
            # Computing a prompt can take longer than a leaving endpoint accepts new work: on
            # engines with prompts of seconds, a stream was sent 2.5 s after the endpoint had
            # announced that it was leaving.
            call.log("endpoint is leaving, placing the stream again", endpoint=endpoint.name)
            target.release_and_exclude()
            return None
        backoff_s = self._components.capacity.backoff_left_s(endpoint.name, trio.current_time())
        if backoff_s:
            call.log(
                "endpoint is in back-off, placing the stream again",
                endpoint=endpoint.name,
                rest_s=round(backoff_s, 3),
            )
            target.release_and_exclude()
            return None
        if not await target.wait_for_rate_limit():
            call.log(
                "endpoint is at its rate limit, placing the stream again", endpoint=endpoint.name
            )
            target.release()
            return None
        refusal = target.authorize_send()
        if refusal is not None:
            return self._finish_refused(refusal)
        connection = await target.take_connection()
        if connection is None:
            return None
        call.note_sent(endpoint)
        if self._exchange.started:
            call.log("stream continues elsewhere", endpoint=endpoint.name, build=endpoint.build)
        try:
            return await self._send_with_failover(endpoint, connection)
        except (EndpointError, trio.TooSlowError, ValueError) as error:
            connection.close()
            call.note_failure(endpoint, error)
            target.prefill.discard_handle("lost")
            if call.resumable:
                await call.wait_for_crash_check(endpoint)
            return self._after_interruption()
        except BaseException:
            connection.close()
            raise

    async def _send_with_failover(
        self, endpoint: RoutedEndpoint, connection: EndpointConnection
    ) -> StreamResult | None:
        """Send the request and relay the answer, with a search for a replacement during silence.

        Raises:
            EndpointTimeoutError: A replacement endpoint is ready to continue the stream.
        """
        if not self._may_fail_over():
            return await self._send(endpoint, connection)
        result = await run_watched(
            lambda: self._send(endpoint, connection),
            lambda scope: self._failover.run(self._target, scope),
        )
        if self._failover.replacement is not None:
            raise EndpointTimeoutError("another endpoint continues the stream")
        return result

    async def _send(
        self, endpoint: RoutedEndpoint, connection: EndpointConnection
    ) -> StreamResult | None:
        """Send the request on a connection and relay the answer."""
        call, components, prefill = self._call, self._components, self._target.prefill
        is_prefilled, sent_at = prefill.source is not None, trio.current_time()
        upload = call.start_upload(endpoint)
        request = components.protocol.make_forwarded_request(
            call.inbound,
            endpoint,
            call.remaining_s,
            kv_source=prefill.source,
            reservation_id=self._target.reservation.consume_id(endpoint),
            last_event=self._parser.last_number,
            priority=call.forwarded_priority,
        )
        self._failover.track_upload(upload)
        self._failover.expect_data(_FIRST_RESPONSE_TIMEOUT_S)
        head = await connection.exchange(request, upload=upload)
        self._note_activity()
        if components.protocol.reports_not_executed(head):
            connection.close()
            return await self._handle_rejection(endpoint, head)
        call.ran = ExecutionStatus.YES
        call.update_read_rate(endpoint, upload, trio.current_time() - sent_at)
        components.capacity.note_free_capacity(endpoint.name)
        prefill.discard_handle("taken")
        if head.status != 200:
            return await self._handle_error_response(head, connection)
        if not components.protocol.has_signature(head):
            raise OutcomeUnknownError("the answer has no signature")
        meter = StreamMeter(
            call,
            components.capacity,
            endpoint.name,
            sent_at,
            is_prefilled=is_prefilled,
            upload=upload,
        )
        await self._relay(head, connection, meter)
        meter.note_end(self._target.placement)
        call.note_completed()
        call.note_answering()
        components.pool.release(endpoint, connection)
        components.capacity.note_success(endpoint.name, trio.current_time())
        return StreamResult(is_complete=True)

    def _may_fail_over(self) -> bool:
        """Check whether another endpoint may continue the stream."""
        return self._call.resumable and self._call.may_try_another()

    def _note_activity(self) -> None:
        """Record that the endpoint sent data, which ends the search for a replacement.

        Raises:
            EndpointTimeoutError: A replacement has been found already and continues the stream.
        """
        self._failover.note_activity()
        if self._failover.replacement is not None:
            raise EndpointTimeoutError("another endpoint continues the stream")

    async def _handle_error_response(
        self, head: ResponseHead, connection: EndpointConnection
    ) -> StreamResult | None:
        """Return an error response to the caller, unless another endpoint may be tried."""
        body = await connection.read_body(_MAX_REPLY_BYTES)
        connection.close()
        self._call.note_completed()
        if self._exchange.started:
            return StreamResult()
        if self._may_fail_over() and self._components.protocol.is_failure(head):
            self._call.log(
                "received an error status; looks for another endpoint", status=head.status
            )
            self._target.release_and_exclude()
            return None
        if head.status in NOT_RUN_STATUSES:
            return StreamResult(self._call.refuse_for_status(head.status))
        headers = self._components.protocol.filter_response_headers(head)
        await self._exchange.answer(head.status, headers, body)
        return StreamResult(is_complete=True)

    async def _relay(
        self, head: ResponseHead, connection: EndpointConnection, meter: StreamMeter
    ) -> None:
        """Relay a stream to its end, event by event.

        Raises:
            StreamBrokenError: The stream ended within an event.
            ValueError: An event is too long, or an event number was skipped.
        """
        exchange, call = self._exchange, self._call
        self._parser.restart()
        received_at = trio.current_time()
        first_event_at = math.inf
        longest_gap_s = 0.0
        # Only new events show that the endpoint works: bytes that make none may come without end.
        self._failover.expect_data(self._silence_timeout_s())
        while True:
            chunk = await connection.read_chunk()
            now = trio.current_time()
            longest_gap_s, received_at = max(longest_gap_s, now - received_at), now
            call.note_received(now)
            if chunk is None:
                break
            events = self._parser.feed(chunk)
            if not events:
                continue
            self._note_activity()
            meter.note_events(len(events), now)
            first_event_at = min(first_event_at, now)
            call.note_answering(now - first_event_at)
            self._origin.note_begun(self._target.endpoint)
            if not exchange.started:
                await self._start(head)
            await exchange.send(b"".join(event.data for event in events))
            # The next gap starts here, so that a slow caller does not make its endpoint look slow.
            received_at = trio.current_time()
            if longest_gap_s > call.route.event_gap_target_s:
                call.report_slow(self._target.endpoint, longest_gap_s)
                longest_gap_s = -math.inf
            self._failover.expect_data(self._silence_timeout_s())
        self._note_activity()
        if self._parser.has_partial_event:
            raise StreamBrokenError("the stream ended within an event")
        if not exchange.started:
            await self._start(head)
        await exchange.end()

    def _silence_timeout_s(self) -> float:
        """Return the silence after which to look for another endpoint, in seconds."""
        timeout_s = _SILENCE_FACTOR * self._call.route.event_gap_target_s
        return min(_MAX_SILENCE_S, max(_MIN_SILENCE_S, timeout_s))

    async def _start(self, head: ResponseHead) -> None:
        call, components = self._call, self._components
        components.metrics.count_answer(call.route.kind.value, head.status, call.age_s)
        call.log(
            "answer started",
            status=head.status,
            in_time=call.is_in_time,
            build=self._target.endpoint.build,
            resumes=call.inbound.resumes,
        )
        self._admission.note_prompt_computed(self._target.placement.key)
        await self._exchange.start(head.status, components.protocol.filter_response_headers(head))

    async def _handle_rejection(
        self, endpoint: RoutedEndpoint, head: ResponseHead
    ) -> StreamResult | None:
        """Handle a rejection: try another endpoint, or the same one again after a delay."""
        call, target = self._call, self._target
        call.note_not_run()
        call.note_refused(endpoint, head)
        self._rejection_count += 1
        plan = self._plan_after_rejection(endpoint)
        if plan.action is RejectionAction.SAME_ENDPOINT:
            await trio.sleep(plan.delay_s)
            if self._has_capacity_elsewhere(endpoint):
                plan = plan._replace(action=RejectionAction.OTHER_ENDPOINT)
        call.log(
            "endpoint rejected the stream, continuing as planned",
            endpoint=endpoint.name,
            refusals=self._rejection_count,
            action=plan.action.value,
            pause_ms=int(1000 * plan.delay_s),
            keeps_handle=plan.keeps_handle,
        )
        if plan.action is RejectionAction.GIVE_UP:
            return self._finish_refused(
                call.make_refusal("the decode endpoint has no room", RETRY_AFTER_S)
            )
        if not plan.keeps_handle:
            target.prefill.discard_handle("refused")
        if plan.action is RejectionAction.OTHER_ENDPOINT:
            target.release_and_exclude()
            return None
        return await self._decode()

    def _plan_after_rejection(self, endpoint: RoutedEndpoint) -> RejectionPlan:
        call = self._call
        if not self._components.capacity.accepts_work(endpoint.name):
            # The endpoint is leaving, or another endpoint has its address now.
            return RejectionPlan(RejectionAction.OTHER_ENDPOINT)
        if not call.may_send(endpoint):
            return RejectionPlan(RejectionAction.GIVE_UP)
        return plan_after_rejection(
            self._rejection_count,
            has_capacity_elsewhere=self._has_capacity_elsewhere(endpoint),
            handle_left_s=self._target.prefill.handle_valid_for_s(),
            left_s=min(call.remaining_s, call.route.abandon_after_s - call.age_s),
        )

    def _has_capacity_elsewhere(self, endpoint: RoutedEndpoint) -> bool:
        """Check whether another endpoint has capacity now and the route allows one more attempt."""
        call = self._call
        if not call.may_try_another():
            return False
        return self._admission.has_capacity_elsewhere(
            call, endpoint, self._target.prefill.has_valid_handle()
        )

    def _after_interruption(self) -> StreamResult | None:
        """Decide what follows a stream that was interrupted, never began or has a replacement."""
        call = self._call
        if self._failover.replacement is not None:
            self._target.close("lost")
            return None
        if not call.resumable or not call.may_try_another():
            detail = "the stream broke off"
            if self._exchange.started:
                return StreamResult()
            return StreamResult(Refusal(ErrorKind.ENDPOINT_FAILED, detail))
        self._target.release_and_exclude()
        return None
