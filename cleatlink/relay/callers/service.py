"""Handles callers' requests: routes each one, runs its call and sends exactly one answer."""

import math
from collections.abc import Callable
from functools import partial
from traceback import format_exc
from typing import NamedTuple

import eliot
import msgspec
import trio

from cleatlink.core.data import ExecutionStatus, Refusal
from cleatlink.core.errors import ERROR_RESPONSES, ErrorKind, RequestError
from cleatlink.core.routes import (
    CallerLimits,
    Headers,
    InboundRequest,
    Route,
    RoutedService,
    RouteTable,
)
from cleatlink.organisations import Admission, CallerIdentity
from cleatlink.relay.callers.newer_table_wait import NewerTableWait
from cleatlink.relay.callers.server import Handler
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.calls.decode_admission import DecodeAdmission
from cleatlink.relay.calls.plain import PlainCall
from cleatlink.relay.calls.plain_call_admission import PlainCallAdmission
from cleatlink.relay.calls.planned_stop import ANSWER_SEND_S
from cleatlink.relay.calls.stream import StreamCall
from cleatlink.relay.endpoints.pool import Response
from cleatlink.relay.exchange import Exchange, RawRequest
from cleatlink.routing.route_index import RouteIndex, choose_service

__all__ = ["RelayService"]

_ERROR_KIND_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    408: ErrorKind.SLOW_SENDER,
    413: ErrorKind.TOO_LARGE,
    431: ErrorKind.BAD_REQUEST,
    503: ErrorKind.BUSY,
}
# Statuses that depend on the limits of the route table in force.
_LIMIT_STATUSES = frozenset({413, 431})
_DEFAULT_LIMITS = CallerLimits()
# A newer route table, which may name the service, is usually in force after this delay.
_NO_SERVICE_RETRY_S = 1.0
# Short, because the route is already in force and only the body has to be sent again.
_BODY_RETRY_S = 0.1
_MS_PER_S = 1000.0


class _RoutedRequest(NamedTuple):
    """A request's route, service and caller, according to one revision of the route table."""

    revision: int
    route: Route
    service: RoutedService
    caller: CallerIdentity


