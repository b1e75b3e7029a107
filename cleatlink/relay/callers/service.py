"""The relay's front: from a request to its route, its driver and its one answer."""

import math
from functools import partial
from traceback import format_exc
from typing import NamedTuple

import eliot
import msgspec
import trio

from cleatlink.core.data import Ran, Refusal
from cleatlink.core.errors import ANSWERS, ErrorKind
from cleatlink.core.routes import CallerLimits, Headers, Inbound, Route, RoutedService, RouteTable
from cleatlink.organisations import Admission, Holder
from cleatlink.relay.callers.later_tables import LaterTables
from cleatlink.relay.callers.server import Handler
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.calls.plain import PlainCall
from cleatlink.relay.calls.plain_gate import PlainGate
from cleatlink.relay.calls.planned_stop import ANSWER_S
from cleatlink.relay.calls.room import DecodeRoom
from cleatlink.relay.calls.stream import StreamCall
from cleatlink.relay.endpoints.pool import Reply
from cleatlink.relay.exchange import Exchange, RawRequest
from cleatlink.routing.route_index import RouteIndex, choose_service

__all__ = ["RelayService"]

_STATUS_KINDS = {
    400: ErrorKind.BAD_REQUEST,
    408: ErrorKind.SLOW_SENDER,
    413: ErrorKind.TOO_LARGE,
    431: ErrorKind.BAD_REQUEST,
    503: ErrorKind.BUSY,
}
# Statuses that depend on the limits of the table in force.
_LIMIT_STATUSES = frozenset({413, 431})
_DEFAULT_LIMITS = CallerLimits()
# A new table is usually in force by then.
_NO_SERVICE_RETRY_S = 1.0
# The route is in force already; only the body has to be sent again.
_BODY_RETRY_S = 0.1
_MS = 1000.0


class _Found(NamedTuple):
    """A request's route, service and sender, as of a revision of the table."""

    revision: int
    route: Route
    service: RoutedService
    holder: Holder


