"""Has a stream's prompt computed, and frees the result that nobody takes."""

from typing import NamedTuple

import msgspec
import trio

from cleatlink.core.data import Refusal, Role
from cleatlink.core.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeUnknownError,
)
from cleatlink.core.routes import KvSource, RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.calls.turns import own_turn
from cleatlink.relay.endpoints.pool import IDLE_LIMIT_S
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ReplyHead
from cleatlink.relay.tasks import run_watched, sleep_and_read
from cleatlink.routing.endpoint_pace import PaceKind
from cleatlink.routing.relay_place import place_prefill
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.uploads import Upload

__all__ = ["Handle", "Prefill"]

# Far above the few bytes of an answer.
_MOST_REPLY_BYTES = 65_536
# What a call takes beside the work that it asks for.
_PREFILL_BASE_S = 0.01
# A prefill that is silent for this much longer than expected is left.
_PREFILL_SLACK_S = 0.7
# Endpoints out of reach cost only time; after so many the decode does it.
_MOST_UNREACHABLE = 3
# A prefill that took so much longer than expected is a slow endpoint's.
_SLOW_FACTOR = 2.5
# And at least so much, so that short prompts say nothing.
_SLOW_BASE_S = 0.1
# What a prompt took behind a longer queue, as a share of its own time, says little of the endpoint.
_SHORT_QUEUE_SHARE = 0.5
# A handle is offered again while it surely lives.
_HANDLE_SHARE = 0.7
# A handle lapses by itself soon; so many tries within that time are worth it.
_FREE_TRIES = 3
_FREE_PAUSE_S = 0.2
# Time in which a prefill that was busy works some prompts off.
_RETRY_AFTER_S = 0.6


class Handle(NamedTuple):
    """A prefill's result that waits to be taken."""

    endpoint: RoutedEndpoint
    source: KvSource
    made_at: float