class RelayService(Handler):
    """Serves callers according to the route table in force."""

    def __init__(
        self, components: RelayComponents, is_late: Callable[[], bool] = lambda: False
    ) -> None:
        """Create a service without a route table.

        Args:
            components: The components of the instance.
            is_late: Returns whether callers should use other instances for their next requests.
        """
        self._components = components
        self._is_late = is_late
        self._index: RouteIndex | None = None
        self._newer_table_wait = NewerTableWait(components.table_tracker, components.planned_stop)
        self._decode_admission = DecodeAdmission(components)
        self._plain_admission = PlainCallAdmission(components)
        self._in_flight = 0
        self._call_scopes: set[trio.CancelScope] = set()

    @property
    def limits(self) -> CallerLimits:
        """Limits of the route table in force."""
        return self._index.table.limits if self._index is not None else _DEFAULT_LIMITS

    @property
    def asks_to_close(self) -> bool:
        """Whether answers ask callers to close their connection."""
        return self._components.planned_stop.has_begun or self._is_late()

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    @property
    def decode_admission(self) -> DecodeAdmission:
        """Wait queue and admission of streams to decode endpoints."""
        return self._decode_admission

    def use_table(self, table: RouteTable) -> None:
        """Use a route table for requests that arrive from now on."""
        self._index = RouteIndex(table)
        self._components.organisation_access.use_table(table.organisations)
        for route in table.routes:
            for share in route.shares:
                self._set_initial_service_rate(route, table.services.get(share.service))
        self._newer_table_wait.recheck_requests()

    def _set_initial_service_rate(self, route: Route, service: RoutedService | None) -> None:
        """Use a route's latency targets as the initial estimate of its engines' service rate."""
        if service is None or service.engine is None:
            return
        service_rate = self._components.capacity.service_times(service.name)
        service_rate.set_priors(
            route.target_s, route.event_gap_target_s, service.engine.event_tokens
        )

    def begin_stop(self) -> None:
        """Limit the time of calls in progress so that they are answered before the stop ends.

        Otherwise a plain call that an endpoint is still processing, or a stream that has not
        started, would get no answer because the process exits first.
        """
        self._newer_table_wait.recheck_requests()
        for scope in self._call_scopes:
            scope.deadline = min(scope.deadline, self._components.planned_stop.answer_deadline)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        self._in_flight += 1
        self._components.metrics.set_in_flight(self._in_flight)
        try:
            await self._serve(exchange)
        finally:
            self._in_flight -= 1
            self._components.metrics.set_in_flight(self._in_flight)

    async def refuse(self, exchange: Exchange, status: int) -> None:
        """Answer input that could not be parsed as a request."""
        eliot.log_message(
            message_type="relay: can't parse a request, refuses it",
            status=status,
            revision=self._components.table_tracker.revision_in_force,
            newest=self._components.table_tracker.newest_revision,
        )
        if status in _LIMIT_STATUSES and not self._newer_table_wait.can_refuse_finally:
            detail = "above a limit of a route table that may be out of date"
            await self._send_refusal(exchange, Refusal(ErrorKind.NOT_READY, detail))
            return
        kind = _ERROR_KIND_BY_STATUS.get(status, ErrorKind.BAD_REQUEST)
        await self._send_refusal(exchange, Refusal(kind, "not a request", None), status)

    def should_store_body(self, target: bytes, headers: Headers) -> bool:
        """Check by a request's head whether the table in force or a newer one may serve it."""
        if self._index is None:
            return False
        path = target.partition(b"?")[0].decode("latin-1")
        route = self._index.find(self._components.protocol.read_host(headers), path)
        if route is not None and self._identify(headers, route) is not None:
            return True
        return self._newer_table_wait.expects_newer_table

    async def _serve(self, exchange: Exchange) -> None:
        raw, components = exchange.request, self._components
        arrived_at = now = trio.current_time()
        try:
            inbound = self._read_inbound(raw, arrived_at)
        except RequestError as error:
            eliot.log_message(
                message_type="relay: refuses a request with an invalid header", error=error.detail
            )
            await self._send_refusal(exchange, Refusal(error.kind, error.detail, None))
            return
        routed = self._route_request(inbound, raw.headers)
        if isinstance(routed, Refusal):
            route_again = partial(self._route_request, inbound, raw.headers)
            routed = await self._newer_table_wait.wait_and_route(inbound, routed, route_again)
            if isinstance(routed, Refusal):
                await self._refuse_unrouted(exchange, inbound, routed)
                return
            now = trio.current_time()
            # Parse again: the newer table also decides whether the API key may be forwarded.
            inbound = self._read_inbound(raw, arrived_at)
        if not raw.is_body_complete:
            detail = "its route or key was not known yet when its head came"
            await self._refuse_unrouted(
                exchange, inbound, Refusal(ErrorKind.NOT_READY, detail, _BODY_RETRY_S)
            )
            return
        inbound = inbound._replace(organisation=routed.caller.name)
        call = Call(
            inbound, routed.route, routed.service, routed.revision, components, holder=routed.caller
        )
        components.metrics.count_request(routed.route.kind.value)
        early_refusal = call.find_send_refusal()
        if early_refusal is not None:
            await self._refuse_call(call, exchange, early_refusal)
            return
        admission = self._admit(call, now)
        if not admission.granted:
            refusal = Refusal(ErrorKind.OVER_LIMIT, "its limit", admission.retry_after_s)
            await self._refuse_call(call, exchange, refusal)
            return
        components.get_retry_budget(routed.service.name).count_request(now)
        await self._run(call, exchange)

    def _read_inbound(self, raw: RawRequest, arrived_at: float) -> InboundRequest:
        return self._components.protocol.parse_inbound(
            raw.method,
            raw.target,
            raw.headers,
            raw.body,
            arrived_at,
            removes_api_key=self._components.organisation_access.checks_keys,
        )

    def _identify(self, headers: Headers, route: Route) -> CallerIdentity | None:
        """Return the caller of a request, or None if its route needs a known API key."""
        credentials = self._components.protocol.read_credentials(headers)
        return self._components.organisation_access.identify(credentials, route)

    def _admit(self, call: Call, now: float) -> Admission:
        """Check a call against its organisation's rate limit, and log a call above the limit."""
        organisation = call.caller.organisation
        if organisation is None or organisation.limit is None:
            return Admission(True, 0)
        limits = self._components.organisation_access.limits
        tokens = call.inbound.prompt_tokens + call.inbound.max_output_tokens
        admission = limits.admit(organisation, tokens, now)
        call.admission = admission
        self._components.metrics.count_admission(organisation.name, admission.granted)
        if not admission.granted:
            call.log(
                "is above its organisation's rate limit",
                organisation=organisation.name,
                limit_per_s=organisation.limit.rate,
                burst=organisation.limit.burst,
                cost=admission.cost,
                level=round(admission.level, 1),
                share=round(admission.share, 3),
                spent_here=limits.spent_units(organisation),
                told_ago_s=limits.oldest_report_age_s(now),
                retry_after_s=round(admission.retry_after_s, 3),
            )
        elif limits.is_level_low(organisation):
            self._components.on_limit_nearly_used()
        return admission

    async def _refuse_unrouted(
        self, exchange: Exchange, inbound: InboundRequest, refusal: Refusal
    ) -> None:
        """Refuse a request for which no call has been created."""
        now = trio.current_time()
        eliot.log_message(
            message_type="relay: refuses a request before a call starts",
            request=inbound.request_id,
            kind=refusal.kind.value,
            revision=self._components.table_tracker.revision_in_force,
            newest=self._components.table_tracker.newest_revision,
            behind_ms=int(_MS_PER_S * self._components.table_tracker.behind_s(now)),
            standing=self._components.table_tracker.freshness(now).value,
        )
        await self._send_refusal(exchange, refusal, request_id=inbound.request_id)

    def _route_request(self, inbound: InboundRequest, headers: Headers) -> _RoutedRequest | Refusal:
        """Find a request's route, service and caller in the route table in force."""
        index = self._index
        if index is None:
            return Refusal(ErrorKind.NOT_READY, "no route table is known yet")
        route = index.find(inbound.host, inbound.path)
        if route is None:
            return Refusal(ErrorKind.NOT_FOUND, "no route serves this host and path")
        service = choose_service(route, self._components.rng.random())
        if service is None or service not in index.table.services:
            return Refusal(ErrorKind.NO_ENDPOINT, "no service", _NO_SERVICE_RETRY_S)
        caller = self._identify(headers, route)
        if caller is None:
            return Refusal(ErrorKind.UNKNOWN_KEY, "no organisation holds the request's key")
        return _RoutedRequest(index.table.revision, route, index.table.services[service], caller)

    async def _run(self, call: Call, exchange: Exchange) -> None:
        """Run a call until it is answered, its deadline passes or the planned stop ends."""
        finished = False
        scope = trio.CancelScope(
            deadline=min(call.deadline, self._components.planned_stop.answer_deadline)
        )
        self._call_scopes.add(scope)
        try:
            with scope:
                await self._dispatch(call, exchange)
                finished = True
        except trio.Cancelled:
            await self._finish_cancelled(call, exchange)
            raise
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller's connection broke during a write.
            self._components.metrics.count_disconnected_caller(call.route.kind.value)
            raise
        except Exception as error:
            # A bug in this program ends only this request, not the others in progress.
            call.log("failed with an unexpected exception", error=repr(error), where=format_exc())
            if exchange.started:
                return
            refusal = Refusal(ErrorKind.INTERNAL, "a fault of the relay")
            await self._refuse_call(call, exchange, refusal)
            return
        finally:
            self._call_scopes.discard(scope)
        if finished or not scope.cancelled_caught:
            return
        if call.remaining_s > 0:
            await self._finish_at_stop_end(call, exchange)
        else:
            await self._finish_after_deadline(call, exchange)

    async def _finish_cancelled(self, call: Call, exchange: Exchange) -> None:
        """Finish a cancelled call: its caller disconnected, or a planned stop has ended."""
        if exchange.ended:
            return
        if not self._components.planned_stop.is_over:
            self._components.metrics.count_disconnected_caller(call.route.kind.value)
            call.log_outcome("is cancelled because its caller disconnected", sends=call.send_count)
            return
        await self._finish_at_stop_end(call, exchange)

    async def _finish_at_stop_end(self, call: Call, exchange: Exchange) -> None:
        """Refuse a call that a planned stop ends; an answer that has started is cut off."""
        if exchange.started:
            self._components.metrics.count_request_cut_by_stop(call.route.kind.value)
            call.log_interrupted_by_stop()
            return
        refusal = Refusal(ErrorKind.STOPPING, "this instance stopped before an answer came")
        await self._refuse_call(call, exchange, refusal)

    async def _dispatch(self, call: Call, exchange: Exchange) -> None:
        if call.service.engine is None:
            result = await PlainCall(call, self._plain_admission, self._components).run()
            if isinstance(result, Refusal):
                await self._refuse_call(call, exchange, result)
            else:
                await self._send_answer(call, exchange, result)
            return
        outcome = await StreamCall(call, exchange, self._decode_admission, self._components).run()
        if outcome.refusal is not None:
            await self._refuse_call(call, exchange, outcome.refusal)
        elif not outcome.is_complete:
            self._components.metrics.count_broken_answer(call.route.kind.value)
            call.log_outcome("cuts its answer off", sends=call.send_count)
        else:
            call.log_outcome("is answered", sends=call.send_count)

    async def _finish_after_deadline(self, call: Call, exchange: Exchange) -> None:
        """Refuse a call whose deadline has passed; an answer that has started is cut off."""
        call.log_outcome("reached its deadline", sends=call.send_count, ran=call.ran.value)
        if exchange.started:
            self._components.metrics.count_broken_answer(call.route.kind.value)
            return
        if call.ran is ExecutionStatus.NO:
            refusal = Refusal(ErrorKind.NO_ROOM, "no endpoint took the call in time")
        else:
            refusal = Refusal(ErrorKind.DEADLINE_PASSED, "the call's time is over")
        await self._refuse_call(call, exchange, refusal)

    async def _send_answer(self, call: Call, exchange: Exchange, answer: Response) -> None:
        metrics = self._components.metrics
        status = answer.head.status
        metrics.count_answer(call.route.kind.value, status, call.age_s)
        call.log_outcome(
            "is answered", status=status, sends=call.send_count, in_time=call.is_in_time
        )
        headers = self._components.protocol.filter_response_headers(answer.head)
        if exchange.request.method == b"HEAD":
            length = answer.head.get(b"content-length")
            headers = (*headers, (b"Content-Length", length)) if length else headers
        await self._send_complete(exchange, status, headers, answer.body)

    async def _refuse_call(self, call: Call, exchange: Exchange, refusal: Refusal) -> None:
        refusal = call.to_truthful(self._newer_table_wait.to_retryable(refusal))
        call.log_outcome(
            "is refused", kind=refusal.kind.value, detail=refusal.detail, sends=call.send_count
        )
        if call.ran is ExecutionStatus.NO:
            call.refund_admission()
        await self._send_refusal(exchange, refusal, request_id=call.inbound.request_id)

    async def _send_refusal(
        self,
        exchange: Exchange,
        refusal: Refusal,
        status: int | None = None,
        request_id: str = "",
    ) -> None:
        self._components.metrics.count_refusal(refusal.kind)
        answer = ERROR_RESPONSES[refusal.kind]
        retry_after_s = refusal.retry_after_s
        if retry_after_s is None:
            retry_after_s = answer.retry_after_s
        body = msgspec.json.encode(
            {"error": {"code": refusal.kind.value, "message": refusal.detail, "ran": answer.ran}}
        )
        headers: Headers = ((b"Content-Type", b"application/json"),)
        if refusal.kind is ErrorKind.UNKNOWN_KEY:
            headers += ((b"WWW-Authenticate", b"Bearer"),)
        if request_id:
            headers += ((self._components.protocol.names.request_id, request_id.encode()),)
        if retry_after_s is not None:
            # Rounded up: a caller that retries slightly too early would be refused again.
            headers += ((b"Retry-After", b"%.2f" % (math.ceil(100 * retry_after_s) / 100)),)
        await self._send_complete(exchange, status or answer.status, headers, body)

    async def _send_complete(
        self, exchange: Exchange, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete answer; during a planned stop it is shielded from cancellation.

        A caller may need as long to read the answer as the stop lasts.
        """
        stop = self._components.planned_stop
        # Shielded: otherwise the end of the stop could cut off an answer that is ready to be sent.
        with trio.CancelScope(shield=stop.has_begun) as scope:
            if stop.has_begun:
                scope.deadline = max(stop.ends_at, trio.current_time() + ANSWER_SEND_S)
            await exchange.answer(status, headers, body)
