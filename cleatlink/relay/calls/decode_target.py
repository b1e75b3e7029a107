"""Prepares a decode endpoint for a stream.

The preparation reserves capacity in this instance, connects to the endpoint, reserves capacity
at the endpoint itself and has the prompt computed.
"""

import trio

from cleatlink.core.data import Refusal
from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.calls.decode_admission import DecodeAdmission, DecodePlacement
from cleatlink.relay.calls.endpoint_reservation import EndpointReservation, ReservationOutcome
from cleatlink.relay.calls.prefill import Prefill
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.pool import UNREPEATABLE_IDLE_LIMIT_S
from cleatlink.routing.relay_placement import estimate_longest_stream_s, estimate_output_tokens

__all__ = ["RETRY_AFTER_S", "DecodeTarget"]

# Retry delay, in seconds: a full decode endpoint usually completes a stream within this time.
RETRY_AFTER_S = 0.6
# Time within which all instances know the send times that one has reserved, in seconds; messages
# take a few ms.
_PROPAGATION_S = 0.015
# Number of simultaneous streams of peers from which an endpoint's limit would be exceeded; with
# fewer, the stream is only slightly early.
_MANY_CONCURRENT = 3
# Maximum wait for a rate limit, in seconds: a computed prompt is kept for about this time. A
# stream that would have to wait longer is placed again.
_MAX_LIMIT_WAIT_S = 0.5


