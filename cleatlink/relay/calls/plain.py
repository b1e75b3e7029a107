"""Drives one plain call: to an endpoint and back, again where that is allowed."""

import math

import trio

from cleatlink.core.data import Ran, Refusal, Role
from cleatlink.core.errors import (
    EndpointSilentError,
    EndpointUnreachableError,
    ErrorKind,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.calls.plain_gate import PlainGate
from cleatlink.relay.endpoints.pool import FRESH_LIMIT_S, IDLE_LIMIT_S, Reply
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ReplyHead
from cleatlink.relay.tasks import run_watched, sleep_and_read
from cleatlink.routing.endpoint_pace import PaceKind
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.plain_load import CallEnd
from cleatlink.routing.relay_place import place_plain, place_plain_later
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.uploads import UNKNOWN_PACE, Upload

__all__ = ["PlainCall"]

# Far above the largest answer of a plain service.
_MOST_BODY_BYTES = 16_777_216
# Endpoints that could not be reached cost nothing but time; so many are tried.
_MOST_UNREACHABLE = 4
# Connections across data centres and a lost packet take so long.
_MIN_PATIENCE_S = 0.15
# A safe call leaves an endpoint that is silent for so many times what calls usually take:
# sent again sooner, it would only add to a queue.
_USUAL_FACTOR = 3.0
# A place for the work to stand in until it is over; nothing is decided by it.
_EXPECTED_S = 0.1
# Time in which an endpoint that was full frees some places.
_RETRY_AFTER_S = 0.5
# Endpoints in one line: a service may have hundreds.
_MOST_LOGGED = 8


class PlainCall:
    """One plain call on its way."""

    def __init__(self, call: Call, gate: PlainGate, parts: RelayParts) -> None:
        self._call = call
        self._gate = gate
        self._parts = parts
        self._failed: Reply | None = None
        self._next: RoutedEndpoint | None = None
        # When the endpoint that is asked now sent its last byte, or else was asked.
        self._heard_at = -math.inf
        # The body on its way to it.
        self._upload = Upload(UNKNOWN_PACE)

    async def run(self) -> Reply | Refusal:
        """Run the call until there is an answer or no way to get one."""
        call = self._call
        unreachable = 0
        while True:
            barred = call.bar()
            if barred is not None:
                return barred
            endpoint, self._next = self._next, None
            if endpoint is None:
                refusal = await self._gate.enter(call)
                if refusal is not None:
                    return self._refuse(refusal)
                endpoint = self._place()
                if endpoint is None or not call.may_send(endpoint):
                    return self._give_up("no endpoint may be tried")
                if call.sends and not call.spend("plain"):
                    return self._give_up("the retry budget is empty")
            try:
                answer = await self._send(endpoint)
            except EndpointUnreachableError as error:
                call.note_failure(endpoint, error)
                unreachable += 1
                if unreachable >= _MOST_UNREACHABLE:
                    return self._give_up("no endpoint could be reached")
                continue
            except (OutcomeUnknownError, StreamBrokenError, EndpointSilentError) as error:
                call.note_failure(endpoint, error)
                if not call.repeatable:
                    return call.failure("the call left, but no answer came")
                await call.settle(endpoint)
                continue
            if answer is not None:
                return answer

    def _place(self) -> RoutedEndpoint | None:
        """Give an endpoint for the call: one that takes it now, or soon enough to be in time.

        One that waits for longer would only keep those behind it from being in time.
        """
        call, capacity = self._call, self._parts.capacity
        service = call.service.name
        endpoint = place_plain(service, capacity, call.seeker())
        if endpoint is not None:
            return endpoint
        spare_s = call.route.target_s - call.age_s - capacity.pace(service).plain_s
        return place_plain_later(service, capacity, call.seeker(), min(spare_s, call.left_s))

    async def _wait_for_turn(self, endpoint: RoutedEndpoint, key: str) -> bool:
        """Wait until an endpoint's limit allows the call; tells whether it still takes work."""
        call, capacity = self._call, self._parts.capacity
        now = trio.current_time()
        due_at = capacity.limits.book(key, endpoint.name, now)
        if due_at <= now:
            return True
        call.log_turn(endpoint, due_at - now)
        await trio.sleep_until(due_at)
        now = trio.current_time()
        return capacity.takes_work(endpoint.name) and not capacity.rest_left_s(endpoint.name, now)

    async def _send(self, endpoint: RoutedEndpoint) -> Reply | None:
        """Send the call to one endpoint.

        Returns:
            Its answer, or None if another endpoint is to be tried.
        """
        call, parts = self._call, self._parts
        key = f"{call.inbound.request_id}/{call.sends}"
        ends_at = trio.current_time() + _EXPECTED_S
        work = Reservation(endpoint.name, Role.PLAIN, 0, ends_at, suspicion=call.suspicion)
        parts.capacity.reserve(key, work)
        load, outcome = parts.capacity.plain, CallEnd.LOST
        began_at = None
        try:
            if not await self._wait_for_turn(endpoint, key):
                return None
            began_at = trio.current_time()
            self._heard_at = began_at
            self._upload = call.upload_to(endpoint)
            load.begin(endpoint.name, began_at)
            answer = await run_watched(
                lambda: self._exchange(endpoint),
                lambda leave: self._leave_when_silent(endpoint, leave),
            )
            if answer is not None:
                not_run = parts.protocol.not_run(answer.head)
                outcome = CallEnd.REFUSED if not_run else CallEnd.RAN
        finally:
            parts.capacity.release(key)
            parts.capacity.limits.give_up(key, trio.current_time())
            if began_at is not None:
                load.end(endpoint.name, outcome, trio.current_time())
        if answer is None:
            self._note_taken(endpoint, began_at)
            raise EndpointSilentError("another endpoint is asked")
        if outcome is CallEnd.RAN:
            call.note_read(endpoint, self._upload, trio.current_time() - began_at)
            self._note_taken(endpoint, began_at)
        return self._judge(endpoint, answer)

    def _note_taken(self, endpoint: RoutedEndpoint, began_at: float) -> None:
        """Learn how long the endpoint, and its service, take for a call that they have.

        Without it bodies on a narrow link made endpoints look slow: one that was silent was left
        after 0.72 s in place of 0.16 s.
        """
        capacity = self._parts.capacity
        pace = capacity.pace(self._call.service.name)
        seconds = self._call.served_s(self._upload, began_at)
        if seconds is None:
            return
        now = trio.current_time()
        capacity.note_duration(endpoint.name, PaceKind.PLAIN, seconds, pace.plain_s, now)
        pace.note_plain(seconds)

    async def _leave_when_silent(self, endpoint: RoutedEndpoint, leave: trio.CancelScope) -> None:
        """Have an endpoint left that is silent for long, once another one can be asked.

        Without another one, or without budget for it, the call stays: its answer may still come.
        """
        call = self._call
        impatient = self._parts.capacity.switches.uses(Mechanism.PATIENCE)
        if not call.repeatable or not impatient:
            return
        while True:
            await self._wait_for_silence()
            call.excluded.add(endpoint.name)
            other = place_plain(call.service.name, self._parts.capacity, call.seeker())
            if other is None or not call.may_send(other):
                continue
            if self._gate.has_room(call) and call.spend("plain"):
                self._next = other
                call.note_silent(endpoint, self._upload, trio.current_time() - self._silent_since)
                leave.cancel()
            return

    @property
    def _silent_since(self) -> float:
        """When the endpoint was asked, sent its last byte or should have read what it has."""
        return max(self._heard_at, self._upload.read_by)

    async def _wait_for_silence(self) -> None:
        """Wait until nothing has moved for long, from now or from the last move after that.

        A large body over a narrow link, of the call or of its answer, takes many times what calls
        usually take.
        """
        since = trio.current_time()
        while True:
            await sleep_and_read(since + self._silence_s())
            silent_since = self._silent_since
            if silent_since <= since:
                return
            since = silent_since

    def _note_heard(self) -> None:
        self._heard_at = trio.current_time()

    def _silence_s(self) -> float:
        """Give the seconds after which a silent endpoint is left.

        Until it is known how long calls take, that is when the answer should be there by what the
        route promises, as long as half of the call's time is left to the next endpoint.
        """
        call = self._call
        usual_s = self._parts.capacity.pace(call.service.name).plain_s
        if not usual_s:
            return max(_MIN_PATIENCE_S, min(call.route.target_s, call.left_s / 2))
        return max(_MIN_PATIENCE_S, _USUAL_FACTOR * usual_s)

    async def _exchange(self, endpoint: RoutedEndpoint) -> Reply:
        call, parts = self._call, self._parts
        limit_s = IDLE_LIMIT_S if call.repeatable else FRESH_LIMIT_S

        def make() -> OutgoingRequest:
            call.note_sent(endpoint)
            return parts.protocol.forward(call.inbound, endpoint, call.left_s)

        return await parts.pool.call(
            endpoint, limit_s, make, _MOST_BODY_BYTES, self._note_heard, upload=self._upload
        )

    def _judge(self, endpoint: RoutedEndpoint, answer: Reply) -> Reply | None:
        call, parts = self._call, self._parts
        head = answer.head
        if parts.protocol.not_run(head):
            self._note_refusal(endpoint, head)
            return None
        if not parts.protocol.belongs(head, call.inbound):
            raise OutcomeUnknownError("the answer is another request's")
        if head.status < 300 and not parts.protocol.signed(head):
            raise OutcomeUnknownError("the answer has no signature")
        call.ran = Ran.YES
        call.note_served()
        if head.status >= 500 and call.repeatable:
            call.log("got a failure", endpoint=endpoint.name, status=head.status)
            self._failed = answer
            call.excluded.add(endpoint.name)
            return None
        parts.capacity.note_success(endpoint.name, trio.current_time())
        parts.capacity.note_room(endpoint.name)
        return answer

    def _note_refusal(self, endpoint: RoutedEndpoint, head: ReplyHead) -> None:
        self._call.note_not_run()
        self._call.excluded.add(endpoint.name)
        self._call.note_refused(endpoint, head)

    def _refuse(self, refusal: Refusal) -> Reply | Refusal:
        """Give what the gate's refusal comes to, after what endpoints did with the call."""
        if self._failed is not None:
            return self._failed
        if self._call.ran is Ran.NO:
            return refusal
        return self._call.failure(refusal.detail)

    def _give_up(self, detail: str) -> Reply | Refusal:
        if self._failed is not None:
            return self._failed
        retry_after_s = self._opens_in_s()
        self._log_limits(retry_after_s)
        if not self._call.sends:
            return Refusal(ErrorKind.NO_ENDPOINT, detail, retry_after_s)
        return self._call.failure(detail, retry_after_s)

    def _log_limits(self, retry_after_s: float | None) -> None:
        """Log the limits that the service's endpoints name, where there are any."""
        capacity, now = self._parts.capacity, trio.current_time()
        limits = capacity.limits
        names = [item.name for item in capacity.in_role(self._call.service.name, Role.PLAIN)]
        levels = {
            name: (limits.rate_per_s(name), round(limits.level(name, now), 2))
            for name in names
            if limits.rate_per_s(name) is not None
        }
        if levels:
            self._call.log(
                "finds endpoints at their limits",
                limits_and_levels=dict(list(levels.items())[:_MOST_LOGGED]),
                limited=len(levels),
                endpoints=len(names),
                told_ago_s=limits.told_ago_s(now),
                retry_after_s=retry_after_s,
            )

    def _opens_in_s(self) -> float | None:
        """Give when a caller finds an endpoint that takes work; None if all of them leave."""
        now = trio.current_time()
        capacity, service = self._parts.capacity, self._call.service.name
        opens_in_s = capacity.opens_in_s(service, Role.PLAIN, now)
        if opens_in_s is None:
            return None
        return max(self._gate.retry_after_s(self._call, _RETRY_AFTER_S), opens_in_s)
