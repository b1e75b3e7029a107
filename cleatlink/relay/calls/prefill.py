"""Runs the prefill of a stream, and frees the KV cache of a result that no decode used."""

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
from cleatlink.core.routes import KvLocation, RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.calls.rate_limit_permit import rate_limit_permit
from cleatlink.relay.endpoints.pool import IDLE_LIMIT_S
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ResponseHead
from cleatlink.relay.tasks import run_watched, sleep_until_sockets_read
from cleatlink.routing.endpoint_speeds import SpeedSampleKind
from cleatlink.routing.relay_placement import choose_prefill
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.uploads import Upload

__all__ = ["KvHandle", "Prefill"]

# Well above the few bytes of an answer.
_MAX_REPLY_BYTES = 65_536
# Overhead of a call beside the computation, in seconds.
_CALL_OVERHEAD_S = 0.01
# A prefill is cancelled if it takes this many seconds longer than expected. It is also the timeout
# of a request that frees a handle.
_TIMEOUT_MARGIN_S = 0.7
# Unreachable endpoints after which the decode endpoint computes the prompt; trying one costs only
# time.
_MAX_UNREACHABLE = 3
# An endpoint is reported as slow if a prefill took more than this many times the expected time
# plus _SLOW_BASE_S.
_SLOW_FACTOR = 2.5
# Keeps short prompts from marking an endpoint as slow.
_SLOW_BASE_S = 0.1
# A prompt that was queued for longer than this share of its usual prefill time is no measure of the
# endpoint's speed.
_MAX_QUEUE_SHARE = 0.5
# A handle is offered again only within this share of its lifetime, so that it can't have expired.
_SAFE_LIFETIME_SHARE = 0.7
# Attempts to free a handle. A few are enough, since the handle expires soon anyway.
_MAX_FREE_ATTEMPTS = 3
_FREE_RETRY_PAUSE_S = 0.2
# Time in which a busy prefill endpoint finishes some prompts, in seconds.
_RETRY_AFTER_S = 0.6


class KvHandle(NamedTuple):
    """A prefill's result, which stays at its endpoint until a decode fetches it.

    Attributes:
        endpoint: The prefill endpoint.
        source: Address and handle from which the decode fetches the KV cache.
        created_at: When the prefill ended.
    """

    endpoint: RoutedEndpoint
    source: KvLocation
    created_at: float


