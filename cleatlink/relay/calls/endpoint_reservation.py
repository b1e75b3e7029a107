"""Reserves a slot and memory for a stream at its decode endpoint, before the prompt is computed.

What instances report to each other about their load can be late or lost. The endpoint itself
knows its load: it reserves a slot and memory, called a hold in its interface, or rejects the
stream before a prompt has been computed in vain.
"""

from enum import StrEnum

import msgspec
import trio

from cleatlink.core.errors import EndpointError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.calls.rate_limit_permit import rate_limit_permit
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.pool import IDLE_LIMIT_S, Response
from cleatlink.relay.endpoints.protocol import (
    MISDIRECTED_REQUEST,
    REJECTION_STATUSES,
    OutgoingRequest,
)
from cleatlink.routing.mechanisms import Mechanism

__all__ = ["EndpointReservation", "ReservationOutcome"]

# Maximum size of a response; usual ones have a few bytes.
_MAX_REPLY_BYTES = 65_536
# Timeout of a reservation request, in seconds; a third of usual latency targets. An engine that
# takes longer would not serve the stream in time either.
_TIMEOUT_S = 0.3
# Share of its lifetime for which a reservation is used, so that it does not expire on the way.
_USABLE_SHARE = 0.9
# Share of the estimated answer that is reserved with the prompt: the memory that a stream needs
# soon after its start.
_OUTPUT_SHARE = 0.5


class ReservationOutcome(StrEnum):
    """Result of a reservation request."""

    RESERVED = "held"
    NOT_OFFERED = "not offered"
    FULL = "full"
    FAILED = "failed"


class EndpointReservation:
    """The reservation of one stream at an endpoint."""

    def __init__(self, call: Call, components: RelayComponents) -> None:
        self._call = call
        self._components = components
        self._endpoint: RoutedEndpoint | None = None
        self._reservation_id = ""
        self._valid_until = 0.0

    def consume_id(self, endpoint: RoutedEndpoint) -> str:
        """Return the reservation's id for its only use; empty if there is no valid reservation."""
        if self._endpoint is None or self._endpoint.name != endpoint.name:
            return ""
        reservation_id, self._endpoint = self._reservation_id, None
        return reservation_id if trio.current_time() < self._valid_until else ""

    def cancel(self) -> None:
        """Cancel the reservation if it was not used."""
        endpoint, self._endpoint = self._endpoint, None
        if endpoint is None or self._components.capacity.is_superseded(endpoint):
            return
        if trio.current_time() < self._valid_until:
            self._components.spawn(self._cancel, endpoint, self._reservation_id)

    def is_requested_at(self, endpoint: RoutedEndpoint) -> bool:
        """Check whether capacity is reserved at an endpoint before a stream is sent there."""
        return self._lifetime_s(endpoint) > 0.0

    def _lifetime_s(self, endpoint: RoutedEndpoint) -> float:
        """Return how long a reservation at an endpoint lasts, in seconds; 0 without one."""
        engine_properties = self._call.service.engine
        capacity = self._components.capacity
        if engine_properties is None:
            return 0.0
        if not capacity.switches.is_enabled(Mechanism.CAPACITY_RESERVATIONS):
            return 0.0
        if capacity.endpoint_limits.rate_per_s(endpoint.name) is not None:
            # A reservation request would count against the endpoint's rate limit like the stream.
            return 0.0
        return engine_properties.hold_s

    async def request(
        self, endpoint: RoutedEndpoint, connection: EndpointConnection, output_tokens: int
    ) -> ReservationOutcome:
        """Reserve a slot and memory for a stream, on the connection that the stream will use.

        Args:
            endpoint: The endpoint.
            connection: A connection to it; closed if the request fails.
            output_tokens: Estimated length of the answer, in tokens.
        """
        lifetime_s = self._lifetime_s(endpoint)
        if not lifetime_s:
            return ReservationOutcome.NOT_OFFERED
        self.cancel()
        tokens = self._call.inbound.prompt_tokens + int(_OUTPUT_SHARE * output_tokens)
        request = self._components.protocol.make_reservation_request(endpoint, tokens, lifetime_s)
        began_at = trio.current_time()
        try:
            with trio.fail_after(_TIMEOUT_S):
                head = await connection.exchange(request)
                body = await connection.read_body(_MAX_REPLY_BYTES)
        except (EndpointError, trio.TooSlowError) as error:
            connection.close()
            self._call.note_failure(endpoint, error, in_progress=False)
            return ReservationOutcome.FAILED
        connection.end_exchange(trio.current_time())
        outcome = self._handle_reply(endpoint, Response(head, body))
        self._valid_until = began_at + _USABLE_SHARE * lifetime_s
        self._call.log(
            "reservation requested at the endpoint",
            endpoint=endpoint.name,
            tokens=tokens,
            result=outcome.value,
            status=head.status,
        )
        return outcome

    def _handle_reply(self, endpoint: RoutedEndpoint, reply: Response) -> ReservationOutcome:
        status = reply.head.status
        capacity = self._components.capacity
        if status == MISDIRECTED_REQUEST:
            capacity.note_address_mismatch(endpoint.name)
            return ReservationOutcome.FAILED
        if status in REJECTION_STATUSES:
            capacity.note_full(endpoint.name, trio.current_time())
            return ReservationOutcome.FULL
        if status != 200:
            return ReservationOutcome.NOT_OFFERED
        try:
            field = self._components.protocol.paths.reservation_fields.reservation_id
            self._reservation_id = str(msgspec.json.decode(reply.body)[field])
        except (msgspec.MsgspecError, KeyError, TypeError):
            return ReservationOutcome.NOT_OFFERED
        self._endpoint = endpoint
        capacity.note_free_capacity(endpoint.name)
        return ReservationOutcome.RESERVED

    async def _cancel(self, endpoint: RoutedEndpoint, reservation_id: str) -> None:
        """Cancel a reservation at an endpoint; if the request fails, the reservation expires."""
        components = self._components
        path = components.protocol.paths.delete_reservation.format(reservation_id)

        def make_request() -> OutgoingRequest:
            return components.protocol.make_relay_request(b"DELETE", path, endpoint)

        try:
            async with rate_limit_permit(components.capacity, endpoint, f"free/{reservation_id}"):
                with trio.fail_after(_TIMEOUT_S):
                    await components.pool.call(
                        endpoint, IDLE_LIMIT_S, make_request, _MAX_REPLY_BYTES
                    )
        except (EndpointError, trio.TooSlowError):
            return