class RelayService(Handler):
    """Serves callers by the route table in force."""

    def __init__(self, parts: RelayParts) -> None:
        self._parts = parts
        self._index: RouteIndex | None = None
        self._later_tables = LaterTables(parts.tables, parts.stop)
        self._room = DecodeRoom(parts)
        self._plain_gate = PlainGate(parts)
        self._in_flight = 0
        self._scopes: set[trio.CancelScope] = set()

    @property
    def limits(self) -> CallerLimits:
        """Limits of the table in force."""
        return self._index.table.limits if self._index is not None else _DEFAULT_LIMITS

    @property
    def closing(self) -> bool:
        """Whether answers ask callers to close."""
        return self._parts.stop.has_begun

    @property
    def in_flight(self) -> int:
        """Requests in progress."""
        return self._in_flight

    @property
    def room(self) -> DecodeRoom:
        """Room for streams."""
        return self._room

    def use_table(self, table: RouteTable) -> None:
        """Use a table for requests that come from now on."""
        self._index = RouteIndex(table)
        self._parts.gate.use_table(table.organisations)
        for route in table.routes:
            for share in route.shares:
                self._expect_pace(route, table.services.get(share.service))
        self._later_tables.wake()

    def _expect_pace(self, route: Route, service: RoutedService | None) -> None:
        """Take what a route promises as the first guess at its engines' pace."""
        if service is None or service.engine is None:
            return
        pace = self._parts.capacity.pace(service.name)
        pace.expect(route.target_s, route.event_gap_s, service.engine.event_tokens)

    def begin_stop(self) -> None:
        """Have calls in progress answered before the stop ends.

        Without it, a plain call that an endpoint still works on, and a stream that has not begun,
        would end with the process and no answer at all.
        """
        self._later_tables.wake()
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, self._parts.stop.answers_by)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        self._in_flight += 1
        self._parts.metrics.set_in_flight(self._in_flight)
        try:
            await self._serve(exchange)
        finally:
            self._in_flight -= 1
            self._parts.metrics.set_in_flight(self._in_flight)

    async def refuse(self, exchange: Exchange, status: int) -> None:
        """Answer what could not be read as a request."""
        eliot.log_message(
            message_type="relay: can't read a request",
            status=status,
            revision=self._parts.tables.in_force,
            newest=self._parts.tables.newest,
        )
        if status in _LIMIT_STATUSES and not self._later_tables.may_deny:
            detail = "above a limit of a route table that may be out of date"
            await self._send_refusal(exchange, Refusal(ErrorKind.NOT_READY, detail))
            return
        kind = _STATUS_KINDS.get(status, ErrorKind.BAD_REQUEST)
        await self._send_refusal(exchange, Refusal(kind, "not a request", None), status)

    def keeps_body(self, target: bytes, headers: Headers) -> bool:
        """Tell by its head whether a request may be served, now or by a table yet to come."""
        if self._index is None:
            return False
        path = target.partition(b"?")[0].decode("latin-1")
        route = self._index.find(self._parts.protocol.read_host(headers), path)
        if route is not None and self._identify(headers, route) is not None:
            return True
        return self._later_tables.awaits_newer

    async def _serve(self, exchange: Exchange) -> None:
        raw, parts = exchange.request, self._parts
        arrived_at = now = trio.current_time()
        inbound = self._read_inbound(raw, arrived_at)
        found = self._judge(inbound, raw.headers)
        if isinstance(found, Refusal):
            judge = partial(self._judge, inbound, raw.headers)
            found = await self._later_tables.judge_by_newer(inbound, found, judge)
            if isinstance(found, Refusal):
                await self._refuse_unrouted(exchange, inbound, found)
                return
            now = trio.current_time()
            # Whether its key may be passed on depends on the table, too.
            inbound = self._read_inbound(raw, arrived_at)
        if not raw.is_whole:
            detail = "its route or key was not known yet when its head came"
            await self._refuse_unrouted(
                exchange, inbound, Refusal(ErrorKind.NOT_READY, detail, _BODY_RETRY_S)
            )
            return
        inbound = inbound._replace(organisation=found.holder.name)
        call = Call(inbound, found.route, found.service, found.revision, parts, holder=found.holder)
        parts.metrics.count_request(found.route.kind.value)
        barred = call.bar()
        if barred is not None:
            await self._refuse_call(call, exchange, barred)
            return
        admission = self._admit(call, now)
        if not admission.granted:
            refusal = Refusal(ErrorKind.OVER_LIMIT, "its limit", admission.retry_after_s)
            await self._refuse_call(call, exchange, refusal)
            return
        parts.budget(found.service.name).count_request(now)
        await self._run(call, exchange)

    def _read_inbound(self, raw: RawRequest, arrived_at: float) -> Inbound:
        return self._parts.protocol.read_inbound(
            raw.method,
            raw.target,
            raw.headers,
            raw.body,
            arrived_at,
            withholds_key=self._parts.gate.judges_keys,
        )

    def _identify(self, headers: Headers, route: Route) -> Holder | None:
        """Give who sent a request; None if nobody who may call its route."""
        credentials = self._parts.protocol.read_credentials(headers)
        return self._parts.gate.identify(credentials, route)

    def _admit(self, call: Call, now: float) -> Admission:
        """Ask whether a call is within its organisation's limit, and log if it is not."""
        organisation = call.holder.organisation
        if organisation is None or organisation.limit is None:
            return Admission(True, 0)
        limits = self._parts.gate.limits
        tokens = call.inbound.prompt_tokens + call.inbound.max_output_tokens
        admission = limits.ask(organisation, tokens, now)
        call.admission = admission
        self._parts.metrics.count_admission(organisation.name, admission.granted)
        if not admission.granted:
            call.log(
                "is over its organisation's limit",
                organisation=organisation.name,
                limit_per_s=organisation.limit.rate,
                burst=organisation.limit.burst,
                cost=admission.cost,
                level=round(admission.level, 1),
                share=round(admission.share, 3),
                spent_here=limits.spent(organisation),
                told_ago_s=limits.told_ago_s(now),
                retry_after_s=round(admission.retry_after_s, 3),
            )
        elif limits.is_short(organisation):
            self._parts.on_spending()
        return admission

    async def _refuse_unrouted(
        self, exchange: Exchange, inbound: Inbound, refusal: Refusal
    ) -> None:
        """Refuse a request before it becomes a call."""
        now = trio.current_time()
        eliot.log_message(
            message_type="relay: refuses",
            request=inbound.request_id,
            kind=refusal.kind.value,
            revision=self._parts.tables.in_force,
            newest=self._parts.tables.newest,
            behind_ms=int(_MS * self._parts.tables.behind_s(now)),
            standing=self._parts.tables.standing(now).value,
        )
        await self._send_refusal(exchange, refusal, request_id=inbound.request_id)

    def _judge(self, inbound: Inbound, headers: Headers) -> _Found | Refusal:
        """Judge a request by the table in force."""
        index = self._index
        if index is None:
            return Refusal(ErrorKind.NOT_READY, "no route table is known yet")
        route = index.find(inbound.host, inbound.path)
        if route is None:
            return Refusal(ErrorKind.NOT_FOUND, "no route serves this host and path")
        service = choose_service(route, self._parts.rng.random())
        if service is None or service not in index.table.services:
            return Refusal(ErrorKind.NO_ENDPOINT, "no service", _NO_SERVICE_RETRY_S)
        holder = self._identify(headers, route)
        if holder is None:
            return Refusal(ErrorKind.UNKNOWN_KEY, "no organisation holds the request's key")
        return _Found(index.table.revision, route, index.table.services[service], holder)

    async def _run(self, call: Call, exchange: Exchange) -> None:
        """Run a call to its one answer, within its time."""
        finished = False
        scope = trio.CancelScope(deadline=min(call.deadline, self._parts.stop.answers_by))
        self._scopes.add(scope)
        try:
            with scope:
                await self._drive(call, exchange)
                finished = True
        except trio.Cancelled:
            await self._finish_cancelled(call, exchange)
            raise
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller's connection broke while it was written to.
            self._parts.metrics.count_gone(call.route.kind.value)
            raise
        except Exception as error:
            # A fault of this program ends one request, never the others.
            call.log("met a fault of the program", error=repr(error), where=format_exc())
            if exchange.started:
                return
            refusal = Refusal(ErrorKind.INTERNAL, "a fault of the relay")
            await self._refuse_call(call, exchange, refusal)
            return
        finally:
            self._scopes.discard(scope)
        if finished or not scope.cancelled_caught:
            return
        if call.left_s > 0:
            await self._finish_for_stop(call, exchange)
        else:
            await self._finish_late(call, exchange)

    async def _finish_cancelled(self, call: Call, exchange: Exchange) -> None:
        """Tell a caller that left from a call that the end of a planned stop finds."""
        if exchange.ended:
            return
        if not self._parts.stop.is_over:
            self._parts.metrics.count_gone(call.route.kind.value)
            call.log_outcome("lost its caller", sends=call.sends)
            return
        await self._finish_for_stop(call, exchange)

    async def _finish_for_stop(self, call: Call, exchange: Exchange) -> None:
        """Answer a call that the end of a planned stop finds; a begun answer is cut off."""
        if exchange.started:
            self._parts.metrics.count_cut_by_stop(call.route.kind.value)
            call.log_end_by_stop()
            return
        refusal = Refusal(ErrorKind.ENDPOINT_FAILED, "this instance stopped before an answer came")
        if call.ran is Ran.NO:
            refusal = Refusal(ErrorKind.STOPPING, "this instance is stopping")
        await self._refuse_call(call, exchange, refusal)

    async def _drive(self, call: Call, exchange: Exchange) -> None:
        if call.service.engine is None:
            result = await PlainCall(call, self._plain_gate, self._parts).run()
            if isinstance(result, Refusal):
                await self._refuse_call(call, exchange, result)
            else:
                await self._send_answer(call, exchange, result)
            return
        end = await StreamCall(call, exchange, self._room, self._parts).run()
        if end.refusal is not None:
            await self._refuse_call(call, exchange, end.refusal)
        elif not end.whole:
            self._parts.metrics.count_broken(call.route.kind.value)
            call.log_outcome("breaks its answer off", sends=call.sends)
        else:
            call.log_outcome("is answered", sends=call.sends)

    async def _finish_late(self, call: Call, exchange: Exchange) -> None:
        """Answer a call whose time is over; a begun answer is broken off."""
        call.log_outcome("ran out of time", sends=call.sends, ran=call.ran.value)
        if exchange.started:
            self._parts.metrics.count_broken(call.route.kind.value)
            return
        if call.ran is Ran.NO:
            refusal = Refusal(ErrorKind.NO_ROOM, "no endpoint took the call in time")
        else:
            refusal = Refusal(ErrorKind.DEADLINE_PASSED, "the call's time is over")
        await self._refuse_call(call, exchange, refusal)

    async def _send_answer(self, call: Call, exchange: Exchange, answer: Reply) -> None:
        metrics = self._parts.metrics
        status = answer.head.status
        metrics.count_answer(call.route.kind.value, status, call.age_s)
        call.log_outcome("is answered", status=status, sends=call.sends, in_time=call.in_time)
        headers = self._parts.protocol.passed_back(answer.head)
        if exchange.request.method == b"HEAD":
            length = answer.head.get(b"content-length")
            headers = (*headers, (b"Content-Length", length)) if length else headers
        await self._deliver(exchange, status, headers, answer.body)

    async def _refuse_call(self, call: Call, exchange: Exchange, refusal: Refusal) -> None:
        refusal = self._later_tables.as_retriable(refusal)
        call.log_outcome(
            "is refused", kind=refusal.kind.value, detail=refusal.detail, sends=call.sends
        )
        if call.ran is Ran.NO:
            call.give_back()
        await self._send_refusal(exchange, refusal, request_id=call.inbound.request_id)

    async def _send_refusal(
        self,
        exchange: Exchange,
        refusal: Refusal,
        status: int | None = None,
        request_id: str = "",
    ) -> None:
        self._parts.metrics.count_refusal(refusal.kind)
        answer = ANSWERS[refusal.kind]
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
            headers += ((self._parts.protocol.names.request_id, request_id.encode()),)
        if retry_after_s is not None:
            # Rounded up: a caller that is back sooner by a hair would be refused again.
            headers += ((b"Retry-After", b"%.2f" % (math.ceil(100 * retry_after_s) / 100)),)
        await self._deliver(exchange, status or answer.status, headers, body)

    async def _deliver(
        self, exchange: Exchange, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer; while the instance stops, whatever else ends meanwhile."""
        is_stopping = self._parts.stop.has_begun
        # The end of the stop cut off answers that were ready, between the decision and the send.
        with trio.CancelScope(shield=is_stopping) as scope:
            if is_stopping:
                scope.deadline = trio.current_time() + ANSWER_S
            await exchange.answer(status, headers, body)