class Prefill:
    """The prefill of one stream, and the handle of its result."""

    def __init__(self, call: Call, components: RelayComponents) -> None:
        """Start without a result."""
        self.handle: KvHandle | None = None
        self._call = call
        self._components = components
        self._failed_attempts = 0

    @property
    def source(self) -> KvLocation | None:
        """Location of the result; None without one, or if the engine has restarted since."""
        handle = self.handle
        if handle is None or self._components.capacity.is_superseded(handle.endpoint):
            return None
        return handle.source

    def has_valid_handle(self) -> bool:
        """Check whether there is a handle that can't have expired."""
        return self.handle_valid_for_s() > 0

    def handle_valid_for_s(self) -> float:
        """Return the seconds for which the handle is certainly valid; 0 without a handle."""
        engine_properties = self._call.service.engine
        if self.handle is None or self.source is None or engine_properties is None:
            return 0.0
        age_s = trio.current_time() - self.handle.created_at
        return max(0.0, _SAFE_LIFETIME_SHARE * engine_properties.handle_lifetime_s - age_s)

    async def compute_prompt(self, decode: RoutedEndpoint) -> Refusal | None:
        """Have a prefill endpoint compute the prompt.

        Args:
            decode: The decode endpoint.

        Returns:
            The refusal of the call; None if the stream can start. Without an available prefill
            endpoint the decode endpoint computes the prompt.
        """
        call, components = self._call, self._components
        if self.handle is not None and self.handle.endpoint.build != decode.build:
            self.discard_handle("other build")
        unreachable_count = 0
        while self.handle is None:
            call_refusal = call.find_send_refusal()
            if call_refusal is not None:
                return call_refusal
            context = call.placement_context()
            endpoint = choose_prefill(
                call.service.name,
                components.capacity,
                context,
                decode.data_centre,
                call.inbound.prompt_tokens,
                target_s=call.route.target_s,
                build=decode.build,
            )
            if endpoint is None:
                call.log("found no prefill endpoint; the decode computes the prompt")
                return None
            if self._failed_attempts and not call.may_try_another():
                return call.make_refusal("no prefill came to an end", _RETRY_AFTER_S)
            if not call.take_retry_for_prefill():
                return call.make_refusal("the retry budget is empty", _RETRY_AFTER_S)
            try:
                await self._prefill_at(endpoint)
            except EndpointUnreachableError as error:
                call.note_failure(endpoint, error)
                unreachable_count += 1
                if unreachable_count >= _MAX_UNREACHABLE:
                    return None
            except trio.TooSlowError:
                # A long queue explains the delay, so the endpoint is not marked as failed.
                self._failed_attempts += 1
                call.excluded.add(endpoint.name)
                call.log("prefill timed out; looks for another endpoint", endpoint=endpoint.name)
            except EndpointError as error:
                self._failed_attempts += 1
                call.note_failure(endpoint, error)
                await call.wait_for_crash_check(endpoint)
        return None

    async def _prefill_at(self, endpoint: RoutedEndpoint) -> None:
        """Have one endpoint compute the prompt.

        Raises:
            EndpointError: The endpoint failed or refused the prefill.
            trio.TooSlowError: The prefill took too long and was cancelled.
        """
        call, components = self._call, self._components
        key = f"{call.inbound.request_id}/{self._failed_attempts}/p"
        now = trio.current_time()
        tokens = call.inbound.prompt_tokens
        service_times = components.capacity.service_times(call.service.name)
        queue_s = components.capacity.prompt_starts_in_s(endpoint.name, now)
        usual_s = service_times.prompt_s(tokens)
        expected_s = queue_s + usual_s / components.capacity.relative_speed(endpoint.name, now)
        reservation = Reservation(endpoint.name, Role.PREFILL, tokens, now + expected_s, expected_s)
        components.capacity.reserve(key, reservation)
        components.on_reservations_changed(key)
        upload = call.start_upload(endpoint)
        try:
            due_at = components.capacity.endpoint_limits.reserve(key, endpoint.name, now)
            handle = await run_watched(
                lambda: self._request_when_allowed(endpoint, due_at, upload),
                lambda scope: self._cancel_when_late(upload, expected_s + _TIMEOUT_MARGIN_S, scope),
            )
            if handle is None:
                call.note_silent(endpoint, upload, expected_s + _TIMEOUT_MARGIN_S)
                raise trio.TooSlowError
            self.handle = handle
            call.note_prefill_completed()
            elapsed_s = trio.current_time() - now
            call.update_read_rate(endpoint, upload, elapsed_s)
            call.log(
                "prefill completed",
                endpoint=endpoint.name,
                took_ms=int(1000 * elapsed_s),
                expected_ms=int(1000 * expected_s),
                queue_ms=int(1000 * queue_s),
            )
            components.metrics.observe_prefill(elapsed_s)
            processing_s = call.processing_s(endpoint.name, upload, now)
            if processing_s is not None:
                self._record_speed(endpoint, queue_s, processing_s)
            components.capacity.note_success(endpoint.name, trio.current_time())
            components.capacity.note_free_capacity(endpoint.name)
        finally:
            components.capacity.release(key)
            components.capacity.endpoint_limits.cancel_reservation(key, trio.current_time())
            components.on_reservations_changed(key)

    async def _request_when_allowed(
        self, endpoint: RoutedEndpoint, due_at: float, upload: Upload
    ) -> KvHandle:
        """Wait until the endpoint's rate limit allows the prefill, then request it."""
        wait_s = due_at - trio.current_time()
        if wait_s > 0:
            self._call.log_rate_limit_wait(endpoint, wait_s)
            await trio.sleep_until(due_at)
        return await self._request_prefill(endpoint, upload)

    async def _cancel_when_late(
        self, upload: Upload, timeout_s: float, scope: trio.CancelScope
    ) -> None:
        """Cancel a prefill that takes too long, or whose call reached its deadline.

        The timeout starts when the endpoint should have read the prompt. When it started earlier,
        two prefills were cancelled during the upload over a slow link, and the caller got 504.
        """
        started_at = trio.current_time()
        while True:
            due_at = min(self._call.deadline, max(started_at, upload.read_by) + timeout_s)
            if due_at <= trio.current_time():
                scope.cancel()
                return
            await sleep_until_sockets_read(due_at)

    def _record_speed(self, endpoint: RoutedEndpoint, queue_s: float, processing_s: float) -> None:
        """Record the prefill speed of the endpoint and its service, without the upload time."""
        capacity = self._components.capacity
        service_times = capacity.service_times(self._call.service.name)
        tokens = self._call.inbound.prompt_tokens
        usual_s = service_times.prompt_s(tokens)
        prefill_s = max(0.0, processing_s - _CALL_OVERHEAD_S)
        # An endpoint that became slow is reported to peers even if its speed is already known.
        if processing_s > _SLOW_FACTOR * (queue_s + usual_s) + _SLOW_BASE_S:
            self._call.report_slow(endpoint, processing_s)
        if service_times.is_known and queue_s < _MAX_QUEUE_SHARE * usual_s:
            now = trio.current_time()
            capacity.note_duration(
                endpoint.name, SpeedSampleKind.PROMPT, prefill_s - queue_s, usual_s, now
            )
        service_times.note_prompt(tokens, queue_s, prefill_s)

    async def _request_prefill(self, endpoint: RoutedEndpoint, upload: Upload) -> KvHandle:
        call, components = self._call, self._components
        call.note_started()

        def make_request() -> OutgoingRequest:
            call.note_prefill_sent()
            return components.protocol.make_forwarded_request(
                call.inbound,
                endpoint,
                call.remaining_s,
                prefill=True,
                priority=call.forwarded_priority,
            )

        reply = await components.pool.call(
            endpoint,
            IDLE_LIMIT_S,
            make_request,
            _MAX_REPLY_BYTES,
            upload=upload,
            request_id=call.inbound.request_id,
        )
        return self._read_handle(endpoint, reply.head, reply.body)

    def _read_handle(self, endpoint: RoutedEndpoint, head: ResponseHead, body: bytes) -> KvHandle:
        call, components = self._call, self._components
        if components.protocol.reports_not_executed(head):
            call.note_refused(endpoint, head)
            raise EndpointRefusedError("the endpoint refused the prefill")
        if head.status != 200:
            raise OutcomeUnknownError(f"invalid answer to the prefill, status {head.status}")
        try:
            handle = str(msgspec.json.decode(body)[components.protocol.paths.prefill_handle_field])
        except (msgspec.MsgspecError, KeyError, TypeError) as error:
            raise OutcomeUnknownError("the prefill answer has no valid KV handle") from error
        source = KvLocation(endpoint.address, handle)
        return KvHandle(endpoint, source, trio.current_time())

    def discard_handle(self, outcome: str) -> None:
        """Discard the handle, and free it at its endpoint unless a decode took it.

        Args:
            outcome: What became of the handle; a label of the metric that counts handles.
        """
        handle, self.handle = self.handle, None
        if handle is None:
            return
        self._components.metrics.count_kv_handle(outcome)
        if outcome != "taken" and not self._components.capacity.is_superseded(handle.endpoint):
            self._components.spawn(self._free_handle, handle)

    async def _free_handle(self, handle: KvHandle) -> None:
        """Have the endpoint free the KV cache of a result that was not used."""
        components = self._components
        path = components.protocol.paths.kv_handle.format(handle.source.handle)
        endpoint = handle.endpoint

        def make_request() -> OutgoingRequest:
            return components.protocol.make_relay_request(b"DELETE", path, endpoint)

        for _ in range(_MAX_FREE_ATTEMPTS):
            try:
                async with rate_limit_permit(
                    components.capacity, endpoint, f"free/{handle.source.handle}"
                ):
                    with trio.fail_after(_TIMEOUT_MARGIN_S):
                        await components.pool.call(
                            endpoint, IDLE_LIMIT_S, make_request, _MAX_REPLY_BYTES
                        )
                return
            except (EndpointError, trio.TooSlowError):
                await trio.sleep(_FREE_RETRY_PAUSE_S)
