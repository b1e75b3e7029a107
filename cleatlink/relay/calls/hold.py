"""Holds room for a stream at the decode endpoint that it will go to.

What instances tell each other of their work can be late, lost or cut off. The
endpoint itself knows: it sets a slot and memory aside before the prompt is
computed, or says that it has none while nothing is lost yet.
"""

from enum import StrEnum

import msgspec
import trio

from cleatlink.core.errors import EndpointError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.calls.turns import own_turn
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.pool import IDLE_LIMIT_S, Reply
from cleatlink.relay.endpoints.protocol import OTHER_ENDPOINT, TURNED_AWAY, OutgoingRequest
from cleatlink.routing.mechanisms import Mechanism

__all__ = ["HoldOutcome", "StreamHold"]

# Far above the few bytes of an answer.
_MOST_REPLY_BYTES = 65_536
# An engine that takes longer for this has no room in time either; a third of usual targets.
_ANSWER_S = 0.3
# A hold that is about to lapse is not counted on.
_SAFE_SHARE = 0.9
# A stream that has begun needs its prompt and the part of its answer that comes soon.
_OUTPUT_SHARE = 0.5


class HoldOutcome(StrEnum):
    """What a call for a hold came to."""

    HELD = "held"
    NOT_OFFERED = "not offered"
    FULL = "full"
    FAILED = "failed"


class StreamHold:
    """The room that is held for one stream."""

    def __init__(self, call: Call, parts: RelayParts) -> None:
        self._call = call
        self._parts = parts
        self._endpoint: RoutedEndpoint | None = None
        self._name = ""
        self._until = 0.0

    def use(self, endpoint: RoutedEndpoint) -> str:
        """Give the name of the hold at an endpoint, once; empty if there is none."""
        if self._endpoint is None or self._endpoint.name != endpoint.name:
            return ""
        name, self._endpoint = self._name, None
        return name if trio.current_time() < self._until else ""

    def drop(self) -> None:
        """Give back what was held and not used."""
        endpoint, self._endpoint = self._endpoint, None
        if endpoint is None or self._parts.capacity.is_over(endpoint):
            return
        if trio.current_time() < self._until:
            self._parts.spawn(self._free, endpoint, self._name)

    async def take(
        self, endpoint: RoutedEndpoint, connection: EndpointConnection, output: int
    ) -> HoldOutcome:
        """Hold room for a stream at an endpoint, on the connection that it will use.

        Args:
            endpoint: The endpoint.
            connection: A connection to it.
            output: Tokens of the answer, as estimated.
        """
        traits = self._call.service.engine
        uses_holds = self._parts.capacity.switches.uses(Mechanism.HOLDS)
        if traits is None or not traits.hold_s or not uses_holds:
            return HoldOutcome.NOT_OFFERED
        if self._parts.capacity.limits.rate_per_s(endpoint.name) is not None:
            # A call that holds room would count against the endpoint's limit like the stream.
            return HoldOutcome.NOT_OFFERED
        self.drop()
        tokens = self._call.inbound.prompt_tokens + int(_OUTPUT_SHARE * output)
        request = self._parts.protocol.take_hold(endpoint, tokens, traits.hold_s)
        began_at = trio.current_time()
        try:
            with trio.fail_after(_ANSWER_S):
                head = await connection.exchange(request)
                body = await connection.read_body(_MOST_REPLY_BYTES)
        except (EndpointError, trio.TooSlowError) as error:
            self._call.note_failure(endpoint, error, in_progress=False)
            return HoldOutcome.FAILED
        connection.finish(trio.current_time())
        outcome = self._judge(endpoint, Reply(head, body))
        self._until = began_at + _SAFE_SHARE * traits.hold_s
        self._call.log(
            "asks for room",
            endpoint=endpoint.name,
            tokens=tokens,
            result=outcome.value,
            status=head.status,
        )
        return outcome

    def _judge(self, endpoint: RoutedEndpoint, reply: Reply) -> HoldOutcome:
        status = reply.head.status
        capacity = self._parts.capacity
        if status == OTHER_ENDPOINT:
            capacity.note_misdirected(endpoint.name)
            return HoldOutcome.FAILED
        if status in TURNED_AWAY:
            capacity.note_full(endpoint.name, trio.current_time())
            return HoldOutcome.FULL
        if status != 200:
            return HoldOutcome.NOT_OFFERED
        try:
            field = self._parts.protocol.paths.hold_fields.hold
            self._name = str(msgspec.json.decode(reply.body)[field])
        except (msgspec.MsgspecError, KeyError, TypeError):
            return HoldOutcome.NOT_OFFERED
        self._endpoint = endpoint
        capacity.note_room(endpoint.name)
        return HoldOutcome.HELD

    async def _free(self, endpoint: RoutedEndpoint, name: str) -> None:
        """Have an endpoint give back what it holds; if that fails, the hold lapses."""
        parts = self._parts
        path = parts.protocol.paths.drop_hold.format(name)

        def make() -> OutgoingRequest:
            return parts.protocol.own_call(b"DELETE", path, endpoint)

        try:
            async with own_turn(parts.capacity, endpoint, f"free/{name}"):
                with trio.fail_after(_ANSWER_S):
                    await parts.pool.call(endpoint, IDLE_LIMIT_S, make, _MOST_REPLY_BYTES)
        except (EndpointError, trio.TooSlowError):
            return