class Prefill:
    """The prefill of one stream, and the handle that it left."""

    def __init__(self, call: Call, parts: RelayParts, *, was_computed: bool = False) -> None:
        """Begin without a result.

        Args:
            call: The call.
            parts: What all calls share.
            was_computed: Whether the prompt was computed before, for another decode.
        """
        self.handle: Handle | None = None
        self.was_computed = was_computed
        self._call = call
        self._parts = parts
        self._prefills = 0

    @property
    def source(self) -> KvSource | None:
        """Where the result waits; None without one, and when the engine began a new life."""
        handle = self.handle
        if handle is None or self._parts.capacity.is_over(handle.endpoint):
            return None
        return handle.source

    def lives(self) -> bool:
        """Tell whether there is a handle that surely has not lapsed."""
        return self.lives_for_s() > 0

    def lives_for_s(self) -> float:
        """Give for how many seconds the handle surely lives; 0 without one."""
        traits = self._call.service.engine
        if self.handle is None or self.source is None or traits is None:
            return 0.0
        age_s = trio.current_time() - self.handle.made_at
        return max(0.0, _HANDLE_SHARE * traits.handle_lifetime_s - age_s)

    async def run(self, data_centre: str) -> Refusal | None:
        """Have the prompt computed; without any prefill endpoint the decode does it."""
        call, parts = self._call, self._parts
        unreachable = 0
        while self.handle is None:
            barred = call.bar()
            if barred is not None:
                return barred
            seeker = call.seeker()
            endpoint = place_prefill(
                call.service.name,
                parts.capacity,
                seeker,
                data_centre,
                call.inbound.prompt_tokens,
                target_s=call.route.target_s,
            )
            if endpoint is None:
                call.log("has its prompt computed by the decode")
                return None
            if self._prefills and not self._may_prefill_again():
                return call.failure("no prefill came to an end", _RETRY_AFTER_S)
            # The result of an earlier one lapsed, or went down with its decode.
            if self.was_computed and not self._prefills and not call.spend("prefill"):
                return call.failure("the retry budget is empty", _RETRY_AFTER_S)
            try:
                await self._prefill_at(endpoint)
            except EndpointUnreachableError as error:
                call.note_failure(endpoint, error)
                unreachable += 1
                if unreachable >= _MOST_UNREACHABLE:
                    return None
            except trio.TooSlowError:
                # It may just be busy: a queue says nothing against it.
                self._prefills += 1
                call.excluded.add(endpoint.name)
                call.log("waited too long for its prefill", endpoint=endpoint.name)
            except EndpointError as error:
                self._prefills += 1
                call.note_failure(endpoint, error)
                await call.settle(endpoint)
        return None

    def _may_prefill_again(self) -> bool:
        return self._call.may_try_another() and self._call.spend("prefill")

    async def _prefill_at(self, endpoint: RoutedEndpoint) -> None:
        """Have one endpoint compute the prompt.

        Raises:
            EndpointError: It did not.
        """
        call, parts = self._call, self._parts
        key = f"{call.inbound.request_id}/{self._prefills}/p"
        now = trio.current_time()
        tokens = call.inbound.prompt_tokens
        pace = parts.capacity.pace(call.service.name)
        queue_s = parts.capacity.begins_in_s(endpoint.name, now)
        usual_s = pace.prompt_s(tokens)
        expected_s = queue_s + usual_s / parts.capacity.speed(endpoint.name, now)
        work = Reservation(endpoint.name, Role.PREFILL, tokens, now + expected_s, expected_s)
        parts.capacity.reserve(key, work)
        parts.on_work(key)
        upload = call.upload_to(endpoint)
        try:
            due_at = parts.capacity.limits.book(key, endpoint.name, now)
            handle = await run_watched(
                lambda: self._ask_in_turn(endpoint, due_at, upload),
                lambda leave: self._leave_when_late(upload, expected_s + _PREFILL_SLACK_S, leave),
            )
            if handle is None:
                call.note_silent(endpoint, upload, expected_s + _PREFILL_SLACK_S)
                raise trio.TooSlowError
            self.handle = handle
            self.was_computed = True
            taken_s = trio.current_time() - now
            call.note_read(endpoint, upload, taken_s)
            call.log(
                "is prefilled",
                endpoint=endpoint.name,
                took_ms=int(1000 * taken_s),
                expected_ms=int(1000 * expected_s),
                queue_ms=int(1000 * queue_s),
            )
            parts.metrics.observe_prefill(taken_s)
            served_s = call.served_s(upload, now)
            if served_s is not None:
                self._note_served(endpoint, queue_s, served_s)
            parts.capacity.note_success(endpoint.name, trio.current_time())
            parts.capacity.note_room(endpoint.name)
        finally:
            parts.capacity.release(key)
            parts.capacity.limits.give_up(key, trio.current_time())
            parts.on_work(key)

    async def _ask_in_turn(self, endpoint: RoutedEndpoint, due_at: float, upload: Upload) -> Handle:
        """Wait until the endpoint's limit allows it, and have the prompt computed."""
        wait_s = due_at - trio.current_time()
        if wait_s > 0:
            self._call.log_turn(endpoint, wait_s)
            await trio.sleep_until(due_at)
        return await self._ask_prefill(endpoint, upload)

    async def _leave_when_late(
        self, upload: Upload, patience_s: float, leave: trio.CancelScope
    ) -> None:
        """Have an endpoint left that has had the prompt for too long, or the call's time is over.

        Without the prompt's own time on a narrow link, two prefills were left while it was on its
        way to them, and the caller got 504.
        """
        began_at = trio.current_time()
        while True:
            due_at = min(self._call.deadline, max(began_at, upload.read_by) + patience_s)
            if due_at <= trio.current_time():
                leave.cancel()
                return
            await sleep_and_read(due_at)

    def _note_served(self, endpoint: RoutedEndpoint, queue_s: float, served_s: float) -> None:
        """Learn how fast the endpoint, and its service, compute a prompt that they have."""
        capacity = self._parts.capacity
        pace = capacity.pace(self._call.service.name)
        tokens = self._call.inbound.prompt_tokens
        usual_s = pace.prompt_s(tokens)
        seconds = max(0.0, served_s - _PREFILL_BASE_S)
        # An endpoint that turned sick is told of, also where its speed is known.
        if served_s > _SLOW_FACTOR * (queue_s + usual_s) + _SLOW_BASE_S:
            self._call.note_slow(endpoint, served_s)
        if pace.is_known and queue_s < _SHORT_QUEUE_SHARE * usual_s:
            now = trio.current_time()
            capacity.note_duration(endpoint.name, PaceKind.PROMPT, seconds - queue_s, usual_s, now)
        pace.note_prompt(tokens, queue_s, seconds)

    async def _ask_prefill(self, endpoint: RoutedEndpoint, upload: Upload) -> Handle:
        call, parts = self._call, self._parts
        call.note_begun()

        def make() -> OutgoingRequest:
            return parts.protocol.forward(
                call.inbound, endpoint, call.left_s, prefill=True, priority=call.told_priority
            )

        reply = await parts.pool.call(
            endpoint, IDLE_LIMIT_S, make, _MOST_REPLY_BYTES, upload=upload
        )
        return self._read_handle(endpoint, reply.head, reply.body)

    def _read_handle(self, endpoint: RoutedEndpoint, head: ReplyHead, body: bytes) -> Handle:
        call, parts = self._call, self._parts
        if parts.protocol.not_run(head):
            call.note_refused(endpoint, head)
            raise EndpointRefusedError("the prefill was refused")
        if not parts.protocol.belongs(head, call.inbound) or head.status != 200:
            raise OutcomeUnknownError(f"no answer to this prefill, status {head.status}")
        try:
            handle = str(msgspec.json.decode(body)[parts.protocol.paths.prefill_handle_field])
        except (msgspec.MsgspecError, KeyError, TypeError) as error:
            raise OutcomeUnknownError("the prefill's answer is not understood") from error
        source = KvSource(endpoint.address, handle)
        return Handle(endpoint, source, trio.current_time())

    def drop(self, fate: str) -> None:
        """Forget the handle; one that was not taken is freed."""
        handle, self.handle = self.handle, None
        if handle is None:
            return
        self._parts.metrics.count_handle(fate)
        if fate != "taken" and not self._parts.capacity.is_over(handle.endpoint):
            self._parts.spawn(self._free, handle)

    async def _free(self, handle: Handle) -> None:
        """Have an endpoint free what a prefill left there."""
        parts = self._parts
        path = parts.protocol.paths.handle.format(handle.source.handle)
        endpoint = handle.endpoint

        def make() -> OutgoingRequest:
            return parts.protocol.own_call(b"DELETE", path, endpoint)

        for _ in range(_FREE_TRIES):
            try:
                async with own_turn(parts.capacity, endpoint, f"free/{handle.source.handle}"):
                    with trio.fail_after(_PREFILL_SLACK_S):
                        await parts.pool.call(endpoint, IDLE_LIMIT_S, make, _MOST_REPLY_BYTES)
                return
            except (EndpointError, trio.TooSlowError):
                await trio.sleep(_FREE_PAUSE_S)