class DecodeTarget:
    """The resources that a stream needs before it can be sent to one decode endpoint."""

    def __init__(
        self,
        call: Call,
        admission: DecodeAdmission,
        components: RelayComponents,
    ) -> None:
        """Create a target that has no resources yet.

        Args:
            call: The call.
            admission: Reserves capacity at decode endpoints.
            components: Components that all calls share.
        """
        self.prefill = Prefill(call, components)
        self.reservation = EndpointReservation(call, components)
        self._call = call
        self._admission = admission
        self._components = components
        self._placement: DecodePlacement | None = None
        self._connection: EndpointConnection | None = None
        self._is_authorized = False
        self._is_sent = False

    @property
    def placement(self) -> DecodePlacement:
        """The reserved capacity; present once the target is prepared."""
        assert self._placement is not None, "no capacity is reserved yet"
        return self._placement

    @property
    def endpoint(self) -> RoutedEndpoint:
        """The decode endpoint."""
        return self.placement.endpoint

    async def prepare(self) -> Refusal | None:
        """Prepare the first endpoint that is available; return a refusal if there is none."""
        while True:
            placement = await self._admission.acquire(
                self._call, prompt_ready=self.prefill.has_valid_handle()
            )
            if isinstance(placement, Refusal):
                return placement
            self._placement, self._is_sent = placement, False
            reserves = self.reservation.is_requested_at(self.endpoint)
            if not await self.connect(reserves=reserves) or not await self._reserve_at_endpoint():
                continue
            if placement.computes_prompt:
                return None
            now = trio.current_time()
            if placement.prompt_start_at > now:
                self._call.log_rate_limit_wait(placement.endpoint, placement.prompt_start_at - now)
                await trio.sleep_until(placement.prompt_start_at)
            return await self.prefill.compute_prompt(placement.endpoint)

    def authorize_send(self) -> Refusal | None:
        """Take what one send needs from the retry budget; return a refusal if it is not allowed."""
        call = self._call
        refusal = call.find_send_refusal()
        if refusal is not None:
            return refusal
        if self._is_authorized:
            return None
        if not call.can_end_before_stop(self._remaining_s()):
            return call.refuse_for_stop(self._remaining_s())
        if not call.may_send(self.endpoint):
            return call.make_refusal("no attempt is left", RETRY_AFTER_S)
        if not call.take_retry_for_send("decode"):
            return call.make_refusal("the retry budget is empty", RETRY_AFTER_S)
        self._is_authorized = True
        return None

    async def take_connection(self) -> EndpointConnection | None:
        """Return the connection to send on; None if the endpoint has become unreachable."""
        is_usable = self._connection is not None and self._connection.is_reusable
        if not is_usable and not await self.connect():
            return None
        connection, self._connection = self._connection, None
        self._is_authorized = False
        self._is_sent = True
        return connection

    async def connect(self, *, reserves: bool = False) -> bool:
        """Connect to the endpoint first, so that no prompt is computed for an unreachable one.

        Args:
            reserves: Whether a reservation is requested on the connection before the stream.
        """
        self._close_connection()
        try:
            self._connection = await self._components.pool.acquire(
                self.endpoint,
                UNREPEATABLE_IDLE_LIMIT_S,
                request_id=None if reserves else self._call.inbound.request_id,
            )
        except EndpointUnreachableError as error:
            self._call.note_failure(self.endpoint, error)
            self.release_and_exclude()
            return False
        return True

    async def _reserve_at_endpoint(self) -> bool:
        """Reserve capacity at the endpoint itself; return whether the stream may be sent there."""
        assert self._connection is not None, "the endpoint is connected"
        outcome = await self.reservation.request(
            self.endpoint, self._connection, self.placement.output_tokens
        )
        if outcome is ReservationOutcome.FULL:
            # The connection stays in the pool, since the endpoint may have capacity again soon.
            self._components.pool.return_unused(self.endpoint, self._connection)
            self._connection = None
            self._handle_rejection()
        elif outcome is ReservationOutcome.RESERVED:
            self._components.capacity.note_stream_accepted(self.endpoint.name)
        elif outcome is ReservationOutcome.FAILED:
            self.release_and_exclude()
        return outcome in (ReservationOutcome.RESERVED, ReservationOutcome.NOT_OFFERED)

    def _handle_rejection(self) -> None:
        """Release the reservation at a full endpoint, and lower its assumed capacity."""
        capacity, placement = self._components.capacity, self.placement
        tokens = (
            capacity.own_reservations[placement.key].tokens
            if placement.key in capacity.own_reservations
            else 0
        )
        self._release_placement()
        if tokens and capacity.note_memory_refusal(
            placement.endpoint.name, tokens, trio.current_time()
        ):
            self._components.on_rejection(placement.endpoint.name, tokens)

    async def wait_for_rate_limit(self) -> bool:
        """Wait until the endpoint's rate limit allows the stream; return whether it may be sent.

        Instances that reserve a send time at the same moment, as when an endpoint gets free
        capacity, do not know of each other's streams yet. Where many have done so, each stream
        is sent with a probability of one in their number, so that one is sent on average.
        """
        name, limits = self.endpoint.name, self._components.capacity.endpoint_limits
        if limits.rate_per_s(name) is None:
            return True
        now = trio.current_time()
        permit = self.placement.permit
        due_at = max(permit.due_at, permit.reserved_at + _PROPAGATION_S)
        if self._is_sent:
            due_at = limits.reserve(self.placement.key, name, now)
        if due_at - now > _MAX_LIMIT_WAIT_S:
            return False
        if due_at > now:
            self._call.log_rate_limit_wait(self.endpoint, due_at - now)
            await trio.sleep_until(due_at)
        if self._is_sent or permit.due_at > permit.reserved_at + _PROPAGATION_S:
            return True
        concurrent_count = limits.taken_by_peers(name) - permit.taken_by_peers
        return (
            concurrent_count < _MANY_CONCURRENT
            or self._components.rng.random() * (1 + concurrent_count) < 1
        )

    def release_and_exclude(self) -> None:
        """Release the endpoint and exclude it from further sends; keep a valid prefill handle."""
        self._call.excluded.add(self.endpoint.name)
        self.release()

    def release(self) -> None:
        """Release the reserved capacity; keep a valid prefill handle."""
        self._release_placement()
        if not self.prefill.has_valid_handle():
            self.prefill.discard_handle("expired")

    def close(self, handle_outcome: str = "unused") -> None:
        """Release all resources."""
        self.prefill.discard_handle(handle_outcome)
        self.reservation.cancel()
        self._close_connection()
        self._release_placement()

    def _remaining_s(self) -> float:
        """Return the time that the stream still needs, in seconds.

        This is the maximum before the prompt is computed, and the expected time after that: a
        stream whose prompt is computed is refused only if it is not expected to end in time.
        """
        service_times = self._components.capacity.service_times(self._call.service.name)
        if self.prefill.source is None:
            return estimate_longest_stream_s(self._call.inbound, service_times)
        speed = self._components.capacity.relative_speed(self.endpoint.name, trio.current_time())
        return (
            service_times.stream_duration_s(
                estimate_output_tokens(self._call.inbound, service_times)
            )
            / speed
        )

    def _close_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _release_placement(self) -> None:
        placement, self._placement = self._placement, None
        self._is_authorized = False
        if placement is not None:
            self._admission.release(placement.key)
